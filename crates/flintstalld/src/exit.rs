//! Exit codes of the daemon.

use std::process::ExitCode;

/// How the daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// It stopped by plan, or the check passed.
    Success = 0,
    /// It could not start or go on.
    Failure = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
