//! Permits for an endpoint that names a rate limit for all boxes together.
//!
//! One box issues the permits of an endpoint, one per request and on demand. A permit is used at
//! once and never stored, so that the sum over all boxes is what the issuer granted, however many
//! boxes there are and whichever of them have callers. A fixed part of the limit per box would
//! either exceed the limit or leave most of it unused.
//!
//! A box that gets no permit is told when to ask again; each of these times is later than the one
//! before. So only about twice as many boxes ask as there are permits, never all at once. A request
//! that needs a permit waits for one round trip between boxes, and only if its endpoint names a
//! limit.

/// Seconds of the limit for which permits are saved up while nobody asks, beside one permit:
/// requests come in bursts. Within 4 s an endpoint may get up to 2 L + 5 requests more than a limit
/// of L per second allows; the saved permits use L/2 + 1 of them, and as much again if another box
/// takes over as issuer. The rest is for requests that are delayed on the way.
const MAX_SAVED_S: f64 = 0.5;
/// Interval in milliseconds at which one request is sent to an endpoint although its limit allows
/// none: only its answers report a higher limit. Far below the five requests within 4 s that are
/// allowed at any limit.
const PROBE_INTERVAL_MS: u64 = 5_000;
/// Distance between the retry times that are given out, in permits. Below 1, because some of those
/// who ask again no longer need their permit.
const RETRY_SPACING: f64 = 0.5;
/// Longest retry time in milliseconds: callers wait no longer, and the limit may be gone by then.
const MAX_RETRY_MS: u64 = 5_000;

/// Issuer's state for one endpoint, in milliseconds of the issuer's clock.
#[derive(Debug, Clone)]
pub struct Permits {
    /// Permits saved up at `saved_at`.
    saved: f64,
    /// When `saved` was updated last.
    saved_at: u64,
    /// When a permit was issued last.
    issued_at: u64,
    /// Latest retry time given out so far.
    last_retry_at: u64,
}

/// Answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// A request may be sent at once.
    Granted,
    /// None is left; ask again after `ms` milliseconds.
    After { ms: u64 },
}

impl Permits {
    /// Starts without saved permits, because another box may have issued some a moment ago.
    pub fn open(now: u64) -> Permits {
        Permits { saved: 0.0, saved_at: now, issued_at: now, last_retry_at: now }
    }

    /// Asks for a permit at an endpoint with a limit of `per_s` requests per second.
    pub fn take(&mut self, per_s: f64, now: u64) -> Permit {
        let elapsed_s = now.saturating_sub(self.saved_at) as f64 / 1_000.0;
        self.saved = (self.saved + elapsed_s * per_s).min(1.0 + MAX_SAVED_S * per_s);
        self.saved_at = now;
        if self.saved >= 1.0 || now >= self.issued_at + PROBE_INTERVAL_MS {
            self.saved = (self.saved - 1.0).max(0.0);
            self.issued_at = now;
            return Permit::Granted;
        }
        // With a limit of zero, no permit is ever saved up, but the endpoint is still probed.
        let next_permit_ms =
            ((1.0 - self.saved) * 1_000.0 / per_s).min(MAX_RETRY_MS as f64).ceil() as u64;
        let earliest = (now + next_permit_ms).min(self.issued_at + PROBE_INTERVAL_MS);
        let spacing_ms = (RETRY_SPACING * 1_000.0 / per_s).min(MAX_RETRY_MS as f64) as u64;
        self.last_retry_at = (self.last_retry_at + spacing_ms).clamp(earliest, now + MAX_RETRY_MS);
        Permit::After { ms: self.last_retry_at - now }
    }
}
