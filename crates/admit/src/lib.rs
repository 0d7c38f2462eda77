//! Admission control: which request runs, which one waits, and which one is refused early.
//!
//! Less urgent classes of work may fill only a part of a pool, so that urgent requests do not wait behind
//! long ones. Within a class, requests are scheduled by weighted fair queueing among customers. A request
//! that is not expected to start before its deadline is refused at once, with a delay after which to retry.
//! All times are milliseconds of a monotonic clock.

mod queue;
mod limit;

pub use limit::{Exceeded, Limits};

pub use queue::{Capacity, Queue, Request, Verdict};
