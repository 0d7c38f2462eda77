//! The name of one start of a process, never reused.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Box name and a random suffix, as in `bornova-1.00005f3a9c01d2e4`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(Arc<str>);

impl Incarnation {
    /// Returns a new incarnation of a box; `fresh` must be random.
    pub fn new(box_name: &str, fresh: u64) -> Incarnation {
        Incarnation(format!("{box_name}.{fresh:016x}").into())
    }

    pub fn box_name(&self) -> &str {
        self.0.rsplit_once('.').map_or(&self.0, |(name, _)| name)
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Incarnation {
    fn from(name: &str) -> Incarnation {
        Incarnation(name.into())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
