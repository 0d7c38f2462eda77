//! The two forms of output.

use std::str::FromStr;

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Tables for people.
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
            _ => Err(format!("`{text}` is not a form of output; use `table` or `json`")),
        }
    }
}
