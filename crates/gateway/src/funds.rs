//! What this box may still spend of each budget, and the settlements that change it.
//!
//! A request holds its worst case before it is sent anywhere; what it did not use is free again
//! when it ends. All of that is local. [`Funds::plan`] makes the next settlement from what was
//! charged and what is lacking, and [`Funds::landed`] takes over what the book granted.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ledger::{
    Account, Granted, Incarnation, Item, Observed, Part, Reservation, Settlement, Transfer, Writer,
};
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::table::Table;

/// Time over which the rate of use is averaged, in seconds.
const RATE_S: f64 = 6.0;
/// Shortest time over which use is averaged, in seconds: one large request that comes first says
/// little about the ones after it.
const LEAST_OBSERVED_S: f64 = 2.0;
/// A box asks for more once it holds less than this share of its target.
const LOW: f64 = 0.6;
/// A box gives tokens back once it holds more than this multiple of its target.
const HIGH: f64 = 2.0;
/// Time for which a source of tokens that had none is not asked again: other boxes settle about
/// as often.
const DRY: Duration = Duration::from_millis(500);
/// Each time in a row doubles that, so many times at most.
const DRY_DOUBLINGS: u32 = 3;
/// Seconds of use that a box keeps when it is asked for tokens, and asks for beyond what one
/// request lacks.
const KEEP_S: f64 = 1.0;
/// Until use was observed, a box counts on requests as large as this fraction of what is unspent,
/// split over the boxes.
const GUESS: u64 = 64;

/// Why tokens could not be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// What remains of the budget cannot hold the request.
    Exhausted,
    /// The budget may have tokens, but this box did not get them in time.
    Short,
}

/// All accounts of this box.
#[derive(Debug, Clone)]
pub struct Funds(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    /// A request lacks tokens.
    wanted: Notify,
    /// Settlements that landed.
    settled: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    purses: HashMap<Arc<str>, Purse>,
    boxes: u64,
    reachable: bool,
}

#[derive(Debug, Default)]
struct Purse {
    account: Account,
    /// What the operator says is paid, with the version of the configuration.
    paid: Option<(u64, u64)>,
    /// Charged and not settled yet.
    charged: u64,
    requests: u64,
    /// Worst cases of requests that wait for tokens.
    waiting: u64,
    rate: Rate,
    peak: u64,
    granted: Granted,
    known: bool,
    /// Tokens passed on or received and not planned into a settlement yet.
    transfers: Vec<Transfer>,
    /// Tokens received that no settlement which landed has told of.
    received: u64,
    /// Transfers given so far: the number of the next one.
    given: u64,
    /// The book had too little left at the last settlement: it is not asked before then.
    dry_until: Option<Instant>,
    /// Settlements in a row that had too little left.
    dry_times: u32,
    /// Other boxes had nothing to spare: they are not asked before then.
    others_dry_until: Option<Instant>,
    /// One request at a time asks other boxes for this customer.
    asking: Arc<tokio::sync::Mutex<()>>,
}

/// Use a second, averaged over the last seconds.
///
/// The sum fades with [`RATE_S`]. It is divided by the part of that window that was observed, so
/// that the use of a box that just started isn't taken for less than it is.
#[derive(Debug, Default)]
struct Rate {
    sum: f64,
    /// When the first use was seen.
    since: Option<Instant>,
    at: Option<Instant>,
}

impl Rate {
    fn add(&mut self, tokens: u64, now: Instant) {
        self.decay(now);
        self.since.get_or_insert(now);
        self.sum += tokens as f64;
    }

    fn decay(&mut self, now: Instant) {
        let passed = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.sum *= (-passed / RATE_S).exp();
        self.at = Some(now);
    }

    fn per_second(&mut self, now: Instant) -> u64 {
        self.decay(now);
        let Some(since) = self.since else { return 0 };
        let observed = now.saturating_duration_since(since).as_secs_f64().max(LEAST_OBSERVED_S);
        let window = RATE_S * (1.0 - (-observed / RATE_S).exp());
        (self.sum / window) as u64
    }
}

/// Tokens held for one request.
#[derive(Debug)]
#[must_use = "a hold is settled"]
pub struct Hold {
    funds: Funds,
    customer: Arc<str>,
    reservation: Option<Reservation>,
}

impl Hold {
    /// The request ended: `charged` is spent, the rest is free again.
    pub fn settle(mut self, charged: u64) -> u64 {
        self.end(charged)
    }

    /// Tokens held.
    pub fn tokens(&self) -> u64 {
        self.reservation.as_ref().map_or(0, |reservation| reservation.tokens)
    }

    fn end(&mut self, charged: u64) -> u64 {
        let Some(reservation) = self.reservation.take() else { return 0 };
        let mut state = self.funds.0.state.lock();
        let Some(purse) = state.purses.get_mut(&self.customer) else { return 0 };
        let charged = purse.account.settle(reservation, charged);
        purse.charged += charged;
        purse.requests += u64::from(charged > 0);
        charged
    }
}

impl Drop for Hold {
    /// Whoever drops a hold unsettled does not know what was used: all of it counts.
    fn drop(&mut self) {
        self.end(u64::MAX);
    }
}

impl Funds {
    /// No accounts yet.
    pub fn open() -> Funds {
        let inner =
            Inner { state: Mutex::default(), wanted: Notify::new(), settled: watch::channel(0).0 };
        Funds(Arc::new(inner))
    }

    /// Takes over what the operator says is paid.
    pub fn configure(&self, table: &Table) {
        let mut state = self.0.state.lock();
        for customer in table.config().customers.iter().flatten() {
            let purse = state.purses.entry(customer.name.clone()).or_default();
            let paid = customer.paid.map(|paid| (paid, table.version()));
            if purse.paid.map(|(paid, _)| paid) != customer.paid {
                (purse.dry_until, purse.others_dry_until, purse.dry_times) = (None, None, 0);
            }
            purse.paid = paid;
        }
        drop(state);
        self.0.wanted.notify_one();
    }

    /// Boxes that share the budgets, as the book knows them.
    pub fn boxes(&self) -> u64 {
        self.0.state.lock().boxes.max(1)
    }

    /// Whether the last call for money reached the store.
    pub fn set_reachable(&self, reachable: bool) {
        self.0.state.lock().reachable = reachable;
    }

    /// Holds the worst case of a request, waiting until `until` for a settlement that brings the
    /// tokens; `None` if none did.
    pub async fn hold(&self, customer: &Arc<str>, worst: u64, until: Instant) -> Option<Hold> {
        if let Some(hold) = self.try_hold(customer, worst) {
            return Some(hold);
        }
        if self.is_dry(customer, worst) {
            return None;
        }
        let _waiting = Waiting::join(self, customer, worst);
        let mut settled = self.0.settled.subscribe();
        let joined = *settled.borrow_and_update();
        loop {
            let changed = tokio::time::timeout_at(until, settled.changed()).await;
            let now = *settled.borrow_and_update();
            if let Some(hold) = self.try_hold(customer, worst) {
                return Some(hold);
            }
            // One settlement may have been under way without this request.
            if changed.is_err() || now >= joined + 2 || self.is_dry(customer, worst) {
                return None;
            }
            self.0.wanted.notify_one();
        }
    }

    /// Holds the worst case of a request if the tokens are here.
    pub fn try_hold(&self, customer: &Arc<str>, worst: u64) -> Option<Hold> {
        let mut state = self.0.state.lock();
        let purse = state.purses.entry(customer.clone()).or_default();
        purse.peak = purse.peak.max(worst);
        let reservation = purse.account.reserve(Part::Offline, worst).ok()?;
        purse.rate.add(worst, Instant::now());
        Some(Hold {
            funds: self.clone(),
            customer: customer.clone(),
            reservation: Some(reservation),
        })
    }

    /// Passes tokens on to another box, as many as `wanted` and this box can spare.
    ///
    /// Only tokens that the book knows to be here are passed on, so that whoever tells of it
    /// first, the grant of this box covers it.
    pub fn lend(
        &self,
        customer: &Arc<str>,
        wanted: u64,
        from: &Incarnation,
        to: &Incarnation,
    ) -> Option<Transfer> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let purse = state.purses.get_mut(customer)?;
        let keep = (purse.rate.per_second(now) as f64 * KEEP_S) as u64;
        let spare = purse.account.free().saturating_sub(purse.received.max(keep));
        let tokens = purse.account.take(Part::Offline, wanted.min(spare));
        if tokens == 0 {
            return None;
        }
        purse.given += 1;
        let transfer = Transfer { from: from.clone(), n: purse.given, to: to.clone(), tokens };
        purse.transfers.push(transfer.clone());
        Some(transfer)
    }

    /// Takes over tokens that another box passed on.
    pub fn receive(&self, customer: &Arc<str>, transfer: Transfer) {
        let mut state = self.0.state.lock();
        let purse = state.purses.entry(customer.clone()).or_default();
        purse.account.give(Part::Offline, transfer.tokens);
        purse.received += transfer.tokens;
        purse.transfers.push(transfer);
    }

    /// Whether the book had too little left for such a request a moment ago.
    fn is_dry(&self, customer: &str, worst: u64) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        state.purses.get(customer).is_some_and(|purse| {
            purse.is_dry(now) && purse.account.free() + purse.granted.left < worst
        })
    }

    /// Whether other boxes had nothing to spare for a customer a moment ago.
    pub fn are_others_dry(&self, customer: &str) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        let purse = state.purses.get(customer);
        purse.is_some_and(|purse| purse.others_dry_until.is_some_and(|until| until > now))
    }

    /// Other boxes had nothing to spare for a customer.
    pub fn note_others_dry(&self, customer: &str) {
        let mut state = self.0.state.lock();
        if let Some(purse) = state.purses.get_mut(customer) {
            purse.others_dry_until = Some(Instant::now() + DRY);
        }
    }

    /// What a request of this size lacks, with a little for the ones after it.
    pub fn missing(&self, customer: &str, worst: u64) -> u64 {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let Some(purse) = state.purses.get_mut(customer) else { return worst };
        let next = (purse.rate.per_second(now) as f64 * KEEP_S) as u64;
        match worst.saturating_sub(purse.account.free()) {
            0 => 0,
            missing => missing + next,
        }
    }

    /// The lock under which one request at a time asks other boxes for a customer's tokens.
    pub fn asking(&self, customer: &Arc<str>) -> Arc<tokio::sync::Mutex<()>> {
        self.0.state.lock().purses.entry(customer.clone()).or_default().asking.clone()
    }

    /// Why a request of this size cannot be paid for now.
    pub fn lack(&self, customer: &str, worst: u64) -> Lack {
        let state = self.0.state.lock();
        let purse = state.purses.get(customer);
        let exhausted = purse.is_some_and(|purse| {
            let paid = purse.paid.map_or(0, |(paid, _)| paid);
            purse.known && paid.saturating_sub(purse.granted.used + purse.charged) < worst
        });
        if exhausted { Lack::Exhausted } else { Lack::Short }
    }

    /// Waits until a request lacks tokens or the configuration changed.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// Whether a request waits for tokens that a settlement may bring.
    pub fn is_urgent(&self) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        state.purses.values().any(|purse| purse.waiting > 0 && !purse.is_dry(now))
    }

    /// Whether a settlement would change much: tokens run low, or too many are held.
    pub fn is_due(&self) -> bool {
        let state = self.0.state.lock();
        state.purses.values().any(|purse| {
            let (free, target) = (purse.account.free() as f64, purse.granted.target as f64);
            let low = free < target * LOW && purse.granted.left > 0;
            let high = free > target * HIGH + purse.peak as f64;
            purse.known && (low || high)
        })
    }

    /// The next settlement. What it reports and returns is out of the accounts once planned, so
    /// it must land, however long that takes.
    pub fn plan(&self, holder: &Incarnation, writer: Writer, leaves: bool) -> Settlement {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let boxes = state.boxes.max(1);
        let limited = state.purses.iter_mut().filter(|(_, purse)| purse.paid.is_some());
        let items = limited.map(|(customer, purse)| purse.item(customer, boxes, leaves, now));
        Settlement { holder: holder.clone(), writer, items: items.collect(), leaves }
    }

    /// Takes over what a settlement that landed gave.
    pub fn landed(&self, settlement: &Settlement, granted: Vec<Granted>, boxes: u64) {
        let mut state = self.0.state.lock();
        state.boxes = boxes;
        for item in &settlement.items {
            let to_me = item.transfers.iter().filter(|transfer| transfer.to == settlement.holder);
            let told: u64 = to_me.map(|transfer| transfer.tokens).sum();
            let brought = granted.iter().find(|granted| granted.customer == item.customer);
            let short = brought.is_none_or(|granted| granted.tokens < item.need());
            if let Some(purse) = state.purses.get_mut(&item.customer) {
                purse.received -= told;
                let dry = item.need() > 0 && short;
                purse.dry_times = if dry { purse.dry_times + 1 } else { 0 };
                let rest = DRY * 2u32.pow(purse.dry_times.saturating_sub(1).min(DRY_DOUBLINGS));
                purse.dry_until = dry.then(|| Instant::now() + rest);
            }
        }
        for granted in granted {
            let purse = state.purses.entry(granted.customer.clone()).or_default();
            purse.account.give(Part::Offline, granted.tokens);
            purse.granted = granted;
            purse.known = true;
        }
        drop(state);
        self.0.settled.send_modify(|count| *count += 1);
    }

    /// Free tokens by customer, with the target and what is unspent, for logs and metrics.
    pub fn overview(&self) -> Vec<(Arc<str>, u64, u64, u64)> {
        let state = self.0.state.lock();
        let purses = state.purses.iter();
        let line = |(name, purse): (&Arc<str>, &Purse)| {
            (name.clone(), purse.account.free(), purse.granted.target, purse.granted.unspent)
        };
        purses.map(line).collect()
    }

    /// Time of the next settlement that nothing asks for, after the last one.
    pub fn pause(&self, spacing: Duration, settle: Duration) -> Duration {
        if self.is_due() { spacing } else { settle }
    }
}

impl Purse {
    /// Whether the book had too little left for what waited here a moment ago.
    fn is_dry(&self, now: Instant) -> bool {
        self.dry_until.is_some_and(|until| until > now)
    }

    fn item(&mut self, customer: &Arc<str>, boxes: u64, leaves: bool, now: Instant) -> Item {
        if leaves {
            // Work that is given up may have used all that it held.
            let held = self.account.tokens(Part::Offline).reserved;
            self.charged += held;
        }
        let free = self.account.free();
        let target = self.granted.target;
        let surplus = match () {
            () if leaves => free,
            () if !self.known => 0,
            () if free as f64 > target as f64 * HIGH + self.peak as f64 => free - target,
            () => 0,
        };
        let returned = self.account.take(Part::Offline, surplus);
        let free = free - returned;
        let guess = self.granted.unspent.max(self.paid.map_or(0, |(paid, _)| paid)) / GUESS / boxes;
        Item {
            customer: customer.clone(),
            paid: self.paid,
            charged: std::mem::take(&mut self.charged),
            requests: std::mem::take(&mut self.requests),
            returned,
            free,
            waiting: self.waiting,
            transfers: std::mem::take(&mut self.transfers),
            observed: Observed {
                rate: self.rate.per_second(now),
                largest: self.peak,
                peak: self.peak.max(guess),
                unspent: 0,
            },
        }
    }
}

/// A request that waits for tokens, counted while this lives.
struct Waiting<'a> {
    funds: &'a Funds,
    customer: Arc<str>,
    worst: u64,
}

impl<'a> Waiting<'a> {
    fn join(funds: &'a Funds, customer: &Arc<str>, worst: u64) -> Waiting<'a> {
        let mut state = funds.0.state.lock();
        state.purses.entry(customer.clone()).or_default().waiting += worst;
        drop(state);
        funds.0.wanted.notify_one();
        Waiting { funds, customer: customer.clone(), worst }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.funds.0.state.lock();
        if let Some(purse) = state.purses.get_mut(&self.customer) {
            purse.waiting = purse.waiting.saturating_sub(self.worst);
        }
    }
}
