//! Which of one customer's tokens are promised to the witness.

use std::cmp::Ordering;

use tokio::time::Instant;

use super::Wallet;

/// Seconds of use that are left out of a promise, so that most requests need not wait for a new
/// one. These tokens are lost with the box if it dies.
const UNPROMISED_S: f64 = 1.5;
/// A new promise is due once fewer seconds of use than this are not promised.
const MIN_UNPROMISED_S: f64 = 0.5;

impl Wallet {
    /// Records that a request needs tokens that are promised.
    pub fn need_promised(&mut self, tokens: u64) {
        self.needed_promised += tokens;
    }

    /// Whether a new promise would free tokens that are needed, or cover many more.
    pub fn is_promise_due(&mut self, now: Instant) -> bool {
        let unpromised = self.unpromised();
        let needed =
            self.needed_promised > 0 || unpromised < self.rate.used_in(MIN_UNPROMISED_S, now);
        let promisable = self.promisable(now);
        match self.promised.cmp(&promisable) {
            Ordering::Less => promisable > self.promised + self.rate.used_in(UNPROMISED_S, now),
            Ordering::Equal => false,
            Ordering::Greater => needed || self.has_surplus() || self.retiring,
        }
    }

    /// Returns the tokens to promise. Until the witness accepts the promise, the previous one holds
    /// as well.
    pub fn promise(&mut self, now: Instant) -> u64 {
        let promised = self.promisable(now);
        self.needed_promised = 0;
        self.promised = self.promised.max(promised);
        promised
    }

    /// Returns the tokens of the last promise before a planned stop: all that are free.
    pub fn promise_all(&mut self) -> u64 {
        self.promised = self.own().saturating_sub(self.borrowed);
        self.promised
    }

    fn promisable(&mut self, now: Instant) -> u64 {
        let unpromised = self.rate.used_in(UNPROMISED_S, now) + self.needed_promised;
        if self.retiring {
            return 0;
        }
        let promisable = self.own().saturating_sub(self.borrowed + unpromised);
        match self.has_surplus() {
            // The surplus is to be returned to the book.
            true => promisable.min(self.granted.target),
            false => promisable,
        }
    }

    /// Sets the promised tokens, after the witness accepted them or the promise was dropped.
    pub fn set_promised(&mut self, tokens: u64) {
        self.promised = tokens;
    }

    pub fn promised(&self) -> u64 {
        self.promised
    }
}
