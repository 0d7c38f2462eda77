//! Failures to get a response; each states whether the request may have run.

use snafu::Snafu;

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// No byte of the request was sent: it has not run.
    #[snafu(display("not sent: {reason}"))]
    Unsent { reason: String },
    /// All connections allowed to the address are in use: the request has not run.
    #[snafu(display("not sent: all {max} connections are in use"))]
    Full { max: usize },
    /// The request was sent, at least in part: it may have run.
    #[snafu(display("no response: {reason}"))]
    Unknown { reason: String },
}

impl Fault {
    /// Whether the request is known not to have reached the endpoint.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Fault::Unknown { .. })
    }
}
