//! What boxes say to each other: `bincode` frames in `h2` streams.
//!
//! One stream carries one question and its answer. Every message starts with a format number and
//! is bounded before it is decoded; a newer format or an unknown frame is a typed error. Nothing
//! here is agreed or kept: peers only tell, carry and pass on.

mod error;
mod format;
mod frame;
mod packed;
mod peer;
mod server;

pub use error::Error;
pub use format::{MAX_MESSAGE_BYTES, NEWEST_FORMAT, OLDEST_FORMAT, decode, encode};
pub use frame::{
    BillPage, Change, Draw, Drawn, Frame, Greeting, LimitNotice, Location, Message, PermitReply,
    PermitRequest, Place, PlatformCall, Status, Subscribe, Update, Value, Write,
};
pub use peer::{Peer, Size};
pub use server::{Answer, Server};
