//! Promises of boxes to each other to keep tokens unused, so that little is lost when one of them
//! dies.
//!
//! [`Selector`] selects this box's witness, which takes effect once the book names it, and
//! [`Promiser`] sends the promises to it. The witness's side is in `fleet::promises`. While neither
//! the store nor the witness answers, the last promise holds.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ledger::{Promise, Witness};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    fleet::{
        peers::{Delivery, Peers},
        promises::LAST_PROMISE,
    },
    tokens::funds::Funds,
};

/// Delay after a promise that was not accepted, so that a box that is down is not called in a tight
/// loop.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Selects this box's witness.
#[derive(Debug, Clone)]
pub struct Selector {
    /// The witness that the book names, as far as this box knows.
    named: Arc<watch::Sender<Option<Witness>>>,
    /// The witness did not answer, or is gone.
    lost: Arc<Mutex<bool>>,
}

impl Selector {
    pub fn open() -> Selector {
        Selector { named: Arc::new(watch::channel(None).0), lost: Arc::default() }
    }

    /// Returns the witness that the settlement with this number names: the current one, unless it
    /// is gone or lost.
    pub fn choose(&self, peers: &Peers, number: u64) -> Option<Witness> {
        let named = self.named.borrow().clone();
        let lost = *self.lost.lock();
        let is_usable = |witness: &Witness| !lost && peers.knows(&witness.by);
        if let Some(witness) = named.as_ref().filter(|witness| is_usable(witness)) {
            return Some(witness.clone());
        }
        let other = peers.any_reachable(named.as_ref().map(|witness| &witness.by));
        other.map(|by| Witness { by, term: number })
    }

    /// Applies a settlement that landed with this witness. A promise to another witness no longer
    /// holds.
    pub fn landed(&self, witness: &Option<Witness>, funds: &Funds) {
        if *self.named.borrow() == *witness {
            return;
        }
        *self.lost.lock() = false;
        self.named.send_replace(witness.clone());
        funds.clear_promise();
        tracing::info!(
            event = "witness_named",
            witness = witness.as_ref().map(|witness| witness.by.as_str()),
            term = witness.as_ref().map(|witness| witness.term),
        );
    }

    /// Records that the witness did not answer, or is gone.
    fn note_lost(&self, witness: &Witness) {
        *self.lost.lock() = true;
        tracing::info!(event = "witness_lost", witness = witness.by.as_str());
    }

    /// Promises to use no more tokens, before a planned stop; returns whether the witness knows of
    /// all of them. If the last settlement does not reach the store, the next incarnation gets them
    /// back through the witness.
    pub async fn promise_all(&self, funds: &Funds, peers: &Peers) -> bool {
        let tokens = funds.promise_all();
        let kept: u64 = tokens.values().sum();
        let Some(witness) = self.named.borrow().clone() else { return kept == 0 };
        let promise = Promise { term: witness.term, number: LAST_PROMISE, tokens };
        let outcome = peers.promise(&witness.by, promise).await;
        tracing::info!(event = "promised_all", witness = witness.by.as_str(), kept, outcome = ?outcome);
        kept == 0 || outcome == Delivery::Taken
    }

    /// Whether another witness is to be named.
    pub fn is_due(&self, peers: &Peers) -> bool {
        let is_gone = |witness: &Witness| !peers.knows(&witness.by);
        *self.lost.lock() || self.named.borrow().as_ref().is_some_and(is_gone)
    }
}

/// Sends this box's promises to its witness.
pub struct Promiser {
    pub funds: Funds,
    pub peers: Peers,
    pub selector: Selector,
}

impl Promiser {
    /// Sends promises for as long as the box runs.
    pub async fn run(self) {
        let mut number = 0;
        // The term of the witness, and the highest amounts that it may have on record.
        let mut recorded: (u64, BTreeMap<Arc<str>, u64>) = (0, BTreeMap::new());
        loop {
            self.funds.promise_due().await;
            let Some(witness) = self.selector.named.borrow().clone() else { continue };
            let Some(tokens) = self.funds.promise() else { continue };
            if recorded.0 != witness.term {
                recorded = (witness.term, BTreeMap::new());
            }
            number += 1;
            let promise = Promise { term: witness.term, number, tokens: tokens.clone() };
            let outcome = self.peers.promise(&witness.by, promise).await;
            tracing::debug!(
                event = "promised",
                witness = witness.by.as_str(),
                term = witness.term,
                number,
                kept = tokens.values().sum::<u64>(),
                outcome = ?outcome,
            );
            match outcome {
                Delivery::Taken => {
                    self.funds.promise_accepted(&tokens);
                    recorded.1 = tokens;
                    continue;
                }
                Delivery::Not => self.funds.promise_accepted(&recorded.1),
                Delivery::Gone => {
                    self.selector.note_lost(&witness);
                    self.funds.clear_promise();
                    recorded.1.clear();
                }
                Delivery::Unknown => {
                    self.selector.note_lost(&witness);
                    for (customer, tokens) in tokens {
                        let highest = recorded.1.entry(customer).or_default();
                        *highest = tokens.max(*highest);
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
