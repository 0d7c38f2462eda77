//! The gate between what operators write and what boxes obey.

use std::sync::Arc;

use resource::{Kind, Spec};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// An accepted spec with the version of the source that it was copied from.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Accepted {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name of the resource.
    pub name: Arc<str>,
    /// Version of the operator's object; only a newer one replaces it.
    pub source: u64,
    /// The spec, or nothing once the operator deleted it.
    pub spec: Option<Box<RawValue>>,
}

impl Accepted {
    /// An accepted deletion, at the version that deleted.
    pub fn deleted(kind: Kind, name: &str, source: u64) -> Accepted {
        Accepted { kind, name: name.into(), source, spec: None }
    }

    /// The decoded spec, `None` once deleted.
    pub fn decode(&self) -> Result<Option<Spec>, jsonc::Error> {
        let spec = self.spec.as_ref();
        spec.map(|raw| Spec::from_json(self.kind, raw.get())).transpose()
    }

    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("accepted objects always serialize")
    }
}

/// What the gate decided about a source.
#[derive(Debug)]
pub enum Verdict {
    /// Write this accepted object.
    Accept(Accepted),
    /// The accepted object is as new already.
    Keep,
    /// The last accepted spec stays in force; the reason goes to status.
    Invalid { reason: String },
}

/// Name of the accepted object of a resource.
pub fn object_name(kind: Kind, name: &str) -> String {
    format!("{kind}.{name}")
}

/// Decides whether a source at `version` replaces what was accepted from version `accepted`.
pub fn validate(
    kind: Kind,
    name: &str,
    version: u64,
    value: Option<&str>,
    accepted: Option<u64>,
) -> Verdict {
    if accepted.is_some_and(|accepted| accepted >= version) {
        return Verdict::Keep;
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
