//! Why a request got no answer, and whether it can have run.

use snafu::Snafu;

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// Nothing of the request left this process: it has not run.
    #[snafu(display("not sent: {reason}"))]
    Unsent { reason: String },
    /// All connections that this box may hold to the address are in use: it has not run.
    #[snafu(display("not sent: all {most} connections are in use"))]
    Full { most: usize },
    /// It was sent, at least in part: it may have run.
    #[snafu(display("no answer: {reason}"))]
    Unknown { reason: String },
}

impl Fault {
    /// Whether the request certainly did not reach the endpoint.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Fault::Unknown { .. })
    }
}
