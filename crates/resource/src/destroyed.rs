//! An operator's declaration that an incarnation is gone for good.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Violation;

/// Declares that an incarnation will never spend its offline tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destroyed {
    /// Full name of the incarnation, as `flintstall statement` shows it.
    pub incarnation: Arc<str>,
    /// Who declares it and why; only stored.
    pub reason: String,
}

impl Destroyed {
    /// Returns the values that are out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        if !self.incarnation.contains('.') || self.incarnation.len() > 128 {
            violations.push(Violation::new("incarnation", "a box name, a dot and a suffix"));
        }
        if self.reason.trim().is_empty() {
            violations.push(Violation::new("reason", "a few words"));
        }
        violations
    }
}
