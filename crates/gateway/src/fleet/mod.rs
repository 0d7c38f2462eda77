//! The other boxes, requests to them, and the choice of those with a role for the fleet.
//!
//! `entry` is a box's entry in the store, `peers` are all known boxes. `order` chooses the keepers
//! of tokens and `homes` the watchers of the store; every box computes the same choice without
//! communication. `records` holds promises of other boxes to this one, `traffic` counts the bytes
//! of requests to others.

pub mod entry;
pub mod homes;
pub mod order;
pub mod peers;
pub mod records;
pub mod traffic;
