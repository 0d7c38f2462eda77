//! Validates operators' objects and decides which become accepted objects.

use std::sync::Arc;

use resource::{Kind, Spec};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A valid spec with the version of the operator's object (the source) that it was copied from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Accepted {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: Arc<str>,
    /// Version of the source; only a newer one replaces it.
    pub source: u64,
    /// The spec, `None` if the operator deleted the source.
    pub spec: Option<Box<RawValue>>,
}

impl Accepted {
    /// An accepted deletion; `source` is the version of the deletion.
    pub fn deleted(kind: Kind, name: &str, source: u64) -> Accepted {
        Accepted { kind, name: name.into(), source, spec: None }
    }

    /// Decodes the spec; `None` if deleted.
    pub fn decode(&self) -> Result<Option<Spec>, jsonc::Error> {
        let spec = self.spec.as_ref();
        spec.map(|raw| Spec::from_json(self.kind, raw.get())).transpose()
    }

    /// JSON text as stored in the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("accepted objects always serialize")
    }
}

/// Whether a source is accepted.
#[derive(Debug)]
pub enum Verdict {
    /// Write this accepted object.
    Accept(Accepted),
    /// The accepted object is already as new.
    UpToDate,
    /// The source is invalid: the last accepted spec stays, and the reason is reported in `status`.
    Invalid { reason: String },
}

/// Name of a resource's accepted object.
pub fn object_name(kind: Kind, name: &str) -> String {
    format!("{kind}.{name}")
}

/// Validates a source at `version` and decides whether it replaces the object accepted from source
/// version `accepted`. A `value` of `None` is a deletion.
pub fn validate(
    kind: Kind,
    name: &str,
    version: u64,
    value: Option<&str>,
    accepted: Option<u64>,
) -> Verdict {
    if accepted.is_some_and(|accepted| accepted >= version) {
        return Verdict::UpToDate;
    }
    let Some(text) = value else {
        return Verdict::Accept(Accepted::deleted(kind, name, version));
    };
    match Spec::from_json(kind, text) {
        Err(error) => Verdict::Invalid { reason: error.to_string() },
        Ok(spec) => {
            let raw = RawValue::from_string(spec.to_json()).expect("specs are JSON");
            let accepted = Accepted { kind, name: name.into(), source: version, spec: Some(raw) };
            Verdict::Accept(accepted)
        }
    }
}
