//! Bounded memory of where streams began.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;
use wire::{StreamKey, StreamOrigin, StreamRecord};

/// How long the origin of a stream is kept after it began or was renewed.
pub const STREAM_TTL: Duration = Duration::from_secs(60);
/// Maximum number of streams; the oldest is forgotten first.
pub const MAX_STREAMS: usize = 65_536;
/// Number of distinct origins above which unused ones are removed.
const MIN_ORIGINS: usize = 64;

/// Origins of streams.
#[derive(Debug)]
pub struct Memory {
    opened: Instant,
    known: HashMap<StreamKey, Known>,
    /// Streams by the time of their renewal.
    by_age: BTreeSet<(u64, StreamKey)>,
    /// Each distinct origin once.
    origins: HashSet<Arc<StreamOrigin>>,
    /// Number of distinct origins at which unused ones are removed.
    max_origins: usize,
}

#[derive(Debug)]
struct Known {
    origin: Arc<StreamOrigin>,
    /// When the stream began or was renewed, by [`Memory::time`].
    renewed: u64,
}

impl Memory {
    pub fn new(now: Instant) -> Memory {
        let (known, by_age, origins) = Default::default();
        Memory { opened: now, known, by_age, origins, max_origins: MIN_ORIGINS }
    }

    /// Remembers a stream; one that is known is renewed if the record is newer.
    pub fn insert(&mut self, record: &StreamRecord, now: Instant) {
        self.remove_expired(now);
        let renewed = self.time(now).saturating_sub(record.age_ms);
        let is_expired = record.age_ms >= STREAM_TTL.as_millis() as u64;
        let known = self.known.get(&record.key);
        if is_expired || known.is_some_and(|known| known.renewed > renewed) {
            return;
        }
        let origin = self.intern(&record.origin);
        if let Some(previous) = self.known.insert(record.key, Known { origin, renewed }) {
            self.by_age.remove(&(previous.renewed, record.key));
        }
        self.by_age.insert((renewed, record.key));
        if self.known.len() > MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// What is known of a stream.
    pub fn get(&self, key: StreamKey, now: Instant) -> Option<StreamRecord> {
        let known = self.known.get(&key)?;
        let age_ms = self.time(now).saturating_sub(known.renewed);
        let is_kept = age_ms < STREAM_TTL.as_millis() as u64;
        is_kept.then(|| StreamRecord { key, origin: (*known.origin).clone(), age_ms })
    }

    /// What is known of all streams.
    pub fn all(&self, now: Instant) -> Vec<StreamRecord> {
        self.known.keys().filter_map(|key| self.get(*key, now)).collect()
    }

    /// Number of streams, including expired ones until the next is inserted.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of distinct origins.
    pub fn origins(&self) -> usize {
        self.origins.len()
    }

    /// Milliseconds on a clock that was at [`STREAM_TTL`] when the memory was created, so that records
    /// may be older than it.
    fn time(&self, now: Instant) -> u64 {
        (STREAM_TTL + now.saturating_duration_since(self.opened)).as_millis() as u64
    }

    fn remove_expired(&mut self, now: Instant) {
        let oldest_kept = self.time(now) - STREAM_TTL.as_millis() as u64;
        while self.by_age.first().is_some_and(|(renewed, _)| *renewed <= oldest_kept) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_first() {
            self.known.remove(&key);
        }
    }

    fn intern(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.origins.get(origin) {
            return known.clone();
        }
        if self.origins.len() >= self.max_origins {
            self.origins.retain(|origin| Arc::strong_count(origin) > 1);
            self.max_origins = MIN_ORIGINS.max(2 * self.origins.len());
        }
        let origin = Arc::new(origin.clone());
        self.origins.insert(origin.clone());
        origin
    }
}
