//! Pages that this box created lately, to be created again if the store comes back from an older copy.
//!
//! Pure state. After a return, each page is created again or found. Whatever another box has put into the place of a lost
//! page meanwhile stays, and bills that are on none of the pages any more go to new ones.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use ledger::{Bill, Incarnation, Page};
use tokio::time::Instant;

use super::pending::Draft;

/// How long a page is remembered: far longer than a copy of the store is old.
const PAGE_TTL: Duration = Duration::from_secs(60);
/// Maximum number of bills on remembered pages, some 10 MB.
const MAX_BILLS: usize = 50_000;

/// Pages that were created, oldest first.
#[derive(Debug, Default)]
pub struct Recent {
    pages: VecDeque<Created>,
    /// Bills that were found on pages since the newest return of the store.
    found: HashSet<(Incarnation, u64)>,
}

#[derive(Debug)]
struct Created {
    draft: Draft,
    at: Instant,
    /// Era of the store in which it is known to exist.
    era: u64,
}

impl Recent {
    /// Remembers a page that this box created in an era of the store.
    pub fn add(&mut self, draft: Draft, era: u64, now: Instant) {
        self.pages.push_back(Created { draft, at: now, era });
        let mut bills: usize = self.pages.iter().map(|page| page.draft.page.bills.len()).sum();
        while let Some(oldest) = self.pages.front() {
            if bills <= MAX_BILLS && oldest.at + PAGE_TTL > now {
                return;
            }
            bills -= oldest.draft.page.bills.len();
            self.pages.pop_front();
        }
    }

    /// The oldest page that is not known to exist in an era.
    pub fn missing(&self, era: u64) -> Option<Draft> {
        let missing = self.pages.iter().find(|page| page.era < era);
        missing.map(|page| page.draft.clone())
    }

    /// Records that a page exists in an era, with these bills. Returns the bills of all remembered pages that are on
    /// none, once no page is missing.
    pub fn record_found(&mut self, draft: &Draft, existing: &Page, era: u64) -> Vec<Bill> {
        self.found.extend(existing.bills.iter().map(|bill| (bill.by.clone(), bill.n)));
        let is_same =
            |page: &&mut Created| page.draft.log == draft.log && page.draft.number == draft.number;
        if let Some(page) = self.pages.iter_mut().find(is_same) {
            page.era = era;
        }
        if self.missing(era).is_some() {
            return Vec::new();
        }
        let found = std::mem::take(&mut self.found);
        let bills = self.pages.iter().flat_map(|page| &page.draft.page.bills);
        bills.filter(|bill| !found.contains(&(bill.by.clone(), bill.n))).cloned().collect()
    }
}
