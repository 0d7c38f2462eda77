//! What a box tells its listeners: the newest state of each object, in the order in which it learned it.
//!
//! Changes are numbered from 1 within the life of the box. A listener says up to which number it knows,
//! and gets the rest, or the whole where that is not known any more.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use wire::Change;

/// Objects that went, as far as they are remembered: an endpoint that leaves is told of within a second,
/// and a release replaces some hundred of them in a minute.
const MOST_GONE: usize = 1_024;

type Id = (Arc<str>, Arc<str>);

/// Objects by kind and name, with the number of their last change.
#[derive(Debug, Default)]
pub struct ChangeLog {
    last: u64,
    objects: HashMap<Id, Kept>,
    order: BTreeMap<u64, Id>,
    gone: BTreeMap<u64, Id>,
    /// Changes up to this number are not all known any more.
    forgotten: u64,
}

#[derive(Debug)]
struct Kept {
    number: u64,
    version: u64,
    /// `None` once the object went.
    value: Option<Arc<str>>,
}

impl ChangeLog {
    /// Number of the newest change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// An object was written, or went; says whether that is news.
    pub fn put(&mut self, kind: &str, name: &str, version: u64, value: Option<&str>) -> bool {
        let id: Id = (kind.into(), name.into());
        let known = self.objects.get(&id);
        let is_news = match known {
            Some(kept) if kept.version > version => false,
            Some(kept) => kept.value.as_deref() != value || kept.version < version,
            None => value.is_some(),
        };
        if !is_news {
            return false;
        }
        if let Some(kept) = known {
            self.order.remove(&kept.number);
            self.gone.remove(&kept.number);
        }
        self.last += 1;
        self.order.insert(self.last, id.clone());
        if value.is_none() {
            self.gone.insert(self.last, id.clone());
        }
        self.objects.insert(id, Kept { number: self.last, version, value: value.map(Into::into) });
        self.forget();
        true
    }

    fn forget(&mut self) {
        while self.gone.len() > MOST_GONE {
            let Some((number, id)) = self.gone.pop_first() else { return };
            self.order.remove(&number);
            self.objects.remove(&id);
            self.forgotten = number;
        }
    }

    /// The text of an object, if it is there.
    pub fn value(&self, kind: &str, name: &str) -> Option<Arc<str>> {
        self.objects.get(&(kind.into(), name.into()))?.value.clone()
    }

    /// Names of the objects of a kind that are there, with their versions.
    pub fn names(&self, kind: &str) -> Vec<(Arc<str>, u64)> {
        let there =
            self.objects.iter().filter(|((of, _), kept)| &**of == kind && kept.value.is_some());
        there.map(|((_, name), kept)| (name.clone(), kept.version)).collect()
    }

    /// What came after change `since`, and whether that is all there is: so for 0, and for numbers
    /// that are not remembered or were never given.
    pub fn since(&self, since: u64) -> (Vec<Change>, bool) {
        let whole = since == 0 || since < self.forgotten || since > self.last;
        let from = if whole { 0 } else { since };
        let changes = self.order.range(from + 1..).map(|(_, id)| {
            let kept = &self.objects[id];
            let (kind, name) = id.clone();
            Change { kind, name, version: kept.version, value: kept.value.clone() }
        });
        (changes.collect(), whole)
    }
}
