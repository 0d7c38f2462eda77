//! Choice of keepers: the boxes that hold tokens for others, in the order in which a box asks them.
//!
//! [`KEEPER_ZONES`] availability zones have a keeper, as far as there are so many, whatever the size
//! of the fleet. The keeper is the box with the largest capacity in its zone; rendezvous hashing
//! decides between equals. A box in such a zone asks that keeper first, then the next boxes of the
//! zone, then the keepers of other zones. A box in any other zone asks the keepers first.
//!
//! Boxes that know the same fleet choose the same keepers. Where their views differ, two boxes draw
//! from the book and their writes conflict at times, which only costs calls.

use std::{cmp::Reverse, sync::Arc};

use ledger::Incarnation;

/// Boxes of the own zone that are tried. A box with a congested link finds all others silent; the
/// bound keeps it from making each of them draw from the book in turn.
const MAX_OWN_ZONE: usize = 3;
/// Boxes of each other zone that are tried.
const MAX_OTHER_ZONE: usize = 1;
/// Number of zones with a keeper. The tokens of a keeper are unavailable while it is paused or
/// unreachable, and partly lost if it dies, so they are spread over several. All keepers write one
/// book: with six of them in a large fleet each write met four others, and a request waited longer
/// for it than it could.
const KEEPER_ZONES: usize = 3;
/// Key of the rendezvous hash that chooses zones.
const HASH_KEY: &str = "keepers";

/// A box as the choice of keepers and watchers sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its capacity; boxes with more are preferred.
    pub capacity: u64,
}

/// Boxes to ask for tokens, most preferred first; includes `me` where this box itself is one of
/// them.
pub fn keepers(me: &Profile, others: &[Profile]) -> Vec<Incarnation> {
    let of_zone = |zone: &Arc<str>, max: usize| {
        let all = others.iter().chain([me]).filter(|profile| profile.zone == *zone);
        let mut profiles: Vec<&Profile> = all.collect();
        profiles.sort_by_key(|profile| (Reverse(preference(profile)), &profile.incarnation));
        profiles.truncate(max);
        profiles
    };
    let mut zones = keeper_zones(me, others);
    zones.sort_by_key(|zone| Reverse((member::weight(&me.zone, zone), *zone)));
    let has_keeper = zones.contains(&&me.zone);
    let elsewhere = zones.into_iter().filter(|zone| **zone != me.zone);
    let elsewhere = elsewhere.flat_map(|zone| of_zone(zone, MAX_OTHER_ZONE));
    let own = of_zone(&me.zone, MAX_OWN_ZONE).into_iter();
    let profiles: Vec<&Profile> = match has_keeper {
        true => own.chain(elsewhere).collect(),
        false => elsewhere.chain(own).collect(),
    };
    profiles.into_iter().map(|profile| profile.incarnation.clone()).collect()
}

/// Zones that have a keeper.
fn keeper_zones<'a>(me: &'a Profile, others: &'a [Profile]) -> Vec<&'a Arc<str>> {
    let mut zones: Vec<&Arc<str>> =
        others.iter().chain([me]).map(|profile| &profile.zone).collect();
    zones.sort_by_key(|zone| Reverse((member::weight(HASH_KEY, zone), *zone)));
    zones.dedup();
    zones.truncate(KEEPER_ZONES);
    zones
}

fn preference(profile: &Profile) -> (u64, u64) {
    (profile.capacity, member::weight(&profile.zone, profile.incarnation.box_name()))
}
