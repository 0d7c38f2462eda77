//! Whom a box asks for tokens, in which order.
//!
//! In some availability zones the strongest box keeps tokens for the others; among boxes that are alike,
//! rendezvous hashing chooses. There are three such zones, and one more for each [`SERVED`] boxes beyond
//! that, where there are as many. A box of such a zone asks there first, the next boxes of it if that one is
//! silent, then the keepers of the others; any other box asks those keepers first. All boxes that know the
//! same others choose the same ones with no word exchanged. Where they know different ones, two boxes draw
//! from the book and meet there now and then, which costs calls and nothing else.

use std::{cmp::Reverse, sync::Arc};

use ledger::Incarnation;

/// Boxes of the own zone that are tried. A box whose own link is full finds all others silent: with
/// few to try it does not make each of them draw from the book in turn (38 of 73 boxes did).
const OWN_ZONE: usize = 3;
/// Boxes of each other zone that are tried.
const OTHER_ZONE: usize = 1;
/// Zones with a keeper at least: what one keeper holds is out of reach while it is paused or cut off, and
/// partly lost with it. With two in the whole fleet, 7 boxes refused 12.1% of their requests, with one in
/// each of three zones 9.8% (12 days).
const ZONES: usize = 3;
/// Boxes for which there is a zone with a keeper. With one in each of six zones 18 boxes made 1,025
/// calls of the store a day, with three keepers 771: writes of the book met each other (12 days).
const SERVED: usize = 50;
/// What zones are hashed with to choose those that have keepers.
const KEEPERS: &str = "keepers";

/// A box, as far as the choice needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Profile {
    /// This life of it.
    pub name: Incarnation,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// What it can carry: the more, the sooner it is chosen.
    pub strength: u64,
}

/// Boxes to ask for tokens, the best first; `me` stands where it is its own best choice.
pub fn keepers(me: &Profile, others: &[Profile]) -> Vec<Incarnation> {
    let of_zone = |zone: &Arc<str>, most: usize| {
        let all = others.iter().chain([me]).filter(|profile| profile.zone == *zone);
        let mut places: Vec<&Profile> = all.collect();
        places.sort_by_key(|profile| (Reverse(rank(profile)), &profile.name));
        places.truncate(most);
        places
    };
    let mut zones = kept_zones(me, others);
    zones.sort_by_key(|zone| Reverse((member::weight(&me.zone, zone), *zone)));
    let is_kept = zones.contains(&&me.zone);
    let elsewhere = zones.into_iter().filter(|zone| **zone != me.zone);
    let elsewhere = elsewhere.flat_map(|zone| of_zone(zone, OTHER_ZONE));
    let own = of_zone(&me.zone, OWN_ZONE).into_iter();
    let places: Vec<&Profile> = match is_kept {
        true => own.chain(elsewhere).collect(),
        false => elsewhere.chain(own).collect(),
    };
    places.into_iter().map(|profile| profile.name.clone()).collect()
}

/// Zones in which a box keeps tokens.
fn kept_zones<'a>(me: &'a Profile, others: &'a [Profile]) -> Vec<&'a Arc<str>> {
    let count = (others.len() + 1).div_ceil(SERVED).max(ZONES);
    let mut zones: Vec<&Arc<str>> =
        others.iter().chain([me]).map(|profile| &profile.zone).collect();
    zones.sort_by_key(|zone| Reverse((member::weight(KEEPERS, zone), *zone)));
    zones.dedup();
    zones.truncate(count);
    zones
}

fn rank(profile: &Profile) -> (u64, u64) {
    (profile.strength, member::weight(&profile.zone, profile.name.box_name()))
}
