//! The other boxes: who they are, how they are asked, and which of them do something for all.
//!
//! `entry` is what a box says of itself in the store, `peers` are all that are known. `order` chooses who
//! keeps tokens and `homes` who looks at the store, the same on every box with no word exchanged.
//! `records` is what others promised this box, and `traffic` what its questions to others took.

pub mod entry;
pub mod homes;
pub mod order;
pub mod peers;
pub mod records;
pub mod traffic;
