//! What other boxes promised this one to keep untouched: the witness's side of a promise.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use ledger::{Incarnation, Promise};
use parking_lot::Mutex;

/// What other boxes promised this one.
#[derive(Debug, Clone, Default)]
pub struct Promises(Arc<Mutex<Kept>>);

#[derive(Debug, Default)]
struct Kept {
    promises: HashMap<Incarnation, Record>,
    /// Nothing is taken any more.
    closed: bool,
}

#[derive(Debug)]
struct Record {
    promise: Promise,
    /// The box died: nothing newer is taken.
    sealed: bool,
}

/// What became of a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It counts now.
    Accepted,
    /// A newer one counts, or the box that promised counts as dead.
    Rejected,
    /// This box is no witness any more: no promise counts.
    Closed,
}

impl Promises {
    /// Takes a promise.
    pub fn take(&self, holder: &Incarnation, promise: Promise) -> Acceptance {
        let mut kept = self.0.lock();
        let known = kept.promises.get(holder);
        let is_sealed = known.is_some_and(|known| known.sealed);
        let is_newer = known.is_none_or(|known| {
            let (old, new) = (&known.promise, &promise);
            (new.term, new.number) > (old.term, old.number)
        });
        match is_newer && !is_sealed {
            // Whoever is told so is bound by nothing that it promised here.
            _ if kept.closed && !is_sealed => {
                kept.promises.remove(holder);
                Acceptance::Closed
            }
            false => Acceptance::Rejected,
            true => {
                kept.promises.insert(holder.clone(), Record { promise, sealed: false });
                Acceptance::Accepted
            }
        }
    }

    /// What a box that died had promised last under a naming. Nothing newer is taken from then on.
    pub fn seal(&self, holder: &Incarnation, term: u64) -> Option<BTreeMap<Arc<str>, u64>> {
        let mut kept = self.0.lock();
        let record = kept.promises.get_mut(holder)?;
        record.sealed = true;
        (record.promise.term == term).then(|| record.promise.tokens.clone())
    }

    /// Forgets lives of boxes that are not listed any more.
    pub fn retain(&self, stands: impl Fn(&Incarnation) -> bool) {
        self.0.lock().promises.retain(|name, _| stands(name));
    }

    /// Takes no promise any more; what was promised before can still be told of boxes that died.
    pub fn close(&self) {
        self.0.lock().closed = true;
    }
}
