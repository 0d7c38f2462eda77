//! Choice of the boxes that write the bills of all.
//!
//! There is one for each [`BOXES_PER_WRITER`] boxes, so that pages are few and may be written often.
//! Rendezvous hashing chooses among boxes of the largest capacity, with another key than for keepers
//! and watchers, which have enough to do. Any box writes bills that it is sent, so boxes that know
//! different fleets only write more pages.

use std::{cmp::Reverse, collections::HashSet};

use ledger::Incarnation;

use crate::fleet::profile::Profile;

/// Boxes for each writer.
pub const BOXES_PER_WRITER: usize = 64;
/// Boxes of the own availability zone, and of the whole fleet, that are asked when the writers are
/// silent.
const SUBSTITUTES: usize = 2;
/// Key of the rendezvous hash.
const HASH_KEY: &str = "bills";

/// Boxes to send bills to, most preferred first; includes `me` where this box itself is one of them.
pub fn bill_writers(me: &Profile, others: &[Profile]) -> Vec<Incarnation> {
    let mut all: Vec<&Profile> = others.iter().chain([me]).collect();
    all.sort_by_key(|profile| (Reverse(preference(profile)), &profile.incarnation));
    let count = all.len().div_ceil(BOXES_PER_WRITER);
    let (writers, substitutes) = all.split_at(count);
    let mut writers = writers.to_vec();
    let name = me.incarnation.box_name();
    writers.sort_by_key(|profile| {
        let weight = member::weight(name, profile.incarnation.box_name());
        (profile.zone != me.zone, Reverse(weight))
    });
    let near = substitutes.iter().filter(|profile| profile.zone == me.zone);
    let far = substitutes.iter().filter(|profile| profile.zone != me.zone);
    let chosen = writers.iter().chain(near.take(SUBSTITUTES)).chain(far.take(SUBSTITUTES));
    let mut seen = HashSet::new();
    let names = chosen.map(|profile| &profile.incarnation);
    names.filter(|name| seen.insert(*name)).cloned().collect()
}

fn preference(profile: &Profile) -> (u64, u64) {
    (profile.capacity, member::weight(HASH_KEY, profile.incarnation.box_name()))
}
