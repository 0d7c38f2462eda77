//! Errors of the protocol between boxes.

use snafu::Snafu;

/// Why a request to a peer got no answer, or a message could not be decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The peer uses a format that this box does not support.
    #[snafu(display(
        "format {format} is not between {} and {}",
        crate::OLDEST_FORMAT,
        crate::NEWEST_FORMAT
    ))]
    Format { format: u16 },
    /// The message exceeds [`MAX_MESSAGE_BYTES`](crate::MAX_MESSAGE_BYTES).
    #[snafu(display("a message of {bytes} bytes is larger than {}", crate::MAX_MESSAGE_BYTES))]
    TooLarge { bytes: usize },
    /// The message is truncated, has trailing bytes, or is not a known frame.
    #[snafu(display("malformed message: {reason}"))]
    Malformed { reason: String },
    /// The connection failed or could not be opened.
    #[snafu(display("peer unreachable: {reason}"))]
    Unreachable { reason: String },
    #[snafu(display("the peer did not answer in time"))]
    Timeout,
}
