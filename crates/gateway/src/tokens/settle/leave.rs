//! The end of a box by plan: returning its tokens, with the help of other boxes if the store does not
//! answer.

use std::time::Duration;

use ledger::Incarnation;
use tokio::time::Instant;

use super::{Settler, Setup};
use crate::{
    fleet::entry,
    tokens::{hand_over, participation::Participation},
};

/// Time for the store to accept the last settlement before other boxes are asked to write the
/// bills. Longer than a slow call of the store.
const HAND_OVER_DELAY: Duration = Duration::from_millis(600);
/// Time for handing over bills, at the end of a stop whose requests took all but the last settlement's
/// time.
const HAND_OVER_TIME: Duration = Duration::from_millis(300);
/// Interval at which a stopping witness checks whether it was asked for the promises it holds.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a stopping box for the store if no witness knows which tokens it leaves unused,
/// once other boxes have its bills. These tokens come back only through its last settlement.
const UNWITNESSED_WAIT: Duration = Duration::from_millis(2_500);

impl Settler {
    /// Returns all tokens before a planned stop, until `until` at the latest.
    ///
    /// If the store does not accept them soon, other boxes help: the witness knows that no more
    /// tokens are used, and the bills are handed over to boxes that write them. Once both is done,
    /// nothing is left that only this box can do, and it does not wait for the store: a restart of
    /// the next box, or what brings the store back, may wait for this one.
    pub async fn leave(&mut self, until: Instant) {
        let began = Instant::now();
        let Setup { selector, funds, peers, acquirer, bills, .. } = &self.setup;
        acquirer.leave().await;
        let is_promised = selector.promise_all(funds, peers).await;
        let (peers, bills) = (peers.clone(), bills.clone());
        let hand_over_at = (until - HAND_OVER_TIME).min(Instant::now() + HAND_OVER_DELAY);
        let mut done = tokio::time::timeout_at(hand_over_at, self.leave_book()).await.is_ok();
        if !done {
            let copies = bills.copies();
            let helped = async {
                hand_over::run(peers, copies).await;
                if !is_promised {
                    tokio::time::sleep_until(began + UNWITNESSED_WAIT).await;
                }
            };
            tokio::select! {
                () = self.leave_book() => done = true,
                () = helped => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
        if done {
            let _ = tokio::time::timeout_at(until, self.await_claims()).await;
        }
        tracing::info!(
            event = "funds_returned",
            done,
            bills_waiting = self.setup.bills.waiting(),
            took_ms = began.elapsed().as_millis() as u64
        );
    }

    /// Waits until all tokens of boxes that ended before this one, and to which it is the witness,
    /// were asked for: nobody else knows that they are unused.
    async fn await_claims(&mut self) {
        if self.setup.peers.promises.unclaimed().is_empty() {
            return;
        }
        let book = match self.read().await {
            Ok((book, _)) => book,
            Err(fault) => return tracing::warn!(event = "claims_not_awaited", %fault),
        };
        let Setup { peers, holder, .. } = &self.setup;
        let relies = |name: &Incarnation| book.relies_on(holder, name);
        while peers.promises.unclaimed().iter().any(relies) {
            tokio::time::sleep(CLAIM_POLL_INTERVAL).await;
        }
    }

    /// Writes everything that is left. Cancel safe: the next call resumes it.
    async fn leave_book(&mut self) {
        self.setup.bills.flush();
        if self.pending.is_some() {
            self.settle(Participation::Active).await;
        }
        if self.uses_book() {
            self.settle(Participation::Leaving).await;
        }
        self.setup.bills.all_written().await;
        let version = *self.setup.registered.borrow();
        if let Some(version) = version {
            entry::remove(&self.setup.store, &self.setup.holder, version).await;
        }
    }
}
