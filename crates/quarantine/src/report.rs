//! What a box tells the others of requests and endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Kind of the objects that hold reports, by names that no two reports share.
pub const CRASHES: &str = "crashes";

/// What became of some requests. It never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What was found.
    pub finding: Finding,
    /// Which requests it is about.
    pub requests: Vec<Fingerprint>,
    /// Unix second of the box that found it.
    pub at_s: u64,
}

/// What a box found of requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// This life of an endpoint ended while it had them.
    Ended { endpoint: Arc<str> },
    /// An endpoint answered them whole.
    Answered,
}
