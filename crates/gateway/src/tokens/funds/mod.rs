//! What this box may still spend of each budget, and the settlements that change it.
//!
//! A request holds its worst case before it is sent anywhere; what it did not use is free again
//! when it ends. All of that is local. [`Funds::plan`] makes the next settlement from what was
//! charged and what is lacking, and [`Funds::landed`] takes over what the book granted.
//! [`Funds::promise`] says what this box keeps untouched, for its witness.

mod transfers;
mod promises;
mod settlements;

use std::{cmp::Reverse, collections::HashMap, fmt, sync::Arc, time::Duration};

use ledger::Reservation;
use parking_lot::Mutex;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use crate::{
    table::Table,
    tokens::wallet::{Parts, Wallet},
};

/// Why tokens could not be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// What remains of the budget cannot hold the request.
    Exhausted,
    /// The budget may have tokens, but this box did not get them in time.
    Local {
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

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Shortage::Exhausted => f.write_str("the budget is used up"),
            Shortage::Local { free, kept, left, age: Some(age) } => {
                let ago = age.as_millis();
                write!(f, "{free} free here, {kept} of them kept, {left} left {ago} ms ago")
            }
            Shortage::Local { free, age: None, .. } => {
                write!(f, "{free} free here, none settled yet")
            }
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
    promise_accepted: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    wallets: HashMap<Arc<str>, Wallet>,
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
        let Some(wallet) = state.wallets.get_mut(&self.customer) else { return 0 };
        wallet.settle(reservation, charged)
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
            promise_accepted: watch::channel(0).0,
        }))
    }

    /// Takes over what the operator says is paid.
    pub fn configure(&self, table: &Table) {
        let mut state = self.0.state.lock();
        for customer in table.config().customers.iter().flatten() {
            let wallet = state.wallets.entry(customer.name.clone()).or_default();
            wallet.configure(customer.paid, table.version());
        }
        drop(state);
        self.0.wanted.notify_one();
    }

    /// Whether the store answers settlements.
    pub fn set_store_unreachable(&self, cut: bool) {
        self.0.state.lock().cut = cut;
    }

    /// Whether the store does not answer.
    pub fn is_store_unreachable(&self) -> bool {
        self.0.state.lock().cut
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
        if self.wait_for_release(customer, tokens, until).await
            && let Some(found) = attempt()
        {
            return Some(found);
        }
        if self.is_store_unreachable() || self.is_dry(customer, tokens) {
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

    /// Whether the book had too little left for such a request at the last settlement.
    fn is_dry(&self, customer: &str, worst: u64) -> bool {
        let state = self.0.state.lock();
        state.wallets.get(customer).is_some_and(|wallet| wallet.is_dry(worst))
    }

    /// Why a request of this size cannot be paid for now.
    pub fn shortage(&self, customer: &str, worst: u64) -> Shortage {
        let state = self.0.state.lock();
        match state.wallets.get(customer) {
            Some(wallet) if wallet.is_exhausted(worst) => Shortage::Exhausted,
            Some(wallet) => Shortage::Local {
                free: wallet.free(),
                kept: wallet.kept(),
                left: wallet.granted.left,
                age: state.landed.map(|at| at.elapsed()),
            },
            None => Shortage::Local { free: 0, kept: 0, left: 0, age: None },
        }
    }

    /// Waits until a request lacks tokens or the configuration changed.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// What this box holds of one budget.
    pub fn balance(&self, customer: &str) -> Balance {
        let all = self.balances();
        all.into_iter().find(|balance| &*balance.customer == customer).unwrap_or_default()
    }

    /// What this box holds of each budget, for metrics.
    pub fn balances(&self) -> Vec<Balance> {
        let state = self.0.state.lock();
        let wallets = state.wallets.iter();
        let balance = |(customer, wallet): (&Arc<str>, &Wallet)| Balance {
            customer: customer.clone(),
            free: wallet.free(),
            passed: wallet.outstanding(),
            kept: wallet.kept(),
            unspent: wallet.granted.unspent,
        };
        wallets.map(balance).collect()
    }

    /// The customers of whom most tokens are here, by what those are for.
    pub fn parts(&self, most: usize) -> Vec<(Arc<str>, Parts)> {
        let state = self.0.state.lock();
        let wallets = state.wallets.iter();
        let mut parts: Vec<_> =
            wallets.map(|(name, wallet)| (name.clone(), wallet.parts())).collect();
        drop(state);
        parts.retain(|(_, parts)| parts.total() > 0);
        parts.sort_by_key(|(_, parts)| Reverse(parts.total()));
        parts.truncate(most);
        parts
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
        state.wallets.entry(customer.clone()).or_default().waiting += worst;
        state.drew = Some(Instant::now());
        drop(state);
        funds.0.wanted.notify_one();
        Waiting { funds, customer: customer.clone(), worst }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.funds.0.state.lock();
        if let Some(wallet) = state.wallets.get_mut(&self.customer) {
            wallet.waiting = wallet.waiting.saturating_sub(self.worst);
        }
    }
}
