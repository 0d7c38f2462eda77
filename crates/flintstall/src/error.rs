//! Errors of commands and their exit codes.

use std::path::PathBuf;

use snafu::Snafu;

use crate::exit::Code;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No command was given.
    #[snafu(display("a command is required; `flintstall --help` lists them"))]
    NoCommand,
    /// The platform's address is missing.
    #[snafu(display("`--platform http://ADDRESS:PORT` or FLINTSTALL_PLATFORM is required"))]
    NoPlatform,
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    /// A resource file is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidFile { path: PathBuf, source: resource::Error },
    /// A kind on the command line is unknown.
    #[snafu(display("{reason}"))]
    UnknownKind { reason: String },
    /// The resource does not exist.
    #[snafu(display("there is no {kind} `{name}`"))]
    Missing { kind: String, name: String },
    /// The resource was changed after it was read.
    #[snafu(display("{kind} `{name}` was changed concurrently; read it again and retry"))]
    Conflict { kind: String, name: String },
    /// A call to the platform failed.
    #[snafu(display("{source}"))]
    Platform { source: objects::Error },
    /// No answer to a write or deletion arrived, so it may have taken effect or not.
    #[snafu(display(
        "it is unknown whether the change of {kind} `{name}` took effect; read it again"
    ))]
    InDoubt { kind: String, name: String },
    /// A stored object cannot be decoded.
    #[snafu(display("cannot decode a stored object: {reason}"))]
    Decode { reason: String },
    /// The runtime did not start.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
}

impl Error {
    /// The exit code for this error.
    pub fn code(&self) -> Code {
        match self {
            Error::NoCommand
            | Error::NoPlatform
            | Error::File { .. }
            | Error::InvalidFile { .. }
            | Error::UnknownKind { .. } => Code::Usage,
            Error::Missing { .. } | Error::Decode { .. } | Error::Runtime { .. } => Code::Failure,
            Error::Conflict { .. } => Code::Conflict,
            Error::Platform { .. } | Error::InDoubt { .. } => Code::Unreachable,
        }
    }
}
