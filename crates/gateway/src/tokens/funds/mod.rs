//! The tokens that this box may spend of each budget, and the settlements that change them.
//!
//! A request reserves its worst case before it is sent; the part that it did not use is free again
//! when it ends. All of this is local. [`Funds::plan`] makes the next settlement from what was
//! charged and what is lacking, and [`Funds::landed`] applies what the book granted.
//! [`Funds::promise`] returns what this box promises its witness to keep unused.

mod promises;
mod settlements;
mod transfers;

use std::{cmp::Reverse, collections::HashMap, fmt, sync::Arc, time::Duration};

use ledger::Reservation;
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    config_table::ConfigTable,
    tokens::wallet::{Breakdown, Wallet},
};

/// Why tokens could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The rest of the budget does not cover the request.
    Exhausted,
    /// The budget may have enough tokens, but this box did not get them in time.
    Local {
        /// Free tokens of this box.
        free: u64,
        /// Part of the free tokens that is promised to the witness.
        promised: u64,
        /// Tokens of the budget that no box held at the last settlement.
        left: u64,
        /// Time since the last settlement; `None` before the first one.
        age: Option<Duration>,
    },
    /// Boxes died with more tokens of the budget than are left, and the request takes too much of
    /// the rest.
    Rationed {
        /// Tokens paid and not known to be spent, at the last settlement.
        unspent: u64,
    },
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shortage::Exhausted => f.write_str("the budget is used up"),
            Shortage::Local { free, promised: kept, left, age: Some(age) } => {
                let ago = age.as_millis();
                write!(f, "{free} free here, {kept} of them kept, {left} left {ago} ms ago")
            }
            Shortage::Local { free, age: None, .. } => {
                write!(f, "{free} free here, none settled yet")
            }
            Shortage::Rationed { unspent } => {
                write!(f, "too large a part of {unspent} unspent, as more was lost with boxes")
            }
        }
    }
}

/// The tokens that this box holds of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Balance {
    pub customer: Arc<str>,
    /// Tokens that are not reserved for a request.
    pub free: u64,
    /// Tokens passed on to other boxes, and not reported as used or returned.
    pub outstanding: u64,
    /// Part of `free` that is promised to the witness.
    pub promised: u64,
    /// Tokens paid and not known to be spent, whoever holds them.
    pub unspent: u64,
}

/// All tokens of this box, by customer.
#[derive(Debug, Clone)]
pub struct Funds(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    /// Notified when a request lacks tokens.
    wanted: Notify,
    /// Number of settlements that have landed.
    settled: watch::Sender<u64>,
    /// Notified when a new promise is due.
    promise_due: Notify,
    /// Number of promises that the witness has accepted.
    promise_accepted: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    wallets: HashMap<Arc<str>, Wallet>,
    /// The store does not answer, so that no settlement can bring tokens.
    store_unreachable: bool,
    /// When tokens were last passed on to another box, or requested from the book.
    last_draw: Option<Instant>,
    /// When the last settlement landed.
    last_landed: Option<Instant>,
    /// All tokens were promised before a planned stop. The promise holds whatever the witness
    /// answers, as the next incarnation may get the tokens back by it.
    promised_all: bool,
}

/// Tokens reserved for one request.
#[derive(Debug)]
#[must_use = "a hold must be settled"]
pub struct Hold {
    funds: Funds,
    customer: Arc<str>,
    reservation: Option<Reservation>,
}

impl Hold {
    /// Ends the reservation: `charged` tokens are spent, the rest is free again. Returns what was
    /// charged.
    pub fn settle(mut self, charged: u64) -> u64 {
        self.end(charged)
    }

    pub fn tokens(&self) -> u64 {
        self.reservation.as_ref().map_or(0, |reservation| reservation.tokens)
    }

    fn end(&mut self, charged: u64) -> u64 {
        let Some(reservation) = self.reservation.take() else { return 0 };
        let mut state = self.funds.0.state.lock();
        let Some(wallet) = state.wallets.get_mut(&self.customer) else { return 0 };
        wallet.settle(reservation, charged)
    }
}

impl Drop for Hold {
    /// An unsettled hold is charged in full, as nobody knows how much of it was used.
    fn drop(&mut self) {
        self.end(u64::MAX);
    }
}

impl Funds {
    pub fn open() -> Funds {
        Funds(Arc::new(Inner {
            state: Mutex::default(),
            wanted: Notify::new(),
            settled: watch::channel(0).0,
            promise_due: Notify::new(),
            promise_accepted: watch::channel(0).0,
        }))
    }

    /// Applies the paid amounts of the configuration.
    pub fn configure(&self, table: &ConfigTable) {
        let mut state = self.0.state.lock();
        for customer in table.config().customers.iter().flatten() {
            let wallet = state.wallets.entry(customer.name.clone()).or_default();
            wallet.configure(customer.paid, table.version());
        }
        drop(state);
        self.0.wanted.notify_one();
    }

    /// Sets whether the store is unreachable.
    pub fn set_store_unreachable(&self, unreachable: bool) {
        self.0.state.lock().store_unreachable = unreachable;
    }

    /// Whether the store is unreachable.
    pub fn is_store_unreachable(&self) -> bool {
        self.0.state.lock().store_unreachable
    }

    /// Reserves the worst case of a request, waiting until `until` for a settlement that brings the
    /// tokens.
    pub async fn hold(&self, customer: &Arc<str>, worst: u64, until: Instant) -> Option<Hold> {
        self.obtain(customer, worst, until, || self.try_hold(customer, worst)).await
    }

    /// Waits until `until` for a settlement after which `attempt` succeeds with `tokens`.
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
        if self.wait_for_release(customer, tokens, until).await
            && let Some(found) = attempt()
        {
            return Some(found);
        }
        if self.is_store_unreachable() || self.is_book_exhausted(customer, tokens) {
            return None;
        }
        let _book_wait = BookWait::join(self, customer, tokens);
        let mut settled = self.0.settled.subscribe();
        let joined = *settled.borrow_and_update();
        loop {
            let changed = tokio::time::timeout_at(until, settled.changed()).await;
            let now = *settled.borrow_and_update();
            if let Some(found) = attempt() {
                return Some(found);
            }
            // The settlement in progress when this request arrived did not include it; the next one
            // does.
            if changed.is_err() || now >= joined + 2 || self.is_book_exhausted(customer, tokens) {
                return None;
            }
            self.0.wanted.notify_one();
        }
    }

    /// Reserves the worst case of a request if this box has the tokens.
    pub fn try_hold(&self, customer: &Arc<str>, worst: u64) -> Option<Hold> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let wallet = state.wallets.entry(customer.clone()).or_default();
        let reservation = wallet.reserve(worst, now)?;
        let due = wallet.is_promise_due(now);
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

    /// Whether the budget is rationed, and a request of this size takes too much of its rest.
    pub fn exceeds_ration(&self, customer: &str, worst: u64) -> bool {
        let state = self.0.state.lock();
        state.wallets.get(customer).is_some_and(|wallet| wallet.exceeds_ration(worst))
    }

    /// Whether the book had too few tokens left for the request at the last settlement.
    fn is_book_exhausted(&self, customer: &str, worst: u64) -> bool {
        let state = self.0.state.lock();
        state.wallets.get(customer).is_some_and(|wallet| wallet.is_book_exhausted(worst))
    }

    /// Returns why a request of this size cannot be paid for now.
    pub fn shortage(&self, customer: &str, worst: u64) -> Shortage {
        let state = self.0.state.lock();
        match state.wallets.get(customer) {
            Some(wallet) if wallet.is_exhausted(worst) => Shortage::Exhausted,
            Some(wallet) if wallet.exceeds_ration(worst) => {
                Shortage::Rationed { unspent: wallet.granted.unspent }
            }
            Some(wallet) => Shortage::Local {
                free: wallet.free(),
                promised: wallet.promised(),
                left: wallet.granted.left,
                age: state.last_landed.map(|at| at.elapsed()),
            },
            None => Shortage::Local { free: 0, promised: 0, left: 0, age: None },
        }
    }

    /// Waits until a request lacks tokens or the configuration changes.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// Returns what this box holds of one budget.
    pub fn balance(&self, customer: &str) -> Balance {
        let all = self.balances();
        all.into_iter().find(|balance| &*balance.customer == customer).unwrap_or_default()
    }

    /// Returns what this box holds of each budget.
    pub fn balances(&self) -> Vec<Balance> {
        let state = self.0.state.lock();
        let wallets = state.wallets.iter();
        let balance = |(customer, wallet): (&Arc<str>, &Wallet)| Balance {
            customer: customer.clone(),
            free: wallet.free(),
            outstanding: wallet.outstanding(),
            promised: wallet.promised(),
            unspent: wallet.granted.unspent,
        };
        wallets.map(balance).collect()
    }

    /// Returns the `limit` customers with the most tokens on this box, and what these are used for.
    pub fn breakdown(&self, limit: usize) -> Vec<(Arc<str>, Breakdown)> {
        let state = self.0.state.lock();
        let wallets = state.wallets.iter();
        let mut breakdown: Vec<_> =
            wallets.map(|(name, wallet)| (name.clone(), wallet.breakdown())).collect();
        drop(state);
        breakdown.retain(|(_, breakdown)| breakdown.total() > 0);
        breakdown.sort_by_key(|(_, breakdown)| Reverse(breakdown.total()));
        breakdown.truncate(limit);
        breakdown
    }
}

/// Counts a request that waits for tokens from the book, until dropped.
struct BookWait<'a> {
    funds: &'a Funds,
    customer: Arc<str>,
    worst: u64,
}

impl<'a> BookWait<'a> {
    fn join(funds: &'a Funds, customer: &Arc<str>, worst: u64) -> BookWait<'a> {
        let mut state = funds.0.state.lock();
        state.wallets.entry(customer.clone()).or_default().waiting += worst;
        state.last_draw = Some(Instant::now());
        drop(state);
        funds.0.wanted.notify_one();
        BookWait { funds, customer: customer.clone(), worst }
    }
}

impl Drop for BookWait<'_> {
    fn drop(&mut self) {
        let mut state = self.funds.0.state.lock();
        if let Some(wallet) = state.wallets.get_mut(&self.customer) {
            wallet.waiting = wallet.waiting.saturating_sub(self.worst);
        }
    }
}
