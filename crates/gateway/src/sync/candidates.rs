//! Whom a box may subscribe to: the watchers, those on standby, or the boxes that take their place.

use ledger::Incarnation;

use crate::fleet::watchers::Watchers;

/// Active watchers that are asked together in the first search, and those on standby after them. Each
/// search in which nobody answers doubles it.
const MAX_ASKED: usize = 3;
/// Most doublings of it, which reach all watchers of 1,000 boxes.
const MAX_ASKED_DOUBLINGS: u32 = 3;

/// Whom a box may subscribe to, in its order.
pub struct Candidates {
    pub first: Vec<Incarnation>,
    /// Boxes that start to watch when they are asked.
    pub last: Vec<Incarnation>,
    /// Whether this is for a box that relays, which only subscribes to boxes that watch the store.
    pub is_relay: bool,
    /// Whether they take the place of watchers that do not answer.
    pub are_successors: bool,
    /// How many of each are asked together.
    pub max_asked: usize,
}

impl Candidates {
    /// `vain_searches` is the number of searches before, one after the other, in which nobody answered.
    pub fn of(watchers: &Watchers, is_relay: bool, vain_searches: u32) -> Candidates {
        let first = if is_relay { &watchers.roots } else { &watchers.active };
        let max_asked = MAX_ASKED << vain_searches.min(MAX_ASKED_DOUBLINGS);
        let (first, last) = (first.clone(), watchers.standby.clone());
        Candidates { first, last, is_relay, are_successors: false, max_asked }
    }

    pub fn contains(&self, name: &Incarnation) -> bool {
        self.first.contains(name) || self.last.contains(name)
    }
}
