//! What can be wrong with a file.

use snafu::Snafu;

/// Why a file was refused. Lines count from 1.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Larger than any file of ours.
    #[snafu(display("the file has {bytes} bytes, more than the {} allowed", crate::MAX_BYTES))]
    TooLarge { bytes: usize },
    /// Not JSON with comments.
    #[snafu(display("line {line}: {reason}"))]
    Syntax { line: usize, reason: String },
    /// An unknown key, a missing one, or a value of the wrong type.
    #[snafu(display("line {line}: `{path}`: {reason}"))]
    Key { path: String, line: usize, reason: String },
}

/// A value out of its range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Path of the key.
    pub path: String,
    /// What is allowed, as the end of "must be …".
    pub allowed: String,
}

impl Violation {
    /// A violation at `path`.
    pub fn new(path: impl Into<String>, allowed: impl Into<String>) -> Violation {
        Violation { path: path.into(), allowed: allowed.into() }
    }

    /// The error that names the line.
    pub fn error(&self, lines: &crate::Lines) -> Error {
        Error::Key {
            line: lines.line(&self.path),
            path: self.path.clone(),
            reason: format!("must be {}", self.allowed),
        }
    }
}
