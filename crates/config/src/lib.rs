//! Accepted configuration: what is in force, and how it only ever moves forwards.
//!
//! Operators write sources; the fleet validates them and copies what is acceptable to `accepted`
//! objects. Boxes obey accepted objects alone. [`validate`] decides whether a source is copied,
//! [`Snapshot`] what a box has in force.

mod accepted;
mod snapshot;

pub use accepted::{Accepted, Verdict, object_name, validate};
pub use snapshot::{Caller, Snapshot};
