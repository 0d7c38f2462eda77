//! At which versions of a service streams may begin, and whether all began at the same one.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use objects::{Object, Store};
use parking_lot::Mutex;
use platform::{store::Client, version};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep_until, timeout_at},
};

use super::{
    history::{Listed, Seen, VersionHistory},
    record::{Known, Record, VERSIONS, Versions},
};
use crate::clock::Moment;

/// Longest time that a request waits for a read of the store. The read goes on.
const READ_WAIT: Duration = Duration::from_millis(300);
/// Time for which a read waits for further requests that want its result.
const READ_DELAY: Duration = Duration::from_millis(5);
/// Interval at which a box that knows no record of a service looks for one in the background.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// What this box knows of the versions of services. Clones share it.
#[derive(Clone)]
pub struct SoleVersions(Arc<Inner>);

struct Inner {
    history: Mutex<VersionHistory>,
    records: Mutex<HashMap<Arc<str>, Known>>,
    store: Client,
    started: Moment,
    /// The last read of each service.
    reads: Mutex<HashMap<Arc<str>, Read>>,
    /// When each service was last looked up in the background.
    checks: Mutex<HashMap<Arc<str>, Instant>>,
    /// Whether this box has read all records since it began to watch the store.
    are_listed: watch::Sender<bool>,
    /// Notified when a service gains or loses a version, or its record changes.
    changed: Notify,
    /// Incremented with each record that this box learns of.
    records_learned: watch::Sender<u64>,
}

/// A read of the store, to come or ended, for all who wanted its result before it began.
#[derive(Clone)]
struct Read {
    result: Shared<BoxFuture<'static, Option<Arc<str>>>>,
    begins: Instant,
}

impl SoleVersions {
    /// Starts without knowledge; streams can be taken up for `memory_ms`. Reads go to `store`.
    pub fn open(store: Client, started: Moment, memory_ms: u64) -> SoleVersions {
        SoleVersions(Arc::new(Inner {
            history: Mutex::new(VersionHistory::new(memory_ms)),
            records: Mutex::default(),
            store,
            started,
            reads: Mutex::default(),
            checks: Mutex::default(),
            are_listed: watch::Sender::new(false),
            changed: Notify::new(),
            records_learned: watch::Sender::new(0),
        }))
    }

    fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    /// Era of the store, as far as this box knows.
    fn era(&self) -> u64 {
        self.0.store.era()
    }

    /// This box knows all listed endpoints as they are now.
    pub fn look(&self) {
        self.0.history.lock().look(self.now_ms());
    }

    /// Takes over changed endpoints, by id; `None` for those that are no longer listed.
    pub fn apply(&self, changes: Vec<(Arc<str>, Option<Listed>)>) {
        if self.0.history.lock().apply(changes, self.now_ms()) {
            self.0.changed.notify_one();
        }
    }

    /// Waits until a service gains or loses a version, or its record changes. For one task only.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Takes over a record from the store or another box; returns whether it is newer than what is known.
    pub fn learn(&self, object: &Object) -> bool {
        let mut records = self.0.records.lock();
        let known = records.get(&object.name);
        if known.is_some_and(|known| known.version >= object.version) {
            return false;
        }
        let record = Record::read(object);
        tracing::info!(
            event = "stream_versions",
            service = &*object.name,
            open = ?record.open,
            closed = ?record.closed,
            era = record.era,
            is_partial = record.is_partial,
            version = object.version,
        );
        let known = Known { record, version: object.version, learned_ms: self.now_ms() };
        records.insert(object.name.clone(), known);
        drop(records);
        self.0.changed.notify_one();
        self.0.records_learned.send_modify(|count| *count += 1);
        true
    }

    /// The record of a service was deleted.
    pub fn forget(&self, service: &str) {
        self.0.records.lock().remove(service);
        self.0.changed.notify_one();
    }

    /// Sets whether this box has read all records since it began to watch the store.
    pub fn set_listed(&self, are_listed: bool) {
        self.0.are_listed.send_replace(are_listed);
    }

    /// Whether this box has read all records since it began to watch the store.
    pub fn are_listed(&self) -> bool {
        *self.0.are_listed.borrow()
    }

    /// Version of the object that holds the known record of a service.
    pub fn record_version(&self, service: &str) -> Option<u64> {
        self.0.records.lock().get(service).map(|known| known.version)
    }

    /// The record to write in the store in place of the known one, if it has to change.
    pub fn next_record(&self, service: &str) -> Option<Record> {
        let records = self.0.records.lock();
        let history = self.0.history.lock();
        Record::next(records.get(service), service, &history, self.era(), self.now_ms())
    }

    /// Versions at which a stream of a service may begin, if not at all that are listed.
    pub fn open_versions(&self, service: &Arc<str>) -> Option<Versions> {
        let listed = self.0.history.lock().listed(service);
        let records = self.0.records.lock();
        let Some(known) = records.get(service) else {
            drop(records);
            self.check(service);
            return Some(Versions::new());
        };
        let open = &known.record.open;
        (!listed.is_subset(open)).then(|| open.clone())
    }

    /// Waits until a stream of a service may begin at other versions than before; returns whether it may in time.
    pub async fn wait_opened(
        &self,
        service: &Arc<str>,
        before: &Option<Versions>,
        until: Instant,
    ) -> bool {
        let mut learned = self.0.records_learned.subscribe();
        let opened = learned.wait_for(|_| self.open_versions(service) != *before);
        timeout_at(until, opened).await.is_ok()
    }

    /// The version at which every stream of a service began that can still be taken up, if there is
    /// only one and the store proves it by `deadline`.
    pub async fn sole_version(&self, service: &Arc<str>, deadline: Instant) -> Option<Arc<str>> {
        // A service with several versions needs no call.
        let present = self.present(service)?;
        let until = deadline.min(Instant::now() + READ_WAIT);
        let recorded = timeout_at(until, self.read(service)).await.ok().flatten()?;
        (recorded == present).then_some(recorded)
    }

    /// Whether any box can find out in the store that all streams of a service began at the same version.
    pub fn is_settled(&self, service: &Arc<str>) -> bool {
        let records = self.0.records.lock();
        let sole = records.get(service).and_then(|known| known.record.sole(self.era()));
        drop(records);
        sole.is_some() && sole == self.present(service)
    }

    /// Whether this box, or the one that it hears from, reached the store a moment ago.
    pub fn reaches_store(&self) -> bool {
        self.0.history.lock().is_current(self.now_ms())
    }

    /// Whether this box has seen a version of a service lately.
    pub fn has_seen(&self, service: &str, version: &str) -> bool {
        self.0.history.lock().has_seen(service, version)
    }

    /// Reads the record of a service in the background, now and then.
    fn check(&self, service: &Arc<str>) {
        let mut checks = self.0.checks.lock();
        checks.retain(|_, at| at.elapsed() < CHECK_INTERVAL);
        if checks.contains_key(service) {
            return;
        }
        checks.insert(service.clone(), Instant::now());
        drop(checks);
        tokio::spawn(self.read(service));
    }

    /// What this box has seen of the versions of a service.
    pub fn seen(&self, service: &str) -> Seen {
        self.0.history.lock().seen(service, self.now_ms())
    }

    /// The only version that this box sees or has seen lately.
    fn present(&self, service: &str) -> Option<Arc<str>> {
        match self.seen(service) {
            Seen::Sole { version, .. } => Some(version),
            Seen::Several | Seen::Nothing => None,
        }
    }

    /// The only version by a read that has not begun yet: an earlier one says nothing of streams that began since.
    fn read(&self, service: &Arc<str>) -> Shared<BoxFuture<'static, Option<Arc<str>>>> {
        let now = Instant::now();
        let mut reads = self.0.reads.lock();
        reads.retain(|_, read| read.begins > now);
        let start = || {
            let begins = now + READ_DELAY;
            let (versions, service) = (self.clone(), service.clone());
            // A task of its own, because whoever asks first may give up before the others.
            let task = tokio::spawn(async move {
                sleep_until(begins).await;
                versions.read_record(&service).await
            });
            let result = task.map(|result| result.ok().flatten()).boxed().shared();
            Read { result, begins }
        };
        reads.entry(service.clone()).or_insert_with(start).result.clone()
    }

    /// The sole version of a service by its record in the store.
    async fn read_record(&self, service: &Arc<str>) -> Option<Arc<str>> {
        let found = match self.0.store.get(VERSIONS, service).await {
            Ok(found) => found,
            Err(error) => {
                tracing::warn!(event = "sole_version_not_read", service = &**service, %error);
                return None;
            }
        };
        let era = found.as_ref().map_or(0, |object| version::era(object.version));
        let record = found.as_ref().map(Record::read);
        let sole = record.as_ref().and_then(|record| record.sole(era));
        tracing::info!(
            event = "sole_version_read",
            service = &**service,
            is_recorded = found.is_some(),
            era,
            recorded_in = record.map(|record| record.era),
            sole = sole.as_deref(),
        );
        if let Some(object) = &found {
            self.learn(object);
        }
        sole
    }
}
