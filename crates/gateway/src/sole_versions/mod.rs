//! At which software versions of a service streams began that can still be taken up.
//!
//! If there is only one, every stream that a caller takes up began at it, also one of which no box knows where it began.
//! The boxes that watch the store keep a [`record`] of these versions there, by what they see of the endpoints
//! ([`history`]); a stream begins only at a version that is in it. [`handle`] says at which ones streams may begin, and
//! asks the store for the only one.

pub mod handle;
pub mod history;
pub mod record;
