//! Choice of the boxes that watch the store on behalf of all others, and of those that relay it.
//!
//! Subscribers have one watcher for each [`BOXES_PER_WATCHER`] boxes, at least two in the fleet and
//! in each region, so that they survive the loss of one without a call to the store. Rendezvous
//! hashing chooses among boxes with at least half of the largest capacity; it uses another key than
//! the choice of keepers, which have enough to do. Watchers are spread over availability zones,
//! since subscribers prefer one in their own zone and traffic between zones costs money.
//!
//! Only the first of the watchers, the roots, watch the store, and the first of all has it confirm
//! what they know (see `sync::confirmer`): a list of all endpoints takes many
//! calls, and between regions the same change would cross a narrow link once for each box. The
//! other ones relay: they subscribe to a root, and to nobody else, so that no two boxes can take
//! outdated updates from each other for new ones.
//!
//! As many boxes again are on standby: they start to watch when a subscriber asks them, which it
//! does when the watchers are silent.
//!
//! Boxes that know the same fleet choose the same watchers. Where their views differ, more boxes
//! watch, which only costs calls.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use ledger::Incarnation;

use crate::fleet::{
    profile::{Profile, interleave_zones},
    regions::Regions,
};

/// Boxes per watcher, and relays per root. Each subscriber asks twice a second; 100 small answers
/// per second take one percent of a 10 Mbit/s link.
const BOXES_PER_WATCHER: usize = 50;
/// Minimum number of watchers, of roots among them, and of watchers in each region.
const MIN_WATCHERS: usize = 2;
/// Key of the rendezvous hash.
const HASH_KEY: &str = "news";

/// Watchers, each list in the order in which one box asks them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watchers {
    /// Boxes that watch the store.
    pub roots: Vec<Incarnation>,
    /// The root that has the store confirm what all know, the same for boxes that know the same fleet.
    pub confirming: Option<Incarnation>,
    /// Boxes that others subscribe to: the roots, and those that relay what a root knows.
    pub active: Vec<Incarnation>,
    /// Boxes that start to watch the store when they are asked.
    pub standby: Vec<Incarnation>,
}

impl Watchers {
    /// All watchers, then those on standby.
    pub fn all(&self) -> impl Iterator<Item = &Incarnation> {
        self.active.iter().chain(&self.standby)
    }

    /// Boxes whose updates reach all others: the roots, and as many that may take their place.
    pub fn sources(&self) -> impl Iterator<Item = &Incarnation> {
        self.roots.iter().chain(self.standby.iter().take(self.roots.len()))
    }

    /// Whether a box watches the store without being asked.
    pub fn is_root(&self, name: &Incarnation) -> bool {
        self.roots.contains(name)
    }

    /// Whether a box relays what a root knows without being asked.
    pub fn is_relay(&self, name: &Incarnation) -> bool {
        self.active.contains(name) && !self.is_root(name)
    }

    /// Whether a box watches the store once it is asked.
    pub fn is_standby(&self, name: &Incarnation) -> bool {
        self.standby.contains(name)
    }
}

/// Chooses the watchers of a fleet, in the order of preference of one of its boxes.
pub fn watchers(me: &Profile, others: &[Profile], regions: &Regions) -> Watchers {
    let fleet: Vec<&Profile> = others.iter().chain([me]).collect();
    let eligible = ranked(&fleet);
    let count = fleet.len().div_ceil(BOXES_PER_WATCHER).max(MIN_WATCHERS).min(eligible.len());
    let roots = count.div_ceil(BOXES_PER_WATCHER).max(MIN_WATCHERS).min(count);
    let (first, rest) = eligible.split_at(count);
    let mut active = first.to_vec();
    active.extend(regional_relays(&fleet, first, regions));
    let standby: Vec<&Profile> =
        rest.iter().filter(|profile| !active.contains(profile)).take(count).copied().collect();
    let preferred = |mut profiles: Vec<&Profile>| -> Vec<Incarnation> {
        profiles.sort_by_cached_key(|profile| Reverse(preference(me, profile, regions)));
        profiles.into_iter().map(|profile| profile.incarnation.clone()).collect()
    };
    Watchers {
        roots: preferred(first[..roots].to_vec()),
        confirming: first.first().map(|profile| profile.incarnation.clone()),
        active: preferred(active),
        standby: preferred(standby),
    }
}

/// The boxes with at least half of the largest capacity, best ones first.
fn ranked<'a>(profiles: &[&'a Profile]) -> Vec<&'a Profile> {
    let largest = profiles.iter().map(|profile| profile.capacity).max().unwrap_or_default();
    let strong = profiles.iter().copied().filter(|profile| profile.capacity * 2 >= largest);
    let mut eligible: Vec<&Profile> = strong.collect();
    eligible.sort_by_cached_key(|profile| {
        (Reverse(member::weight(HASH_KEY, profile.incarnation.box_name())), &profile.incarnation)
    });
    interleave_zones(eligible)
}

/// Relays for the regions that have fewer than [`MIN_WATCHERS`] of the watchers chosen so far.
fn regional_relays<'a>(
    fleet: &[&'a Profile],
    chosen: &[&'a Profile],
    regions: &Regions,
) -> Vec<&'a Profile> {
    let mut by_region: BTreeMap<&Arc<str>, Vec<&'a Profile>> = BTreeMap::new();
    for profile in fleet {
        if let Some(region) = regions.of(&profile.zone) {
            by_region.entry(region).or_default().push(profile);
        }
    }
    let missing = |(region, profiles): (&Arc<str>, Vec<&'a Profile>)| {
        let of_region = |profile: &&&Profile| regions.of(&profile.zone) == Some(region);
        let count = MIN_WATCHERS.saturating_sub(chosen.iter().filter(of_region).count());
        let free = ranked(&profiles).into_iter().filter(|profile| !chosen.contains(profile));
        free.take(count).collect::<Vec<_>>()
    };
    by_region.into_iter().flat_map(missing).collect()
}

/// Preference for a watcher: those in the same availability zone first, then those of the same
/// region, and otherwise an order that differs between boxes, so that watchers share the
/// subscribers.
fn preference(me: &Profile, watcher: &Profile, regions: &Regions) -> (bool, bool, u64, Arc<str>) {
    let name = watcher.incarnation.box_name();
    let is_near = regions.is_same(&watcher.zone, &me.zone);
    (watcher.zone == me.zone, is_near, member::weight(me.incarnation.box_name(), name), name.into())
}
