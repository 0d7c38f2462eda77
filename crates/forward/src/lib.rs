//! HTTP/1 connections to endpoints; the caller decides where a request goes.
//!
//! [`Connections::send`] sends one request on a connection that carries nothing else meanwhile. Every failure
//! states whether the endpoint may have received the request: [`Fault::Unsent`] or [`Fault::Unknown`]. A
//! connection is reused only after a complete request and a complete response; otherwise it is closed, so
//! that no leftover bytes reach another request.
//!
//! Built on `hyper`'s connection-level client, since a client with a hidden connection pool cannot tell
//! these two failures apart.

mod body;
mod detour;
mod dial;
mod fault;
mod framing;
mod connection;
mod connections;
mod host;
mod meter;
mod opener;
mod options;
mod skip;
mod tag;

pub use body::Body;
pub use connections::{Answer, Connections, ReadyConnection, Request};
pub use detour::{Detour, Stream, Tunnel, Unreached, Way};
pub use dial::Dialer;
pub use fault::Fault;
pub use framing::Framing;
pub use opener::Port;
pub use options::Options;
pub use tag::Tag;
