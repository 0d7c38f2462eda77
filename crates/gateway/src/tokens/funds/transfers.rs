//! Tokens between boxes: those that a keeper passes on, and those that keepers lend each other.

use std::sync::Arc;

use ledger::{Demand, Incarnation, Supply, Transfer};
use tokio::time::Instant;

use super::Funds;
use crate::tokens::wallet::Wallet;

impl Funds {
    /// What a keeper is told, and what is wanted of it for a request that waits, if there is
    /// anything to say.
    pub fn demands(&self, keeper: &Incarnation, asked: Option<(&Arc<str>, u64)>) -> Vec<Demand> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let all = state.wallets.iter_mut().filter_map(|(customer, wallet)| {
            let worst = asked.filter(|(name, _)| *name == customer).map(|(_, worst)| worst);
            wallet.demands(customer, keeper, worst, now)
        });
        all.collect()
    }

    /// A keeper answered what it was told.
    pub fn drawn(&self, keeper: &Incarnation, told: &[Demand], given: &[Supply]) {
        let mut state = self.0.state.lock();
        for (told, given) in told.iter().zip(given) {
            let wallet = state.wallets.get_mut(&told.customer);
            let wallet = wallet.filter(|_| told.customer == given.customer);
            if let Some(wallet) = wallet {
                wallet.drawn(keeper, told.share, given);
            }
        }
    }

    /// Counts a request that waits for tokens of a keeper, while what is returned lives.
    pub fn lacking(&self, customer: &Arc<str>, worst: u64) -> Lacking<'_> {
        self.0.state.lock().wallets.entry(customer.clone()).or_default().lacking += worst;
        Lacking { funds: self, customer: customer.clone(), worst }
    }

    /// Keepers that are to be told something.
    pub fn keepers_to_tell(&self) -> Vec<Incarnation> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let mut keepers = Vec::new();
        for wallet in state.wallets.values_mut() {
            for keeper in wallet.keepers().cloned().collect::<Vec<_>>() {
                if !keepers.contains(&keeper) && wallet.has_news(&keeper, now) {
                    keepers.push(keeper);
                }
            }
        }
        keepers
    }

    /// Keepers that passed something on.
    pub fn keepers(&self) -> Vec<Incarnation> {
        let state = self.0.state.lock();
        let mut keepers: Vec<_> =
            state.wallets.values().flat_map(Wallet::keepers).cloned().collect();
        keepers.sort();
        keepers.dedup();
        keepers
    }

    /// Gives everything back to a keeper that is not held for a request; what to tell it then.
    pub fn return_all(&self, keeper: &Incarnation) -> Vec<Demand> {
        let mut state = self.0.state.lock();
        let wallets = state.wallets.iter_mut();
        wallets.filter_map(|(customer, wallet)| wallet.return_all(customer, keeper)).collect()
    }

    /// As a keeper: takes over what another box tells. Says whether all of it was believed.
    pub fn receive_report(&self, from: &Incarnation, told: &[Demand]) -> bool {
        let mut state = self.0.state.lock();
        state.wallets.values_mut().for_each(|wallet| wallet.close_earlier(from));
        let mut believed = true;
        for told in told {
            let wallet = state.wallets.entry(told.customer.clone()).or_default();
            believed &= wallet.receive_report(from, told.share);
        }
        believed
    }

    /// As a keeper: passes on what another box needs, waiting until `until` for a settlement that
    /// brings it. Says whether it was there.
    pub async fn pass_on(&self, to: &Incarnation, told: &Demand, until: Instant) -> bool {
        let pass_on = || self.try_pass_on(to, told).then_some(());
        self.obtain(&told.customer, told.least, until, pass_on).await.is_some()
    }

    /// As a keeper: passes on what another box needs if it is here.
    pub fn try_pass_on(&self, to: &Incarnation, told: &Demand) -> bool {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let wallet = state.wallets.entry(told.customer.clone()).or_default();
        let given = wallet.pass_on(to, told, now);
        let due = wallet.is_promise_due(now);
        state.drew = Some(now);
        drop(state);
        if due {
            self.0.promise_due.notify_one();
        }
        given
    }

    /// As a keeper: what another box is answered.
    pub fn given(&self, to: &Incarnation, told: &[Demand]) -> Vec<Supply> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let given = told.iter().map(|told| {
            let wallet = state.wallets.entry(told.customer.clone()).or_default();
            wallet.given(&told.customer, to, told.least, now)
        });
        given.collect()
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
        state.wallets.get_mut(customer)?.lend(wanted, from, to, Instant::now())
    }

    /// Takes over tokens that another box passed on.
    pub fn receive(&self, customer: &Arc<str>, transfer: Transfer) {
        self.0.state.lock().wallets.entry(customer.clone()).or_default().receive(transfer);
    }

    /// Whether other boxes had too little for a request of this size a moment ago.
    pub fn are_others_dry(&self, customer: &str, worst: u64) -> bool {
        let now = Instant::now();
        let state = self.0.state.lock();
        let wallet = state.wallets.get(customer);
        wallet.is_some_and(|wallet| wallet.are_others_dry(worst, now))
    }

    /// Other boxes had too little for a request of this size.
    pub fn note_others_dry(&self, customer: &str, worst: u64) {
        let mut state = self.0.state.lock();
        if let Some(wallet) = state.wallets.get_mut(customer) {
            wallet.note_others_dry(worst, Instant::now());
        }
    }

    /// What a request of this size lacks, with a little for the ones after it.
    pub fn missing(&self, customer: &str, worst: u64) -> u64 {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        state.wallets.get_mut(customer).map_or(worst, |wallet| wallet.missing(worst, now))
    }

    /// The lock under which one request at a time asks other boxes for a customer's tokens.
    pub fn asking(&self, customer: &Arc<str>) -> Arc<tokio::sync::Mutex<()>> {
        self.0.state.lock().wallets.entry(customer.clone()).or_default().asking.clone()
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
        if let Some(wallet) = state.wallets.get_mut(&self.customer) {
            wallet.lacking = wallet.lacking.saturating_sub(self.worst);
        }
    }
}
