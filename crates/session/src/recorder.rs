//! Group commit of a journal.
//!
//! Operations that arrive while a write is in flight share the next write. All queued operations are
//! applied to the latest known journal. They are idempotent by record number: after a write with unknown
//! outcome, the journal is read back and the operations are applied again.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use ledger::{Ended, Evidence, Incarnation, Journal, Record, Refusal, Transfer};
use objects::{Expect, Store, Write};
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{Notify, oneshot, watch};

use crate::Health;

/// Delay after the first failed write; doubled with each further one, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Time for which a write without intents is delayed, so that it can be shared with an intent.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Number of records at which a journal accepts no more hand-ins, since an object is limited to 1 MB.
const MAX_RECORDS: usize = 3_000;
/// Number of records above that limit that intents may add.
const EXTRA_INTENTS: usize = 500;
/// Longest delay after a failed write.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Why an intent was not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum IntentError {
    /// The journal is sealed: the request must not be dispatched.
    #[snafu(display("the journal is sealed"))]
    Sealed,
    /// The outcome of the write was not known in time.
    #[snafu(display("it is not known whether the intent was recorded"))]
    InDoubt,
}

/// An operation on the journal.
#[derive(Debug, Clone)]
pub enum Operation {
    /// Records the intent to dispatch a request.
    Intend(Record),
    /// Records the outcome of an intent.
    Finish { n: u64, charged: u64, ended: Ended, evidence: Evidence },
    /// Hands in the record of an offline request that ended.
    HandIn(Record, Evidence),
    /// Lists a budget that will be drawn from.
    Draw(Arc<str>),
    /// Records an offline transfer, sent or received.
    Transfer(Arc<str>, Transfer),
}

type Waiter = oneshot::Sender<Result<(), IntentError>>;

struct Queue {
    operations: VecDeque<(u64, Operation)>,
    waiters: BTreeMap<u64, (u64, Waiter)>,
    folded: BTreeMap<Arc<str>, u64>,
    next_sequence: u64,
    next_number: u64,
    /// Whether a caller waits for queued operations.
    urgent: bool,
}

/// The latest stored journal, to which queued operations are applied.
#[derive(Debug, Clone)]
struct Base {
    journal: Arc<Journal>,
    version: u64,
}

struct Shared {
    incarnation: Incarnation,
    store: Arc<dyn Store>,
    health: Health,
    queue: Mutex<Queue>,
    base: Mutex<Base>,
    wake: Notify,
    commits: watch::Sender<u64>,
    sealed: watch::Sender<bool>,
    min_write_interval: Duration,
}

/// Handle to the recorder of one journal.
#[derive(Clone)]
pub struct Recorder(Arc<Shared>);

impl Recorder {
    /// Creates the journal of a new incarnation and starts its writer.
    ///
    /// The journal is stored by the recorder's first write, after this returns. Writes are at least
    /// `min_write_interval` apart.
    pub fn spawn(
        incarnation: Incarnation,
        store: Arc<dyn Store>,
        health: Health,
        min_write_interval: Duration,
    ) -> Recorder {
        let journal = Arc::new(Journal::new(incarnation.clone()));
        let queue = Queue {
            operations: VecDeque::new(),
            waiters: BTreeMap::new(),
            folded: BTreeMap::new(),
            next_sequence: 1,
            next_number: 1,
            urgent: true,
        };
        let shared = Arc::new(Shared {
            incarnation,
            store,
            health,
            queue: Mutex::new(queue),
            base: Mutex::new(Base { journal, version: 0 }),
            wake: Notify::new(),
            commits: watch::channel(0).0,
            sealed: watch::channel(false).0,
            min_write_interval,
        });
        tokio::spawn(run_writer(Arc::downgrade(&shared), shared.commits.subscribe()));
        Recorder(shared)
    }

    /// The incarnation whose journal this is.
    pub fn incarnation(&self) -> &Incarnation {
        &self.0.incarnation
    }

    /// Returns an unused record number.
    pub fn number(&self) -> u64 {
        let mut queue = self.0.queue.lock();
        queue.next_number += 1;
        queue.next_number - 1
    }

    /// Whether the journal is known to be sealed.
    pub fn is_sealed(&self) -> bool {
        *self.0.sealed.borrow()
    }

    /// Waits until the journal is known to be sealed.
    pub async fn wait_sealed(&self) {
        let _ = self.0.sealed.subscribe().wait_for(|sealed| *sealed).await;
    }

    /// The latest version of the journal that is known to be stored.
    pub fn journal(&self) -> Arc<Journal> {
        self.0.base.lock().journal.clone()
    }

    /// Records an intent and waits until it is stored. After an error the request must not be dispatched.
    pub async fn intend(&self, record: Record, timeout: Duration) -> Result<(), IntentError> {
        let n = record.n;
        let (sender, receiver) = oneshot::channel();
        {
            let mut queue = self.0.queue.lock();
            if self.is_sealed() {
                return Err(IntentError::Sealed);
            }
            queue.urgent = true;
            let sequence = queue.push(Operation::Intend(record));
            queue.waiters.insert(n, (sequence, sender));
        }
        self.0.wake.notify_one();
        let guard = Withdrawal { recorder: self, n: Some(n) };
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(result)) => {
                guard.disarm();
                result
            }
            Ok(Err(_)) => Err(IntentError::Sealed),
            Err(_) => Err(IntentError::InDoubt),
        }
    }

    /// Records that a request whose intent may have been stored was not dispatched.
    fn withdraw(&self, n: u64) {
        self.0.queue.lock().waiters.remove(&n);
        let evidence = Evidence::Recorded;
        self.add(Operation::Finish { n, charged: 0, ended: Ended::NotRun, evidence });
    }

    /// Queues an operation without waiting for it.
    pub fn add(&self, operation: Operation) {
        let mut queue = self.0.queue.lock();
        let was_empty = queue.operations.is_empty();
        queue.push(operation);
        drop(queue);
        if was_empty {
            self.0.wake.notify_one();
        }
    }

    /// Records an outcome.
    pub fn finish(&self, n: u64, charged: u64, ended: Ended) {
        self.add(Operation::Finish { n, charged, ended, evidence: Evidence::Recorded });
    }

    /// Marks outcomes up to `position` as folded into the ledger of `budget`; the journal may drop them.
    pub fn mark_folded(&self, budget: &Arc<str>, position: u64) {
        self.0.queue.lock().folded.insert(budget.clone(), position);
    }

    /// Waits until everything queued so far is stored, except hand-ins: they only spend tokens that the
    /// ledger holds for them anyway, and may have to wait for folds.
    pub async fn flush(&self) {
        let end = {
            let mut queue = self.0.queue.lock();
            queue.urgent = true;
            queue.next_sequence
        };
        self.0.wake.notify_one();
        let mut commits = self.0.commits.subscribe();
        while self.0.queue.lock().has_pending_before(end) {
            if commits.changed().await.is_err() {
                return;
            }
        }
    }

    /// Like [`Recorder::flush`], with a timeout; false if something may not be stored.
    pub async fn flush_within(&self, timeout: Duration) -> bool {
        tokio::time::timeout(timeout, self.flush()).await.is_ok()
    }

    /// Number of queued operations that are not stored yet.
    pub fn backlog(&self) -> usize {
        self.0.queue.lock().operations.len()
    }

    /// Closes the journal; false if a record is open, the journal is sealed, or the write fails.
    pub async fn close(&self) -> bool {
        self.flush().await;
        let base = self.0.base.lock().clone();
        let mut journal = (*base.journal).clone();
        if !journal.close() {
            return false;
        }
        let expect = expect(base.version);
        let name = self.0.incarnation.as_str();
        let write = self.0.store.put("journal", name, journal.to_json(), expect).await;
        matches!(write, Write::Landed(_))
    }
}

/// Withdraws an intent on drop unless disarmed, also if the waiting future is cancelled.
struct Withdrawal<'a> {
    recorder: &'a Recorder,
    n: Option<u64>,
}

impl Withdrawal<'_> {
    fn disarm(mut self) {
        self.n = None;
    }
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        if let Some(n) = self.n {
            self.recorder.withdraw(n);
        }
    }
}

impl Queue {
    fn has_pending_before(&self, end: u64) -> bool {
        let mut before = self.operations.iter().take_while(|(sequence, _)| *sequence < end);
        before.any(|(_, operation)| !matches!(operation, Operation::HandIn(..)))
    }

    fn push(&mut self, operation: Operation) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.operations.push_back((sequence, operation));
        sequence
    }
}

fn expect(version: u64) -> Expect {
    if version == 0 { Expect::Absent } else { Expect::Version(version) }
}

async fn run_writer(shared: std::sync::Weak<Shared>, _commits: watch::Receiver<u64>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let (idle, urgent) = {
            let queue = shared.queue.lock();
            (queue.operations.is_empty(), queue.urgent)
        };
        if idle {
            let wait = tokio::time::timeout(Duration::from_millis(500), shared.wake.notified());
            let _ = wait.await;
            continue;
        }
        if !urgent {
            let _ = tokio::time::timeout(BATCH_DELAY, shared.wake.notified()).await;
        }
        match shared.write_once().await {
            WriteResult::Landed => backoff = MIN_BACKOFF,
            WriteResult::Retry => {}
            WriteResult::Failed => {
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                continue;
            }
        }
        tokio::time::sleep(shared.min_write_interval).await;
    }
}

enum WriteResult {
    Landed,
    Retry,
    Failed,
}

impl Shared {
    async fn write_once(&self) -> WriteResult {
        let base = self.base.lock().clone();
        let (journal, applied) = self.candidate(&base.journal);
        if base.version != 0 && journal == *base.journal {
            self.commit(&applied, None);
            return WriteResult::Retry;
        }
        let name = self.incarnation.as_str();
        let write = self.store.put("journal", name, journal.to_json(), expect(base.version)).await;
        match write {
            Write::Landed(version) => {
                self.health.record_success();
                self.commit(&applied, Some(Base { journal: Arc::new(journal), version }));
                WriteResult::Landed
            }
            Write::Refused => {
                self.health.record_success();
                self.read_back().await
            }
            Write::Failed => {
                self.health.record_failure();
                WriteResult::Failed
            }
            Write::Unknown => {
                self.health.record_failure();
                self.read_back().await
            }
        }
    }

    /// The journal with all queued operations that it has room for, and their sequence numbers.
    fn candidate(&self, base: &Journal) -> (Journal, BTreeSet<u64>) {
        let mut queue = self.queue.lock();
        queue.urgent = false;
        let mut journal = base.clone();
        journal.compact(&queue.folded);
        let mut applied = BTreeSet::new();
        for (sequence, operation) in &queue.operations {
            let room = match operation {
                Operation::HandIn(..) => MAX_RECORDS,
                Operation::Intend(_) => MAX_RECORDS + EXTRA_INTENTS,
                Operation::Finish { .. } | Operation::Draw(_) | Operation::Transfer(..) => {
                    usize::MAX
                }
            };
            if journal.records.len() < room {
                apply(&mut journal, operation);
                applied.insert(*sequence);
            }
        }
        (journal, applied)
    }

    /// Removes the applied operations from the queue and answers their waiters.
    fn commit(&self, applied: &BTreeSet<u64>, base: Option<Base>) {
        if let Some(base) = base {
            *self.base.lock() = base;
        }
        let base = self.base.lock().clone();
        let open = base.journal.is_open();
        let mut queue = self.queue.lock();
        queue.operations.retain(|(sequence, _)| !applied.contains(sequence));
        let waiters = std::mem::take(&mut queue.waiters);
        for (n, (sequence, waiter)) in waiters {
            match (applied.contains(&sequence), open) {
                (_, false) => drop(waiter.send(Err(IntentError::Sealed))),
                (true, true) => drop(waiter.send(Ok(()))),
                (false, true) => drop(queue.waiters.insert(n, (sequence, waiter))),
            }
        }
        drop(queue);
        self.commits.send_modify(|count| *count += 1);
    }

    async fn read_back(&self) -> WriteResult {
        let read = self.store.get("journal", self.incarnation.as_str()).await;
        let base = match read {
            Err(_) => {
                self.health.record_failure();
                return WriteResult::Failed;
            }
            Ok(None) if self.base.lock().version == 0 => return WriteResult::Retry,
            Ok(None) => self.mark_removed(),
            Ok(Some(object)) => match serde_json::from_str::<Journal>(&object.value) {
                Ok(journal) => Base { journal: Arc::new(journal), version: object.version },
                Err(_) => self.mark_removed(),
            },
        };
        self.health.record_success();
        let open = base.journal.is_open();
        *self.base.lock() = base;
        if !open {
            self.mark_sealed();
        }
        WriteResult::Retry
    }

    /// Handles a journal that was removed: it counts as sealed, with nothing left to record.
    fn mark_removed(&self) -> Base {
        let mut base = self.base.lock().clone();
        let mut journal = (*base.journal).clone();
        journal.seal(&self.incarnation);
        journal.records.clear();
        base.journal = Arc::new(journal);
        let mut queue = self.queue.lock();
        queue.operations.clear();
        drop(queue);
        self.commits.send_modify(|count| *count += 1);
        base
    }

    /// Fails all waiting intents, and records that their requests were not dispatched.
    fn mark_sealed(&self) {
        let waiters = {
            let mut queue = self.queue.lock();
            queue.operations.retain(|(_, operation)| !matches!(operation, Operation::Intend(_)));
            std::mem::take(&mut queue.waiters)
        };
        self.sealed.send_replace(true);
        for (n, (_, waiter)) in waiters {
            let _ = waiter.send(Err(IntentError::Sealed));
            let evidence = Evidence::Recorded;
            let not_run = Operation::Finish { n, charged: 0, ended: Ended::NotRun, evidence };
            self.queue.lock().push(not_run);
        }
    }
}

fn apply(journal: &mut Journal, operation: &Operation) {
    // The journal refuses an operation if its intent was never stored or has been folded already. It
    // would refuse a retry too, so the operation is dropped.
    let _: Result<(), Refusal> = match operation.clone() {
        Operation::Intend(record) => journal.intend(record),
        Operation::Finish { n, charged, ended, evidence } => {
            journal.finish(n, charged, ended, evidence).map(drop)
        }
        Operation::HandIn(record, evidence) => journal.hand_in(record, evidence).map(drop),
        Operation::Draw(budget) => {
            journal.drawn.insert(budget);
            Ok(())
        }
        Operation::Transfer(budget, transfer) => {
            let entry = (budget, transfer);
            if !journal.transfers.contains(&entry) {
                journal.transfers.push(entry);
            }
            Ok(())
        }
    };
}
