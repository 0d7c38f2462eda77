//! Which request runs next, which waits, and which is refused early.
//!
//! Each class of work has a share of a pool that the others cannot fill, so a confirmation never
//! waits behind a long calendar. Within a class customers take turns by weight. A request that
//! cannot start before its caller stops waiting is refused at once and told when to come back.
//! All times are milliseconds of a monotonic clock.

mod queue;
mod limit;

pub use limit::{Exceeded, Limits};
pub use queue::{Capacity, Queue, Request, Verdict};
