//! Bills of finished requests, written to the store page by page.
//!
//! A page is named by the incarnation and a number. It is only ever created, and its content is
//! fixed once it was sent, so that writing it again after a lost answer changes nothing and each
//! request is billed once. A box that dies loses the bills that it has not written; their tokens
//! count as spent nevertheless. A box that stops while the store is unreachable hands its pages
//! over to another box, which writes them.

use std::{sync::Arc, time::Duration};

use ledger::{BILLS, Bill, Ended, Evidence, Incarnation, Page, Part};
use objects::Expect;
use parking_lot::Mutex;
use platform::store::{Client, Put};
use tokio::time::Instant;
use wire::BillPage;

/// Interval between two pages of a box: short, so that few bills are lost if it dies, but long
/// enough to keep store calls rare.
const PAGE_INTERVAL: Duration = Duration::from_secs(10);
/// Most bills on one page. At about 200 bytes each, a page takes a fifth of the largest value that
/// the store accepts.
const MAX_BILLS_PER_PAGE: usize = 1_000;

/// Bills of this box that are not written yet.
#[derive(Debug, Clone)]
pub struct Bills(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    by: Incarnation,
    open: Vec<Bill>,
    last_number: u64,
    page: u64,
    /// Number of bills on the page that was sent last, until it is known to be written. The page
    /// may have landed, so later bills belong on the next one.
    sent: Option<usize>,
    last_written: Instant,
    /// Pages of other boxes, to be written by this one.
    taken_over: Vec<BillPage>,
}

impl State {
    /// Returns the next page and the number of bills on it.
    fn next(&mut self) -> Option<(BillPage, usize)> {
        let count = self.sent.unwrap_or(self.open.len().min(MAX_BILLS_PER_PAGE));
        if count == 0 {
            return None;
        }
        self.sent = Some(count);
        Some((bill_page(&self.by, self.page, self.open[..count].to_vec()), count))
    }

    /// Removes the bills of the page that was written.
    fn written(&mut self, count: usize) {
        self.open.drain(..count);
        self.page += 1;
        self.sent = None;
        self.last_written = Instant::now();
    }
}

impl Bills {
    /// Starts without bills.
    pub fn open(by: Incarnation) -> Bills {
        let (open, taken_over) = (Vec::new(), Vec::new());
        let (page, sent, last_written) = (0, None, Instant::now());
        let state = State { by, open, last_number: 0, page, sent, last_written, taken_over };
        Bills(Arc::new(Mutex::new(state)))
    }

    /// Adds the bill of a request that ended.
    pub fn add(&self, customer: &Arc<str>, key: &Arc<str>, tokens: u64, ended: Ended) {
        let mut state = self.0.lock();
        state.last_number += 1;
        let bill = Bill {
            key: key.clone(),
            customer: customer.clone(),
            by: state.by.clone(),
            n: state.last_number,
            part: Part::Offline,
            tokens,
            ended,
            evidence: Evidence::Recorded,
        };
        state.open.push(bill);
    }

    /// Number of bills of this box and pages of others that are not written yet.
    pub fn waiting(&self) -> usize {
        let state = self.0.lock();
        state.open.len() + state.taken_over.len()
    }

    /// Whether pages of other boxes wait to be written.
    pub fn has_taken_over(&self) -> bool {
        !self.0.lock().taken_over.is_empty()
    }

    /// Takes over pages of a box that stops.
    pub fn take_over(&self, pages: Vec<BillPage>) {
        let mut state = self.0.lock();
        for page in pages {
            if !state.taken_over.iter().any(|known| known.name == page.name) {
                state.taken_over.push(page);
            }
        }
    }

    /// Turns all that is not written into pages for other boxes, which stay here as well.
    pub fn pages_for_others(&self) -> Vec<BillPage> {
        let pages = self.hand_over();
        self.take_over(pages.clone());
        pages
    }

    /// Removes all that is not written, as pages for another box to write.
    pub fn hand_over(&self) -> Vec<BillPage> {
        let mut state = self.0.lock();
        let mut pages = std::mem::take(&mut state.taken_over);
        while let Some((page, count)) = state.next() {
            pages.push(page);
            state.written(count);
        }
        pages
    }

    fn next(&self, all: bool) -> Option<(BillPage, usize)> {
        let mut state = self.0.lock();
        let due = all
            || state.last_written.elapsed() >= PAGE_INTERVAL
            || state.open.len() >= MAX_BILLS_PER_PAGE;
        due.then(|| state.next()).flatten()
    }

    /// Writes the pages of other boxes; stops at the first failure.
    async fn write_taken_over(&self, store: &Client) {
        loop {
            let Some(BillPage { name, text }) = self.0.lock().taken_over.last().cloned() else {
                return;
            };
            match store.replace(BILLS, &name, &text, Expect::Absent).await {
                Put::Landed(_) | Put::Refused(_) => {
                    self.0.lock().taken_over.retain(|page| page.name != name);
                    tracing::info!(event = "bills_written_for_another", page = name);
                }
                Put::Failed(reason) | Put::Unknown(reason) => {
                    tracing::warn!(event = "bills_wait", page = name, reason);
                    return;
                }
            }
        }
    }

    /// Writes the pages that are due, or all bills; stops at the first failure.
    ///
    /// Must not run concurrently: the written bills are removed by position.
    pub async fn write(&self, store: &Client, all: bool) {
        self.write_taken_over(store).await;
        while let Some((BillPage { name, text }, count)) = self.next(all) {
            let put = store.replace(BILLS, &name, &text, Expect::Absent).await;
            match put {
                // The page exists already if an earlier attempt of this box landed.
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

fn bill_page(by: &Incarnation, page: u64, bills: Vec<Bill>) -> BillPage {
    let text = serde_json::to_string(&Page { bills }).expect("bills always serialize");
    BillPage { name: format!("{by}.{page:06}"), text }
}
