//! Object store in memory, behind the stand-in of the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use objects::{Change, Error, Expect, Host, Object, Store, Watch, Write};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Changes kept for watches.
const MAX_LOG_CHANGES: usize = 200_000;
/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Counters of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Gets, lists and watches.
    pub reads: u64,
    /// Writes, applied or refused; without those of values that are too large.
    pub writes: u64,
    /// Writes refused because of the object's version.
    pub refused: u64,
    /// Bytes of values written.
    pub bytes: u64,
}

/// Kind and name of an object.
type Id = (Arc<str>, Arc<str>);
/// Version and JSON text of an object.
type Stored = (u64, Arc<str>);

#[derive(Default)]
struct State {
    objects: BTreeMap<Id, Stored>,
    version: u64,
    log: VecDeque<Change>,
    usage: Usage,
    by_kind: BTreeMap<Arc<str>, u64>,
    hosts: Vec<Host>,
    /// Number of returns from a copy so far.
    era: u64,
}

/// A copy of the objects at one version, from which a store can return.
#[derive(Clone)]
pub struct Copy {
    objects: BTreeMap<Id, Stored>,
    version: u64,
}

/// An object store with the semantics of the platform's API and no faults.
#[derive(Clone, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    wait: Option<Duration>,
}

impl Memory {
    /// An empty store; `wait` is the longest wait of a watch.
    pub fn new(wait: Duration) -> Memory {
        Memory { wait: Some(wait), ..Memory::default() }
    }

    /// Counters of calls so far.
    pub fn usage(&self) -> Usage {
        self.state.lock().usage
    }

    /// Number of writes so far, by kind of object.
    pub fn writes_by_kind(&self) -> BTreeMap<Arc<str>, u64> {
        self.state.lock().by_kind.clone()
    }

    /// Copies all objects.
    pub fn copy(&self) -> Copy {
        let state = self.state.lock();
        Copy { objects: state.objects.clone(), version: state.version }
    }

    /// Returns to a copy: what was written since is gone, and versions are given out again.
    pub fn return_from(&self, copy: Copy) {
        let mut state = self.state.lock();
        state.objects = copy.objects;
        state.version = copy.version;
        state.log.retain(|change| change.version <= copy.version);
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Number of returns from a copy so far.
    pub fn era(&self) -> u64 {
        self.state.lock().era
    }

    /// Sets the list of boxes.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.state.lock().hosts = hosts;
    }

    pub(crate) fn read(&self, kind: &str, name: &str) -> Option<Object> {
        let mut state = self.state.lock();
        state.usage.reads += 1;
        let (version, value) = state.objects.get(&(kind.into(), name.into()))?.clone();
        Some(Object { kind: kind.into(), name: name.into(), version, value })
    }

    pub(crate) fn read_all(&self, kind: &str, prefix: &str) -> (Vec<Object>, u64) {
        let mut state = self.state.lock();
        state.usage.reads += 1;
        let start = (Arc::from(kind), Arc::from(prefix));
        let found = state.objects.range(start..);
        let found = found.take_while(|((k, n), _)| &**k == kind && n.starts_with(prefix));
        let objects = found
            .map(|((kind, name), (version, value))| Object {
                kind: kind.clone(),
                name: name.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        (objects, state.version)
    }

    /// Applies a write if the object is as expected; a value of `None` deletes it.
    pub(crate) fn apply(
        &self,
        kind: &str,
        name: &str,
        value: Option<Arc<str>>,
        expect: Expect,
    ) -> Write {
        if value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Write::Failed;
        }
        let id: Id = (kind.into(), name.into());
        let mut state = self.state.lock();
        state.usage.writes += 1;
        *state.by_kind.entry(id.0.clone()).or_default() += 1;
        let current = state.objects.get(&id).map(|(version, _)| *version);
        let is_as_expected = match expect {
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current == Some(version),
        };
        if !is_as_expected {
            state.usage.refused += 1;
            return Write::Refused;
        }
        state.version += 1;
        let version = state.version;
        match &value {
            Some(value) => {
                state.usage.bytes += value.len() as u64;
                state.objects.insert(id.clone(), (version, value.clone()));
            }
            None => drop(state.objects.remove(&id)),
        }
        if state.log.len() == MAX_LOG_CHANGES {
            state.log.pop_front();
        }
        state.log.push_back(Change { kind: id.0, name: id.1, version, value });
        drop(state);
        self.changed.notify_waiters();
        Write::Landed(version)
    }

    fn changes(&self, kinds: &[&str], from: u64) -> Watch {
        let state = self.state.lock();
        let oldest = state.log.front().map_or(state.version + 1, |change| change.version);
        let start = state.log.partition_point(|change| change.version <= from);
        let fresh = state.log.range(start..);
        let changes = fresh.filter(|change| kinds.contains(&&*change.kind)).cloned().collect();
        let gap = from + 1 < oldest || (state.era > 0 && from > state.version);
        Watch { changes, next: state.version.max(from), gap }
    }

    pub(crate) async fn wait(&self, kinds: &[&str], from: u64, wait: Duration) -> Watch {
        self.state.lock().usage.reads += 1;
        let end = tokio::time::Instant::now() + wait;
        loop {
            let notified = self.changed.notified();
            let watch = self.changes(kinds, from);
            if !watch.changes.is_empty() || watch.gap {
                return watch;
            }
            if tokio::time::timeout_at(end, notified).await.is_err() {
                return watch;
            }
        }
    }

    /// Like [`Memory::wait`], but is not told of changes while it waits.
    pub(crate) async fn wait_deaf(&self, kinds: &[&str], from: u64, wait: Duration) -> Watch {
        let watch = self.wait(kinds, from, Duration::ZERO).await;
        if !watch.changes.is_empty() || watch.gap {
            return watch;
        }
        tokio::time::sleep(wait).await;
        self.changes(kinds, from)
    }

    pub(crate) fn host_list(&self) -> Vec<Host> {
        let mut state = self.state.lock();
        state.usage.reads += 1;
        state.hosts.clone()
    }
}

#[async_trait::async_trait]
impl Store for Memory {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        Ok(self.read(kind, name))
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error> {
        Ok(self.read_all(kind, prefix).0)
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write {
        self.apply(kind, name, Some(value.into()), expect)
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write {
        self.apply(kind, name, None, Expect::Version(version))
    }

    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error> {
        let wait = self.wait.unwrap_or(Duration::from_secs(10));
        Ok(self.wait(kinds, from, wait).await)
    }

    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        Ok(self.host_list())
    }
}
