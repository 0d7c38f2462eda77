//! Exit codes of the client.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// It did what was asked.
    Success = 0,
    /// It could not, or what must hold does not.
    Failure = 1,
    /// The command line or a file is wrong.
    Usage = 2,
    /// Another operator's write came first.
    Conflict = 3,
    /// The platform did not answer.
    Unreachable = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
