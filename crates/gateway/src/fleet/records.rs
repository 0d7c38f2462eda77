//! Promises of other boxes to this one, their witness, to leave tokens untouched.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use ledger::{Incarnation, Promise};
use parking_lot::Mutex;

/// Promises of other boxes to this one.
#[derive(Debug, Clone, Default)]
pub struct Records(Arc<Mutex<Kept>>);

#[derive(Debug, Default)]
struct Kept {
    records: HashMap<Incarnation, Record>,
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
pub enum Taken {
    /// The promise is in force.
    Newest,
    /// A newer promise is in force, or the holder counts as dead.
    Not,
    /// This box is no longer a witness: none of the holder's promises is in force.
    Closed,
}

impl Records {
    /// Accepts a promise if it is newer than the last one and not sealed.
    pub fn take(&self, holder: &Incarnation, promise: Promise) -> Taken {
        let mut kept = self.0.lock();
        let known = kept.records.get(holder);
        let is_sealed = known.is_some_and(|known| known.sealed);
        let is_newer = known.is_none_or(|known| {
            let (old, new) = (&known.promise, &promise);
            (new.term, new.number) > (old.term, old.number)
        });
        match is_newer && !is_sealed {
            // The answer releases the holder from all promises that it made here.
            _ if kept.closed && !is_sealed => {
                kept.records.remove(holder);
                Taken::Closed
            }
            false => Taken::Not,
            true => {
                kept.records.insert(holder.clone(), Record { promise, sealed: false });
                Taken::Newest
            }
        }
    }

    /// Seals the promises of a box that died: accepts no newer ones, and returns the last one if it
    /// was made in `term`.
    pub fn seal(&self, holder: &Incarnation, term: u64) -> Option<BTreeMap<Arc<str>, u64>> {
        let mut kept = self.0.lock();
        let record = kept.records.get_mut(holder)?;
        record.sealed = true;
        (record.promise.term == term).then(|| record.promise.tokens.clone())
    }

    /// Forgets incarnations that are not listed any more.
    pub fn retain(&self, stands: impl Fn(&Incarnation) -> bool) {
        self.0.lock().records.retain(|name, _| stands(name));
    }

    /// Accepts no more promises; those of dead boxes can still be sealed.
    pub fn close(&self) {
        self.0.lock().closed = true;
    }
}
