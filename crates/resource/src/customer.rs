//! Customers.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// A customer with its API keys and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// API keys by name.
    pub keys: BTreeMap<Arc<str>, Key>,
    /// Weight in fair queueing against other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit of concurrent requests on one box.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
}

/// A stored API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// SHA-256 of the secret, in hexadecimal.
    pub sha256: String,
    /// Budget that is charged for calls with this key.
    pub budget: Arc<str>,
}

fn default_weight() -> u32 {
    1
}

fn default_max_in_flight() -> u32 {
    1_000
}

impl Customer {
    /// Returns the values that are out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut require = |is_valid: bool, path: String, allowed: &str| {
            if !is_valid {
                violations.push(Violation::new(path, allowed));
            }
        };
        require((1..=1_000).contains(&self.weight), "weight".into(), "between 1 and 1000");
        require(
            (1..=100_000).contains(&self.max_in_flight),
            "max_in_flight".into(),
            "between 1 and 100000",
        );
        for (name, key) in &self.keys {
            let is_hex = key.sha256.len() == 64
                && key.sha256.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
            require(is_hex, format!("keys.{name}.sha256"), "64 lower-case hexadecimal digits");
            require(is_name(name), format!("keys.{name}"), "a name");
            require(is_name(&key.budget), format!("keys.{name}.budget"), "the name of a budget");
        }
        violations
    }
}
