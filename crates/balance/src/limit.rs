//! Rate limits that endpoints name for all boxes together.
//!
//! Answers come out of order, and some late. So each signal carries the time at which its request
//! was sent and the time at which the answer came; the endpoint named the limit in between. An
//! earlier signal never replaces a later one, and where two overlap, the lower limit wins.
//! Otherwise a late answer from before the limit would let every box send freely again.

use serde::{Deserialize, Serialize};

/// Rate limit over all boxes together, in requests per 1,000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Limit(u64);

impl Limit {
    /// Assumed if an endpoint names an unreadable limit and named none before. An endpoint that
    /// names any limit is overloaded, and one request per second is less than any other endpoint
    /// gets.
    pub const UNKNOWN: Limit = Limit(1_000);

    /// A limit in requests per second, rounded down to a thousandth.
    pub fn per_s(requests: f64) -> Limit {
        Limit((requests * 1_000.0) as u64)
    }

    /// Whether two limits differ by at most a quarter. Boxes that issue no permits need to know
    /// only that there is a limit, so they are not notified of such a change.
    pub fn is_close(self, other: Limit) -> bool {
        let (low, high) = (self.min(other).0, self.max(other).0);
        high - low <= high / 4
    }

    /// Requests per second.
    pub fn as_per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// A limit that an endpoint signaled, with times of one box's clock in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSignal {
    /// Rate limit; `None` if the endpoint named none.
    pub limit: Option<Limit>,
    /// When the request was sent whose answer carried the signal.
    pub sent_at: u64,
    /// When that answer came.
    pub answered_at: u64,
}

impl LimitSignal {
    /// Whether this replaces the signal that is known.
    pub fn replaces(&self, known: &LimitSignal) -> bool {
        let is_stricter = match (self.limit, known.limit) {
            (Some(limit), Some(known)) => limit < known,
            (limit, None) => limit.is_some(),
            (None, Some(_)) => false,
        };
        self.sent_at >= known.answered_at || (is_stricter && self.sent_at >= known.sent_at)
    }
}
