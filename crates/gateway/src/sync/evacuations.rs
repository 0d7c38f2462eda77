//! Availability zones that the operator evacuates: they get no more work.
//!
//! There are few, so all are published together, with the store version at which exactly these were
//! evacuated; a newer version replaces an older one, whatever its source. Evacuations do not expire
//! while the store is unreachable; only the operator ends them.

use std::{collections::BTreeSet, sync::Arc};

use objects::Change;

/// Names of availability zones.
pub type Zones = BTreeSet<Arc<str>>;

/// Evacuated zones, and the store version at which they were read.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: Zones,
    /// `None` until read from the store or received from another box.
    at: Option<u64>,
}

impl Evacuations {
    /// Takes over the zones evacuated at a store version; returns whether that is newer than what
    /// is known.
    pub fn replace(&mut self, zones: Zones, at: u64) -> bool {
        let is_newer = self.at.is_none_or(|known| known < at);
        if is_newer {
            self.zones = zones;
            self.at = Some(at);
        }
        is_newer
    }

    /// Applies changes, oldest first; returns whether any is newer than what is known.
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

    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Store version at which these zones were evacuated; 0 while nothing is known.
    pub fn at(&self) -> u64 {
        self.at.unwrap_or_default()
    }
}
