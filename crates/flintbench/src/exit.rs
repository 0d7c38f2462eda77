//! Exit codes of the experiment tool.

use std::process::ExitCode;

/// Result of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// All invariants held.
    Success = 0,
    /// An invariant was violated.
    InvariantViolated = 1,
    /// The command line or an input file is invalid.
    Usage = 2,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
