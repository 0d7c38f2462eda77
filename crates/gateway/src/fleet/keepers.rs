//! Choice of keepers: the boxes that hold tokens for others, in the order in which a box asks them.
//!
//! [`KEEPER_ZONES`] availability zones have a keeper, as far as there are so many, whatever the size
//! of the fleet. The keeper is the box with the largest capacity in its zone; rendezvous hashing
//! decides between equals. A box in such a zone asks that keeper first, then the next boxes of the
//! zone, then the keepers of other zones. A box in any other zone asks the keepers first.
//!
//! While the store turns the keepers away, [`STAND_INS`] other boxes draw from the book in their
//! place, on demand. They are the next ones in the same order, one of each zone first, since boxes
//! of one zone may lose the store together, and all boxes ask them in the same order, so that
//! usually one of them writes.
//!
//! Boxes that know the same fleet choose the same keepers. Where their views differ, two boxes draw
//! from the book and their writes conflict at times, which only costs calls.

use std::{cmp::Reverse, collections::HashSet, sync::Arc};

use ledger::Incarnation;

use crate::fleet::profile::{Profile, interleave_zones};

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
/// Boxes that draw from the book while the keepers do not reach it. If the store turns a third of the
/// boxes away, all of them are among these once in 729 times.
pub const STAND_INS: usize = 6;
/// Key of the rendezvous hash that chooses zones.
const HASH_KEY: &str = "keepers";

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

/// Boxes that draw from the book while the keepers do not reach the store, in the order in which all
/// boxes ask them; includes `me` where this box itself is one of them.
pub fn stand_ins(me: &Profile, others: &[Profile]) -> Vec<Incarnation> {
    let mut profiles: Vec<&Profile> = others.iter().chain([me]).collect();
    profiles.sort_by_cached_key(|profile| {
        let zone = Reverse((member::weight(HASH_KEY, &profile.zone), &profile.zone));
        (zone, Reverse(preference(profile)), &profile.incarnation)
    });
    let keepers = keeper_zones(me, others).len();
    let chosen = interleave_zones(profiles).into_iter().skip(keepers).take(STAND_INS);
    chosen.map(|profile| profile.incarnation.clone()).collect()
}

/// Returns the order in which keepers and stand-ins are asked. Boxes of the own zone come last where
/// it has no keeper: one writer of the book for each zone would be too many.
pub fn with_stand_ins(
    me: &Profile,
    others: &[Profile],
    keepers: &[Incarnation],
    stand_ins: &[Incarnation],
) -> Vec<Incarnation> {
    let zones = keeper_zones(me, others);
    let first = if zones.contains(&&me.zone) { keepers.len() } else { zones.len() };
    let (first, last) = keepers.split_at(first);
    let mut seen = HashSet::new();
    let all = first.iter().chain(stand_ins).chain(last);
    all.filter(|name| seen.insert(*name)).cloned().collect()
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
