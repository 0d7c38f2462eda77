//! Group commit of a journal.
//!
//! Requests that come while a write is in flight share the next one. Everything queued is applied
//! to the newest journal read; since every application is idempotent by record number, a write
//! whose answer was lost is simply read back and applied again where it did not land.

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

/// First wait after a failed write; doubles up to [`BACKOFF_MOST`].
const BACKOFF: Duration = Duration::from_millis(50);
/// Outcomes alone wait this long for an intent to share a write with.
const LAZY: Duration = Duration::from_millis(250);
/// Records that a journal holds at the most before hand-ins wait: a value holds 1 MB.
const MOST_RECORDS: usize = 3_000;
/// Records above that which intents may still add.
const ROOM_FOR_INTENTS: usize = 500;
/// Longest wait after a failed write.
const BACKOFF_MOST: Duration = Duration::from_secs(2);

/// Why an intent did not land.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The journal is sealed: this incarnation dispatches nothing more from it.
    #[snafu(display("the journal is sealed"))]
    Sealed,
    /// Not known in time.
    #[snafu(display("the intent is in doubt"))]
    InDoubt,
}

/// Something to write into the journal.
#[derive(Debug, Clone)]
pub enum Work {
    /// An intent.
    Intend(Record),
    /// An outcome of a recorded intent.
    Finish { n: u64, charged: u64, ended: Ended, evidence: Evidence },
    /// Offline work that ended.
    HandIn(Record, Evidence),
    /// A budget that will be drawn from.
    Draw(Arc<str>),
    /// An offline transfer given or received.
    Transfer(Arc<str>, Transfer),
}

type Waiter = oneshot::Sender<Result<(), Failure>>;

struct Queue {
    work: VecDeque<(u64, Work)>,
    waiters: BTreeMap<u64, (u64, Waiter)>,
    folded: BTreeMap<Arc<str>, u64>,
    next: u64,
    number: u64,
    /// Somebody waits for what is queued.
    urgent: bool,
}

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
    landed: watch::Sender<u64>,
    sealed: watch::Sender<bool>,
    min_write_interval: Duration,
}

/// Handle on the recorder of one journal.
#[derive(Clone)]
pub struct Recorder(Arc<Shared>);

impl Recorder {
    /// Creates the journal of a new incarnation and starts its writer.
    ///
    /// The journal need not have landed yet: its creation is the recorder's first write.
    /// `min_write_interval` is the least time between two writes.
    pub fn spawn(
        incarnation: Incarnation,
        store: Arc<dyn Store>,
        health: Health,
        min_write_interval: Duration,
    ) -> Recorder {
        let journal = Arc::new(Journal::new(incarnation.clone()));
        let queue = Queue {
            work: VecDeque::new(),
            waiters: BTreeMap::new(),
            folded: BTreeMap::new(),
            next: 1,
            number: 1,
            urgent: true,
        };
        let shared = Arc::new(Shared {
            incarnation,
            store,
            health,
            queue: Mutex::new(queue),
            base: Mutex::new(Base { journal, version: 0 }),
            wake: Notify::new(),
            landed: watch::channel(0).0,
            sealed: watch::channel(false).0,
            min_write_interval,
        });
        tokio::spawn(write_all(Arc::downgrade(&shared), shared.landed.subscribe()));
        Recorder(shared)
    }

    /// Whose journal this is.
    pub fn incarnation(&self) -> &Incarnation {
        &self.0.incarnation
    }

    /// A record number never given before.
    pub fn number(&self) -> u64 {
        let mut queue = self.0.queue.lock();
        queue.number += 1;
        queue.number - 1
    }

    /// Whether the journal is known to be sealed.
    pub fn is_sealed(&self) -> bool {
        *self.0.sealed.borrow()
    }

    /// Waits until the journal is known to be sealed.
    pub async fn wait_sealed(&self) {
        let _ = self.0.sealed.subscribe().wait_for(|sealed| *sealed).await;
    }

    /// The newest journal known to have landed.
    pub fn journal(&self) -> Arc<Journal> {
        self.0.base.lock().journal.clone()
    }

    /// Records an intent and waits until it landed. After an error nothing may be dispatched.
    pub async fn intend(&self, record: Record, within: Duration) -> Result<(), Failure> {
        let n = record.n;
        let (sender, receiver) = oneshot::channel();
        {
            let mut queue = self.0.queue.lock();
            if self.is_sealed() {
                return Err(Failure::Sealed);
            }
            queue.urgent = true;
            let at = queue.push(Work::Intend(record));
            queue.waiters.insert(n, (at, sender));
        }
        self.0.wake.notify_one();
        let guard = Withdrawal { recorder: self, n: Some(n) };
        match tokio::time::timeout(within, receiver).await {
            Ok(Ok(result)) => {
                guard.disarm();
                result
            }
            Ok(Err(_)) => Err(Failure::Sealed),
            Err(_) => Err(Failure::InDoubt),
        }
    }

    /// Own word that an intent in doubt is never dispatched.
    fn withdraw(&self, n: u64) {
        self.0.queue.lock().waiters.remove(&n);
        let evidence = Evidence::Recorded;
        self.add(Work::Finish { n, charged: 0, ended: Ended::NotRun, evidence });
    }

    /// Queues something that nobody waits for.
    pub fn add(&self, work: Work) {
        let mut queue = self.0.queue.lock();
        let first = queue.work.is_empty();
        queue.push(work);
        drop(queue);
        if first {
            self.0.wake.notify_one();
        }
    }

    /// Records an outcome.
    pub fn finish(&self, n: u64, charged: u64, ended: Ended) {
        self.add(Work::Finish { n, charged, ended, evidence: Evidence::Recorded });
    }

    /// Outcomes up to `position` are folded into the ledger of `budget` and may be dropped.
    pub fn folded(&self, budget: &Arc<str>, position: u64) {
        self.0.queue.lock().folded.insert(budget.clone(), position);
    }

    /// Waits until everything queued so far has landed, except hand-ins: those only spend what
    /// the ledger holds for them anyway, and may have to wait for folds.
    pub async fn flush(&self) {
        let upto = {
            let mut queue = self.0.queue.lock();
            queue.urgent = true;
            queue.next
        };
        self.0.wake.notify_one();
        let mut landed = self.0.landed.subscribe();
        while self.0.queue.lock().holds_before(upto) {
            if landed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Like [`Recorder::flush`], but gives up; false if something may not have landed.
    pub async fn flush_within(&self, within: Duration) -> bool {
        tokio::time::timeout(within, self.flush()).await.is_ok()
    }

    /// Number of queued pieces of work that have not landed.
    pub fn backlog(&self) -> usize {
        self.0.queue.lock().work.len()
    }

    /// Closes the journal after its last outcome; false if something is open or it is sealed.
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

/// Withdraws an intent unless it was disarmed, also when its waiter is dropped.
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
    fn holds_before(&self, upto: u64) -> bool {
        let mut before = self.work.iter().take_while(|(at, _)| *at < upto);
        before.any(|(_, work)| !matches!(work, Work::HandIn(..)))
    }

    fn push(&mut self, work: Work) -> u64 {
        let at = self.next;
        self.next += 1;
        self.work.push_back((at, work));
        at
    }
}

fn expect(version: u64) -> Expect {
    if version == 0 { Expect::Absent } else { Expect::Version(version) }
}

async fn write_all(shared: std::sync::Weak<Shared>, _landed: watch::Receiver<u64>) {
    let mut backoff = BACKOFF;
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let (idle, urgent) = {
            let queue = shared.queue.lock();
            (queue.work.is_empty(), queue.urgent)
        };
        if idle {
            let wait = tokio::time::timeout(Duration::from_millis(500), shared.wake.notified());
            let _ = wait.await;
            continue;
        }
        if !urgent {
            let _ = tokio::time::timeout(LAZY, shared.wake.notified()).await;
        }
        match shared.write_once().await {
            Step::Landed => backoff = BACKOFF,
            Step::Again => {}
            Step::Failed => {
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MOST);
                continue;
            }
        }
        tokio::time::sleep(shared.min_write_interval).await;
    }
}

enum Step {
    Landed,
    Again,
    Failed,
}

impl Shared {
    async fn write_once(&self) -> Step {
        let base = self.base.lock().clone();
        let (journal, applied) = self.candidate(&base.journal);
        if base.version != 0 && journal == *base.journal {
            self.landed(&applied, None);
            return Step::Again;
        }
        let name = self.incarnation.as_str();
        let write = self.store.put("journal", name, journal.to_json(), expect(base.version)).await;
        match write {
            Write::Landed(version) => {
                self.health.record_success();
                self.landed(&applied, Some(Base { journal: Arc::new(journal), version }));
                Step::Landed
            }
            Write::Refused => {
                self.health.record_success();
                self.read_back().await
            }
            Write::Failed => {
                self.health.record_failure();
                Step::Failed
            }
            Write::Unknown => {
                self.health.record_failure();
                self.read_back().await
            }
        }
    }

    /// The journal with everything queued that it has room for, and which pieces those are.
    fn candidate(&self, base: &Journal) -> (Journal, BTreeSet<u64>) {
        let mut queue = self.queue.lock();
        queue.urgent = false;
        let mut journal = base.clone();
        journal.compact(&queue.folded);
        let mut applied = BTreeSet::new();
        for (at, work) in &queue.work {
            let room = match work {
                Work::HandIn(..) => MOST_RECORDS,
                Work::Intend(_) => MOST_RECORDS + ROOM_FOR_INTENTS,
                Work::Finish { .. } | Work::Draw(_) | Work::Transfer(..) => usize::MAX,
            };
            if journal.records.len() < room {
                apply(&mut journal, work);
                applied.insert(*at);
            }
        }
        (journal, applied)
    }

    fn landed(&self, applied: &BTreeSet<u64>, base: Option<Base>) {
        if let Some(base) = base {
            *self.base.lock() = base;
        }
        let base = self.base.lock().clone();
        let open = base.journal.is_open();
        let mut queue = self.queue.lock();
        queue.work.retain(|(at, _)| !applied.contains(at));
        let waiters = std::mem::take(&mut queue.waiters);
        for (n, (at, waiter)) in waiters {
            match (applied.contains(&at), open) {
                (_, false) => drop(waiter.send(Err(Failure::Sealed))),
                (true, true) => drop(waiter.send(Ok(()))),
                (false, true) => drop(queue.waiters.insert(n, (at, waiter))),
            }
        }
        drop(queue);
        self.landed.send_modify(|landings| *landings += 1);
    }

    async fn read_back(&self) -> Step {
        let read = self.store.get("journal", self.incarnation.as_str()).await;
        let base = match read {
            Err(_) => {
                self.health.record_failure();
                return Step::Failed;
            }
            Ok(None) if self.base.lock().version == 0 => return Step::Again,
            Ok(None) => self.gone(),
            Ok(Some(object)) => match serde_json::from_str::<Journal>(&object.value) {
                Ok(journal) => Base { journal: Arc::new(journal), version: object.version },
                Err(_) => self.gone(),
            },
        };
        self.health.record_success();
        let open = base.journal.is_open();
        *self.base.lock() = base;
        if !open {
            self.seal();
        }
        Step::Again
    }

    /// A journal that was removed had nothing left to take: it counts as sealed and complete.
    fn gone(&self) -> Base {
        let mut base = self.base.lock().clone();
        let mut journal = (*base.journal).clone();
        journal.seal(&self.incarnation);
        journal.records.clear();
        base.journal = Arc::new(journal);
        let mut queue = self.queue.lock();
        queue.work.clear();
        drop(queue);
        self.landed.send_modify(|landings| *landings += 1);
        base
    }

    /// Fails every waiting intent; each withdraws itself by its own word, which is handed in.
    fn seal(&self) {
        let waiters = {
            let mut queue = self.queue.lock();
            queue.work.retain(|(_, work)| !matches!(work, Work::Intend(_)));
            std::mem::take(&mut queue.waiters)
        };
        self.sealed.send_replace(true);
        for (n, (_, waiter)) in waiters {
            let _ = waiter.send(Err(Failure::Sealed));
            let evidence = Evidence::Recorded;
            let own_word = Work::Finish { n, charged: 0, ended: Ended::NotRun, evidence };
            self.queue.lock().push(own_word);
        }
    }
}

fn apply(journal: &mut Journal, work: &Work) {
    // A refusal means that the piece can never land: its intent did not, or was folded before.
    let _: Result<(), Refusal> = match work.clone() {
        Work::Intend(record) => journal.intend(record),
        Work::Finish { n, charged, ended, evidence } => {
            journal.finish(n, charged, ended, evidence).map(drop)
        }
        Work::HandIn(record, evidence) => journal.hand_in(record, evidence).map(drop),
        Work::Draw(budget) => {
            journal.drawn.insert(budget);
            Ok(())
        }
        Work::Transfer(budget, transfer) => {
            let entry = (budget, transfer);
            if !journal.transfers.contains(&entry) {
                journal.transfers.push(entry);
            }
            Ok(())
        }
    };
}
