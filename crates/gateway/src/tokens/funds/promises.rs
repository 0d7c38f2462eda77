//! Promises to the witness of which tokens stay unused, and how requests get at those tokens.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::Funds;

/// Longest wait for the witness to accept a promise that frees tokens. Much longer than a round
/// trip between availability zones, for boxes under load.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(30);

impl Funds {
    /// Waits for a new promise if the current one keeps tokens from a request of this size. Returns
    /// whether a new promise was accepted in time.
    pub async fn wait_for_release(&self, customer: &str, worst: u64, until: Instant) -> bool {
        let Some(mut promise_accepted) = self.request_release(customer, worst) else {
            return false;
        };
        let until = until.min(Instant::now() + RELEASE_TIMEOUT);
        tokio::time::timeout_at(until, promise_accepted.changed()).await.is_ok()
    }

    /// Requests a new promise if the current one keeps tokens from a request of this size. The
    /// returned receiver changes with each promise accepted from then on.
    pub fn request_release(&self, customer: &str, worst: u64) -> Option<watch::Receiver<u64>> {
        let mut state = self.0.state.lock();
        let wallet =
            state.wallets.get_mut(customer).filter(|wallet| wallet.is_promise_blocking(worst))?;
        wallet.need_promised(worst);
        let promise_accepted = self.0.promise_accepted.subscribe();
        drop(state);
        self.0.promise_due.notify_one();
        Some(promise_accepted)
    }

    /// Waits until a new promise may be due.
    pub async fn promise_due(&self) {
        self.0.promise_due.notified().await;
    }

    /// Returns the next promise, if it differs enough from the current one. Until the witness
    /// accepts it, both hold.
    pub fn promise(&self) -> Option<BTreeMap<Arc<str>, u64>> {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        if state.promised_all {
            return None;
        }
        let limited = state.wallets.iter_mut().filter(|(_, wallet)| wallet.paid.is_some());
        let mut wallets: Vec<_> = limited.collect();
        if !wallets.iter_mut().any(|(_, wallet)| wallet.is_promise_due(now)) {
            return None;
        }
        let tokens = wallets.into_iter().map(|(name, wallet)| (name.clone(), wallet.promise(now)));
        Some(tokens.filter(|(_, tokens)| *tokens > 0).collect())
    }

    /// Returns the last promise before a planned stop: all tokens that are free.
    pub fn promise_all(&self) -> BTreeMap<Arc<str>, u64> {
        let mut state = self.0.state.lock();
        state.promised_all = true;
        let limited = state.wallets.iter_mut().filter(|(_, wallet)| wallet.paid.is_some());
        limited.map(|(customer, wallet)| (customer.clone(), wallet.promise_all())).collect()
    }

    /// Applies a promise that the witness accepted; earlier ones no longer hold.
    pub fn promise_accepted(&self, tokens: &BTreeMap<Arc<str>, u64>) {
        let mut state = self.0.state.lock();
        if state.promised_all {
            return;
        }
        for (customer, wallet) in &mut state.wallets {
            wallet.set_promised(tokens.get(customer).copied().unwrap_or_default());
        }
        drop(state);
        self.0.promise_accepted.send_modify(|count| *count += 1);
    }

    /// Drops all promises, as the book names another witness or none.
    pub fn clear_promise(&self) {
        self.promise_accepted(&BTreeMap::new());
        self.0.promise_due.notify_one();
    }
}
