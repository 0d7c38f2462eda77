//! Exit codes of the client.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// The command failed, or an audit has findings.
    Failure = 1,
    /// The command line or a file is invalid.
    Usage = 2,
    /// The resource was changed concurrently.
    Conflict = 3,
    /// The platform did not answer, or a write is in doubt.
    Unreachable = 4,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
