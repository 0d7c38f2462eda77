//! Origins of streams in the store, for the time after all boxes that remembered them died.
//!
//! One box in many writes them for all, in pages that it extends for a second and deletes once nobody can take up their
//! streams any more. What a page says of a stream stays true, whatever happens to the store: one that is lost, late or
//! gone with a copy makes a stream unknown, never another one's.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use ledger::Incarnation;
use objects::{Expect, Object, Store, Write};
use parking_lot::Mutex;
use platform::store::{Client, Put};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, sleep_until},
};
use wire::{StreamKey, StreamOrigin, StreamRecord};

use super::memory::STREAM_TTL;

/// Kind of the objects, which are named after the box that writes them.
pub const ORIGINS: &str = "streamorigins";
/// Time in which one page is extended.
const PAGE_TIME: Duration = Duration::from_secs(1);
/// Origins of one page; more go into the next one.
const MAX_PAGE: usize = 2_048;
/// Shortest time between two writes of a fleet with one writer; more writers take turns.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Longest wait of another box until its origins are in the store: less than it waits for the answer.
const KEEP_WAIT: Duration = Duration::from_millis(120);
/// Oldest stream that is written: most end sooner.
const MAX_AGE: Duration = Duration::from_secs(20);
/// Origins that wait for a write; the oldest is dropped first.
const MAX_WAITING: usize = 16_384;
/// Interval between two looks for pages of other writers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);
/// Time after such a look at which those that are still the same are deleted.
const LEFT_TTL: Duration = Duration::from_secs(2 * STREAM_TTL.as_secs());
/// Pause after a failed write; doubles.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Streams of one service and version in a page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Group {
    service: Arc<str>,
    version: Arc<str>,
    /// Keys, in hexadecimal.
    streams: Vec<String>,
}

/// What a page holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    groups: Vec<Group>,
}

impl Page {
    /// A page of these streams.
    pub fn of(records: &[StreamRecord]) -> Page {
        let mut by_origin: BTreeMap<(&str, &str), Vec<String>> = BTreeMap::new();
        for StreamRecord { key: StreamKey(key), origin, .. } in records {
            let of_origin = by_origin.entry((&origin.service, &origin.version)).or_default();
            of_origin.push(format!("{key:032x}"));
        }
        let group = |((service, version), streams): ((&str, &str), _)| Group {
            service: service.into(),
            version: version.into(),
            streams,
        };
        Page { groups: by_origin.into_iter().map(group).collect() }
    }

    /// The page in an object; an empty one if it cannot be read.
    pub fn read(object: &Object) -> Page {
        serde_json::from_str(&object.value).unwrap_or_else(|error| {
            tracing::warn!(event = "entry_unreadable", kind = ORIGINS, name = &*object.name, %error);
            Page::default()
        })
    }

    /// The JSON text of its object.
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("pages always serialize")
    }

    /// The streams, as if they began now.
    pub fn records(&self) -> impl Iterator<Item = StreamRecord> {
        self.groups.iter().flat_map(|group| {
            let Group { service, version, streams } = group;
            let keys = streams.iter().filter_map(|key| read_key(key));
            keys.map(|key| {
                let origin = StreamOrigin { service: service.clone(), version: version.clone() };
                StreamRecord { key: StreamKey(key), origin, age_ms: 0 }
            })
        })
    }
}

fn read_key(text: &str) -> Option<u128> {
    let key = u128::from_str_radix(text, 16);
    key.inspect_err(|error| tracing::warn!(event = "stream_key_unreadable", %error)).ok()
}

/// A page that this box wrote.
struct Written {
    name: Arc<str>,
    version: u64,
    records: Vec<StreamRecord>,
    opened: Instant,
}

#[derive(Default)]
struct Waiting {
    records: VecDeque<StreamRecord>,
    /// Dropped since the last write.
    dropped: usize,
    /// Number of the last call that added any.
    added: u64,
}

/// Pages of this box.
pub struct Pages {
    me: Incarnation,
    waiting: Mutex<Waiting>,
    queued: Notify,
    /// Number of the last call whose origins, and those of all before, are in the store.
    landed: watch::Sender<u64>,
}

impl Pages {
    pub fn open(me: Incarnation) -> Pages {
        let (waiting, queued) = (Mutex::default(), Notify::new());
        Pages { me, waiting, queued, landed: watch::Sender::new(0) }
    }

    /// Writes origins, and waits until they are in the store, for a limited time.
    pub async fn keep(&self, records: Vec<StreamRecord>) {
        let number = self.add(records);
        let mut landed = self.landed.subscribe();
        let landing = landed.wait_for(|landed| *landed >= number);
        // Else they are written later.
        let _ = tokio::time::timeout(KEEP_WAIT, landing).await;
    }

    /// Queues origins for the next write; returns the number of this call.
    fn add(&self, records: impl IntoIterator<Item = StreamRecord>) -> u64 {
        let max_age_ms = MAX_AGE.as_millis() as u64;
        let mut waiting = self.waiting.lock();
        waiting.records.extend(records.into_iter().filter(|record| record.age_ms < max_age_ms));
        while waiting.records.len() > MAX_WAITING {
            waiting.records.pop_front();
            waiting.dropped += 1;
        }
        waiting.added += 1;
        let number = waiting.added;
        drop(waiting);
        self.queued.notify_one();
        number
    }

    /// Takes all that waits, with the number of the last call.
    fn take(&self) -> (Vec<StreamRecord>, u64) {
        let mut waiting = self.waiting.lock();
        let dropped = std::mem::take(&mut waiting.dropped);
        if dropped > 0 {
            tracing::warn!(event = "stream_origins_not_stored", dropped);
        }
        (std::mem::take(&mut waiting.records).into(), waiting.added)
    }

    /// Writes pages for as long as the box runs; `writers` tells how many boxes do.
    pub async fn run(&self, store: Client, writers: impl Fn() -> usize) {
        let (written, count, left) = Default::default();
        let mut writer = Writer { pages: self, store, written, count, left, swept: None };
        let mut eras = writer.store.eras();
        let (mut pause, mut last_write) = (MIN_PAUSE, Instant::now());
        loop {
            tokio::select! {
                () = self.queued.notified() => {}
                () = writer.left_expired() => {
                    writer.delete_left().await;
                    continue;
                }
                () = writer.expired() => {
                    writer.delete_expired().await;
                    continue;
                }
                Ok(()) = eras.changed() => writer.write_again(),
            }
            sleep_until(last_write + WRITE_INTERVAL * writers().max(1) as u32).await;
            last_write = Instant::now();
            pause = match writer.write().await {
                true => MIN_PAUSE,
                false => {
                    sleep(pause).await;
                    (pause * 2).min(MAX_PAUSE)
                }
            };
        }
    }
}

/// Writes the pages of a box.
struct Writer<'a> {
    pages: &'a Pages,
    store: Client,
    /// Oldest first; the last one may be extended.
    written: VecDeque<Written>,
    /// Number of pages that were begun.
    count: u64,
    /// Pages of other writers, with their versions, as they were at the last look.
    left: Vec<(Arc<str>, u64)>,
    /// When it looked for them.
    swept: Option<Instant>,
}

impl Writer<'_> {
    /// Writes what waits; returns whether the store took it.
    async fn write(&mut self) -> bool {
        let (new, number) = self.pages.take();
        if new.is_empty() {
            return true;
        }
        let is_extended = |page: &&mut Written| {
            page.opened.elapsed() < PAGE_TIME && page.records.len() + new.len() <= MAX_PAGE
        };
        let (name, expect, records, opened) = match self.written.back_mut().filter(is_extended) {
            Some(page) => {
                let records = [&page.records[..], &new].concat();
                (page.name.clone(), Expect::Version(page.version), records, page.opened)
            }
            None => {
                self.count += 1;
                let name = format!("{}-{}", self.pages.me.as_str(), self.count);
                (name.into(), Expect::Absent, new.clone(), Instant::now())
            }
        };
        let text = Page::of(&records).text();
        let put = self.store.replace(ORIGINS, &name, &text, expect).await;
        if expect != Expect::Absent {
            self.written.pop_back();
        }
        match put {
            Put::Landed(version) => {
                self.written.push_back(Written { name, version, records, opened });
                self.pages.landed.send_replace(number);
                self.look_for_left().await;
                true
            }
            Put::Refused(_) | Put::Failed(_) | Put::Unknown(_) => {
                tracing::info!(event = "stream_origins_delayed", streams = records.len(), ?put);
                // In a page of its own the next time: nobody knows what became of this one.
                self.pages.add(records);
                false
            }
        }
    }

    /// The store may have lost all of them.
    fn write_again(&mut self) {
        let lost = std::mem::take(&mut self.written);
        self.pages.add(lost.into_iter().flat_map(|page| page.records));
    }

    /// Looks for pages that boxes which ended may have left, if the last look was long ago.
    async fn look_for_left(&mut self) {
        if self.swept.is_some_and(|at| at.elapsed() < SWEEP_INTERVAL) {
            return;
        }
        self.swept = Some(Instant::now());
        match self.store.list_all(ORIGINS).await {
            Ok(list) => {
                let own = format!("{}-", self.pages.me.as_str());
                let others = list.objects.into_iter().filter(|page| !page.name.starts_with(&own));
                self.left = others.map(|page| (page.name, page.version)).collect();
            }
            Err(error) => tracing::info!(event = "stream_origins_not_read", %error),
        }
    }

    /// Waits until pages of others that nobody has extended are needed no more.
    async fn left_expired(&self) {
        match self.swept.filter(|_| !self.left.is_empty()) {
            Some(at) => sleep_until(at + LEFT_TTL).await,
            None => std::future::pending().await,
        }
    }

    async fn delete_left(&mut self) {
        for (name, version) in std::mem::take(&mut self.left) {
            // Refused if it was extended, or deleted by its writer.
            let deleted = self.store.delete(ORIGINS, &name, version).await;
            tracing::info!(event = "stream_origins_removed", name = &*name, ?deleted);
        }
    }

    /// Waits until the oldest page is needed no more.
    async fn expired(&self) {
        match self.written.front() {
            Some(page) => sleep_until(page.opened + STREAM_TTL).await,
            None => std::future::pending().await,
        }
    }

    async fn delete_expired(&mut self) {
        let Some(page) = self.written.pop_front() else { return };
        let deleted = self.store.delete(ORIGINS, &page.name, page.version).await;
        if !matches!(deleted, Write::Landed(_)) {
            tracing::info!(event = "stream_origins_left", name = &*page.name, ?deleted);
        }
    }
}
