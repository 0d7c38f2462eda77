//! The other boxes: who they are, how they are asked, and which of them do something for all.
//!
//! `entry` is what a box says of itself in the store, `peers` are all that are known. `keepers` chooses who
//! keeps tokens and `watchers` who looks at the store, the same on every box with no word exchanged.
//! `promises` is what others promised this box, and `traffic` what its questions to others took.

pub mod entry;
pub mod watchers;
pub mod keepers;
pub mod peers;
pub mod promises;
pub mod traffic;
