//! Which software versions of each service were seen lately, from the entries of endpoints.
//!
//! A version counts for some time after its last endpoint left: streams that it began may still be
//! taken up. The history of a box is only as long as it looked without a break; what came and went
//! while it did not look is unknown.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

/// Longest time without a look that is no break, in milliseconds: a box that looks gets heartbeats
/// twice a second, and loses up to 2 s when it changes its source. Streams may begin at an endpoint that
/// this box has not seen as soon as others see it.
const MAX_BREAK_MS: u64 = 3_000;

/// Longest time since the last look after which the store is taken for reachable, in milliseconds: three heartbeats.
const MAX_AGE_MS: u64 = 1_500;

/// What is known of the versions of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// No endpoint lately.
    Nothing,
    /// Several versions within the time that counts.
    Several,
    /// One version, the only one since `since_ms`.
    Sole { version: Arc<str>, since_ms: u64 },
}

/// An endpoint that is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    pub service: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
}

/// Versions by service. Times are milliseconds of one monotonic clock.
#[derive(Debug)]
pub struct VersionHistory {
    /// How long a version counts after it was last seen.
    memory_ms: u64,
    /// Listed endpoints by id, whether they accept requests or not.
    endpoints: HashMap<Arc<str>, Listed>,
    services: HashMap<Arc<str>, Service>,
    last_look_ms: u64,
    /// Since when it has looked without a break.
    unbroken_since_ms: u64,
}

#[derive(Debug)]
struct Service {
    versions: BTreeMap<Arc<str>, Version>,
    /// No other versions than these were seen since then.
    since_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Version {
    /// Number of listed endpoints.
    endpoints: usize,
    /// When there was one last, if there is none now.
    last_seen_ms: u64,
}

impl Version {
    fn counts(&self, memory_ms: u64, now_ms: u64) -> bool {
        self.endpoints > 0 || self.last_seen_ms.saturating_add(memory_ms) > now_ms
    }
}

impl Service {
    /// Forgets versions that no longer count.
    fn forget(&mut self, memory_ms: u64, now_ms: u64) {
        let since_ms = &mut self.since_ms;
        self.versions.retain(|_, version| {
            let counts = version.counts(memory_ms, now_ms);
            if !counts {
                *since_ms = version.last_seen_ms.max(*since_ms);
            }
            counts
        });
    }
}

impl VersionHistory {
    /// Starts without knowledge; a version counts for `memory_ms` after it was last seen.
    pub fn new(memory_ms: u64) -> VersionHistory {
        VersionHistory {
            memory_ms,
            endpoints: HashMap::new(),
            services: HashMap::new(),
            last_look_ms: 0,
            unbroken_since_ms: 0,
        }
    }

    /// All listed endpoints were known at this time. What came and went since the last look is unknown
    /// if that is too long ago.
    pub fn look(&mut self, now_ms: u64) {
        if self.is_broken(now_ms) {
            self.unbroken_since_ms = now_ms;
            self.services.values_mut().for_each(|service| service.since_ms = now_ms);
        }
        self.last_look_ms = now_ms.max(self.last_look_ms);
        let memory_ms = self.memory_ms;
        self.services.retain(|_, service| {
            service.forget(memory_ms, now_ms);
            !service.versions.is_empty()
        });
    }

    /// Takes over changed endpoints, `None` for those that are no longer listed; returns whether a
    /// service gained or lost a version. Costs by the changes, not by the endpoints known.
    pub fn apply(&mut self, changes: Vec<(Arc<str>, Option<Listed>)>, now_ms: u64) -> bool {
        let mut is_changed = false;
        for (id, listed) in changes {
            if self.endpoints.get(&id) == listed.as_ref() {
                continue;
            }
            // The new version first: one that replaces another under the same id is a second one.
            if let Some(listed) = &listed {
                is_changed |= self.add(listed, now_ms);
            }
            let before = match listed {
                Some(listed) => self.endpoints.insert(id, listed),
                None => self.endpoints.remove(&id),
            };
            if let Some(before) = before {
                is_changed |= self.remove(&before, now_ms);
            }
        }
        is_changed
    }

    fn add(&mut self, Listed { service, version }: &Listed, now_ms: u64) -> bool {
        let versions = BTreeMap::new();
        let new = || Service { versions, since_ms: now_ms };
        let service = self.services.entry(service.clone()).or_insert_with(new);
        service.forget(self.memory_ms, now_ms);
        let version = service.versions.entry(version.clone()).or_default();
        version.endpoints += 1;
        version.endpoints == 1
    }

    fn remove(&mut self, Listed { service, version }: &Listed, now_ms: u64) -> bool {
        let service = self.services.get_mut(service);
        let Some(version) = service.and_then(|service| service.versions.get_mut(version)) else {
            return false;
        };
        version.endpoints = version.endpoints.saturating_sub(1);
        version.last_seen_ms = now_ms;
        version.endpoints == 0
    }

    /// What is known of a service.
    pub fn seen(&self, service: &str, now_ms: u64) -> Seen {
        let Some(service) = self.services.get(service) else { return Seen::Nothing };
        let mut since_ms = service.since_ms;
        let mut counting = Vec::new();
        for (name, version) in &service.versions {
            match version.counts(self.memory_ms, now_ms) {
                true => counting.push(name),
                false => since_ms = version.last_seen_ms.max(since_ms),
            }
        }
        match counting[..] {
            [] => Seen::Nothing,
            [version] if self.is_broken(now_ms) => {
                Seen::Sole { version: version.clone(), since_ms: now_ms }
            }
            [version] => Seen::Sole { version: version.clone(), since_ms },
            _ => Seen::Several,
        }
    }

    /// The version of a service that was the only one for as long as versions count.
    pub fn lasting(&self, service: &str, now_ms: u64) -> Option<Arc<str>> {
        match self.seen(service, now_ms) {
            Seen::Sole { version, since_ms } if now_ms >= since_ms + self.memory_ms => {
                Some(version)
            }
            Seen::Sole { .. } | Seen::Several | Seen::Nothing => None,
        }
    }

    /// How long a version counts after it was last seen, in milliseconds.
    pub fn memory_ms(&self) -> u64 {
        self.memory_ms
    }

    /// Versions of a service that have endpoints now.
    pub fn listed(&self, service: &str) -> BTreeSet<Arc<str>> {
        let versions = self.services.get(service).into_iter().flat_map(|it| &it.versions);
        let listed = versions.filter(|(_, version)| version.endpoints > 0);
        listed.map(|(name, _)| name.clone()).collect()
    }

    /// How long a version has had no endpoint, as far as this box has seen without a break.
    pub fn unlisted_ms(&self, service: &str, version: &str, now_ms: u64) -> u64 {
        let versions = self.services.get(service).map(|it| &it.versions);
        let last_seen_ms = match versions.and_then(|versions| versions.get(version)) {
            Some(version) if version.endpoints > 0 => now_ms,
            Some(version) => version.last_seen_ms,
            None => 0,
        };
        self.unbroken_ms(now_ms).min(now_ms.saturating_sub(last_seen_ms))
    }

    /// For how long this box has looked without a break.
    pub fn unbroken_ms(&self, now_ms: u64) -> u64 {
        match self.is_broken(now_ms) {
            true => 0,
            false => now_ms.saturating_sub(self.unbroken_since_ms),
        }
    }

    /// Whether this box has seen a version of a service lately.
    pub fn has_seen(&self, service: &str, version: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.versions.contains_key(version))
    }

    /// Whether this box looked a moment ago, so that it can read the store.
    pub fn is_current(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_look_ms) <= MAX_AGE_MS
    }

    fn is_broken(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_look_ms) > MAX_BREAK_MS
    }
}
