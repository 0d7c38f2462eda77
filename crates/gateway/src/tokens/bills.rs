//! Bills of finished requests, written to the store page by page.
//!
//! A page is named by the incarnation and a number and is only ever created, and what stands on it
//! does not change once it was sent. So writing it again after a lost answer changes nothing, and
//! each request stands on one bill. A box that loses
//! power loses the bills of its last seconds; their tokens count as spent all the same. One that
//! stops by plan while the store is away hands its pages to another box, which writes them.

use std::{sync::Arc, time::Duration};

use ledger::{BILLS, Bill, Ended, Evidence, Incarnation, Page, Part};
use objects::Expect;
use parking_lot::Mutex;
use platform::store::{Client, Put};
use tokio::time::Instant;
use wire::BillPage;

/// Time between two pages of a box, so that few bills are lost with it and few calls made.
const PAGE_EVERY: Duration = Duration::from_secs(10);
/// Bills on one page at most: some 200 bytes each, a fifth of the largest value.
const PAGE_BILLS: usize = 1_000;

/// Bills of this box that are not written yet.
#[derive(Debug, Clone)]
pub struct Bills(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    by: Incarnation,
    open: Vec<Bill>,
    n: u64,
    page: u64,
    /// Bills on the page that was sent last, until it is known to be there: it may have landed, and
    /// what came since belongs on the next one.
    sent: Option<usize>,
    written: Instant,
    /// Pages of other boxes that this one writes.
    carried: Vec<BillPage>,
}

impl State {
    /// The next page and the bills on it.
    fn next(&mut self) -> Option<(BillPage, usize)> {
        let count = self.sent.unwrap_or(self.open.len().min(PAGE_BILLS));
        if count == 0 {
            return None;
        }
        self.sent = Some(count);
        Some((sheet(&self.by, self.page, self.open[..count].to_vec()), count))
    }

    /// The page that was sent last is there.
    fn written(&mut self, count: usize) {
        self.open.drain(..count);
        self.page += 1;
        self.sent = None;
        self.written = Instant::now();
    }
}

impl Bills {
    /// No bills yet.
    pub fn open(by: Incarnation) -> Bills {
        let (open, carried) = (Vec::new(), Vec::new());
        let (page, sent, written) = (0, None, Instant::now());
        let state = State { by, open, n: 0, page, sent, written, carried };
        Bills(Arc::new(Mutex::new(state)))
    }

    /// Bills a request that ended.
    pub fn add(&self, customer: &Arc<str>, key: &Arc<str>, tokens: u64, ended: Ended) {
        let mut state = self.0.lock();
        state.n += 1;
        let bill = Bill {
            key: key.clone(),
            customer: customer.clone(),
            by: state.by.clone(),
            n: state.n,
            part: Part::Offline,
            tokens,
            ended,
            evidence: Evidence::Recorded,
        };
        state.open.push(bill);
    }

    /// Bills that are not written yet.
    pub fn waiting(&self) -> usize {
        let state = self.0.lock();
        state.open.len() + state.carried.len()
    }

    /// Takes over pages of a box that ends.
    pub fn take_over(&self, pages: Vec<BillPage>) {
        self.0.lock().carried.extend(pages);
    }

    /// Takes out all that is not written, as pages for another box to write.
    pub fn hand_over(&self) -> Vec<BillPage> {
        let mut state = self.0.lock();
        let mut pages = std::mem::take(&mut state.carried);
        while let Some((page, count)) = state.next() {
            pages.push(page);
            state.written(count);
        }
        pages
    }

    fn next(&self, all: bool) -> Option<(BillPage, usize)> {
        let mut state = self.0.lock();
        let due = all || state.written.elapsed() >= PAGE_EVERY || state.open.len() >= PAGE_BILLS;
        due.then(|| state.next()).flatten()
    }

    /// Writes pages of other boxes; stops at the first that fails.
    async fn write_carried(&self, store: &Client) {
        loop {
            let Some(BillPage { name, text }) = self.0.lock().carried.last().cloned() else {
                return;
            };
            match store.replace(BILLS, &name, &text, Expect::Absent).await {
                Put::Landed(_) | Put::Refused(_) => {
                    self.0.lock().carried.retain(|page| page.name != name);
                    tracing::info!(event = "bills_written_for_another", page = name);
                }
                Put::Failed(reason) | Put::Unknown(reason) => {
                    tracing::warn!(event = "bills_wait", page = name, reason);
                    return;
                }
            }
        }
    }

    /// Writes pages that are due, or all there are; stops at the first that fails.
    ///
    /// Only one task may do this: what is written goes by position.
    pub async fn write(&self, store: &Client, all: bool) {
        self.write_carried(store).await;
        while let Some((BillPage { name, text }, count)) = self.next(all) {
            let put = store.replace(BILLS, &name, &text, Expect::Absent).await;
            match put {
                // A page that is there already was written by an earlier call of this box.
                Put::Landed(_) | Put::Refused(_) => {
                    self.0.lock().written(count);
                    tracing::info!(event = "bills_written", page = name, count);
                }
                Put::Failed(reason) | Put::Unknown(reason) => {
                    let waiting = self.waiting();
                    tracing::warn!(event = "bills_wait", page = name, waiting, reason);
                    return;
                }
            }
        }
    }
}

fn sheet(by: &Incarnation, page: u64, bills: Vec<Bill>) -> BillPage {
    let text = serde_json::to_string(&Page { bills }).expect("bills always serialize");
    BillPage { name: format!("{by}.{page:06}"), text }
}
