//! Why commands fail, and the exit code of each reason.

use std::path::PathBuf;

use snafu::Snafu;

use crate::exit::Code;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No command was given.
    #[snafu(display("a command is needed; `flintstall --help` lists them"))]
    NoCommand,
    /// Nobody said where the platform is.
    #[snafu(display("where is the platform? give `--platform http://ADDRESS:PORT`"))]
    NoPlatform,
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    /// A file is wrong.
    #[snafu(display("{}: {source}", path.display()))]
    Content { path: PathBuf, source: resource::Error },
    /// A kind or name is wrong.
    #[snafu(display("{reason}"))]
    Word { reason: String },
    /// The resource does not exist.
    #[snafu(display("there is no {kind} `{name}`"))]
    Missing { kind: String, name: String },
    /// Another write came first.
    #[snafu(display("{kind} `{name}` was changed by someone else meanwhile; look at it again"))]
    Conflict { kind: String, name: String },
    /// The platform did not answer.
    #[snafu(display("{source}"))]
    Platform { source: objects::Error },
    /// A write's answer was lost.
    #[snafu(display("it is not known whether {kind} `{name}` was written; read it again"))]
    InDoubt { kind: String, name: String },
    /// A stored object was not understood.
    #[snafu(display("a stored object was not understood: {reason}"))]
    Stored { reason: String },
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
            | Error::Content { .. }
            | Error::Word { .. } => Code::Usage,
            Error::Missing { .. } | Error::Stored { .. } | Error::Runtime { .. } => Code::Failure,
            Error::Conflict { .. } => Code::Conflict,
            Error::Platform { .. } | Error::InDoubt { .. } => Code::Unreachable,
        }
    }
}
