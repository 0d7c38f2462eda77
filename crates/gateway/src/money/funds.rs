//! What this box may still spend of each budget, and the settlements that change it.
//!
//! A request holds its worst case before it is sent anywhere; what it did not use is free again
//! when it ends. All of that is local. [`Funds::plan`] makes the next settlement from what was
//! charged and what is lacking, and [`Funds::landed`] takes over what the book granted.
//! [`Funds::promise`] says what this box keeps untouched, for its witness.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
    time::Duration,
};

use ledger::{Given, Granted, Incarnation, Reservation, Settlement, Told, Transfer, Writer};
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    money::{ends::Ends, purse::Purse},
    table::Table,
};

/// Longest wait for the witness to take a promise that frees tokens: many times the way there and
/// back between availability zones, with room for a box that is busy.
const FREED_WITHIN: Duration = Duration::from_millis(30);

/// Why tokens could not be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// What remains of the budget cannot hold the request.
    Exhausted,
    /// The budget may have tokens, but this box did not get them in time.
    Short {
        /// Free in this box.
        free: u64,
        /// Part of them that a promise keeps.
        kept: u64,
        /// Held by no box, as the last settlement saw it.
        left: u64,
        /// Time since that settlement; `None` before the first one.
        age: Option<Duration>,
    },
}

impl fmt::Display for Lack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Lack::Exhausted => f.write_str("the budget is used up"),
            Lack::Short { free, kept, left, age: Some(age) } => {
                let ago = age.as_millis();
                write!(f, "{free} free here, {kept} of them kept, {left} left {ago} ms ago")
            }
            Lack::Short { free, age: None, .. } => write!(f, "{free} free here, none settled yet"),
        }
    }
}

/// What a box holds of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Balance {
    pub customer: Arc<str>,
    /// Tokens that are not held for a request.
    pub free: u64,
    /// Passed on to other boxes and not known to be used or given back.
    pub passed: u64,
    /// Part of them that is kept untouched.
    pub kept: u64,
    /// Tokens paid and not known to be spent, whoever holds them.
    pub unspent: u64,
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
    /// A new promise is due.
    promise_due: Notify,
    /// Promises that the witness took.
    promised: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    purses: HashMap<Arc<str>, Purse>,
    /// The store does not answer: no settlement brings anything.
    cut: bool,
    /// When tokens were last passed on to another box, or wanted of the book.
    drew: Option<Instant>,
    /// When the last settlement landed.
    landed: Option<Instant>,
    /// Everything was promised, since this box ends: it stays untouched whatever the witness answers. Its next
    /// life may get it back.
    promised_all: bool,
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
        purse.settle(reservation, charged)
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
        Funds(Arc::new(Inner {
            state: Mutex::default(),
            wanted: Notify::new(),
            settled: watch::channel(0).0,
            promise_due: Notify::new(),
            promised: watch::channel(0).0,
        }))
    }

    /// Takes over what the operator says is paid.
    pub fn configure(&self, table: &Table) {
        let mut state = self.0.state.lock();
        for customer in table.config().customers.iter().flatten() {
            let purse = state.purses.entry(customer.name.clone()).or_default();
            purse.configure(customer.paid, table.version());
        }
        drop(state);
        self.0.wanted.notify_one();
    }

    /// Whether this box has something to settle with the book or holds anything of it.
    pub fn is_of_book(&self) -> bool {
        self.0.state.lock().purses.values().any(Purse::is_of_book)
    }

    /// Whether the store answers settlements.
    pub fn set_cut(&self, cut: bool) {
        self.0.state.lock().cut = cut;
    }

    /// Whether the store does not answer.
    pub fn is_cut(&self) -> bool {
        self.0.state.lock().cut
    }

    /// Time since tokens were last passed on to another box, or wanted of the book.
    pub fn drew_ago(&self) -> Option<Duration> {
        self.0.state.lock().drew.map(|at| at.elapsed())
    }

    /// Keeps nothing untouched any more: everything is to be given back.
    pub fn retire(&self, retires: bool) {
        self.0.state.lock().purses.values_mut().for_each(|purse| purse.retires = retires);
        self.0.promise_due.notify_one();
    }

    /// What a keeper is told, and what is wanted of it for a request that waits, if there is
    /// anything to say.
    pub fn tell(&self, keeper: &Incarnation, asked: Option<(&Arc<str>, u64)>) -> Vec<Told> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let all = state.purses.iter_mut().filter_map(|(customer, purse)| {
            let worst = asked.filter(|(name, _)| *name == customer).map(|(_, worst)| worst);
            purse.tell(customer, keeper, worst, now)
        });
        all.collect()
    }

    /// A keeper answered what it was told.
    pub fn drawn(&self, keeper: &Incarnation, told: &[Told], given: &[Given]) {
        let mut state = self.0.state.lock();
        for (told, given) in told.iter().zip(given) {
            let purse = state.purses.get_mut(&told.customer);
            let purse = purse.filter(|_| told.customer == given.customer);
            if let Some(purse) = purse {
                purse.drawn(keeper, told.share, given);
            }
        }
    }

    /// Counts a request that waits for tokens of a keeper, while what is returned lives.
    pub fn lacking(&self, customer: &Arc<str>, worst: u64) -> Lacking<'_> {
        self.0.state.lock().purses.entry(customer.clone()).or_default().lacking += worst;
        Lacking { funds: self, customer: customer.clone(), worst }
    }

    /// Keepers that are to be told something.
    pub fn keepers_to_tell(&self) -> Vec<Incarnation> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let mut keepers = Vec::new();
        for purse in state.purses.values_mut() {
            for keeper in purse.keepers().cloned().collect::<Vec<_>>() {
                if !keepers.contains(&keeper) && purse.has_news(&keeper, now) {
                    keepers.push(keeper);
                }
            }
        }
        keepers
    }

    /// Keepers that passed something on.
    pub fn keepers(&self) -> Vec<Incarnation> {
        let state = self.0.state.lock();
        let mut keepers: Vec<_> = state.purses.values().flat_map(Purse::keepers).cloned().collect();
        keepers.sort();
        keepers.dedup();
        keepers
    }

    /// Gives everything back to a keeper that is not held for a request; what to tell it then.
    pub fn return_all(&self, keeper: &Incarnation) -> Vec<Told> {
        let mut state = self.0.state.lock();
        let purses = state.purses.iter_mut();
        purses.filter_map(|(customer, purse)| purse.return_all(customer, keeper)).collect()
    }

    /// As a keeper: takes over what another box tells. Says whether all of it was believed.
    pub fn hear(&self, from: &Incarnation, told: &[Told]) -> bool {
        let mut state = self.0.state.lock();
        state.purses.values_mut().for_each(|purse| purse.close_earlier(from));
        let mut believed = true;
        for told in told {
            let purse = state.purses.entry(told.customer.clone()).or_default();
            believed &= purse.hear(from, told.share);
        }
        believed
    }

    /// As a keeper: passes on what another box needs, waiting until `until` for a settlement that
    /// brings it. Says whether it was there.
    pub async fn give(&self, to: &Incarnation, told: &Told, until: Instant) -> bool {
        let give = || self.try_give(to, told).then_some(());
        self.obtain(&told.customer, told.least, until, give).await.is_some()
    }

    /// As a keeper: passes on what another box needs if it is here.
    pub fn try_give(&self, to: &Incarnation, told: &Told) -> bool {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let purse = state.purses.entry(told.customer.clone()).or_default();
        let given = purse.give(to, told, now);
        let due = purse.is_promise_due(now);
        state.drew = Some(now);
        drop(state);
        if due {
            self.0.promise_due.notify_one();
        }
        given
    }

    /// As a keeper: what another box is answered.
    pub fn given(&self, to: &Incarnation, told: &[Told]) -> Vec<Given> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let given = told.iter().map(|told| {
            let purse = state.purses.entry(told.customer.clone()).or_default();
            purse.given(&told.customer, to, told.least, now)
        });
        given.collect()
    }

    /// This box ends: what is under way counts as used.
    pub fn give_up(&self) {
        self.0.state.lock().purses.values_mut().for_each(Purse::give_up);
    }

    /// Holds the worst case of a request, waiting until `until` for a settlement that brings the
    /// tokens; `None` if none did.
    pub async fn hold(&self, customer: &Arc<str>, worst: u64, until: Instant) -> Option<Hold> {
        self.obtain(customer, worst, until, || self.try_hold(customer, worst)).await
    }

    /// Waits until `until` for a settlement after which `attempt` finds `tokens`.
    async fn obtain<T>(
        &self,
        customer: &Arc<str>,
        tokens: u64,
        until: Instant,
        attempt: impl Fn() -> Option<T>,
    ) -> Option<T> {
        if let Some(found) = attempt() {
            return Some(found);
        }
        if self.free_kept(customer, tokens, until).await
            && let Some(found) = attempt()
        {
            return Some(found);
        }
        if self.is_cut() || self.is_dry(customer, tokens) {
            return None;
        }
        let _waiting = Waiting::join(self, customer, tokens);
        let mut settled = self.0.settled.subscribe();
        let joined = *settled.borrow_and_update();
        loop {
            let changed = tokio::time::timeout_at(until, settled.changed()).await;
            let now = *settled.borrow_and_update();
            if let Some(found) = attempt() {
                return Some(found);
            }
            // One settlement may have been under way without this request.
            if changed.is_err() || now >= joined + 2 || self.is_dry(customer, tokens) {
                return None;
            }
            self.0.wanted.notify_one();
        }
    }

    /// Holds the worst case of a request if the tokens are here.
    pub fn try_hold(&self, customer: &Arc<str>, worst: u64) -> Option<Hold> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let purse = state.purses.entry(customer.clone()).or_default();
        let reservation = purse.reserve(worst, now)?;
        let due = purse.is_promise_due(now);
        drop(state);
        if due {
            self.0.promise_due.notify_one();
        }
        Some(Hold {
            funds: self.clone(),
            customer: customer.clone(),
            reservation: Some(reservation),
        })
    }

    /// Waits for the witness to free tokens that a promise keeps from a request of this size;
    /// says whether it was worth waiting.
    pub async fn free_kept(&self, customer: &str, worst: u64, until: Instant) -> bool {
        let Some(mut promised) = self.want_kept(customer, worst) else { return false };
        let until = until.min(Instant::now() + FREED_WITHIN);
        tokio::time::timeout_at(until, promised.changed()).await.is_ok()
    }

    /// Asks for tokens that a promise keeps, if it keeps any from a request of this size; promises
    /// taken from then on show in what is returned.
    pub fn want_kept(&self, customer: &str, worst: u64) -> Option<watch::Receiver<u64>> {
        let mut state = self.0.state.lock();
        let purse = state.purses.get_mut(customer).filter(|purse| purse.is_kept_from(worst))?;
        purse.want(worst);
        let promised = self.0.promised.subscribe();
        drop(state);
        self.0.promise_due.notify_one();
        Some(promised)
    }

    /// Passes tokens on to another box, as many as `wanted` and this box can spare.
    pub fn lend(
        &self,
        customer: &Arc<str>,
        wanted: u64,
        from: &Incarnation,
        to: &Incarnation,
    ) -> Option<Transfer> {
        let mut state = self.0.state.lock();
        state.purses.get_mut(customer)?.lend(wanted, from, to, Instant::now())
    }

    /// Takes over tokens that another box passed on.
    pub fn receive(&self, customer: &Arc<str>, transfer: Transfer) {
        self.0.state.lock().purses.entry(customer.clone()).or_default().receive(transfer);
    }

    /// Whether the book had too little left for such a request at the last settlement.
    fn is_dry(&self, customer: &str, worst: u64) -> bool {
        let state = self.0.state.lock();
        state.purses.get(customer).is_some_and(|purse| purse.is_dry(worst))
    }

    /// Whether other boxes had too little for a request of this size a moment ago.
    pub fn are_others_dry(&self, customer: &str, worst: u64) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        let purse = state.purses.get(customer);
        purse.is_some_and(|purse| purse.are_others_dry(worst, now))
    }

    /// Other boxes had too little for a request of this size.
    pub fn note_others_dry(&self, customer: &str, worst: u64) {
        let mut state = self.0.state.lock();
        if let Some(purse) = state.purses.get_mut(customer) {
            purse.note_others_dry(worst, Instant::now());
        }
    }

    /// What a request of this size lacks, with a little for the ones after it.
    pub fn missing(&self, customer: &str, worst: u64) -> u64 {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        state.purses.get_mut(customer).map_or(worst, |purse| purse.missing(worst, now))
    }

    /// The lock under which one request at a time asks other boxes for a customer's tokens.
    pub fn asking(&self, customer: &Arc<str>) -> Arc<tokio::sync::Mutex<()>> {
        self.0.state.lock().purses.entry(customer.clone()).or_default().asking.clone()
    }

    /// Why a request of this size cannot be paid for now.
    pub fn lack(&self, customer: &str, worst: u64) -> Lack {
        let state = self.0.state.lock();
        match state.purses.get(customer) {
            Some(purse) if purse.is_exhausted(worst) => Lack::Exhausted,
            Some(purse) => Lack::Short {
                free: purse.free(),
                kept: purse.kept(),
                left: purse.granted.left,
                age: state.landed.map(|at| at.elapsed()),
            },
            None => Lack::Short { free: 0, kept: 0, left: 0, age: None },
        }
    }

    /// Waits until a request lacks tokens or the configuration changed.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// Whether a request waits for tokens that a settlement may bring.
    pub fn is_urgent(&self) -> bool {
        let state = self.0.state.lock();
        state.purses.values().any(|purse| purse.waiting > 0 && !purse.is_dry(purse.waiting))
    }

    /// Whether a settlement would change much: tokens run low, or too many are held.
    pub fn is_due(&self) -> bool {
        let state = self.0.state.lock();
        state.purses.values().any(Purse::is_due)
    }

    /// The next settlement. What it reports and returns is out of the accounts once planned, so
    /// it must land, however long that takes.
    pub fn plan(&self, holder: &Incarnation, writer: Writer, ends: Ends) -> Settlement {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let limited = state.purses.iter_mut().filter(|(_, purse)| purse.paid.is_some());
        let items = limited.map(|(customer, purse)| purse.item(customer, ends, now));
        let (items, earlier) = (items.collect(), Vec::new());
        let (retires, leaves) = (ends == Ends::Retires, ends == Ends::Leaves);
        Settlement { holder: holder.clone(), writer, items, earlier, retires, leaves }
    }

    /// Takes over what a settlement that landed gave.
    pub fn landed(&self, settlement: &Settlement, granted: Vec<Granted>) {
        let mut state = self.0.state.lock();
        state.landed = Some(Instant::now());
        for item in &settlement.items {
            let brought = granted.iter().find(|granted| granted.customer == item.customer);
            let purse = state.purses.entry(item.customer.clone()).or_default();
            purse.landed(item, &settlement.holder, brought);
        }
        drop(state);
        self.0.settled.send_modify(|count| *count += 1);
        self.0.promise_due.notify_one();
    }

    /// Waits until a new promise may be due.
    pub async fn promise_due(&self) {
        self.0.promise_due.notified().await;
    }

    /// What to promise the witness now, if that changes enough. Until it is taken, what was
    /// promised before counts as well.
    pub fn promise(&self) -> Option<BTreeMap<Arc<str>, u64>> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        if state.promised_all {
            return None;
        }
        let limited = state.purses.iter_mut().filter(|(_, purse)| purse.paid.is_some());
        let mut purses: Vec<_> = limited.collect();
        if !purses.iter_mut().any(|(_, purse)| purse.is_promise_due(now)) {
            return None;
        }
        let tokens = purses.into_iter().map(|(name, purse)| (name.clone(), purse.promise(now)));
        Some(tokens.filter(|(_, tokens)| *tokens > 0).collect())
    }

    /// What to promise when this box takes no more requests: everything that is free.
    pub fn promise_all(&self) -> BTreeMap<Arc<str>, u64> {
        let mut state = self.0.state.lock();
        state.promised_all = true;
        let limited = state.purses.iter_mut().filter(|(_, purse)| purse.paid.is_some());
        limited.map(|(customer, purse)| (customer.clone(), purse.promise_all())).collect()
    }

    /// The witness took a promise: only this one counts now.
    pub fn promised(&self, tokens: &BTreeMap<Arc<str>, u64>) {
        let mut state = self.0.state.lock();
        if state.promised_all {
            return;
        }
        for (customer, purse) in &mut state.purses {
            purse.keep(tokens.get(customer).copied().unwrap_or_default());
        }
        drop(state);
        self.0.promised.send_modify(|count| *count += 1);
    }

    /// The book names another witness or none: no promise counts any more.
    pub fn release(&self) {
        self.promised(&BTreeMap::new());
        self.0.promise_due.notify_one();
    }

    /// What this box holds of one budget.
    pub fn balance(&self, customer: &str) -> Balance {
        let all = self.balances();
        all.into_iter().find(|balance| &*balance.customer == customer).unwrap_or_default()
    }

    /// What this box holds of each budget, for metrics.
    pub fn balances(&self) -> Vec<Balance> {
        let state = self.0.state.lock();
        let purses = state.purses.iter();
        let balance = |(customer, purse): (&Arc<str>, &Purse)| Balance {
            customer: customer.clone(),
            free: purse.free(),
            passed: purse.outstanding(),
            kept: purse.kept(),
            unspent: purse.granted.unspent,
        };
        purses.map(balance).collect()
    }
}

/// A request that waits for tokens of a keeper, counted while this lives.
pub struct Lacking<'a> {
    funds: &'a Funds,
    customer: Arc<str>,
    worst: u64,
}

impl Drop for Lacking<'_> {
    fn drop(&mut self) {
        let mut state = self.funds.0.state.lock();
        if let Some(purse) = state.purses.get_mut(&self.customer) {
            purse.lacking = purse.lacking.saturating_sub(self.worst);
        }
    }
}

/// A request that waits for tokens of the book, counted while this lives.
struct Waiting<'a> {
    funds: &'a Funds,
    customer: Arc<str>,
    worst: u64,
}

impl<'a> Waiting<'a> {
    fn join(funds: &'a Funds, customer: &Arc<str>, worst: u64) -> Waiting<'a> {
        let mut state = funds.0.state.lock();
        state.purses.entry(customer.clone()).or_default().waiting += worst;
        state.drew = Some(Instant::now());
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
