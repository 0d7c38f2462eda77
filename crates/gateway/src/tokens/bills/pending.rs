//! Bills that are not known to be written, and which page each of them may be on.
//!
//! Pure state: the tasks beside it do the calls. Every bill belongs to one log from the moment at
//! which it may first be written, and to no other one ever. Pages of a log are only ever created,
//! one after the other, by whichever box reaches the store. A box that finds a page taken reads it,
//! drops the bills that it shows, and goes on with the next page. So a bill is on one page at most,
//! however many boxes hold it and whatever answers get lost.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use ledger::{Bill, Incarnation, Page, RangeSet};
use tokio::time::Instant;
use wire::Segment;

/// Interval between two pages of a box's own log while both are small.
const PAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Most bills on one page. At about 200 bytes each, a page takes a fifth of the largest value that
/// the store accepts.
const MAX_BILLS_PER_PAGE: usize = 1_000;
/// Most bills in one message to another box: less than the largest page.
const MAX_BILLS_PER_MESSAGE: usize = 500;
/// Largest page or message, by the keys on it, which callers choose: less than half of the largest value
/// that the store accepts, as characters may be escaped.
const MAX_KEY_BYTES: usize = 300_000;

/// What identifies a bill: the box that ran the request, and the number that it gave the bill.
type Id = (Incarnation, u64);

/// A bill, and the first page of its log that may show it.
#[derive(Debug)]
struct Entry {
    page: u64,
    bill: Bill,
}

/// Bills of one log.
type Log = BTreeMap<Id, Entry>;

/// A page to be created.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    pub log: Incarnation,
    pub number: u64,
    pub page: Page,
}

/// Bills that are not known to be written.
#[derive(Debug)]
pub struct Pending {
    me: Incarnation,
    last_number: u64,
    /// Bills of this box that belong to no log yet.
    unassigned: Vec<Bill>,
    logs: BTreeMap<Incarnation, Log>,
    /// First page of this box's own log that is not known to exist.
    next_page: u64,
    /// Bills on the pages of this box's own log, by author: a copy that arrives late is not written
    /// again.
    written: HashMap<Incarnation, RangeSet>,
    /// Numbers of this box's bills that other boxes hold.
    held: HashMap<Incarnation, RangeSet>,
    /// Whether this box leaves its bills in logs of others to those.
    is_delegating: bool,
    last_page_at: Option<Instant>,
}

impl Pending {
    pub fn new(me: Incarnation) -> Pending {
        Pending {
            me,
            last_number: 0,
            unassigned: Vec::new(),
            logs: BTreeMap::new(),
            next_page: 0,
            written: HashMap::new(),
            held: HashMap::new(),
            is_delegating: true,
            last_page_at: None,
        }
    }

    /// Adds a bill of this box, which `bill` builds from its author and number.
    pub fn add(&mut self, bill: impl FnOnce(Incarnation, u64) -> Bill) {
        self.last_number += 1;
        self.unassigned.push(bill(self.me.clone(), self.last_number));
    }

    /// Number of bills.
    pub fn count(&self) -> usize {
        self.unassigned.len() + self.logs.values().map(Log::len).sum::<usize>()
    }

    /// Whether bills of this box belong to no log yet.
    pub fn has_unassigned(&self) -> bool {
        !self.unassigned.is_empty()
    }

    /// Whether bills of this box are not known to be written.
    pub fn has_own(&self) -> bool {
        self.has_unassigned() || self.own_in_logs().next().is_some()
    }

    fn own_in_logs(&self) -> impl Iterator<Item = (&Incarnation, &Entry)> {
        self.logs.iter().flat_map(|(name, log)| of_author(log, &self.me).map(move |e| (name, e)))
    }

    /// First page of this box's own log that is not known to exist.
    pub fn next_page(&self) -> u64 {
        self.next_page
    }

    /// Assigns the bills of this box that belong to no log yet. `page` is the first page of the log
    /// that they may be on.
    pub fn assign(&mut self, log: &Incarnation, page: u64) {
        let bills = std::mem::take(&mut self.unassigned);
        self.keep(vec![Segment { log: log.clone(), page, bills }]);
    }

    /// Assigns the bills of this box that belong to no log yet to its own one.
    pub fn assign_to_own_log(&mut self) {
        let (me, page) = (self.me.clone(), self.next_page());
        self.assign(&me, page);
    }

    /// Adds bills that belong to logs already.
    pub fn keep(&mut self, segments: Vec<Segment>) {
        for Segment { log: name, page, bills } in segments {
            let is_own = name == self.me;
            let is_written = |bill: &Bill| {
                let numbers = self.written.get(&bill.by);
                is_own && numbers.is_some_and(|numbers| numbers.contains(bill.n))
            };
            let bills = bills.into_iter().filter(|bill| !is_written(bill));
            // The pages of the own log are all known.
            let page = if is_own { self.next_page } else { page };
            let bills = bills.map(|bill| ((bill.by.clone(), bill.n), Entry { page, bill }));
            let bills: Vec<(Id, Entry)> = bills.collect();
            if !bills.is_empty() {
                self.logs.entry(name).or_default().extend(bills);
            }
        }
    }

    /// Takes bills to this box's own log that were on its pages and are on none any more.
    pub fn restore(&mut self, bills: Vec<Bill>) {
        if bills.is_empty() {
            return;
        }
        let page = self.next_page;
        let bills = bills.into_iter().map(|bill| ((bill.by.clone(), bill.n), Entry { page, bill }));
        self.logs.entry(self.me.clone()).or_default().extend(bills);
    }

    /// Numbers of the author's bills that this box holds.
    pub fn unwritten_of(&self, author: &Incarnation) -> RangeSet {
        let entries = self.logs.values().flat_map(|log| of_author(log, author));
        let mut numbers: Vec<u64> = entries.map(|entry| entry.bill.n).collect();
        numbers.sort_unstable();
        numbers.into_iter().collect()
    }

    /// Bills of this box in a log that the other box does not hold, as many as one message takes.
    pub fn missing_at(&self, holder: &Incarnation) -> Vec<Segment> {
        let held = self.held.get(holder);
        let is_missing = |n| held.is_none_or(|held| !held.contains(n));
        let missing = self.own_in_logs().filter(|(_, entry)| is_missing(entry.bill.n));
        let missing: Vec<(&Incarnation, &Entry)> = missing.take(MAX_BILLS_PER_MESSAGE).collect();
        segments(missing[..fitting(&missing, |(_, entry)| entry)].iter().copied())
    }

    /// All bills, in messages of segments.
    pub fn copies(&mut self) -> Vec<Vec<Segment>> {
        self.assign_to_own_log();
        let entries = self.logs.iter().flat_map(|(name, log)| log.values().map(move |e| (name, e)));
        let entries: Vec<(&Incarnation, &Entry)> = entries.collect();
        let mut rest = &entries[..];
        let mut messages = Vec::new();
        while !rest.is_empty() {
            let most = &rest[..rest.len().min(MAX_BILLS_PER_MESSAGE)];
            let (message, later) = rest.split_at(fitting(most, |(_, entry)| entry));
            messages.push(segments(message.iter().copied()));
            rest = later;
        }
        messages
    }

    /// Records the answer of a box that took the `sent` bills and still holds the `unwritten` ones
    /// of this box. All others that it held are written.
    pub fn confirm(&mut self, holder: &Incarnation, sent: &[Segment], unwritten: RangeSet) {
        let mut held = self.held.remove(holder).unwrap_or_default();
        let sent = sent.iter().flat_map(|segment| &segment.bills);
        sent.for_each(|bill| held.insert(bill.n));
        for log in self.logs.values_mut() {
            let is_written =
                |(by, n): &Id| *by == self.me && held.contains(*n) && !unwritten.contains(*n);
            log.retain(|id, _| !is_written(id));
        }
        self.forget_empty_logs();
        self.held.insert(holder.clone(), unwritten);
        let is_at_others = self.own_in_logs().next().is_some();
        if !is_at_others {
            self.held.clear();
        }
    }

    /// Sets whether this box leaves its bills in logs of others to those.
    pub fn set_delegating(&mut self, is_delegating: bool) {
        self.is_delegating = is_delegating;
    }

    /// When the next page is due; `None` if there is nothing to write. With `all`, nothing is left
    /// to other boxes or later.
    pub fn due_at(&self, now: Instant, all: bool) -> Option<Instant> {
        let due_at = |(name, log): (&Incarnation, &Log)| self.log_due_at(name, log, now, all);
        self.logs.iter().filter_map(due_at).min()
    }

    fn log_due_at(
        &self,
        name: &Incarnation,
        log: &Log,
        now: Instant,
        all: bool,
    ) -> Option<Instant> {
        let is_paced = *name == self.me && !all && log.len() < MAX_BILLS_PER_PAGE;
        match self.last_page_at {
            _ if !self.has_due(name, log, all) => None,
            Some(last) if is_paced => Some(last + PAGE_INTERVAL),
            _ => Some(now),
        }
    }

    fn has_due(&self, name: &Incarnation, log: &Log, all: bool) -> bool {
        log.keys().any(|id| self.is_due(name, id, all))
    }

    fn is_due(&self, log: &Incarnation, (by, _): &Id, all: bool) -> bool {
        let is_delegated = self.is_delegating && *by == self.me && *log != self.me;
        all || !is_delegated
    }

    /// The next page of each log that is due.
    pub fn drafts(&mut self, now: Instant, all: bool) -> Vec<Draft> {
        if all {
            self.assign_to_own_log();
        }
        let due = self.logs.iter().filter(|(name, log)| {
            self.log_due_at(name, log, now, all).is_some_and(|due_at| due_at <= now)
        });
        due.filter_map(|(name, log)| self.draft(name, log, all)).collect()
    }

    fn draft(&self, name: &Incarnation, log: &Log, all: bool) -> Option<Draft> {
        let due = log.iter().filter(|(id, _)| self.is_due(name, id, all));
        let due: Vec<&Entry> = due.take(MAX_BILLS_PER_PAGE).map(|(_, entry)| entry).collect();
        let due = &due[..fitting(&due, |entry| entry)];
        let number = match *name == self.me {
            true => self.next_page,
            false => due.iter().map(|entry| entry.page).min()?,
        };
        let bills = due.iter().map(|entry| entry.bill.clone()).collect();
        Some(Draft { log: name.clone(), number, page: Page { bills } })
    }

    /// Records that a page exists, with the bills on it, whoever created it.
    pub fn record_page(&mut self, log: &Incarnation, number: u64, page: &Page, now: Instant) {
        if *log == self.me {
            self.next_page = self.next_page.max(number + 1);
            self.last_page_at = Some(now);
            for bill in &page.bills {
                self.written.entry(bill.by.clone()).or_default().insert(bill.n);
            }
        }
        let Some(log) = self.logs.get_mut(log) else { return };
        for bill in &page.bills {
            log.remove(&(bill.by.clone(), bill.n));
        }
        for entry in log.values_mut().filter(|entry| entry.page == number) {
            entry.page += 1;
        }
        self.forget_empty_logs();
    }

    fn forget_empty_logs(&mut self) {
        self.logs.retain(|_, log| !log.is_empty());
    }
}

/// Entries of one author.
fn of_author<'a>(log: &'a Log, author: &Incarnation) -> impl Iterator<Item = &'a Entry> + use<'a> {
    log.range((author.clone(), 0)..=(author.clone(), u64::MAX)).map(|(_, entry)| entry)
}

/// How many of the first bills a page or message takes; at least one.
fn fitting<'a, T>(entries: &'a [T], entry: impl Fn(&'a T) -> &'a Entry) -> usize {
    let mut bytes = 0;
    let fits = entries.iter().take_while(|item| {
        bytes += entry(item).bill.key.len();
        bytes <= MAX_KEY_BYTES
    });
    fits.count().max(usize::from(!entries.is_empty()))
}

/// Groups bills by their log and page.
fn segments<'a>(entries: impl Iterator<Item = (&'a Incarnation, &'a Entry)>) -> Vec<Segment> {
    let mut segments: Vec<Segment> = Vec::new();
    for (log, Entry { page, bill }) in entries {
        match segments.last_mut() {
            Some(last) if last.log == *log && last.page == *page => last.bills.push(bill.clone()),
            _ => {
                let bills = vec![bill.clone()];
                segments.push(Segment { log: log.clone(), page: *page, bills });
            }
        }
    }
    segments
}
