//! Which endpoints there are, from the entries in the store.
//!
//! An entry that goes while the store answers means that the endpoint left. Entries also lapse
//! while the store is away, so what a list lacks shortly after its return is kept until the
//! platform had time to put it back. What a watch reports afterwards did not lapse.
//!
//! An entry that went comes back only with a newer version, and what somebody tells late of an older one is
//! not believed. An endpoint may start again under its id: a later life replaces an earlier one, never the
//! other way round, although what an earlier life wrote may land after it died. Within a life its heartbeats
//! are numbered, and an earlier one that landed late is passed over, unless it says that the endpoint leaves.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use platform::endpoint::{Entry, StartTime, State};

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
    /// Entries that went.
    gone: HashMap<Arc<str>, Gone>,
    /// Version of the store up to which all entries were seen.
    at: u64,
}

#[derive(Debug)]
struct Known {
    entry: Entry,
    version: u64,
    missing: bool,
}

/// An entry that went.
#[derive(Debug, Clone, Copy, Default)]
struct Gone {
    /// Version of the store at which it was known to be gone.
    at: u64,
    /// The last life known.
    started: Option<StartTime>,
}

impl Known {
    /// Whether a newer entry takes the place of this one.
    fn gives_way_to(&self, entry: &Entry) -> bool {
        match (self.entry.started, entry.started) {
            (known, new) if known == new => {
                entry.heartbeat >= self.entry.heartbeat || entry.state != State::Ready
            }
            (known, new) => known < new,
        }
    }
}

impl Directory {
    /// The store answers again after it was away since `lost_since`: what is missing may come back
    /// until `until`. A list that was read since then has shown the end of that outage already, and
    /// what it lacked is gone when its own time is over: told of once more 2 s later by a task that
    /// looks seldom, an endpoint that had left got work for 1.3 s longer than it may.
    pub fn store_returned(&mut self, lost_since: u64, until: u64) {
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

    /// An entry was written; says whether it is what counts now.
    pub fn set(&mut self, id: Arc<str>, version: u64, entry: Entry) -> bool {
        let known = self.known.get(&id);
        let said_before = known.is_some_and(|known| known.entry.started.is_some());
        if said_before && entry.started.is_none() {
            // No endpoint forgets to say when it started: this is somebody else's.
            self.remove(&id, version);
            return false;
        }
        let newer = known.is_none_or(|known| known.version <= version);
        let later = known.is_none_or(|known| known.gives_way_to(&entry));
        let gone = self.gone.get(&id);
        let went = gone.is_some_and(|gone| version <= gone.at || entry.started < gone.started);
        let counts = newer && later && !went;
        if counts {
            self.gone.remove(&id);
            self.known.insert(id, Known { entry, version, missing: false });
        }
        counts
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
        let known = self.known.get(id);
        if known.is_some_and(|known| known.version > at) {
            return;
        }
        let started = known.and_then(|known| known.entry.started);
        self.known.remove(id);
        self.note_gone(id.into(), Gone { at, started });
    }

    /// Version of the store at which an entry was known to be gone.
    pub fn removed_at(&self, id: &str) -> Option<u64> {
        self.gone.get(id).map(|gone| gone.at)
    }

    fn note_gone(&mut self, id: Arc<str>, gone: Gone) {
        if self.gone.len() > MOST_GONE {
            self.gone.clear();
        }
        let newest = self.gone.entry(id).or_default();
        newest.at = gone.at.max(newest.at);
        newest.started = gone.started.max(newest.started);
    }

    /// Time until what is missing counts as gone; `None` if nothing is missing.
    pub fn lenient_for(&self, now: u64) -> Option<u64> {
        self.has_missing().then(|| self.lenient_until.saturating_sub(now))
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
    pub fn has_missing(&self) -> bool {
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
