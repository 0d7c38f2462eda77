//! Accepted configuration. The version of each resource only ever increases.
//!
//! Operators write objects, called sources. Boxes validate them and copy valid ones to `accepted`
//! objects, which are all that a box applies. [`validate`] decides whether a source is accepted;
//! a [`Snapshot`] is what one box has applied.

mod accepted;
mod snapshot;

pub use accepted::{Accepted, Verdict, object_name, validate};
pub use snapshot::{Caller, Snapshot};
