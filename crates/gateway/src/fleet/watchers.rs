//! Which boxes look at the store for all others.
//!
//! One box for each [`SERVED`], two at least, so that the loss of one costs its listeners a question and
//! no call of the store. Only boxes with at least half of what the strongest one can carry are chosen,
//! by rendezvous hashing, with another word than for keepers of tokens: those have work enough. They stand
//! in as many availability zones as they can, since news is heard from the own zone where that has a home:
//! with 3,000 endpoints, 301 boxes sent 0.316 GB from zone to zone in a day's play where homes stood anywhere,
//! and 0.157 GB so. As many boxes stand by: they begin to look once they are asked, which is when
//! homes are silent.
//!
//! All boxes that know the same others choose the same homes. Where they know different ones, some more
//! boxes look, which costs calls and nothing else.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use ledger::Incarnation;

use crate::fleet::keepers::Profile;

/// Boxes for which one home looks. Each of its listeners asks twice a second: 100 answers of 150 bytes
/// are a hundredth of a narrow link.
const SERVED: usize = 50;
/// Homes at least.
const LEAST: usize = 2;
/// What boxes are hashed with.
const WORD: &str = "news";

/// Who looks, in the order in which one box asks them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watchers {
    /// Boxes that look.
    pub first: Vec<Incarnation>,
    /// Boxes that look once they are asked.
    pub standby: Vec<Incarnation>,
}

impl Watchers {
    /// Homes first, then those that stand by.
    pub fn all(&self) -> impl Iterator<Item = &Incarnation> {
        self.first.iter().chain(&self.standby)
    }

    /// Whether a box looks without being asked.
    pub fn is_active(&self, name: &Incarnation) -> bool {
        self.first.contains(name)
    }
}

/// Chooses the homes of a fleet, as seen from one of its boxes.
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

/// The first box of each zone, then the second of each, and so on.
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

/// A home of the own availability zone is asked first; among others, each box has its own order, so
/// that homes share the listeners.
fn nearness(me: &Profile, home: &Profile) -> (bool, u64, Arc<str>) {
    let name = home.name.box_name();
    (home.zone == me.zone, member::weight(me.name.box_name(), name), name.into())
}
