//! Byte streams from one box through another to an address that only the other one reaches.
//!
//! A tunnel is one `h2` stream, opened with `CONNECT`. The box at its far end opens the connection and passes bytes on
//! unchanged in both directions; it never opens a tunnel itself, so there is one hop and no more. A stream that is dropped is
//! reset, and the far end closes its connection at once; a connection that breaks resets the stream.

mod client;
mod server;
mod stream;

pub use client::Client;
pub use server::{Exit, serve};
pub use stream::Stream;

use http::StatusCode;
use snafu::Snafu;

/// Header that names the box that asks for a tunnel.
const FROM: &str = "x-flintstall-box";

/// Why a tunnel was not opened; no byte has reached the address.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The port is closed, as the other box sees it.
    #[snafu(display("the port is closed"))]
    Closed,
    /// The other box does not reach the address.
    #[snafu(display("the other box does not reach the address"))]
    Unreachable,
    /// The other box opens no tunnel to this address, or none at present.
    #[snafu(display("the other box opens no tunnel"))]
    Declined,
    /// The other box did not answer.
    #[snafu(display("the other box did not answer: {reason}"))]
    Silent { reason: String },
}

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::Closed => StatusCode::BAD_GATEWAY,
            Refusal::Unreachable => StatusCode::GATEWAY_TIMEOUT,
            Refusal::Declined | Refusal::Silent { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn of_status(status: StatusCode) -> Refusal {
        match status {
            StatusCode::BAD_GATEWAY => Refusal::Closed,
            StatusCode::GATEWAY_TIMEOUT => Refusal::Unreachable,
            _ => Refusal::Declined,
        }
    }
}
