//! The ledger of platform calls: every call is counted by kind and operation.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;

/// What a call does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// Reads one object or the box list.
    Get,
    /// Reads one object as it stood a little earlier, which is cheaper.
    OldGet,
    /// Reads all objects of a kind.
    List,
    /// Reads all objects of a kind as they stood a little earlier, which is cheaper.
    OldList,
    /// Writes or deletes an object.
    Put,
    /// Waits for changes.
    Watch,
}

/// Calls made, by kind of object and operation.
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

/// Shared counters of one client.
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

    /// All counters so far.
    pub fn snapshot(&self) -> Counts {
        self.0.lock().clone()
    }

    /// Number of calls of one operation over all kinds.
    pub fn total(&self, operation: Operation) -> u64 {
        let counts = self.0.lock();
        counts.iter().filter(|((op, _), _)| *op == operation).map(|(_, c)| c.calls).sum()
    }
}
