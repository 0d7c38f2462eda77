//! Change log for subscribers: the newest state of each object, in the order in which this box
//! learned of it.
//!
//! Changes are numbered from 1 within one incarnation of the box. A subscriber names the last
//! number that it knows, and gets the changes since, or a full snapshot if those are no longer all
//! known.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use wire::{Change, MAX_MESSAGE_BYTES};

/// Maximum size of the changes in one answer; the rest is sent with the next one. A single larger
/// change is sent alone: objects of the store have 1 MiB at most.
const MAX_PART_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// Upper bound on the encoded size of a change without its texts: three lengths, a version and the
/// tag of an optional value.
const CHANGE_BYTES: usize = 40;
/// Maximum number of remembered deletions. Subscribers fetch them within a second, so this covers
/// the deletions of a rolling update of all endpoints.
const MAX_DELETIONS: usize = 1_024;

/// Kind and name of an object.
type Id = (Arc<str>, Arc<str>);

/// Objects by kind and name, each with the number of its last change.
#[derive(Debug, Default)]
pub struct ChangeLog {
    last: u64,
    objects: HashMap<Id, Entry>,
    order: BTreeMap<u64, Id>,
    deleted: BTreeMap<u64, Id>,
    /// Some deletions up to this change number have been dropped.
    dropped_until: u64,
    /// Size of all values.
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    number: u64,
    version: u64,
    /// `None` if the object was deleted.
    value: Option<Arc<str>>,
}

impl ChangeLog {
    /// Number of the newest change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Size of the values of all objects.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records that an object was written, or deleted if `value` is `None`; returns whether that is
    /// new.
    pub fn put(&mut self, kind: &str, name: &str, version: u64, value: Option<&str>) -> bool {
        let id: Id = (kind.into(), name.into());
        let known = self.objects.get(&id);
        let is_new = match known {
            Some(entry) if entry.version > version => false,
            Some(entry) => entry.value.as_deref() != value || entry.version < version,
            None => value.is_some(),
        };
        if !is_new {
            return false;
        }
        if let Some(entry) = known {
            self.order.remove(&entry.number);
            self.deleted.remove(&entry.number);
            self.bytes -= entry.value.as_ref().map_or(0, |value| value.len());
        }
        self.bytes += value.map_or(0, str::len);
        self.last += 1;
        self.order.insert(self.last, id.clone());
        if value.is_none() {
            self.deleted.insert(self.last, id.clone());
        }
        self.objects.insert(id, Entry { number: self.last, version, value: value.map(Into::into) });
        self.drop_old_deletions();
        true
    }

    fn drop_old_deletions(&mut self) {
        while self.deleted.len() > MAX_DELETIONS {
            let Some((number, id)) = self.deleted.pop_first() else { return };
            self.order.remove(&number);
            self.objects.remove(&id);
            self.dropped_until = number;
        }
    }

    /// The text of an object, unless deleted.
    pub fn value(&self, kind: &str, name: &str) -> Option<Arc<str>> {
        self.objects.get(&(kind.into(), name.into()))?.value.clone()
    }

    /// The version of an object, unless deleted.
    pub fn version(&self, kind: &str, name: &str) -> Option<u64> {
        let entry = self.objects.get(&(kind.into(), name.into()))?;
        entry.value.as_ref().map(|_| entry.version)
    }

    /// Names and versions of the objects of a kind, without deleted ones.
    pub fn names(&self, kind: &str) -> Vec<(Arc<str>, u64)> {
        let present =
            self.objects.iter().filter(|((of, _), entry)| &**of == kind && entry.value.is_some());
        present.map(|((_, name), entry)| (name.clone(), entry.version)).collect()
    }

    /// The changes after number `since`, and whether they are a full snapshot. That is so for 0,
    /// and for numbers that are no longer remembered or were never assigned.
    pub fn since(&self, since: u64) -> (Vec<Change>, bool) {
        let (changes, is_snapshot) = self.numbered_since(since);
        (changes.map(|(_, change)| change).collect(), is_snapshot)
    }

    /// The changes after number `since` that a subscriber wants, as far as they fit into one
    /// message.
    pub fn part_since(&self, since: u64, wants: impl Fn(&Change) -> bool) -> Part {
        let (numbered, is_snapshot) = self.numbered_since(since);
        let (mut changes, mut bytes) = (Vec::new(), 0);
        for (number, change) in numbered.filter(|(_, change)| wants(change)) {
            bytes += encoded_bytes(&change);
            if bytes > MAX_PART_BYTES && !changes.is_empty() {
                return Part { changes, is_snapshot, last: number - 1, is_complete: false };
            }
            changes.push(change);
        }
        Part { changes, is_snapshot, last: self.last, is_complete: true }
    }

    fn numbered_since(&self, since: u64) -> (impl Iterator<Item = (u64, Change)>, bool) {
        let is_snapshot = since == 0 || since < self.dropped_until || since > self.last;
        let from = if is_snapshot { 0 } else { since };
        let changes = self.order.range(from + 1..).map(|(number, id)| {
            let entry = &self.objects[id];
            let (kind, name) = id.clone();
            (*number, Change { kind, name, version: entry.version, value: entry.value.clone() })
        });
        (changes, is_snapshot)
    }
}

/// Changes that fit into one message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Oldest change first.
    pub changes: Vec<Change>,
    /// Whether they are a full snapshot, or the first part of one.
    pub is_snapshot: bool,
    /// Number up to which the changes are included.
    pub last: u64,
    /// Whether there are no further changes.
    pub is_complete: bool,
}

fn encoded_bytes(change: &Change) -> usize {
    let value = change.value.as_ref().map_or(0, |value| value.len());
    CHANGE_BYTES + change.kind.len() + change.name.len() + value
}
