//! Choice of the boxes that remember where a stream began: its homes.
//!
//! Each pair of boxes that talk costs a connection, so only some boxes of a large fleet are
//! candidates: one for each [`BOXES_PER_HOME`] boxes, at least [`MIN_HOMES`], spread over
//! availability zones by rendezvous hashing. For each stream they are ranked by another rendezvous
//! hash, and zones take turns in that order. So the first [`ASKED`] boxes hold two of different zones
//! whichever box is left out, and whoever looks for a stream asks each box that was told of it.
//!
//! The choice depends on the names and zones of the listed boxes only, not on who is reachable or has
//! started again: boxes that know the same fleet choose the same homes.

use std::cmp::Reverse;

use ledger::Incarnation;
use wire::StreamKey;

use crate::fleet::profile::{Profile, interleave_zones};

/// Boxes for each candidate.
const BOXES_PER_HOME: usize = 10;
/// Minimum number of candidates; a smaller fleet has as many as boxes.
const MIN_HOMES: usize = 8;
/// Homes of a stream, apart from the box that relays it.
pub const COPIES: usize = 2;
/// Boxes that are asked for a stream.
pub const ASKED: usize = 4;
/// Key of the rendezvous hash that chooses candidates.
const HASH_KEY: &str = "streams";

/// The boxes of a fleet that may be homes of streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes {
    candidates: Vec<Profile>,
}

/// Chooses the candidates of a fleet.
pub fn homes(me: &Profile, others: &[Profile]) -> Homes {
    let fleet: Vec<&Profile> = others.iter().chain([me]).collect();
    let count = fleet.len().div_ceil(BOXES_PER_HOME).max(MIN_HOMES);
    let candidates = ranked(HASH_KEY, fleet).into_iter().take(count).cloned().collect();
    Homes { candidates }
}

impl Homes {
    /// Names of all candidates.
    pub fn candidates(&self) -> impl Iterator<Item = &Incarnation> {
        self.candidates.iter().map(|profile| &profile.incarnation)
    }

    /// The homes of a stream that `me` relays, then a substitute for each; fewer in a small fleet.
    pub fn recipients(&self, key: StreamKey, me: &Incarnation) -> Vec<Incarnation> {
        let mut others = self.others(key, me);
        if let Some((first, rest)) = others.split_first_mut()
            && let Some(at) = rest.iter().position(|profile| profile.zone != first.zone)
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
    fn others(&self, key: StreamKey, me: &Incarnation) -> Vec<&Profile> {
        let StreamKey(hash) = key;
        let mut all = ranked(&format!("{hash:032x}"), self.candidates.iter().collect());
        all.retain(|profile| profile.incarnation.box_name() != me.box_name());
        all
    }
}

/// Orders boxes by rendezvous hash, with zones taking turns.
fn ranked<'a>(key: &str, mut profiles: Vec<&'a Profile>) -> Vec<&'a Profile> {
    profiles.sort_by_cached_key(|profile| {
        let name = profile.incarnation.box_name();
        (Reverse(member::weight(key, name)), name)
    });
    interleave_zones(profiles)
}

fn names(profiles: Vec<&Profile>, count: usize) -> Vec<Incarnation> {
    profiles.into_iter().take(count).map(|profile| profile.incarnation.clone()).collect()
}
