//! Which availability zones are to get no more work, as the operator says.
//!
//! There are few of them, so all are told of together, with a version of the store at which it was just
//! these: what is newer takes the place of what is older, wherever it was heard. They do not lapse while the
//! store is away; only the operator takes one back.

use std::{collections::BTreeSet, sync::Arc};

use objects::Change;

/// Names of availability zones.
pub type Zones = BTreeSet<Arc<str>>;

/// Zones that are to get no more work, and since which version of the store it is these.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: Zones,
    /// `None` until the store was read, or another box told.
    at: Option<u64>,
}

impl Evacuations {
    /// Takes over which zones it was at a version of the store; says whether that is newer than what is known.
    pub fn replace(&mut self, zones: Zones, at: u64) -> bool {
        let is_newer = self.at.is_none_or(|known| known < at);
        if is_newer {
            self.zones = zones;
            self.at = Some(at);
        }
        is_newer
    }

    /// Takes over changes, the oldest first; says whether any is newer than what is known.
    pub fn change(&mut self, changes: &[Change]) -> bool {
        let known = self.at.unwrap_or_default();
        let newer: Vec<&Change> = changes.iter().filter(|change| change.version > known).collect();
        for change in &newer {
            match change.value {
                Some(_) => self.zones.insert(change.name.clone()),
                None => self.zones.remove(&change.name),
            };
            self.at = Some(change.version);
        }
        !newer.is_empty()
    }

    /// The zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Version of the store at which it was these; 0 while nothing is known.
    pub fn at(&self) -> u64 {
        self.at.unwrap_or_default()
    }
}
