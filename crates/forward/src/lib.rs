//! Connections to endpoints and the bytes on them; nothing here decides where a request goes.
//!
//! [`Connections::send`] puts one request on a connection that carries nothing else meanwhile, and says
//! of every failure whether the request can have been received: [`Fault::Unsent`] or
//! [`Fault::Unknown`]. A connection is used again only after a whole answer to a wholly sent
//! request; in all other cases it is closed, so nothing left over reaches another request.
//!
//! This is `hyper`'s connection-level client, the layer beneath `reqwest`: a pool that hides which
//! connection carried what cannot tell the two faults apart.

mod body;
mod fault;
mod connection;
mod connections;

pub use body::Body;
pub use connections::{Answer, Connections, Options, Ready, Request};
pub use fault::Fault;
