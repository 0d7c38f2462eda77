//! Reads the input of commands: kinds, files and stored objects.

use std::{io::Read, path::Path};

use resource::Kind;
use snafu::ResultExt;

use crate::error::{Error, FileSnafu};

/// Parses a kind from the command line.
pub fn parse_kind(text: &str) -> Result<Kind, Error> {
    text.parse().map_err(|reason| Error::UnknownKind { reason })
}

/// Decodes the JSON value of a stored object.
pub fn parse_object<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|error| Error::Decode { reason: error.to_string() })
}

/// Reads a file, or standard input for `-`.
pub fn read_text(path: &Path) -> Result<String, Error> {
    let context = FileSnafu { path };
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).context(context)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).context(context)
}
