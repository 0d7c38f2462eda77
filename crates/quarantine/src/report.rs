//! What boxes report to each other about requests and crashed endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Prompt};

/// Kind of the store objects that hold reports. Each report has a unique name.
pub const CRASHES: &str = "crashes";

/// A finding about some requests. It never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub finding: Finding,
    /// The requests that it is about.
    pub requests: Vec<Fingerprint>,
    /// Their prompts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub prompts: Vec<Prompt>,
    /// Parts of their prompts that are not accused, as they were answered until then.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub excused: Vec<Prompt>,
    /// Unix time in seconds of the box that found it.
    pub at_s: u64,
}

impl Report {
    /// Whether it is kept in the store. What a complete answer says of parts is said again by the next one.
    pub fn is_stored(&self) -> bool {
        !matches!(self.finding, Finding::Harmless { .. })
    }
}

/// What a box found about requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// This instance of an endpoint crashed while it had them.
    Ended { endpoint: Arc<str> },
    /// An endpoint answered them completely.
    Answered,
    /// An endpoint answered a prompt completely after these ones crashed: its parts are not to blame.
    Harmless { endpoints: Vec<Arc<str>> },
}
