//! Answers whether a service has had only one version, from what this box saw or from the store.

use std::{
    collections::HashMap,
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures_util::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use objects::Store;
use parking_lot::Mutex;
use platform::store::Client;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use super::{
    history::{Listed, Seen, VersionHistory},
    record::{Record, VERSIONS},
};
use crate::clock::Moment;

/// Longest time that a request waits for a read of the store. The read goes on for later requests.
const READ_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a box without a history of its own looks in the store in the background.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time from the end of a read for which its result is used.
const REUSE_TIME: Duration = Duration::from_millis(1_000);

/// What this box knows of the versions of services. Clones share it.
#[derive(Clone)]
pub struct SoleVersions(Arc<Inner>);

struct Inner {
    history: Mutex<VersionHistory>,
    store: Client,
    started: Moment,
    /// The last read of each service.
    reads: Mutex<HashMap<Arc<str>, Read>>,
    /// When each service was last looked up in the background.
    checks: Mutex<HashMap<Arc<str>, Instant>>,
    /// Notified when a service gains or loses a version.
    changed: Notify,
}

/// A read of the store, in progress or ended, for all who want its result.
#[derive(Clone)]
struct Read {
    result: Shared<BoxFuture<'static, Option<Arc<str>>>>,
    /// When it ended, if it has.
    ended: Arc<OnceLock<Instant>>,
}

impl Read {
    /// Whether its result is used, or still to come.
    fn is_fresh(&self) -> bool {
        self.ended.get().is_none_or(|at| at.elapsed() < REUSE_TIME)
    }
}

impl SoleVersions {
    /// Starts without knowledge; streams can be taken up for `memory_ms`. Reads go to `store`.
    pub fn open(store: Client, started: Moment, memory_ms: u64) -> SoleVersions {
        let (reads, checks, changed) = (Mutex::default(), Mutex::default(), Notify::new());
        let history = Mutex::new(VersionHistory::new(memory_ms));
        SoleVersions(Arc::new(Inner { history, store, started, reads, checks, changed }))
    }

    fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
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

    /// Waits until a service gains or loses a version. For one task only.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// The record to write in the store in place of the current one, if it has to change.
    pub fn next_record(&self, current: Option<&Record>, service: &str) -> Option<Record> {
        Record::next(current, service, &self.0.history.lock(), self.now_ms())
    }

    /// The version at which every stream of a service began that can still be taken up, if there is
    /// only one and this box can find it out by `deadline`.
    pub async fn sole_version(&self, service: &Arc<str>, deadline: Instant) -> Option<Arc<str>> {
        if let Some(version) = self.0.history.lock().lasting(service, self.now_ms()) {
            return Some(version);
        }
        self.recorded_version(service, deadline).await
    }

    /// The same as the platform says now, whatever this box saw: it may not see what others see.
    pub async fn recorded_version(
        &self,
        service: &Arc<str>,
        deadline: Instant,
    ) -> Option<Arc<str>> {
        // A service with several versions needs no call.
        self.present(service)?;
        let until = deadline.min(Instant::now() + READ_WAIT);
        let result = self.read(service).result;
        let recorded = timeout_at(until, result).await.ok().flatten()?;
        // A second one may have appeared in the meantime.
        let is_sole = self.0.history.lock().confirm(service, &recorded, self.now_ms());
        is_sole.then_some(recorded)
    }

    /// Whether this box knows that a service has had a single version, without a call. If not, looks in the store in the
    /// background, now and then.
    pub fn is_settled(&self, service: &Arc<str>) -> bool {
        let is_settled = self.0.history.lock().is_settled(service, self.now_ms());
        if !is_settled && self.take_check(service) {
            let (handle, service) = (self.clone(), service.clone());
            let until = Instant::now() + READ_WAIT;
            tokio::spawn(async move { handle.recorded_version(&service, until).await });
        }
        is_settled
    }

    /// Whether this box has seen a version of a service lately.
    pub fn has_seen(&self, service: &str, version: &str) -> bool {
        self.0.history.lock().has_seen(service, version)
    }

    /// Whether the store is to be looked at now; then not before the next interval.
    fn take_check(&self, service: &Arc<str>) -> bool {
        let mut checks = self.0.checks.lock();
        checks.retain(|_, at| at.elapsed() < CHECK_INTERVAL);
        let is_due = !checks.contains_key(service);
        if is_due {
            checks.insert(service.clone(), Instant::now());
        }
        is_due
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

    /// The last read of a service, or a new one if that ended too long ago.
    fn read(&self, service: &Arc<str>) -> Read {
        let mut reads = self.0.reads.lock();
        reads.retain(|_, read| read.is_fresh());
        let start = || {
            // A task of its own, because whoever asks first may give up before the others.
            let reading = read_record(self.0.store.clone(), service.clone());
            let ended: Arc<OnceLock<Instant>> = Arc::default();
            let marked = ended.clone();
            let task = tokio::spawn(async move {
                let sole = reading.await;
                // Set once, by this task.
                let _ = marked.set(Instant::now());
                sole
            });
            let result = task.map(|result| result.ok().flatten()).boxed().shared();
            Read { result, ended }
        };
        reads.entry(service.clone()).or_insert_with(start).clone()
    }
}

/// The sole version of a service by its record in the store.
async fn read_record(store: Client, service: Arc<str>) -> Option<Arc<str>> {
    let found = match store.get(VERSIONS, &service).await {
        Ok(found) => found,
        Err(error) => {
            tracing::warn!(event = "sole_version_not_read", service = &*service, %error);
            return None;
        }
    };
    let sole = found.as_ref().and_then(|object| Record::read(object).sole);
    tracing::info!(
        event = "sole_version_read",
        service = &*service,
        is_recorded = found.is_some(),
        sole = sole.as_deref(),
    );
    sole
}
