//! Protocol between boxes: `bincode` frames in `h2` streams.
//!
//! Each stream carries one request and its answer. A message starts with its format number and its
//! size is checked before it is decoded; an unknown format or frame is a typed error. The protocol
//! has no consensus and stores nothing.

mod error;
mod format;
mod frame;
mod packed;
mod peer;
mod server;

pub use error::Error;
pub use format::{MAX_BYTES, NEWEST, OLDEST, decode, encode};
pub use frame::{
    Change, Draw, Drawn, Frame, Greeting, Limited, Listen, Message, News, Place, Question, Sheet,
    There, Told, Turn, Turned, Value, Write,
};
pub use peer::{Peer, Size};
pub use server::{Answer, Server};
