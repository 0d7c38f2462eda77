//! Rest that an endpoint asks a box for when it turns a request of it away.
//!
//! It gets nothing from this box for as long as it asked: no later answer shortens that, since an answer may have been made
//! before it, and no probe goes there, since whatever it found could not be used before the end. Until then the endpoint looks
//! like the emptiest of all, so what was kept back must not come at once when the rest is over: a box comes back with
//! a part of what it had there before. What it may have there grows with what is taken, as a congestion
//! window does (RFC 5681): by one for each request at first, later by one for as many as it may have.

/// Part of what a box had at an endpoint before its rest with which it comes back, as a divisor.
const FIRST: u32 = 4;
/// Requests there, as a multiple of those before, up to which each one that is taken makes room for one more: enough for those
/// that were kept back beside those that come.
const FAST: u32 = 2;
/// The same from which on the endpoint counts like any other.
const WIDE: u32 = 4;
/// Time after which a request is to come again that finds an endpoint which takes no more for the moment, in milliseconds: an
/// answer of an engine begins by then.
const NEXT_MS: u64 = 50;

/// What an endpoint asked this box for, in milliseconds of the box's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct BackOff {
    /// When it asked.
    since: u64,
    /// The end of what it asked for.
    until: u64,
    /// Requests without an answer that this box had there before.
    before: u32,
    /// Those that it may have from this box then; `None` if as many as any other endpoint.
    window: Option<u32>,
    /// Requests taken since the window grew.
    taken: u32,
}

impl BackOff {
    /// It wants nothing for so long from now on, and has so many requests of this box without an answer; says whether that is
    /// longer than what it had asked for before.
    pub fn ask(&mut self, ms: u64, unanswered: u32, now: u64) -> bool {
        let until = now.saturating_add(ms);
        if ms == 0 || until <= self.until {
            return false;
        }
        // Requests that it turns away one after the other belong to one rest.
        let goes_on = now < self.until;
        let before = if goes_on { self.before.max(unanswered) } else { unanswered };
        *self = BackOff {
            since: if goes_on { self.since } else { now },
            until,
            before,
            window: Some((before / FIRST).max(1)),
            taken: 0,
        };
        true
    }

    /// Milliseconds until the end of what it asked for.
    pub fn remaining_ms(&self, now: u64) -> u64 {
        self.until.saturating_sub(now)
    }

    /// Since when requests of this box are kept back for it: by the rest, and then because few come at once. `None` if none is.
    pub fn keeps_back_since(&self, now: u64) -> Option<u64> {
        self.window.map(|_| if now < self.until { self.since } else { self.until })
    }

    /// Milliseconds until this box may send it a request, while so many are there without an answer.
    pub fn wait_ms(&self, unanswered: u32, now: u64) -> u64 {
        match self.window {
            _ if now < self.until => self.until - now,
            Some(window) if unanswered >= window => NEXT_MS,
            _ => 0,
        }
    }

    /// It took a request that was sent at `sent_at`.
    pub fn request_accepted(&mut self, sent_at: u64) {
        let Some(window) = self.window.filter(|_| sent_at >= self.until) else { return };
        self.taken += 1;
        if window < self.before * FAST || self.taken >= window {
            self.taken = 0;
            let wide = self.before.max(1) * WIDE;
            self.window = Some(window + 1).filter(|window| *window < wide);
        }
    }
}
