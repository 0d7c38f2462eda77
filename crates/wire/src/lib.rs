//! Protocol between boxes: `bincode` frames in `h2` streams.
//!
//! Each stream carries one request and its answer. A message starts with its format number and its
//! size is checked before it is decoded; an unknown format or frame is a typed error. The protocol
//! has no consensus and stores nothing. Beside messages, boxes carry each other's connections to endpoints: [`tunnel`].

mod error;
mod format;
mod frame;
mod compression;
mod peer;
mod server;
mod socket;
pub mod tunnel;

pub use error::Error;
pub use format::{MAX_MESSAGE_BYTES, NEWEST_FORMAT, OLDEST_FORMAT, decode, encode};
pub use frame::{
    Ages, BillPage, Change, Draw, Drawn, Frame, Greeting, LimitNotice, Location, Message,
    PermitReply, PermitRequest, Place, PlatformCall, Replica, RequestReport, Segment, Status,
    StreamKey, StreamOrigin, StreamRecord, Subscribe, SubscribeAged, Update, UpdateAged, Value,
    Write,
};
pub use peer::{Peer, Size};
pub use server::{Answer, Server};
