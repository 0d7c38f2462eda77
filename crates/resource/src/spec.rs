//! The spec of a resource of any kind.

use serde::Serialize;

use crate::{Budget, Customer, Destroyed, Kind, Pool, Route, Violation};

/// The spec of a resource; untagged, because the kind is stored next to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Spec {
    /// See [`Customer`].
    Customer(Customer),
    /// See [`Budget`].
    Budget(Budget),
    /// See [`Route`].
    Route(Route),
    /// See [`Pool`].
    Pool(Pool),
    /// See [`Destroyed`].
    Destroyed(Destroyed),
}

impl Spec {
    /// Decodes the spec of a resource of `kind`, found at `path` in a file.
    pub fn decode(
        kind: Kind,
        value: serde_json::Value,
        lines: &jsonc::LineIndex,
        path: &str,
    ) -> Result<Spec, jsonc::Error> {
        Ok(match kind {
            Kind::Customer => Spec::Customer(jsonc::decode(value, lines, path)?),
            Kind::Budget => Spec::Budget(jsonc::decode(value, lines, path)?),
            Kind::Route => Spec::Route(jsonc::decode(value, lines, path)?),
            Kind::Pool => Spec::Pool(jsonc::decode(value, lines, path)?),
            Kind::Destroyed => Spec::Destroyed(jsonc::decode(value, lines, path)?),
        })
    }

    /// Reads and validates a spec from the JSON text in the platform's store.
    pub fn from_json(kind: Kind, text: &str) -> Result<Spec, jsonc::Error> {
        let (value, lines) = jsonc::parse(text)?;
        let spec = Spec::decode(kind, value, &lines, "")?;
        match spec.check().first() {
            Some(violation) => Err(violation.to_error(&lines)),
            None => Ok(spec),
        }
    }

    pub fn kind(&self) -> Kind {
        match self {
            Spec::Customer(_) => Kind::Customer,
            Spec::Budget(_) => Kind::Budget,
            Spec::Route(_) => Kind::Route,
            Spec::Pool(_) => Kind::Pool,
            Spec::Destroyed(_) => Kind::Destroyed,
        }
    }

    /// Returns the values that are out of range.
    pub fn check(&self) -> Vec<Violation> {
        match self {
            Spec::Customer(spec) => spec.check(),
            Spec::Budget(spec) => spec.check(),
            Spec::Route(spec) => spec.check(),
            Spec::Pool(spec) => spec.check(),
            Spec::Destroyed(spec) => spec.check(),
        }
    }

    /// JSON text for the platform's store.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("specs always serialize")
    }
}
