//! The other boxes, requests to them, and the choice of those with a role for the fleet.
//!
//! `entry` is a box's entry in the store, `profile` what the choice of boxes for a role knows of it, `peers` are all known boxes. `keepers` chooses the
//! keepers of tokens, `watchers` the watchers of the store and `bill_writers` those that write bills;
//! every box computes the same choice without communication. `regions` tells which zones are near each other. `promises` holds promises
//! of other boxes to this one, `streams` remembers at which version streams began, `traffic` counts
//! the bytes of requests to others.

pub mod bill_writers;
pub mod entry;
pub mod watchers;
pub mod keepers;
pub mod peers;
pub mod profile;
pub mod promises;
pub mod regions;
pub mod streams;
pub mod traffic;
