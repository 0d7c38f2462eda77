//! What of one customer's tokens is promised to a witness.

use std::cmp::Ordering;

use tokio::time::Instant;

use super::Wallet;

/// Seconds of use that a box leaves out of a promise, so that most requests need not wait for a
/// new one: it is lost with the box, and 3% of a budget is what may be lost.
const OPEN_S: f64 = 1.5;
/// A new promise is due once less than this many seconds of use are not kept.
const OPEN_LOW_S: f64 = 0.5;

impl Wallet {
    /// Tokens are wanted out of those kept.
    pub fn want(&mut self, tokens: u64) {
        self.wanted += tokens;
    }

    /// Whether a new promise would free tokens that are wanted, or keep many more.
    pub fn is_promise_due(&mut self, now: Instant) -> bool {
        let open = self.open();
        let wanted = self.wanted > 0 || open < self.rate.over(OPEN_LOW_S, now);
        let keepable = self.keepable(now);
        match self.kept.cmp(&keepable) {
            Ordering::Less => keepable > self.kept + self.rate.over(OPEN_S, now),
            Ordering::Equal => false,
            Ordering::Greater => wanted || self.exceeds() || self.retires,
        }
    }

    /// Tokens to keep from now on. Until the witness has taken the promise, the one before it
    /// counts as well.
    pub fn promise(&mut self, now: Instant) -> u64 {
        let keeps = self.keepable(now);
        self.wanted = 0;
        self.kept = self.kept.max(keeps);
        keeps
    }

    /// Tokens to keep from now on, as no more requests come: all that are free.
    pub fn promise_all(&mut self) -> u64 {
        self.kept = self.own().saturating_sub(self.received);
        self.kept
    }

    fn keepable(&mut self, now: Instant) -> u64 {
        let open = self.rate.over(OPEN_S, now) + self.wanted;
        if self.retires {
            return 0;
        }
        let keepable = self.own().saturating_sub(self.received + open);
        match self.exceeds() {
            // The rest is given back.
            true => keepable.min(self.granted.target),
            false => keepable,
        }
    }

    /// The witness took this promise, or there is none any more.
    pub fn keep(&mut self, tokens: u64) {
        self.kept = tokens;
    }

    /// Tokens that a promise keeps.
    pub fn kept(&self) -> u64 {
        self.kept
    }
}
