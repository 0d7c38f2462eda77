//! Choice of the boxes that watch the store on behalf of all others.
//!
//! There is one watcher for each [`BOXES_PER_WATCHER`] boxes and at least two, so that subscribers
//! survive the loss of one without a call to the store. Rendezvous hashing chooses among boxes with
//! at least half of the largest capacity; it uses another key than the choice of keepers, which
//! have enough to do. Watchers are spread over availability zones, since subscribers prefer one in
//! their own zone and traffic between zones costs money. As many boxes again are on standby: they
//! start to watch when a subscriber asks them, which it does when the watchers are silent.
//!
//! Boxes that know the same fleet choose the same watchers. Where their views differ, more boxes
//! watch, which only costs calls.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use ledger::Incarnation;

use crate::fleet::keepers::Profile;

/// Boxes per watcher. Each subscriber asks twice a second; 100 small answers per second take one
/// percent of a 10 Mbit/s link.
const BOXES_PER_WATCHER: usize = 50;
/// Minimum number of watchers.
const MIN_WATCHERS: usize = 2;
/// Key of the rendezvous hash.
const HASH_KEY: &str = "news";

/// Watchers, in the order in which one box asks them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watchers {
    /// Boxes that watch the store.
    pub active: Vec<Incarnation>,
    /// Boxes that start to watch when they are asked.
    pub standby: Vec<Incarnation>,
}

impl Watchers {
    /// All watchers, then those on standby.
    pub fn all(&self) -> impl Iterator<Item = &Incarnation> {
        self.active.iter().chain(&self.standby)
    }

    /// Whether a box watches the store without being asked.
    pub fn is_active(&self, name: &Incarnation) -> bool {
        self.active.contains(name)
    }
}

/// Chooses the watchers of a fleet, in the order of preference of one of its boxes.
pub fn watchers(me: &Profile, others: &[Profile]) -> Watchers {
    let fleet = || others.iter().chain([me]);
    let largest = fleet().map(|profile| profile.capacity).max().unwrap_or_default();
    let mut eligible: Vec<&Profile> =
        fleet().filter(|profile| profile.capacity * 2 >= largest).collect();
    eligible.sort_by_key(|profile| {
        (Reverse(member::weight(HASH_KEY, profile.incarnation.box_name())), &profile.incarnation)
    });
    let eligible = interleave_zones(eligible);
    let count =
        (others.len() + 1).div_ceil(BOXES_PER_WATCHER).max(MIN_WATCHERS).min(eligible.len());
    let (first, rest) = eligible.split_at(count);
    let preferred = |mut profiles: Vec<&Profile>| -> Vec<Incarnation> {
        profiles.sort_by_key(|profile| Reverse(preference(me, profile)));
        profiles.into_iter().map(|profile| profile.incarnation.clone()).collect()
    };
    let standby = &rest[..count.min(rest.len())];
    Watchers { active: preferred(first.to_vec()), standby: preferred(standby.to_vec()) }
}

/// Orders the first box of each zone, then the second of each, and so on.
fn interleave_zones(profiles: Vec<&Profile>) -> Vec<&Profile> {
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

/// Preference for a watcher: those in the same availability zone first, and otherwise an order that
/// differs between boxes, so that watchers share the subscribers.
fn preference(me: &Profile, watcher: &Profile) -> (bool, u64, Arc<str>) {
    let name = watcher.incarnation.box_name();
    (watcher.zone == me.zone, member::weight(me.incarnation.box_name(), name), name.into())
}
