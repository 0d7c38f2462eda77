//! What boxes promise each other to keep untouched, so that little is lost with one that dies.
//!
//! The witness's side is in `records`. [`Selector`] is the choice of this box's own witness, which
//! counts once the book says so, and [`Promiser`] tells that one what this box keeps. While neither
//! the store nor the witness answers, what was promised last stays untouched.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ledger::{Promise, Witness};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    fleet::peers::{Delivery, Peers},
    tokens::funds::Funds,
};

/// Pause after a promise that the witness did not take, so that a box that is down is not asked
/// without end.
const PAUSE: Duration = Duration::from_millis(200);

/// Number of the promise before a planned stop: none comes after it.
const LAST: u64 = u64::MAX;

/// The choice of this box's witness.
#[derive(Debug, Clone)]
pub struct Selector {
    /// The one that the book names, as far as this box knows.
    named: Arc<watch::Sender<Option<Witness>>>,
    /// It did not answer, or is none any more.
    lost: Arc<Mutex<bool>>,
}

impl Selector {
    /// None yet.
    pub fn open() -> Selector {
        Selector { named: Arc::new(watch::channel(None).0), lost: Arc::default() }
    }

    /// Whom a settlement with this number names: the same as before, unless it is gone or lost.
    pub fn choose(&self, peers: &Peers, number: u64) -> Option<Witness> {
        let named = self.named.borrow().clone();
        let lost = *self.lost.lock();
        let stays = |witness: &Witness| !lost && peers.knows(&witness.by);
        if let Some(witness) = named.as_ref().filter(|witness| stays(witness)) {
            return Some(witness.clone());
        }
        let other = peers.any_reachable(named.as_ref().map(|witness| &witness.by));
        other.map(|by| Witness { by, term: number })
    }

    /// A settlement landed that names this one: what was promised another one counts no more.
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

    /// The witness did not answer, or is none any more.
    fn note_lost(&self, witness: &Witness) {
        *self.lost.lock() = true;
        tracing::info!(event = "witness_lost", witness = witness.by.as_str());
    }

    /// Promises to use nothing more, before a planned stop: if the store does not answer the last
    /// settlement, the next start gets all of it back from the witness.
    pub async fn promise_all(&self, funds: &Funds, peers: &Peers) {
        let Some(witness) = self.named.borrow().clone() else { return };
        let tokens = funds.promise_all();
        let kept: u64 = tokens.values().sum();
        let promise = Promise { term: witness.term, number: LAST, tokens };
        let told = peers.promise(&witness.by, promise).await;
        tracing::info!(event = "promised_all", witness = witness.by.as_str(), kept, outcome = ?told);
    }

    /// Whether another one is to be named.
    pub fn is_due(&self, peers: &Peers) -> bool {
        let is_gone = |witness: &Witness| !peers.knows(&witness.by);
        *self.lost.lock() || self.named.borrow().as_ref().is_some_and(is_gone)
    }
}

/// Tells the witness what this box keeps.
pub struct Promiser {
    pub funds: Funds,
    pub peers: Peers,
    pub selector: Selector,
}

impl Promiser {
    /// Tells it for as long as the box runs.
    pub async fn run(self) {
        let mut number = 0;
        // The most that the witness may believe, and under which naming.
        let mut believed: (u64, BTreeMap<Arc<str>, u64>) = (0, BTreeMap::new());
        loop {
            self.funds.promise_due().await;
            let Some(witness) = self.selector.named.borrow().clone() else { continue };
            let Some(tokens) = self.funds.promise() else { continue };
            if believed.0 != witness.term {
                believed = (witness.term, BTreeMap::new());
            }
            number += 1;
            let promise = Promise { term: witness.term, number, tokens: tokens.clone() };
            let told = self.peers.promise(&witness.by, promise).await;
            tracing::debug!(
                event = "promised",
                witness = witness.by.as_str(),
                term = witness.term,
                number,
                kept = tokens.values().sum::<u64>(),
                outcome = ?told,
            );
            match told {
                Delivery::Taken => {
                    self.funds.promise_accepted(&tokens);
                    believed.1 = tokens;
                    continue;
                }
                Delivery::Not => self.funds.promise_accepted(&believed.1),
                Delivery::Gone => {
                    self.selector.note_lost(&witness);
                    self.funds.clear_promise();
                    believed.1.clear();
                }
                Delivery::Unknown => {
                    self.selector.note_lost(&witness);
                    for (customer, tokens) in tokens {
                        let most = believed.1.entry(customer).or_default();
                        *most = tokens.max(*most);
                    }
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
