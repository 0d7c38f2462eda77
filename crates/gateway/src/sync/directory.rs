//! Which endpoints there are, from the entries in the store.
//!
//! A store that comes back from an older copy shows entries of then, with newer versions; their heartbeats are known.
//!
//! An entry that disappears while the store is reachable means that the endpoint left. Entries also
//! expire while the store is unreachable, so entries that a list lacks shortly after an outage are
//! kept until the platform had time to write them again. An entry whose removal a watch reports did
//! not expire.
//!
//! A removed entry comes back only with a newer version; late updates about an older one are
//! ignored. An endpoint may restart under its id: an entry of a later instance replaces that of an
//! earlier one, never the other way round, although a write of the earlier instance may reach the
//! store after it died. Within one instance the heartbeats are numbered, and an older one that
//! arrives late is ignored, unless it says that the endpoint leaves.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use platform::{
    endpoint::{Entry, StartTime, State},
    version,
};

/// Maximum number of remembered removals. Outdated updates arrive within about a second, so only
/// recent removals matter.
const MAX_REMOVED: usize = 4_096;

/// Endpoints by id. Times are milliseconds of a monotonic clock.
#[derive(Debug, Default)]
pub struct Directory {
    known: HashMap<Arc<str>, Known>,
    /// Missing entries are kept until then.
    grace_until: u64,
    /// When the newest list was read.
    listed: Option<u64>,
    /// Removed entries.
    removed: HashMap<Arc<str>, Removed>,
    /// Entries that were set or removed since [`Directory::take_changed`].
    changed: HashSet<Arc<str>>,
    /// Store version up to which all entries are known.
    at: u64,
}

#[derive(Debug)]
struct Known {
    entry: Entry,
    version: u64,
    missing: bool,
}

/// A removed entry.
#[derive(Debug, Clone, Copy, Default)]
struct Removed {
    /// Store version at which it was known to be removed.
    at: u64,
    /// The last known instance.
    instance: Option<StartTime>,
    /// Its last known heartbeat.
    heartbeat: u64,
}

impl Removed {
    /// Whether an entry was written before the removal. An older copy of the store shows it with a newer version.
    fn excludes(&self, entry: &Entry, version: u64) -> bool {
        let is_from_copy = version::era(version) > version::era(self.at);
        let is_same = entry.started == self.instance && entry.heartbeat <= self.heartbeat;
        version <= self.at || entry.started < self.instance || (is_from_copy && is_same)
    }
}

impl Known {
    /// Whether a newer entry replaces this one.
    fn is_replaced_by(&self, entry: &Entry) -> bool {
        match (self.entry.started, entry.started) {
            (known, new) if known == new => {
                entry.heartbeat >= self.entry.heartbeat || entry.state != State::Ready
            }
            (known, new) => known < new,
        }
    }
}

impl Directory {
    /// The store is reachable again after an outage since `lost_since`: missing entries may come
    /// back until `until`. Has no effect if a list was read since then: that list already showed
    /// the end of the outage, and a task that notices it later must not prolong the grace period:
    /// told again 2 s later, an endpoint that had left got work for 1.3 s longer than it may.
    pub fn store_returned(&mut self, lost_since: u64, until: u64) {
        if self.listed.is_none_or(|listed| listed < lost_since) {
            self.grace_until = until;
        }
    }

    /// Takes over a complete list, read at store version `at`.
    pub fn apply_list(&mut self, entries: Vec<(Arc<str>, u64, Entry)>, at: u64, now: u64) {
        self.advance_to(at);
        let listed: HashSet<Arc<str>> = entries.iter().map(|(id, ..)| id.clone()).collect();
        for (id, version, entry) in entries {
            self.set(id, version, entry);
        }
        let removed: Vec<Arc<str>> =
            self.known.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in removed {
            self.mark_missing(&id, at, now);
        }
        self.listed = Some(now);
    }

    /// Takes over an entry that was written; returns whether it is now the current one.
    pub fn set(&mut self, id: Arc<str>, version: u64, entry: Entry) -> bool {
        let known = self.known.get(&id);
        let has_instance = known.is_some_and(|known| known.entry.started.is_some());
        if has_instance && entry.started.is_none() {
            // Endpoints always report their start time, so this was not written by the endpoint.
            self.remove(&id, version);
            return false;
        }
        let is_newer = known.is_none_or(|known| known.version <= version);
        let replaces_known = known.is_none_or(|known| known.is_replaced_by(&entry));
        let removed = self.removed.get(&id);
        let was_removed = removed.is_some_and(|removed| removed.excludes(&entry, version));
        let is_current = is_newer && replaces_known && !was_removed;
        if is_current {
            self.removed.remove(&id);
            self.changed.insert(id.clone());
            self.known.insert(id, Known { entry, version, missing: false });
        }
        is_current
    }

    /// Takes over all entries that another box knows, which are complete up to store version `at`.
    pub fn apply_snapshot(&mut self, entries: Vec<(Arc<str>, u64, Entry)>, at: u64) {
        self.advance_to(at);
        let listed: HashSet<Arc<str>> = entries.iter().map(|(id, ..)| id.clone()).collect();
        for (id, version, entry) in entries {
            self.set(id, version, entry);
        }
        let is_gone = |(id, known): (&Arc<str>, &Known)| {
            (known.version <= at && !listed.contains(id)).then(|| id.clone())
        };
        for id in self.known.iter().filter_map(is_gone).collect::<Vec<_>>() {
            self.remove(&id, at);
        }
    }

    /// The version of a known entry.
    pub fn version(&self, id: &str) -> Option<u64> {
        self.known.get(id).map(|known| known.version)
    }

    /// Handles an entry that a list lacks.
    fn mark_missing(&mut self, id: &str, at: u64, now: u64) {
        match self.known.get_mut(id) {
            Some(known) if now < self.grace_until => known.missing = true,
            _ => self.remove(id, at),
        }
    }

    /// Records that all entries up to a store version are known.
    pub fn advance_to(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    /// Store version up to which all entries are known.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Removes an entry that is gone at store version `at`, unless a newer version of it is known.
    pub fn remove(&mut self, id: &str, at: u64) {
        let known = self.known.get(id);
        if known.is_some_and(|known| known.version > at) {
            return;
        }
        let instance = known.and_then(|known| known.entry.started);
        let heartbeat = known.map_or(0, |known| known.entry.heartbeat);
        if let Some((id, _)) = self.known.remove_entry(id) {
            self.changed.insert(id);
        }
        self.record_removed(id.into(), Removed { at, instance, heartbeat });
    }

    /// Store version at which an entry was known to be removed.
    pub fn removed_at(&self, id: &str) -> Option<u64> {
        self.removed.get(id).map(|removed| removed.at)
    }

    fn record_removed(&mut self, id: Arc<str>, removed: Removed) {
        if self.removed.len() > MAX_REMOVED {
            self.removed.clear();
        }
        let newest = self.removed.entry(id).or_default();
        newest.at = removed.at.max(newest.at);
        if removed.instance > newest.instance {
            newest.heartbeat = 0;
        }
        newest.instance = removed.instance.max(newest.instance);
        newest.heartbeat = removed.heartbeat.max(newest.heartbeat);
    }

    /// Time until missing entries count as removed; `None` if none is missing.
    pub fn grace_left(&self, now: u64) -> Option<u64> {
        self.has_missing().then(|| self.grace_until.saturating_sub(now))
    }

    /// Removes missing entries if the grace period is over; returns whether there were any.
    pub fn sweep(&mut self, now: u64) -> bool {
        let before = self.known.len();
        if now >= self.grace_until {
            let missing = self.known.iter().filter(|(_, known)| known.missing);
            let missing: Vec<Arc<str>> = missing.map(|(id, _)| id.clone()).collect();
            let at = self.at;
            missing.iter().for_each(|id| self.remove(id, at));
        }
        self.known.len() < before
    }

    /// Whether there are missing entries that are being kept.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|known| known.missing)
    }

    /// The entries that were set or removed since [`Directory::take_changed`], each with the known
    /// one, whatever its state.
    pub fn changed(&self) -> impl Iterator<Item = (&Arc<str>, Option<&Entry>)> {
        self.changed.iter().map(|id| (id, self.known.get(id).map(|known| &known.entry)))
    }

    /// The entries that were set or removed since the last call, each with the one that takes new
    /// work now.
    pub fn take_changed(&mut self) -> Vec<(Arc<str>, Option<&Entry>)> {
        let changed = std::mem::take(&mut self.changed);
        let known = &self.known;
        let ready = |id: Arc<str>| {
            let entry = known.get(&id).map(|known| &known.entry);
            (id, entry.filter(|entry| entry.state == State::Ready))
        };
        changed.into_iter().map(ready).collect()
    }

    /// Endpoints that take new work.
    pub fn ready(&self) -> impl Iterator<Item = (&Arc<str>, &Entry)> {
        let known = self.known.iter().filter(|(_, known)| known.entry.state == State::Ready);
        known.map(|(id, known)| (id, &known.entry))
    }

    /// Number of known endpoints, whatever their state.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
