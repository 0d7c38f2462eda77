//! What other boxes promised this one to keep untouched: the witness's side of a promise.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use ledger::{Incarnation, Promise};
use parking_lot::Mutex;

/// What other boxes promised this one.
#[derive(Debug, Clone, Default)]
pub struct Records(Arc<Mutex<Kept>>);

#[derive(Debug, Default)]
struct Kept {
    records: HashMap<Incarnation, Record>,
    /// Nothing is taken any more, and nothing known.
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
pub enum Taken {
    /// It counts now.
    Newest,
    /// A newer one counts, or the box that promised counts as dead.
    Not,
    /// This box is no witness any more: no promise counts.
    Closed,
}

impl Records {
    /// Takes a promise.
    pub fn take(&self, holder: &Incarnation, promise: Promise) -> Taken {
        let mut kept = self.0.lock();
        let is_newer = kept.records.get(holder).is_none_or(|known| {
            let (old, new) = (&known.promise, &promise);
            !known.sealed && (new.term, new.number) > (old.term, old.number)
        });
        match is_newer {
            _ if kept.closed => Taken::Closed,
            false => Taken::Not,
            true => {
                kept.records.insert(holder.clone(), Record { promise, sealed: false });
                Taken::Newest
            }
        }
    }

    /// What a box that died had promised last under a naming. Nothing newer is taken from then on.
    pub fn seal(&self, holder: &Incarnation, term: u64) -> Option<BTreeMap<Arc<str>, u64>> {
        let mut kept = self.0.lock();
        let record = kept.records.get_mut(holder)?;
        record.sealed = true;
        (record.promise.term == term).then(|| record.promise.tokens.clone())
    }

    /// Forgets lives of boxes that are not listed any more.
    pub fn retain(&self, stands: impl Fn(&Incarnation) -> bool) {
        self.0.lock().records.retain(|name, _| stands(name));
    }

    /// Forgets everything for good.
    pub fn close(&self) {
        let mut kept = self.0.lock();
        (kept.closed, kept.records) = (true, HashMap::new());
    }
}
