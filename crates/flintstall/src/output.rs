//! Output formats.

use std::str::FromStr;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Aligned text for people.
    Table,
    /// JSON for programs.
    Json,
}

impl FromStr for Form {
    type Err = String;

    fn from_str(text: &str) -> Result<Form, String> {
        match text {
            "table" => Ok(Form::Table),
            "json" => Ok(Form::Json),
            _ => Err(format!("`{text}` is not an output format; use `table` or `json`")),
        }
    }
}
