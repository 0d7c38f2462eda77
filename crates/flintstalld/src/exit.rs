//! Exit codes of the daemon.

use std::process::ExitCode;

/// Exit code of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Graceful shutdown, or valid settings with `--check`.
    Success = 0,
    /// The daemon could not start.
    Failure = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
