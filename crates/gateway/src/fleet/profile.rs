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
    interleave(profiles, |profile| &profile.zone)
}

/// Orders the first element of each group, then the second of each, and so on.
pub fn interleave<T>(elements: Vec<&T>, group: fn(&T) -> &Arc<str>) -> Vec<&T> {
    let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &T)> = Vec::with_capacity(elements.len());
    for element in elements {
        let round = counts.entry(group(element)).or_default();
        ranked.push((*round, element));
        *round += 1;
    }
    ranked.sort_by_key(|(round, _)| *round);
    ranked.into_iter().map(|(_, element)| element).collect()
}
