//! What can go wrong between boxes.

use snafu::Snafu;

/// Why a question to a peer got no answer, or a message was not understood.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The peer speaks a format that this box does not know.
    #[snafu(display(
        "format {format} is not between {} and {}",
        crate::OLDEST_FORMAT,
        crate::NEWEST_FORMAT
    ))]
    Format { format: u16 },
    /// The message is larger than any of ours.
    #[snafu(display("a message of {bytes} bytes is larger than {}", crate::MAX_MESSAGE_BYTES))]
    TooLarge { bytes: usize },
    /// The message ends too early or is not one of ours.
    #[snafu(display("the message was not understood: {reason}"))]
    Malformed { reason: String },
    /// No connection, or it broke.
    #[snafu(display("the peer is out of reach: {reason}"))]
    Unreachable { reason: String },
    /// No answer in time.
    #[snafu(display("the peer did not answer in time"))]
    Timeout,
}
