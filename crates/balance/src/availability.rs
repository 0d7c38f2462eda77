//! Whether an endpoint may get a request. Checked wherever a request is about to be sent.

/// Time in milliseconds for which an endpoint that signaled that it leaves still gets requests that
/// no other endpoint takes: it serves until it ends, and its successors may not be known yet. Half
/// of the 2 s after which it must get no more work in the strictest deployments.
pub const LAST_RESORT_MS: u64 = 1_000;

/// When an endpoint signaled that it leaves, in milliseconds of one box's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// When this box learned of it.
    pub since: u64,
    /// From then on it gets no requests at all, even if no other endpoint takes them.
    pub until: u64,
}

impl Departure {
    /// The endpoint signaled it just now.
    pub fn now(now: u64) -> Departure {
        Departure { since: now, until: now + LAST_RESORT_MS }
    }

    /// The endpoint signaled it some time ago, so it gets no requests any more.
    pub fn elapsed(now: u64) -> Departure {
        Departure { since: now, until: now }
    }
}

/// Availability of an endpoint to this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It may get requests now.
    Open,
    /// It may get requests after `ms` milliseconds: it is cold, it asked for a back-off, or this
    /// box gets no permit earlier.
    Waits { ms: u64 },
    /// It signaled recently that it leaves, and gets only requests that no other endpoint takes.
    LastResort,
    /// It gets no new work any more.
    Leaving,
}
