//! Promises of other boxes to this one, their witness, to leave tokens untouched.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use ledger::{Incarnation, Promise};
use parking_lot::Mutex;

/// Number of the last promise of a box, before a planned stop.
pub const LAST_PROMISE: u64 = u64::MAX;

/// Promises of other boxes to this one.
#[derive(Debug, Clone, Default)]
pub struct Promises(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    promises: HashMap<Incarnation, Record>,
    /// Whether new promises are refused.
    closed: bool,
}

#[derive(Debug)]
struct Record {
    promise: Promise,
    /// The holder died: no newer promise is accepted.
    sealed: bool,
}

/// Result of offering a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The promise is in force.
    Accepted,
    /// A newer promise is in force, or the holder counts as dead.
    Rejected,
    /// This box is no longer a witness: none of the holder's promises is in force.
    Closed,
}

impl Promises {
    /// Accepts a promise if it is newer than the last one and not sealed.
    pub fn accept(&self, holder: &Incarnation, promise: Promise) -> Acceptance {
        let mut state = self.0.lock();
        let known = state.promises.get(holder);
        let is_sealed = known.is_some_and(|known| known.sealed);
        let is_newer = known.is_none_or(|known| {
            let (old, new) = (&known.promise, &promise);
            (new.term, new.number) > (old.term, old.number)
        });
        match is_newer && !is_sealed {
            // The answer releases the holder from all promises that it made here.
            _ if state.closed && !is_sealed => {
                state.promises.remove(holder);
                Acceptance::Closed
            }
            false => Acceptance::Rejected,
            true => {
                state.promises.insert(holder.clone(), Record { promise, sealed: false });
                Acceptance::Accepted
            }
        }
    }

    /// Seals the promises of a box that died: accepts no newer ones, and returns the last one if it
    /// was made in `term`.
    pub fn seal(&self, holder: &Incarnation, term: u64) -> Option<BTreeMap<Arc<str>, u64>> {
        let mut state = self.0.lock();
        let record = state.promises.get_mut(holder)?;
        record.sealed = true;
        (record.promise.term == term).then(|| record.promise.tokens.clone())
    }

    /// Incarnations that ended by plan and whose tokens nobody has asked for yet.
    pub fn unclaimed(&self) -> Vec<Incarnation> {
        let state = self.0.lock();
        let unclaimed = state.promises.iter().filter(|(_, record)| {
            !record.sealed
                && record.promise.number == LAST_PROMISE
                && record.promise.tokens.values().any(|tokens| *tokens > 0)
        });
        unclaimed.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets incarnations that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(&Incarnation) -> bool) {
        self.0.lock().promises.retain(|name, _| is_listed(name));
    }

    /// Accepts no more promises; those of dead boxes can still be sealed.
    pub fn close(&self) {
        self.0.lock().closed = true;
    }
}
