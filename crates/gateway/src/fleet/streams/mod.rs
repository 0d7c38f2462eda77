//! At which service and version streams began, for callers that take them up again at any box.
//!
//! The box that relays the first event of a stream remembers its origin and sends it to the stream's
//! homes, two other boxes, and to a box that writes it to the store. A box that is asked to take up a stream looks into its
//! own memory, asks those boxes that may be homes, and then reads the [`pages`] in the store. An origin is lost if all
//! three boxes end before it is written.

pub mod homes;
pub mod memory;
pub mod pages;
mod queue;

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared as SharedFuture, join_all},
};
use ledger::Incarnation;
use parking_lot::Mutex;
use platform::store::Client;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinSet,
    time::Instant,
};
use wire::{StreamKey, StreamOrigin, StreamRecord};
use xxhash_rust::xxh3::xxh3_128;

use crate::fleet::{bill_writers::BOXES_PER_WRITER, peers::Peers};
use homes::COPIES;
use memory::Memory;
use pages::{ORIGINS, Page, Pages};
use queue::{Held, Outbox, Queued};

/// Interval between two messages to a home.
const FLUSH_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that a request waits for homes to answer: many round trips between availability
/// zones.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time that a request waits for pages of the store. The read goes on.
const READ_WAIT: Duration = Duration::from_millis(400);
/// Time for which a read waits for further requests that want its result.
const READ_DELAY: Duration = Duration::from_millis(10);
/// Longest time that the head of a response waits until its origin is sent; a pause that callers do not notice.
const SEND_WAIT: Duration = Duration::from_millis(80);
/// Time without such waits after one that was in vain: the store does not answer in time.
const VAIN_WAIT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time to hand origins over before a planned stop.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a home that did not take origins is not sent any: it is silent, about to stop, or of an older
/// version.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval between two log lines about lost copies.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Origins in one message, which stays far below the largest one.
const MAX_RECORDS: usize = 1_024;

/// Key of the stream that an attempt of a customer began. Another customer's id yields another key.
pub fn key(customer: Option<&str>, attempt: &str) -> StreamKey {
    // The length first: it separates the two whatever bytes they contain.
    let length = customer.map_or(u64::MAX, |customer| customer.len() as u64);
    let customer = customer.unwrap_or_default();
    let bytes = [&length.to_le_bytes(), customer.as_bytes(), attempt.as_bytes()].concat();
    StreamKey(xxh3_128(&bytes))
}

/// What is known of a stream that is to be taken up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    /// This box knows its origin.
    Here(StreamOrigin),
    /// Another box knows its origin.
    AtHome(StreamOrigin),
    /// All boxes that were asked answered, and none knows it.
    Nowhere,
    /// No box knows it, but some did not answer, or no other box is known.
    Unheard,
}

impl Found {
    /// Name for log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            Found::Here(_) => "here",
            Found::AtHome(_) => "at_home",
            Found::Nowhere => "nowhere",
            Found::Unheard => "unheard",
        }
    }
}

/// Counters for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Streams that this box knows.
    pub known: usize,
    /// Copies of origins that no home took.
    pub lost: u64,
}

/// Origins of streams: those that this box knows, and those that it sends to their homes.
#[derive(Clone)]
pub struct Streams(Arc<Shared>);

struct Shared {
    peers: Peers,
    store: Client,
    pages: Pages,
    /// The last read of pages.
    read: Mutex<Option<Read>>,
    /// From when on responses wait for their origins again, after a wait in vain.
    waits_from: Mutex<Option<Instant>>,
    memory: Mutex<Memory>,
    outbox: Mutex<Outbox>,
    held: Mutex<Held>,
    /// Notified when something is queued.
    queued: Notify,
    /// Number of batches that are being sent.
    batches: watch::Sender<usize>,
    /// Homes that did not take origins, and until when they are sent none.
    avoided: Mutex<HashMap<Incarnation, Instant>>,
    losses: Mutex<Losses>,
}

/// A read of pages, to come or ended, for all who wanted its result before it began.
#[derive(Clone)]
struct Read {
    /// Whether the store answered.
    result: SharedFuture<BoxFuture<'static, bool>>,
    begins: Instant,
}

/// Copies of origins that no home took.
#[derive(Default)]
struct Losses {
    total: u64,
    /// Those that are not in a log line yet, and when the last line was written.
    unlogged: u64,
    logged: Option<Instant>,
}

/// Who is told of an origin, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tell {
    /// Homes and the store, at once.
    Now,
    /// Homes at once: the store is out of reach. It is told as with [`Tell::Later`].
    Homes,
    /// Only if [`Streams::tell`] asks for it: anybody can say where streams of the service begin.
    Later,
}

/// An origin for one home.
struct Copy {
    queued: Queued,
    /// The box that is sent the origin if the home does not take it.
    substitute: Option<Incarnation>,
}

type Groups = HashMap<Incarnation, Vec<Copy>>;

/// Origins taken from the queue; counted as being sent until dropped.
struct Batch {
    streams: Streams,
    queued: Vec<Queued>,
    /// Set once they have been sent.
    is_sent: watch::Sender<bool>,
}

/// Tells when an origin has been sent.
#[derive(Debug)]
pub struct Sent(watch::Receiver<bool>);

impl Drop for Batch {
    fn drop(&mut self) {
        self.streams.0.batches.send_modify(|batches| *batches -= 1);
    }
}

impl Streams {
    /// Knows no streams yet; [`Streams::run`] sends what is recorded.
    pub fn open(peers: Peers, store: Client) -> Streams {
        Streams(Arc::new(Shared {
            pages: Pages::open(peers.me().clone()),
            peers,
            store,
            read: Mutex::default(),
            waits_from: Mutex::default(),
            memory: Mutex::new(Memory::new(Instant::now())),
            outbox: Mutex::default(),
            held: Mutex::default(),
            queued: Notify::new(),
            batches: watch::Sender::new(0),
            avoided: Mutex::default(),
            losses: Mutex::default(),
        }))
    }

    /// Writes origins to the store for as long as the box runs.
    pub async fn run_pages(self) {
        let Shared { pages, peers, store, .. } = &*self.0;
        let writers = || peers.len().div_ceil(BOXES_PER_WRITER);
        pages.run(store.clone(), writers).await;
    }

    /// Sends origins to homes for as long as the box runs.
    pub async fn run(self) {
        let (mut sending, mut last_flush) = (JoinSet::new(), Instant::now());
        loop {
            self.0.queued.notified().await;
            tokio::time::sleep_until(last_flush + FLUSH_INTERVAL).await;
            last_flush = Instant::now();
            // Each batch ends within two timeouts, so there are few at a time.
            if let Some(batch) = self.take_queued() {
                sending.spawn(deliver(batch));
            }
            while sending.try_join_next().is_some() {}
        }
    }

    /// Remembers the origin of a stream that this box relays, and queues it for its homes or holds it back. Renews a
    /// known one. What it returns tells when all that was queued has been sent.
    pub fn record(&self, key: StreamKey, origin: StreamOrigin, tell: Tell) -> Option<Sent> {
        let began = Instant::now();
        let queued = Queued { key, origin, began, is_stored: true };
        self.0.memory.lock().insert(&queued.record(), began);
        match tell {
            Tell::Now => Some(self.queue([queued])),
            Tell::Homes => {
                self.0.held.lock().push(queued.clone(), true);
                self.queue([Queued { is_stored: false, ..queued }]);
                None
            }
            Tell::Later => {
                self.0.held.lock().push(queued, false);
                None
            }
        }
    }

    /// Waits until an origin has been sent: the store knows it then, unless that does not answer. Waits no more for a
    /// while after a wait was in vain.
    pub async fn wait_sent(&self, sent: Sent) {
        if self.0.waits_from.lock().is_some_and(|from| Instant::now() < from) {
            return;
        }
        let Sent(mut is_sent) = sent;
        let wait = tokio::time::timeout(SEND_WAIT, is_sent.wait_for(|is_sent| *is_sent));
        if wait.await.is_err() {
            *self.0.waits_from.lock() = Some(Instant::now() + VAIN_WAIT_INTERVAL);
        }
    }

    /// Services of origins that are held back.
    pub fn held_services(&self) -> Vec<Arc<str>> {
        self.0.held.lock().services()
    }

    /// Queues the origins of a service that are held back.
    pub fn tell(&self, service: &str) {
        let held = self.0.held.lock().take(service);
        if !held.is_empty() {
            tracing::info!(event = "stream_origins_told", service, streams = held.len());
        }
        self.queue(held);
    }

    /// Queues the origins of a service for homes only, and goes on holding them back.
    pub fn tell_homes(&self, service: &str) {
        let untold = self.0.held.lock().take_untold(service);
        if !untold.is_empty() {
            tracing::info!(event = "stream_origins_told", service, streams = untold.len());
            self.queue(untold.into_iter().map(|queued| Queued { is_stored: false, ..queued }));
        }
    }

    fn queue(&self, origins: impl IntoIterator<Item = Queued>) -> Sent {
        let mut outbox = self.0.outbox.lock();
        origins.into_iter().for_each(|queued| outbox.push(queued));
        let sent = Sent(outbox.is_sent.subscribe());
        drop(outbox);
        self.0.queued.notify_one();
        sent
    }

    /// Remembers origins that another box sent.
    pub fn receive(&self, records: &[StreamRecord]) {
        let now = Instant::now();
        let mut memory = self.0.memory.lock();
        records.iter().for_each(|record| memory.insert(record, now));
    }

    /// What this box itself knows of streams.
    pub fn known(&self, keys: &[StreamKey]) -> Vec<StreamRecord> {
        let now = Instant::now();
        let memory = self.0.memory.lock();
        keys.iter().filter_map(|key| memory.get(*key, now)).collect()
    }

    /// Finds the origin of a stream, here or at its homes.
    pub async fn find(&self, key: StreamKey, deadline: Instant) -> Found {
        if let Some(record) = self.known(&[key]).pop() {
            return Found::Here(record.origin);
        }
        let began = Instant::now();
        let deadline = deadline.min(began + FIND_TIMEOUT);
        let found = tokio::time::timeout_at(deadline, self.ask_homes(key)).await;
        let found = found.unwrap_or(Found::Unheard);
        tracing::info!(
            event = "stream_sought",
            key = format!("{:032x}", key.0),
            found = found.as_str(),
            took_ms = began.elapsed().as_millis() as u64,
        );
        found
    }

    /// Asks the boxes that may know a stream, until the first one does.
    async fn ask_homes(&self, key: StreamKey) -> Found {
        let peers = &self.0.peers;
        let homes = peers.stream_homes().asked(key, peers.me());
        if homes.is_empty() {
            return Found::Unheard;
        }
        let (sender, mut answers) = mpsc::channel(homes.len());
        for home in homes {
            let (peers, sender) = (peers.clone(), sender.clone());
            // On its own: a short deadline of the request says nothing about the box.
            tokio::spawn(async move {
                let answer = peers.find_streams(&home, vec![key], FIND_TIMEOUT).await;
                // Fails if another box was faster, or the deadline has passed.
                let _ = sender.send(answer).await;
            });
        }
        drop(sender);
        let mut all_answered = true;
        while let Some(answer) = answers.recv().await {
            let record = answer.as_ref().and_then(|records| records.iter().find(|r| r.key == key));
            if let Some(record) = record {
                self.receive(std::slice::from_ref(record));
                return Found::AtHome(record.origin.clone());
            }
            all_answered &= answer.is_some();
        }
        match all_answered {
            true => Found::Nowhere,
            false => Found::Unheard,
        }
    }

    /// Writes origins from another box to the store, and waits for it, for a limited time.
    pub async fn keep(&self, records: Vec<StreamRecord>) {
        self.0.pages.keep(records).await;
    }

    /// Finds the origin of a stream that no box knows in the store.
    pub async fn find_stored(&self, key: StreamKey, deadline: Instant) -> Found {
        let until = deadline.min(Instant::now() + READ_WAIT);
        let is_read = tokio::time::timeout_at(until, self.read_pages()).await;
        match self.known(&[key]).pop() {
            Some(record) => Found::Here(record.origin),
            None if is_read == Ok(true) => Found::Nowhere,
            None => Found::Unheard,
        }
    }

    /// Reads all pages; returns whether the store answered. One read serves all who ask before it begins.
    fn read_pages(&self) -> SharedFuture<BoxFuture<'static, bool>> {
        let now = Instant::now();
        let mut read = self.0.read.lock();
        if let Some(next) = read.as_ref().filter(|read| read.begins > now) {
            return next.result.clone();
        }
        let begins = now + READ_DELAY;
        let streams = self.clone();
        // A task of its own, because whoever asks first may give up before the others.
        let task = tokio::spawn(async move {
            tokio::time::sleep_until(begins).await;
            streams.read_pages_now().await
        });
        let result = task.map(|result| result.unwrap_or(false)).boxed().shared();
        *read = Some(Read { result: result.clone(), begins });
        result
    }

    async fn read_pages_now(&self) -> bool {
        let list = match self.0.store.list_all(ORIGINS).await {
            Ok(list) => list,
            Err(error) => {
                tracing::warn!(event = "stream_origins_not_read", %error);
                return false;
            }
        };
        let records: Vec<StreamRecord> = list
            .objects
            .iter()
            .flat_map(|object| Page::read(object).records().collect::<Vec<_>>())
            .collect();
        let (pages, streams) = (list.objects.len(), records.len());
        tracing::info!(event = "stream_origins_read", pages, streams);
        self.receive(&records);
        true
    }

    /// Sends origins to the box that writes them to the store, or to the next one.
    async fn store(&self, records: Vec<StreamRecord>) {
        if records.is_empty() {
            return;
        }
        let peers = &self.0.peers;
        for writer in peers.bill_writers() {
            if writer == *peers.me() {
                return self.0.pages.keep(records).await;
            }
            if peers.keep_streams(&writer, records.clone()).await {
                return;
            }
        }
        // Nobody else takes them.
        self.0.pages.keep(records).await;
    }

    /// Sends what is queued, and waits until all that was queued before is sent.
    pub async fn flush(&self) {
        if let Some(batch) = self.take_queued() {
            deliver(batch).await;
        }
        // Fails only without a sender, and this box is one.
        let _ = self.0.batches.subscribe().wait_for(|batches| *batches == 0).await;
    }

    /// Before a planned stop: sends all that this box knows to other homes, for a limited time, except for streams of
    /// services of which anybody can say where they begin.
    pub async fn hand_over(&self, is_needless: impl Fn(&Arc<str>) -> bool) {
        let now = Instant::now();
        let records = self.0.memory.lock().all(now);
        let began = |record: &StreamRecord| now.checked_sub(Duration::from_millis(record.age_ms));
        let queued = records.into_iter().filter(|record| !is_needless(&record.origin.service));
        let queued: Vec<Queued> = queued
            .map(|record| Queued {
                began: began(&record).unwrap_or(now),
                key: record.key,
                origin: record.origin,
                is_stored: true,
            })
            .collect();
        let streams = queued.len();
        let sending = async {
            if !queued.is_empty() {
                self.0.batches.send_modify(|batches| *batches += 1);
                let is_sent = watch::Sender::default();
                deliver(Batch { streams: self.clone(), queued, is_sent }).await;
            }
            self.flush().await;
        };
        let is_done = tokio::time::timeout(HAND_OVER_TIMEOUT, sending).await.is_ok();
        tracing::info!(event = "streams_handed_over", streams, is_done);
    }

    pub fn counts(&self) -> Counts {
        Counts { known: self.0.memory.lock().len(), lost: self.0.losses.lock().total }
    }

    fn take_queued(&self) -> Option<Batch> {
        let mut outbox = self.0.outbox.lock();
        let Outbox { queued, dropped, is_sent } = std::mem::take(&mut *outbox);
        // Each would have been sent to all its homes.
        self.count_lost(dropped * COPIES as u64, "queue_full");
        if queued.is_empty() {
            return None;
        }
        // Under the lock: whoever finds the queue empty then waits for this batch.
        self.0.batches.send_modify(|batches| *batches += 1);
        Some(Batch { streams: self.clone(), queued, is_sent })
    }

    /// Groups origins by the boxes to send them to. A home that recently did not answer, or did not take
    /// origins, is replaced at once.
    fn group(&self, batch: &[Queued]) -> Groups {
        let peers = &self.0.peers;
        let homes = peers.stream_homes();
        let mut groups = Groups::new();
        let mut lost = 0;
        for queued in batch {
            let recipients = homes.recipients(queued.key, peers.me());
            for copy in 0..COPIES.min(recipients.len()) {
                let boxes = [recipients.get(copy), recipients.get(copy + COPIES)];
                let mut usable = boxes.into_iter().flatten().filter(|home| self.is_usable(home));
                let Some(home) = usable.next() else {
                    lost += 1;
                    continue;
                };
                let copy = Copy { queued: queued.clone(), substitute: usable.next().cloned() };
                groups.entry(home.clone()).or_default().push(copy);
            }
        }
        self.count_lost(lost, "no_home_usable");
        groups
    }

    fn is_usable(&self, home: &Incarnation) -> bool {
        let avoided_until = self.0.avoided.lock().get(home).copied();
        self.0.peers.is_reachable(home) && avoided_until.is_none_or(|end| end <= Instant::now())
    }

    fn avoid(&self, home: &Incarnation) {
        let now = Instant::now();
        let mut avoided = self.0.avoided.lock();
        avoided.retain(|_, end| *end > now);
        avoided.insert(home.clone(), now + RETRY_DELAY);
    }

    /// Sends origins to one home, and those that it does not take to their substitutes.
    async fn send(&self, home: Incarnation, copies: Vec<Copy>) {
        if self.try_send(&home, &copies).await {
            return;
        }
        let mut groups = Groups::new();
        let mut lost = 0;
        for mut copy in copies {
            match copy.substitute.take() {
                Some(substitute) => groups.entry(substitute).or_default().push(copy),
                None => lost += 1,
            }
        }
        self.count_lost(lost, "no_substitute");
        let send_again = |(substitute, copies): (Incarnation, Vec<Copy>)| async move {
            if !self.try_send(&substitute, &copies).await {
                self.count_lost(copies.len() as u64, "not_taken");
            }
        };
        join_all(groups.into_iter().map(send_again)).await;
    }

    /// Returns whether a box took all of the origins.
    async fn try_send(&self, home: &Incarnation, copies: &[Copy]) -> bool {
        for part in copies.chunks(MAX_RECORDS) {
            let records = part.iter().map(|copy| copy.queued.record()).collect();
            if !self.0.peers.record_streams(home, records).await {
                self.avoid(home);
                return false;
            }
        }
        true
    }

    fn count_lost(&self, copies: u64, reason: &'static str) {
        if copies == 0 {
            return;
        }
        let now = Instant::now();
        let mut losses = self.0.losses.lock();
        losses.total += copies;
        losses.unlogged += copies;
        if losses.logged.is_none_or(|logged| now >= logged + LOG_INTERVAL) {
            tracing::warn!(event = "stream_origins_lost", copies = losses.unlogged, reason);
            losses.unlogged = 0;
            losses.logged = Some(now);
        }
    }
}

/// Sends a batch of origins to their homes and to the box that writes them to the store.
async fn deliver(batch: Batch) {
    let streams = &batch.streams;
    let groups = streams.group(&batch.queued);
    let sending = join_all(groups.into_iter().map(|(home, copies)| streams.send(home, copies)));
    let stored = batch.queued.iter().filter(|queued| queued.is_stored);
    let records = stored.map(Queued::record).collect();
    tokio::join!(sending, streams.store(records));
    batch.is_sent.send_replace(true);
}
