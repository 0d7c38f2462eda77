//! Which endpoints there are, from the entries in the store.
//!
//! An entry that goes while the store answers means that the endpoint left. Entries also lapse
//! while the store is away, so what a list lacks shortly after its return is kept until the
//! platform had time to put it back. What a watch reports afterwards did not lapse.
//!
//! Each incarnation of an endpoint has an id of its own. So an entry that went comes back only with a
//! newer version, and what somebody tells late of an older one is not believed.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use platform::endpoint::{Entry, State};

/// Entries that went, as far as they are remembered; a box tells what it knows within a second.
const MOST_GONE: usize = 4_096;

/// Endpoints by incarnation. Times are milliseconds of a monotonic clock.
#[derive(Debug, Default)]
pub struct Directory {
    known: HashMap<Arc<str>, Known>,
    /// Missing entries are kept until then.
    lenient_until: u64,
    /// When the newest list was read.
    listed: Option<u64>,
    /// Versions of the store at which entries that went were known to be gone.
    gone: HashMap<Arc<str>, u64>,
    /// Version of the store up to which all entries were seen.
    at: u64,
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

    /// Takes over a whole list, as the store stood at version `at`.
    pub fn list(&mut self, entries: Vec<(Arc<str>, u64, Entry)>, at: u64, now: u64) {
        self.seen(at);
        let listed: HashSet<Arc<str>> = entries.iter().map(|(id, ..)| id.clone()).collect();
        for (id, version, entry) in entries {
            self.set(id, version, entry);
        }
        let gone: Vec<Arc<str>> =
            self.known.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            self.miss(&id, at, now);
        }
        self.listed = Some(now);
    }

    /// An entry was written.
    pub fn set(&mut self, id: Arc<str>, version: u64, entry: Entry) {
        let newer = self.known.get(&id).is_none_or(|known| known.version <= version);
        let went = self.gone.get(&id).is_some_and(|gone| version <= *gone);
        if newer && !went {
            self.gone.remove(&id);
            self.known.insert(id, Known { entry, version, missing: false });
        }
    }

    /// Takes over all that another box knows, which has seen the store up to version `at`.
    pub fn mirror(&mut self, entries: Vec<(Arc<str>, u64, Entry)>, at: u64) {
        self.seen(at);
        let told: HashSet<Arc<str>> = entries.iter().map(|(id, ..)| id.clone()).collect();
        for (id, version, entry) in entries {
            self.set(id, version, entry);
        }
        let is_gone = |(id, known): (&Arc<str>, &Known)| {
            (known.version <= at && !told.contains(id)).then(|| id.clone())
        };
        for id in self.known.iter().filter_map(is_gone).collect::<Vec<_>>() {
            self.remove(&id, at);
        }
    }

    /// The version of an entry that is known.
    pub fn version(&self, id: &str) -> Option<u64> {
        self.known.get(id).map(|known| known.version)
    }

    /// A list lacks an entry.
    fn miss(&mut self, id: &str, at: u64, now: u64) {
        match self.known.get_mut(id) {
            Some(known) if now < self.lenient_until => known.missing = true,
            _ => self.remove(id, at),
        }
    }

    /// All entries were seen up to a version of the store.
    pub fn seen(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    /// Version of the store up to which all entries were seen.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// An entry is gone at version `at` of the store. What is known here may be newer: then it came back.
    pub fn remove(&mut self, id: &str, at: u64) {
        let known = self.known.get(id).map(|known| known.version);
        if known.is_some_and(|version| version > at) {
            return;
        }
        self.known.remove(id);
        self.note_gone(id.into(), at);
    }

    /// Version of the store at which an entry was known to be gone.
    pub fn gone_at(&self, id: &str) -> Option<u64> {
        self.gone.get(id).copied()
    }

    fn note_gone(&mut self, id: Arc<str>, version: u64) {
        if self.gone.len() > MOST_GONE {
            self.gone.clear();
        }
        let newest = self.gone.entry(id).or_default();
        *newest = version.max(*newest);
    }

    /// Time until what is missing counts as gone; `None` if nothing is missing.
    pub fn lenient_for(&self, now: u64) -> Option<u64> {
        self.keeps_missing().then(|| self.lenient_until.saturating_sub(now))
    }

    /// Forgets what is still missing once the time is over; says whether anything went.
    pub fn sweep(&mut self, now: u64) -> bool {
        let before = self.known.len();
        if now >= self.lenient_until {
            let missing = self.known.iter().filter(|(_, known)| known.missing);
            let missing: Vec<Arc<str>> = missing.map(|(id, _)| id.clone()).collect();
            let at = self.at;
            missing.iter().for_each(|id| self.remove(id, at));
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
