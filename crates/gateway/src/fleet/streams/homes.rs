//! Choice of the boxes that remember where a stream began: its homes.
//!
//! Each pair of boxes that talk costs a connection, so only some boxes of a large fleet are
//! candidates: one for each [`BOXES_PER_HOME`] boxes, at least [`MIN_HOMES`], spread over
//! availability zones by rendezvous hashing. For each stream they are ranked by another rendezvous
//! hash, and zones take turns in that order. So the first [`ASKED`] boxes hold two of different zones
//! whichever box is left out, and whoever looks for a stream asks each box that was told of it. A zone with few of the
//! candidates takes no turns of its own, since they would be homes of nearly all streams.
//!
//! The choice depends on the names and zones of the listed boxes only, not on who is reachable or has
//! started again: boxes that know the same fleet choose the same homes.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use ledger::Incarnation;
use wire::StreamKey;

use crate::fleet::profile::{Profile, interleave};

/// Boxes for each candidate.
const BOXES_PER_HOME: usize = 10;
/// Minimum number of candidates; a smaller fleet has as many as boxes.
const MIN_HOMES: usize = 8;
/// Homes of a stream, apart from the box that relays it.
pub const COPIES: usize = 2;
/// Boxes that are asked for a stream.
pub const ASKED: usize = 4;
/// Candidates for each one that a zone must have to take turns of its own.
const CANDIDATES_PER_TURN: usize = 15;
/// Key of the rendezvous hash that chooses candidates.
const HASH_KEY: &str = "streams";

/// The boxes of a fleet that may be homes of streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    candidates: Vec<Candidate>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Candidate {
    profile: Profile,
    /// The zone in whose turns it comes.
    turns: Arc<str>,
}

/// Chooses the candidates of a fleet.
pub fn homes(me: &Profile, others: &[Profile]) -> Homes {
    let fleet: Vec<&Profile> = others.iter().chain([me]).collect();
    let count = fleet.len().div_ceil(BOXES_PER_HOME).max(MIN_HOMES);
    let fleet = ranked(HASH_KEY, fleet, |profile| profile);
    let spread = interleave(fleet, |profile| &profile.zone);
    Homes { candidates: with_turns(spread.into_iter().take(count)) }
}

/// Assigns candidates to the turns of zones: their own, or the largest one if theirs has few candidates.
fn with_turns<'a>(profiles: impl Iterator<Item = &'a Profile> + Clone) -> Vec<Candidate> {
    let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    profiles.clone().for_each(|profile| *counts.entry(&profile.zone).or_default() += 1);
    let few = counts.values().sum::<usize>().div_ceil(CANDIDATES_PER_TURN);
    let largest = counts.iter().max_by_key(|(_, count)| **count).map(|(zone, _)| *zone);
    let turns = |zone: &'a Arc<str>| match largest {
        Some(largest) if counts[zone] < few => largest.clone(),
        _ => zone.clone(),
    };
    let candidate =
        |profile: &'a Profile| Candidate { profile: profile.clone(), turns: turns(&profile.zone) };
    profiles.map(candidate).collect()
}

impl Homes {
    /// Names of all candidates.
    pub fn candidates(&self) -> impl Iterator<Item = &Incarnation> {
        self.candidates.iter().map(|candidate| &candidate.profile.incarnation)
    }

    /// The homes of a stream that `me` relays, then a substitute for each; fewer in a small fleet.
    pub fn recipients(&self, key: StreamKey, me: &Incarnation) -> Vec<Incarnation> {
        let mut others = self.others(key, me);
        if let Some((first, rest)) = others.split_first_mut()
            && let Some(at) = rest.iter().position(|candidate| candidate.turns != first.turns)
        {
            rest[..=at].rotate_right(1);
        }
        names(others, 2 * COPIES)
    }

    /// The boxes that `me` asks for a stream.
    pub fn asked(&self, key: StreamKey, me: &Incarnation) -> Vec<Incarnation> {
        names(self.others(key, me), ASKED)
    }

    /// The candidates other than `me`, in the order of a stream.
    fn others(&self, key: StreamKey, me: &Incarnation) -> Vec<&Candidate> {
        let StreamKey(hash) = key;
        let candidates = self.candidates.iter().collect();
        let all = ranked(&format!("{hash:032x}"), candidates, |candidate| &candidate.profile);
        let mut all = interleave(all, |candidate| &candidate.turns);
        all.retain(|candidate| candidate.profile.incarnation.box_name() != me.box_name());
        all
    }
}

/// Orders boxes by rendezvous hash.
fn ranked<'a, T>(key: &str, mut boxes: Vec<&'a T>, profile: fn(&T) -> &Profile) -> Vec<&'a T> {
    boxes.sort_by_cached_key(|candidate| {
        let name = profile(candidate).incarnation.box_name();
        (Reverse(member::weight(key, name)), name.to_owned())
    });
    boxes
}

fn names(candidates: Vec<&Candidate>, count: usize) -> Vec<Incarnation> {
    let first = candidates.into_iter().take(count);
    first.map(|candidate| candidate.profile.incarnation.clone()).collect()
}
