//! Which endpoint gets a request.
//!
//! Load reports are late, so each box corrects them by what it dispatched and finished itself
//! since the report was taken, and by what its peers told. [`Pool::choose`] compares a few
//! candidates by estimated cost: two drawn at random, and the ones that probably hold the
//! longest part of the prompt in their cache. All times are milliseconds of a monotonic clock.

mod cold;
mod endpoint;
mod limit;
mod pace;
mod pool;
mod prefix;
mod back_off;
mod speed;
mod availability;
mod permits;

pub use availability::{Availability, Departure, LAST_RESORT_MS};
pub use back_off::BackOff;
pub use cold::{Allowance, Cold, Fleet};
pub use endpoint::{Endpoint, Failure, Prompt, Report, Snapshot};
pub use limit::{Limit, LimitSignal};
pub use permits::{Permit, Permits};
pub use pool::{Candidates, Choice, Pool, Weights};
pub use prefix::{BLOCK_BYTES, Prefix, Prefixes};
