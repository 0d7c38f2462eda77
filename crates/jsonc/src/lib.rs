//! Reads JSON with comments into typed values. Errors name the key and its line.

mod error;
mod line_index;

pub use error::{Error, Violation};
pub use line_index::LineIndex;

use serde::de::DeserializeOwned;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// Parses JSON with comments and decodes it into a `T`.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<(T, LineIndex), Error> {
    let (value, lines) = parse(text)?;
    let typed = decode(value, &lines, "")?;
    Ok((typed, lines))
}

/// Parses JSON with comments into an untyped value and the lines of its keys.
pub fn parse(text: &str) -> Result<(serde_json::Value, LineIndex), Error> {
    if text.len() > MAX_FILE_BYTES {
        return Err(Error::TooLarge { bytes: text.len() });
    }
    let lines = LineIndex::new(text)?;
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &parse_options())
        .map_err(|error| Error::Syntax { line: error.line_display(), reason: error.to_string() })?;
    Ok((value, lines))
}

/// Decodes `value`, the part of a parsed file that is found at `path`.
pub fn decode<T: DeserializeOwned>(
    value: serde_json::Value,
    lines: &LineIndex,
    path: &str,
) -> Result<T, Error> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let inner = error.path().to_string();
        let full_path = join(path, if inner == "." { "" } else { &inner });
        Error::Key {
            line: lines.line(&full_path),
            reason: error.inner().to_string(),
            path: full_path,
        }
    })
}

/// Joins two key paths.
pub fn join(path: &str, inner: &str) -> String {
    match (path.is_empty(), inner.is_empty()) {
        (true, _) => inner.to_owned(),
        (_, true) => path.to_owned(),
        (false, false) => format!("{path}.{inner}"),
    }
}

pub(crate) fn parse_options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        ..Default::default()
    }
}
