//! Which endpoints there are, from the entries in the store.
//!
//! An entry that goes while the store answers means that the endpoint left. Entries also lapse
//! while the store is away, so what a list lacks shortly after its return is kept until the
//! platform had time to put it back. What a watch reports afterwards did not lapse.

use std::{collections::HashMap, sync::Arc};

use platform::endpoint::{Entry, State};

/// Endpoints by incarnation. Times are milliseconds of a monotonic clock.
#[derive(Debug, Default)]
pub struct Directory {
    known: HashMap<Arc<str>, Known>,
    /// Missing entries are kept until then.
    lenient_until: u64,
    /// When the newest list was read.
    listed: Option<u64>,
}

#[derive(Debug)]
struct Known {
    entry: Entry,
    version: u64,
    missing: bool,
}

impl Directory {
    /// The store answers again after it was away since `lost_since`: what is missing may come back
    /// until `until`. A list that was read since then has shown the end of that outage already, and
    /// what it lacked is gone when its own time is over: told of once more 2 s later by a task that
    /// looks seldom, an endpoint that had left got work for 1.3 s longer than it may.
    pub fn returned(&mut self, lost_since: u64, until: u64) {
        if self.listed.is_none_or(|listed| listed < lost_since) {
            self.lenient_until = until;
        }
    }

    /// Takes over a whole list.
    pub fn list(&mut self, entries: Vec<(Arc<str>, u64, Entry)>, now: u64) {
        let listed: Vec<Arc<str>> = entries.iter().map(|(id, ..)| id.clone()).collect();
        for (id, version, entry) in entries {
            self.set(id, version, entry);
        }
        let gone: Vec<Arc<str>> =
            self.known.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            self.miss(&id, now);
        }
        self.listed = Some(now);
    }

    /// An entry was written.
    pub fn set(&mut self, id: Arc<str>, version: u64, entry: Entry) {
        let newer = self.known.get(&id).is_none_or(|known| known.version <= version);
        if newer {
            self.known.insert(id, Known { entry, version, missing: false });
        }
    }

    /// A list lacks an entry.
    fn miss(&mut self, id: &str, now: u64) {
        match self.known.get_mut(id) {
            Some(known) if now < self.lenient_until => known.missing = true,
            _ => drop(self.known.remove(id)),
        }
    }

    /// A watch reported that an entry went.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// Time until what is missing counts as gone; `None` if nothing is missing.
    pub fn lenient_for(&self, now: u64) -> Option<u64> {
        self.keeps_missing().then(|| self.lenient_until.saturating_sub(now))
    }

    /// Forgets what is still missing once the time is over; says whether anything went.
    pub fn sweep(&mut self, now: u64) -> bool {
        let before = self.known.len();
        if now >= self.lenient_until {
            self.known.retain(|_, known| !known.missing);
        }
        self.known.len() < before
    }

    /// Whether missing entries are being kept.
    pub fn keeps_missing(&self) -> bool {
        self.known.values().any(|known| known.missing)
    }

    /// Endpoints that take new work.
    pub fn ready(&self) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let known = self.known.iter().filter(|(_, known)| known.entry.state == State::Ready);
        known.map(|(id, known)| (id, &known.entry))
    }

    /// Number of endpoints known, whatever their state.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
