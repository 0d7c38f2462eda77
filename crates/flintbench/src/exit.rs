//! Exit codes of the experiment tool.

use std::process::ExitCode;

/// How an experiment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Everything that must always hold held.
    Success = 0,
    /// Something that must always hold was broken.
    Broken = 1,
    /// The command line is wrong.
    Usage = 2,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
