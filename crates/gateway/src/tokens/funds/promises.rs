//! What this box keeps untouched for its witness, and how requests get at it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::Funds;

/// Longest wait for the witness to take a promise that frees tokens: many times the way there and
/// back between availability zones, with room for a box that is busy.
const FREED_WITHIN: Duration = Duration::from_millis(30);

impl Funds {
    /// Waits for the witness to free tokens that a promise keeps from a request of this size;
    /// says whether it was worth waiting.
    pub async fn wait_for_release(&self, customer: &str, worst: u64, until: Instant) -> bool {
        let Some(mut promise_accepted) = self.request_release(customer, worst) else {
            return false;
        };
        let until = until.min(Instant::now() + FREED_WITHIN);
        tokio::time::timeout_at(until, promise_accepted.changed()).await.is_ok()
    }

    /// Asks for tokens that a promise keeps, if it keeps any from a request of this size; promises
    /// taken from then on show in what is returned.
    pub fn request_release(&self, customer: &str, worst: u64) -> Option<watch::Receiver<u64>> {
        let mut state = self.0.state.lock();
        let wallet = state.wallets.get_mut(customer).filter(|wallet| wallet.is_kept_from(worst))?;
        wallet.want(worst);
        let promise_accepted = self.0.promise_accepted.subscribe();
        drop(state);
        self.0.promise_due.notify_one();
        Some(promise_accepted)
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
        let limited = state.wallets.iter_mut().filter(|(_, wallet)| wallet.paid.is_some());
        let mut wallets: Vec<_> = limited.collect();
        if !wallets.iter_mut().any(|(_, wallet)| wallet.is_promise_due(now)) {
            return None;
        }
        let tokens = wallets.into_iter().map(|(name, wallet)| (name.clone(), wallet.promise(now)));
        Some(tokens.filter(|(_, tokens)| *tokens > 0).collect())
    }

    /// What to promise when this box takes no more requests: everything that is free.
    pub fn promise_all(&self) -> BTreeMap<Arc<str>, u64> {
        let mut state = self.0.state.lock();
        state.promised_all = true;
        let limited = state.wallets.iter_mut().filter(|(_, wallet)| wallet.paid.is_some());
        limited.map(|(customer, wallet)| (customer.clone(), wallet.promise_all())).collect()
    }

    /// The witness took a promise: only this one counts now.
    pub fn promise_accepted(&self, tokens: &BTreeMap<Arc<str>, u64>) {
        let mut state = self.0.state.lock();
        if state.promised_all {
            return;
        }
        for (customer, wallet) in &mut state.wallets {
            wallet.keep(tokens.get(customer).copied().unwrap_or_default());
        }
        drop(state);
        self.0.promise_accepted.send_modify(|count| *count += 1);
    }

    /// The book names another witness or none: no promise counts any more.
    pub fn clear_promise(&self) {
        self.promise_accepted(&BTreeMap::new());
        self.0.promise_due.notify_one();
    }
}
