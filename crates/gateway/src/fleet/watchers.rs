//! Choice of the boxes that watch the store on behalf of all others.
//!
//! There is one watcher for each [`SERVED`] boxes and at least two, so that subscribers survive the
//! loss of one without a call to the store. Rendezvous hashing chooses among boxes with at least
//! half of the largest capacity; it uses another key than the choice of keepers, which have enough
//! to do. Watchers are spread over availability zones, since subscribers prefer one in their own
//! zone and traffic between zones costs money. As many boxes again are on standby: they start to
//! watch when a subscriber asks them, which it does when the watchers are silent.
//!
//! Boxes that know the same fleet choose the same watchers. Where their views differ, more boxes
//! watch, which only costs calls.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use ledger::Incarnation;

use crate::fleet::keepers::Profile;

/// Boxes per watcher. Each subscriber asks twice a second; 100 small answers per second take one
/// percent of a 10 Mbit/s link.
const SERVED: usize = 50;
/// Minimum number of watchers.
const LEAST: usize = 2;
/// Key of the rendezvous hash.
const WORD: &str = "news";

/// Watchers, in the order in which one box asks them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watchers {
    /// Boxes that watch the store.
    pub first: Vec<Incarnation>,
    /// Boxes that start to watch when they are asked.
    pub standby: Vec<Incarnation>,
}

impl Watchers {
    /// All watchers, then those on standby.
    pub fn all(&self) -> impl Iterator<Item = &Incarnation> {
        self.first.iter().chain(&self.standby)
    }

    /// Whether a box watches the store without being asked.
    pub fn is_active(&self, name: &Incarnation) -> bool {
        self.first.contains(name)
    }
}

/// Chooses the watchers of a fleet, in the order of preference of one of its boxes.
pub fn watchers(me: &Profile, others: &[Profile]) -> Watchers {
    let fleet = || others.iter().chain([me]);
    let strongest = fleet().map(|profile| profile.strength).max().unwrap_or_default();
    let mut able: Vec<&Profile> =
        fleet().filter(|profile| profile.strength * 2 >= strongest).collect();
    able.sort_by_key(|profile| {
        (Reverse(member::weight(WORD, profile.name.box_name())), &profile.name)
    });
    let able = over_zones(able);
    let count = (others.len() + 1).div_ceil(SERVED).max(LEAST).min(able.len());
    let (first, rest) = able.split_at(count);
    let near = |mut places: Vec<&Profile>| -> Vec<Incarnation> {
        places.sort_by_key(|profile| Reverse(nearness(me, profile)));
        places.into_iter().map(|profile| profile.name.clone()).collect()
    };
    let standby = &rest[..count.min(rest.len())];
    Watchers { first: near(first.to_vec()), standby: near(standby.to_vec()) }
}

/// Orders the first box of each zone, then the second of each, and so on.
fn over_zones(places: Vec<&Profile>) -> Vec<&Profile> {
    let mut seen: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, &Profile)> = Vec::with_capacity(places.len());
    for profile in places {
        let turn = seen.entry(&profile.zone).or_default();
        turns.push((*turn, profile));
        *turn += 1;
    }
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, profile)| profile).collect()
}

/// Preference for a watcher: those in the same availability zone first, and otherwise an order that
/// differs between boxes, so that watchers share the subscribers.
fn nearness(me: &Profile, home: &Profile) -> (bool, u64, Arc<str>) {
    let name = home.name.box_name();
    (home.zone == me.zone, member::weight(me.name.box_name(), name), name.into())
}
