//! Back-off that an endpoint asks a box for when it rejects a request.
//!
//! For that time the box sends nothing to the endpoint. No later answer shortens it, since that
//! answer may have been generated before the rejection. No probe is sent, since its result could
//! not be used before the end. Meanwhile the endpoint becomes idle and would attract all waiting
//! requests at once, so afterwards the box is limited to a window of unanswered requests. The
//! window starts at a fraction of what the box had there before and grows with each accepted
//! request, like a TCP congestion window (RFC 5681): by one per request at first, later by one per
//! full window.

/// Divisor of the number of unanswered requests before the back-off that gives the first window.
const FIRST_WINDOW_DIVISOR: u32 = 4;
/// Each accepted request grows the window by one up to this multiple of the unanswered requests
/// before the back-off. Leaves room for requests that were held back beside new ones.
const FAST_GROWTH_FACTOR: u32 = 2;
/// The window is lifted at this multiple of the unanswered requests before the back-off.
const UNLIMITED_FACTOR: u32 = 4;
/// Delay in milliseconds after which a request that found the window full tries again: by then an
/// engine has usually begun one of its answers.
const FULL_WINDOW_DELAY_MS: u64 = 50;

/// Back-off of one endpoint towards one box, in milliseconds of the box's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct BackOff {
    /// Start of the back-off.
    since: u64,
    /// End of the back-off.
    until: u64,
    /// Unanswered requests of this box at the endpoint when the back-off began.
    unanswered_before: u32,
    /// Maximum number of unanswered requests after the back-off; `None` if not limited.
    window: Option<u32>,
    /// Requests accepted since the window grew.
    accepted: u32,
}

impl BackOff {
    /// Starts or extends the back-off by `ms` from now, with `unanswered` requests of this box at
    /// the endpoint. Returns whether it ends later than before.
    pub fn extend(&mut self, ms: u64, unanswered: u32, now: u64) -> bool {
        let until = now.saturating_add(ms);
        if ms == 0 || until <= self.until {
            return false;
        }
        // Consecutive rejections belong to one back-off.
        let is_active = now < self.until;
        let unanswered_before =
            if is_active { self.unanswered_before.max(unanswered) } else { unanswered };
        *self = BackOff {
            since: if is_active { self.since } else { now },
            until,
            unanswered_before,
            window: Some((unanswered_before / FIRST_WINDOW_DIVISOR).max(1)),
            accepted: 0,
        };
        true
    }

    /// Milliseconds until the back-off ends.
    pub fn remaining_ms(&self, now: u64) -> u64 {
        self.until.saturating_sub(now)
    }

    /// Since when requests are held back: first by the back-off, then by the window. `None` if they
    /// are not.
    pub fn held_back_since(&self, now: u64) -> Option<u64> {
        self.window.map(|_| if now < self.until { self.since } else { self.until })
    }

    /// Milliseconds until this box may send a request, with `unanswered` requests there.
    pub fn wait_ms(&self, unanswered: u32, now: u64) -> u64 {
        match self.window {
            _ if now < self.until => self.until - now,
            Some(window) if unanswered >= window => FULL_WINDOW_DELAY_MS,
            _ => 0,
        }
    }

    /// Grows the window for an accepted request that was sent at `sent_at`.
    pub fn request_accepted(&mut self, sent_at: u64) {
        let Some(window) = self.window.filter(|_| sent_at >= self.until) else { return };
        self.accepted += 1;
        if window < self.unanswered_before * FAST_GROWTH_FACTOR || self.accepted >= window {
            self.accepted = 0;
            let unlimited_from = self.unanswered_before.max(1) * UNLIMITED_FACTOR;
            self.window = Some(window + 1).filter(|window| *window < unlimited_from);
        }
    }
}
