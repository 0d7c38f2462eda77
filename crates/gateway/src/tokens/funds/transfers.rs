//! Tokens that move between boxes: passed on by a keeper, or lent by one keeper to another.

use std::sync::Arc;

use ledger::{Demand, Incarnation, Supply, Transfer};
use tokio::time::Instant;

use super::Funds;
use crate::tokens::wallet::Wallet;

impl Funds {
    /// Returns the demands to send to a keeper, including the tokens that a `waiting` request
    /// needs. They report what was used and returned of the keeper's tokens.
    pub fn demands(&self, keeper: &Incarnation, waiting: Option<(&Arc<str>, u64)>) -> Vec<Demand> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let all = state.wallets.iter_mut().filter_map(|(customer, wallet)| {
            let worst = waiting.filter(|(name, _)| *name == customer).map(|(_, worst)| worst);
            wallet.demand(customer, keeper, worst, now)
        });
        all.collect()
    }

    /// Applies a keeper's answer to these demands.
    pub fn receive_supply(&self, keeper: &Incarnation, demands: &[Demand], supplies: &[Supply]) {
        let mut state = self.0.state.lock();
        for (demand, supply) in demands.iter().zip(supplies) {
            let wallet = state.wallets.get_mut(&demand.customer);
            let wallet = wallet.filter(|_| demand.customer == supply.customer);
            if let Some(wallet) = wallet {
                wallet.receive_supply(keeper, demand.share, supply);
            }
        }
    }

    /// Counts a request that waits for a keeper's tokens, until the returned guard is dropped.
    pub fn waiting_for_keeper(&self, customer: &Arc<str>, worst: u64) -> KeeperWait<'_> {
        self.0.state.lock().wallets.entry(customer.clone()).or_default().waiting_for_keeper +=
            worst;
        KeeperWait { funds: self, customer: customer.clone(), worst }
    }

    /// Returns the keepers to which used or idle tokens are to be reported.
    pub fn keepers_to_report_to(&self) -> Vec<Incarnation> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let mut keepers = Vec::new();
        for wallet in state.wallets.values_mut() {
            for keeper in wallet.keepers().cloned().collect::<Vec<_>>() {
                if !keepers.contains(&keeper) && wallet.has_unreported(&keeper, now) {
                    keepers.push(keeper);
                }
            }
        }
        keepers
    }

    /// Returns the keepers that have passed tokens on to this box.
    pub fn keepers(&self) -> Vec<Incarnation> {
        let state = self.0.state.lock();
        let mut keepers: Vec<_> =
            state.wallets.values().flat_map(Wallet::keepers).cloned().collect();
        keepers.sort();
        keepers.dedup();
        keepers
    }

    /// Returns all tokens of a keeper that are not reserved, as demands to send to it.
    pub fn return_all(&self, keeper: &Incarnation) -> Vec<Demand> {
        let mut state = self.0.state.lock();
        let wallets = state.wallets.iter_mut();
        wallets.filter_map(|(customer, wallet)| wallet.return_all(customer, keeper)).collect()
    }

    /// On a keeper: applies the totals in another box's demands. Returns whether all of them were
    /// accepted.
    pub fn receive_report(&self, from: &Incarnation, demands: &[Demand]) -> bool {
        let mut state = self.0.state.lock();
        state.wallets.values_mut().for_each(|wallet| wallet.close_earlier(from));
        let mut accepted = true;
        for demand in demands {
            let wallet = state.wallets.entry(demand.customer.clone()).or_default();
            accepted &= wallet.receive_report(from, demand.share);
        }
        accepted
    }

    /// On a keeper: passes on the tokens that another box needs, waiting until `until` for a
    /// settlement that brings them. Returns whether it did.
    pub async fn pass_on(&self, to: &Incarnation, demand: &Demand, until: Instant) -> bool {
        let pass_on = || self.try_pass_on(to, demand).then_some(());
        self.obtain(&demand.customer, demand.least, until, pass_on).await.is_some()
    }

    /// On a keeper: passes on the tokens that another box needs if they are here. Returns whether
    /// it did.
    pub fn try_pass_on(&self, to: &Incarnation, demand: &Demand) -> bool {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let wallet = state.wallets.entry(demand.customer.clone()).or_default();
        let passed = wallet.pass_on(to, demand, now);
        let due = wallet.is_promise_due(now);
        state.last_draw = Some(now);
        drop(state);
        if due {
            self.0.promise_due.notify_one();
        }
        passed
    }

    /// On a keeper: counts a demand that it could not meet, and lets the next settlement bring the
    /// tokens for when the caller comes back.
    pub fn count_unmet(&self, demand: &Demand) {
        let mut state = self.0.state.lock();
        let wallet = state.wallets.entry(demand.customer.clone()).or_default();
        wallet.count_unmet(demand, Instant::now());
    }

    /// On a keeper: returns the answers to another box's demands.
    pub fn supplies(&self, to: &Incarnation, demands: &[Demand]) -> Vec<Supply> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let supplies = demands.iter().map(|demand| {
            let wallet = state.wallets.entry(demand.customer.clone()).or_default();
            wallet.supply(&demand.customer, to, demand.least, now)
        });
        supplies.collect()
    }

    /// Lends tokens to another box, up to `wanted` and as many as this box can spare.
    pub fn lend(
        &self,
        customer: &Arc<str>,
        wanted: u64,
        from: &Incarnation,
        to: &Incarnation,
    ) -> Option<Transfer> {
        let mut state = self.0.state.lock();
        state.wallets.get_mut(customer)?.lend(wanted, from, to, Instant::now())
    }

    /// Adds tokens that another box lent.
    pub fn receive(&self, customer: &Arc<str>, transfer: Transfer) {
        self.0.state.lock().wallets.entry(customer.clone()).or_default().receive(transfer);
    }

    /// Whether other boxes recently had too few tokens for a request of this size.
    pub fn are_others_exhausted(&self, customer: &str, worst: u64) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        let wallet = state.wallets.get(customer);
        wallet.is_some_and(|wallet| wallet.are_others_exhausted(worst, now))
    }

    /// Records that other boxes had too few tokens for a request of this size.
    pub fn note_others_exhausted(&self, customer: &str, worst: u64) {
        let mut state = self.0.state.lock();
        if let Some(wallet) = state.wallets.get_mut(customer) {
            wallet.note_others_exhausted(worst, Instant::now());
        }
    }

    /// Whether a keeper recently had too few tokens for a request of this size, and no store.
    pub fn is_storeless(&self, keeper: &Incarnation, customer: &str, worst: u64) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        let wallet = state.wallets.get(customer);
        wallet.is_some_and(|wallet| wallet.is_storeless(keeper, worst, now))
    }

    /// Records that a keeper had too few tokens for a request of this size, and no store.
    pub fn note_storeless(&self, keeper: &Incarnation, customer: &str, worst: u64) {
        let mut state = self.0.state.lock();
        if let Some(wallet) = state.wallets.get_mut(customer) {
            wallet.note_storeless(keeper, worst, Instant::now());
        }
    }

    /// Returns how many tokens a request of this size lacks, with some for the requests after it.
    pub fn missing(&self, customer: &str, worst: u64) -> u64 {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        state.wallets.get_mut(customer).map_or(worst, |wallet| wallet.missing(worst, now))
    }

    /// Returns the lock that lets one request per customer ask other boxes at a time.
    pub fn ask_lock(&self, customer: &Arc<str>) -> Arc<tokio::sync::Mutex<()>> {
        self.0.state.lock().wallets.entry(customer.clone()).or_default().ask_lock.clone()
    }
}

/// Counts a request that waits for a keeper's tokens, until dropped.
pub struct KeeperWait<'a> {
    funds: &'a Funds,
    customer: Arc<str>,
    worst: u64,
}

impl Drop for KeeperWait<'_> {
    fn drop(&mut self) {
        let mut state = self.funds.0.state.lock();
        if let Some(wallet) = state.wallets.get_mut(&self.customer) {
            wallet.waiting_for_keeper = wallet.waiting_for_keeper.saturating_sub(self.worst);
        }
    }
}
