//! Whether a service has run only one software version for as long as streams can be taken up.
//!
//! If so, every stream that a caller takes up began at that version, also one of which no box knows
//! where it began. A box that has watched the endpoints for long enough knows that from its own
//! [`history`]. A box that started a moment ago does not, and after a loss of power of all boxes none
//! does: for these, the boxes that watch the store keep a [`record`] there. [`handle`] answers from
//! either.

pub mod handle;
pub mod history;
pub mod record;
