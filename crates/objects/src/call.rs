//! Counters of platform calls, by kind of object and operation.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;

/// Operation of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Reads one object or the list of boxes.
    Get,
    /// Reads one object, possibly stale, at a lower price.
    OldGet,
    /// Reads all objects of a kind.
    List,
    /// Reads all objects of a kind, possibly stale, at a lower price.
    OldList,
    /// Writes or deletes an object.
    Put,
    /// Waits for changes.
    Watch,
}

/// Counters of one operation on one kind of object.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls sent.
    pub calls: u64,
    /// Bytes of values sent.
    pub sent: u64,
    /// Bytes of values received.
    pub received: u64,
}

/// Counters by operation and kind of object.
pub type Counts = BTreeMap<(Operation, Arc<str>), Count>;

/// Counters of one client, shared between its clones.
#[derive(Debug, Clone, Default)]
pub struct Calls(Arc<Mutex<Counts>>);

impl Calls {
    /// Counts one call.
    pub fn add(&self, operation: Operation, kind: &str, sent: usize, received: usize) {
        let mut counts = self.0.lock();
        let count = counts.entry((operation, kind.into())).or_default();
        count.calls += 1;
        count.sent += sent as u64;
        count.received += received as u64;
    }

    pub fn snapshot(&self) -> Counts {
        self.0.lock().clone()
    }

    /// Number of calls of one operation over all kinds.
    pub fn total(&self, operation: Operation) -> u64 {
        let counts = self.0.lock();
        counts.iter().filter(|((op, _), _)| *op == operation).map(|(_, c)| c.calls).sum()
    }
}
