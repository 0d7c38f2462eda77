//! Load balancing: which endpoint gets a request.
//!
//! Load reports arrive late, so each box corrects them by the requests that it sent and finished
//! itself since the report was taken, and by what its peers reported. [`Pool::choose`] compares a
//! few candidates by estimated cost: some drawn at random, and those that probably hold the longest
//! part of the prompt in their cache. All times are milliseconds of a monotonic clock.

mod cold;
mod endpoint;
mod limit;
mod pace;
mod pool;
mod prefix;
mod back_off;
mod brittle;
mod speed;
mod availability;
mod permits;

pub use availability::{Availability, Departure, LAST_RESORT_MS};
pub use back_off::BackOff;
pub use brittle::Brittle;
pub use cold::{Allowance, Fleet, Throttle};
pub use endpoint::{Endpoint, Failure, Prompt, Report, Snapshot};
pub use limit::{Limit, LimitSignal};
pub use permits::{Permit, Permits};
pub use pool::{Candidates, Choice, Filter, Pool, Weights};
pub use prefix::{BLOCK_BYTES, Prefix, PrefixIndex};
