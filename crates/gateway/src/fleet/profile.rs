//! What the choice of boxes for a role knows of each box.

use std::{collections::BTreeMap, sync::Arc};

use ledger::Incarnation;

/// A box as the choice of keepers and watchers sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its capacity; boxes with more are preferred.
    pub capacity: u64,
}

/// Orders the first box of each zone, then the second of each, and so on.
pub fn interleave_zones(profiles: Vec<&Profile>) -> Vec<&Profile> {
    let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &Profile)> = Vec::with_capacity(profiles.len());
    for profile in profiles {
        let round = counts.entry(&profile.zone).or_default();
        ranked.push((*round, profile));
        *round += 1;
    }
    ranked.sort_by_key(|(round, _)| *round);
    ranked.into_iter().map(|(_, profile)| profile).collect()
}
