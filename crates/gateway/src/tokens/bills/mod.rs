//! Bills of finished requests, written to the store page by page.
//!
//! A few boxes write the bills of all (`fleet::bill_writers`). A box sends its bills to its writer
//! (`replicator`), which creates a page of its log for all of them several times a second
//! (`writer`). The box keeps them until the writer says that they are written, so a bill is lost
//! only if both die. If the writer is silent or does not reach the store, another box writes
//! them to the same log, or the box itself does. `pending` says why a bill is on one page only.

pub mod pending;
pub mod recent;
pub mod replicator;
pub mod writer;

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use ledger::{BILLS, Bill, Ended, Evidence, Incarnation, Page, Part};
use objects::{Expect, Object};
use parking_lot::Mutex;
use platform::{
    store::{Client, Put},
    version,
};
use snafu::Snafu;
use tokio::{sync::Notify, time::Instant};
use wire::{BillPage, Replica, Segment};

use pending::{Draft, Pending};
use recent::Recent;

/// Time after which a write without an answer counts as failed towards other boxes: they turn to
/// another one. Longer than a slow call of the store.
const SLOW_WRITE: Duration = Duration::from_millis(250);

/// Most pages that are written at the same time, each of another log.
const MAX_CONCURRENT_WRITES: usize = 8;
/// How long a failed write tells that this box does not reach the store. In an outage each box that is
/// left with its bills tries that often.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// Bills of this box and of others that are not known to be written.
#[derive(Debug, Clone)]
pub struct Bills(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when there may be something to write.
    to_write: Notify,
    /// Notified when there may be something to send to other boxes.
    to_send: Notify,
    /// Notified when bills were written.
    written: Notify,
}

#[derive(Debug)]
struct State {
    pending: Pending,
    /// Pages that this box created lately.
    recent: Recent,
    /// Pages of older versions that stopped, to be written by this box.
    taken_over: Vec<BillPage>,
    /// Whether everything is to be written at once, before a planned stop.
    is_flushing: bool,
    /// When the write in progress began.
    writing_since: Option<Instant>,
    /// When the last write failed, if it did.
    failed_at: Option<Instant>,
}

/// Why a page could not be written.
#[derive(Debug, Snafu)]
pub enum Fault {
    #[snafu(display("{reason}"))]
    Store { reason: String },
}

impl Bills {
    /// Starts without bills.
    pub fn open(by: Incarnation) -> Bills {
        let state = State {
            pending: Pending::new(by),
            recent: Recent::default(),
            taken_over: Vec::new(),
            is_flushing: false,
            writing_since: None,
            failed_at: None,
        };
        Bills(Arc::new(Shared {
            state: Mutex::new(state),
            to_write: Notify::new(),
            to_send: Notify::new(),
            written: Notify::new(),
        }))
    }

    /// Adds the bill of a request that ended.
    pub fn add(&self, customer: &Arc<str>, key: &Arc<str>, tokens: u64, ended: Ended) {
        let mut state = self.0.state.lock();
        state.pending.add(|by, n| Bill {
            key: key.clone(),
            customer: customer.clone(),
            by,
            n,
            part: Part::Offline,
            tokens,
            ended,
            evidence: Evidence::Recorded,
        });
        match state.is_flushing {
            true => state.pending.assign_to_own_log(),
            false => self.0.to_send.notify_one(),
        }
        self.0.to_write.notify_one();
    }

    /// Number of bills and of pages of others that are not written yet.
    pub fn waiting(&self) -> usize {
        let state = self.0.state.lock();
        state.pending.count() + state.taken_over.len()
    }

    /// Takes over pages of a box of an older version that stops.
    pub fn take_over_pages(&self, pages: Vec<BillPage>) {
        let mut state = self.0.state.lock();
        for page in pages {
            if !state.taken_over.iter().any(|known| known.name == page.name) {
                state.taken_over.push(page);
            }
        }
        self.0.to_write.notify_one();
    }

    /// Holds bills of another box, and writes them. Returns what is left of those of this sender.
    pub fn keep(&self, sender: &Incarnation, segments: Vec<Segment>) -> Replica {
        let mut state = self.0.state.lock();
        state.pending.keep(segments);
        self.0.to_write.notify_one();
        Replica {
            next_page: state.pending.next_page(),
            unwritten: state.pending.unwritten_of(sender),
            is_store_unreachable: state.is_store_unreachable(),
        }
    }

    /// Copies of all that is not written, for other boxes to hold, message by message.
    pub fn copies(&self) -> Vec<Vec<Segment>> {
        self.0.state.lock().pending.copies()
    }

    /// Writes everything as soon as possible from now on, and leaves nothing to other boxes.
    pub fn flush(&self) {
        let mut state = self.0.state.lock();
        state.is_flushing = true;
        state.pending.assign_to_own_log();
        self.0.to_write.notify_one();
    }

    /// Waits until nothing is left to write.
    pub async fn all_written(&self) {
        loop {
            let written = self.0.written.notified();
            tokio::pin!(written);
            written.as_mut().enable();
            if self.waiting() == 0 {
                return;
            }
            written.await;
        }
    }

    /// Writes the pages that are due, or all bills; stops at the first failure.
    ///
    /// Logs are written side by side: after an outage a box holds bills of many, and each takes the time
    /// of a few calls.
    pub async fn write(&self, store: &Client, all: bool) -> Result<(), Fault> {
        loop {
            let drafts = self.drafts(all);
            if drafts.is_empty() {
                return self.write_taken_over(store).await;
            }
            self.0.state.lock().writing_since = Some(Instant::now());
            let writes = drafts.into_iter().map(|draft| self.write_page(store, draft));
            let written: Result<(), Fault> = join_all(writes).await.into_iter().collect();
            let mut state = self.0.state.lock();
            state.writing_since = None;
            state.failed_at = written.is_err().then(Instant::now);
            drop(state);
            written?;
        }
    }

    fn drafts(&self, all: bool) -> Vec<Draft> {
        let mut state = self.0.state.lock();
        let all = all || state.is_flushing;
        let mut drafts = state.pending.drafts(Instant::now(), all);
        drafts.truncate(MAX_CONCURRENT_WRITES);
        drafts
    }

    /// Writes the pages of boxes of older versions.
    async fn write_taken_over(&self, store: &Client) -> Result<(), Fault> {
        loop {
            let Some(BillPage { name, text }) = self.0.state.lock().taken_over.last().cloned()
            else {
                return Ok(());
            };
            match store.replace(BILLS, &name, &text, Expect::Absent).await {
                Put::Landed(_) | Put::Refused(_) => {
                    self.0.state.lock().taken_over.retain(|page| page.name != name);
                    tracing::info!(event = "bills_written_for_another", page = name);
                    self.0.written.notify_waiters();
                }
                Put::Failed(reason) | Put::Unknown(reason) => return self.fail(&name, reason),
            }
        }
    }

    /// Creates a page, or reads the one that exists.
    async fn write_page(&self, store: &Client, draft: Draft) -> Result<(), Fault> {
        let Draft { log, number, page } = draft;
        let name = page_name(&log, number);
        let text = serde_json::to_string(&page).expect("bills always serialize");
        let (existing, version) = match store.replace(BILLS, &name, &text, Expect::Absent).await {
            Put::Landed(version) => {
                tracing::info!(event = "bills_written", page = name, count = page.bills.len());
                (page.clone(), version)
            }
            Put::Refused(Some(object)) => (read_page(&name, &object), object.version),
            Put::Refused(None) => return self.fail(&name, "the existing page was not sent".into()),
            Put::Failed(reason) | Put::Unknown(reason) => return self.fail(&name, reason),
        };
        let (mut state, now) = (self.0.state.lock(), Instant::now());
        state.pending.record_page(&log, number, &existing, now);
        // Also if the answer to an earlier attempt was lost.
        if existing == page {
            state.recent.add(Draft { log, number, page }, version::era(version), now);
        }
        drop(state);
        self.0.written.notify_waiters();
        Ok(())
    }

    /// Creates pages again that the store may lack in an era, or reads what is in their place.
    async fn write_again(&self, store: &Client, era: u64) -> Result<(), Fault> {
        loop {
            let Some(draft) = self.0.state.lock().recent.missing(era) else { return Ok(()) };
            let name = page_name(&draft.log, draft.number);
            let text = serde_json::to_string(&draft.page).expect("bills always serialize");
            let existing = match store.replace(BILLS, &name, &text, Expect::Absent).await {
                Put::Landed(_) => {
                    let count = draft.page.bills.len();
                    tracing::warn!(event = "bills_written_again", page = name, count);
                    draft.page.clone()
                }
                Put::Refused(Some(object)) => read_page(&name, &object),
                Put::Refused(None) => {
                    return self.fail(&name, "the existing page was not sent".into());
                }
                Put::Failed(reason) | Put::Unknown(reason) => return self.fail(&name, reason),
            };
            let mut state = self.0.state.lock();
            let lost = state.recent.record_found(&draft, &existing, era);
            state.pending.restore(lost);
        }
    }

    fn fail(&self, page: &str, reason: String) -> Result<(), Fault> {
        tracing::warn!(event = "bills_wait", page, waiting = self.waiting(), reason);
        StoreSnafu { reason }.fail()
    }
}

fn page_name(log: &Incarnation, number: u64) -> String {
    format!("{log}.{number:06}")
}

fn read_page(name: &str, object: &Object) -> Page {
    serde_json::from_str(&object.value).unwrap_or_else(|error| {
        tracing::warn!(event = "bills_unreadable", page = name, %error);
        Page { bills: Vec::new() }
    })
}

impl State {
    /// Whether the last write failed lately or gets no answer.
    fn is_store_unreachable(&self) -> bool {
        let has_failed = self.failed_at.is_some_and(|at| at.elapsed() < FAILURE_TTL);
        let is_slow = self.writing_since.is_some_and(|since| since.elapsed() > SLOW_WRITE);
        has_failed || is_slow
    }
}
