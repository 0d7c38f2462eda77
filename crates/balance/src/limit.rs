//! What an endpoint in need says that it takes from all boxes together.
//!
//! Answers come out of order, and some late, so each is known with the time between whose ends the endpoint said it.
//! An earlier word never takes the place of a later one; where two overlap, the one that allows less holds. Without
//! that an answer that was made before the endpoint was in need, and came after, would let every box send freely again.

use serde::{Deserialize, Serialize};

/// Requests that an endpoint takes from all boxes together within 1,000 seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Limit(u64);

impl Limit {
    /// What is taken of an endpoint that names a limit which cannot be read, and none before: one request a second. It
    /// is in need, and one request in a second is less than any endpoint gets that is not.
    pub const UNKNOWN: Limit = Limit(1_000);

    /// So many requests a second; what is below a thousandth of one counts as nothing.
    pub fn per_s(requests: f64) -> Limit {
        Limit((requests * 1_000.0) as u64)
    }

    /// Whether two limits are within a quarter of each other: a box that only has to know that there is one needs
    /// not hear of the other.
    pub fn is_close(self, other: Limit) -> bool {
        let (less, more) = (self.min(other).0, self.max(other).0);
        more - less <= more / 4
    }

    /// Requests a second.
    pub fn as_per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// What an endpoint said, in milliseconds of one box's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSignal {
    /// How much it takes; `None` where it named no limit.
    pub limit: Option<Limit>,
    /// When the request was sent whose answer said so.
    pub sent_at: u64,
    /// When that answer came.
    pub answered_at: u64,
}

impl LimitSignal {
    /// Whether this takes the place of what was known.
    pub fn replaces(&self, known: &LimitSignal) -> bool {
        let is_stricter = match (self.limit, known.limit) {
            (Some(limit), Some(known)) => limit < known,
            (limit, None) => limit.is_some(),
            (None, Some(_)) => false,
        };
        self.sent_at >= known.answered_at || (is_stricter && self.sent_at >= known.sent_at)
    }
}
