//! Errors in a file.

use snafu::Snafu;

/// Why a file was rejected. Lines count from 1.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The file exceeds [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES).
    #[snafu(display(
        "the file has {bytes} bytes, more than the {} allowed",
        crate::MAX_FILE_BYTES
    ))]
    TooLarge { bytes: usize },
    /// The text is not JSON with comments.
    #[snafu(display("line {line}: {reason}"))]
    Syntax { line: usize, reason: String },
    /// An unknown or missing key, a value of the wrong type or out of range.
    #[snafu(display("line {line}: `{path}`: {reason}"))]
    Key { path: String, line: usize, reason: String },
}

/// A value that is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Path of the key.
    pub path: String,
    /// What is allowed, worded to follow "must be".
    pub allowed: String,
}

impl Violation {
    pub fn new(path: impl Into<String>, allowed: impl Into<String>) -> Violation {
        Violation { path: path.into(), allowed: allowed.into() }
    }

    /// Converts it to an error with the line of the key.
    pub fn to_error(&self, lines: &crate::LineIndex) -> Error {
        Error::Key {
            line: lines.line(&self.path),
            path: self.path.clone(),
            reason: format!("must be {}", self.allowed),
        }
    }
}
