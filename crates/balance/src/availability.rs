//! Whether an endpoint may get a request: the one state that every way of a request asks before it sends.

/// Time for which an endpoint that said that it leaves still gets requests that no other endpoint takes, in milliseconds:
/// its successors may not be known yet, and it serves until it ends. Half of the shortest time after which it may get none.
pub const LAST_RESORT_MS: u64 = 1_000;

/// When an endpoint said that it leaves, in milliseconds of one box's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// When this box heard of it.
    pub since: u64,
    /// From when on it gets nothing, whoever else takes no work.
    pub until: u64,
}

impl Departure {
    /// It said so now.
    pub fn now(now: u64) -> Departure {
        Departure { since: now, until: now + LAST_RESORT_MS }
    }

    /// It said so some time ago.
    pub fn elapsed(now: u64) -> Departure {
        Departure { since: now, until: now }
    }
}

/// How an endpoint stands with this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests of this box.
    Open,
    /// It takes some after so many milliseconds: it is cold, it rests, or this box gets no turn there before.
    Waits { ms: u64 },
    /// It said a moment ago that it leaves: it gets what no other endpoint takes.
    LastResort,
    /// It gets no new work any more.
    Leaving,
}
