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

pub use cold::{Allowance, Cold, Fleet};
pub use endpoint::{Endpoint, Failure, Prompt, Report, Snapshot};
pub use limit::{Limit, LimitSignal};
pub use pool::{Choice, Candidates, Pool, Weights};
pub use prefix::{BLOCK_BYTES, Prefix, Prefixes};
pub use back_off::BackOff;
pub use availability::{Departure, LAST_RESORT_MS, Availability};
pub use permits::{Permit, Permits};
