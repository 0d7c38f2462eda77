//! Resource files: JSON with comments that holds one resource or an array of them.

use std::sync::Arc;

use snafu::{ResultExt, Snafu};

use crate::{Kind, Spec, Violation, check_name};

/// A resource as read from a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name within the kind.
    pub name: Arc<str>,
    /// Spec of that kind.
    pub spec: Spec,
}

/// Why a file was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Invalid syntax, an unknown or missing key, a wrong type or a value out of range.
    #[snafu(display("{source}"))]
    Invalid { source: jsonc::Error },
    /// Neither an object nor an array of objects.
    #[snafu(display("line 1: a resource or an array of resources is expected"))]
    NotResources,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    kind: String,
    name: String,
    spec: serde_json::Value,
}

/// Reads all resources of a file; the first error rejects the whole file.
pub fn read(text: &str) -> Result<Vec<Document>, Error> {
    let (value, lines) = jsonc::parse(text).context(InvalidSnafu)?;
    match value {
        serde_json::Value::Array(items) => items
            .into_iter()
            .enumerate()
            .map(|(index, item)| document(item, &lines, &format!("[{index}]")))
            .collect(),
        object @ serde_json::Value::Object(_) => Ok(vec![document(object, &lines, "")?]),
        _ => Err(Error::NotResources),
    }
}

fn document(
    item: serde_json::Value,
    lines: &jsonc::LineIndex,
    path: &str,
) -> Result<Document, Error> {
    let envelope: Envelope = jsonc::decode(item, lines, path).context(InvalidSnafu)?;
    let key_error = |key: &str, reason: String| {
        let path = jsonc::join(path, key);
        Error::Invalid { source: jsonc::Error::Key { line: lines.line(&path), path, reason } }
    };
    let kind: Kind = envelope.kind.parse().map_err(|reason| key_error("kind", reason))?;
    check_name(&envelope.name).map_err(|reason| key_error("name", reason))?;
    let spec_path = jsonc::join(path, "spec");
    let spec = Spec::decode(kind, envelope.spec, lines, &spec_path).context(InvalidSnafu)?;
    if let Some(violation) = spec.check().into_iter().next() {
        let located = Violation { path: jsonc::join(&spec_path, &violation.path), ..violation };
        return Err(Error::Invalid { source: located.to_error(lines) });
    }
    Ok(Document { kind, name: envelope.name.into(), spec })
}
