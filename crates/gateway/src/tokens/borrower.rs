//! Borrows tokens from other keepers when the book does not grant them in time.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::{
    fleet::peers::Peers,
    tokens::funds::{Funds, Hold},
};

/// Time after which the next boxes are asked. Much longer than a round trip between availability
/// zones, for boxes under load.
const BATCH_TIMEOUT: Duration = Duration::from_millis(50);
const BATCH_SIZE: usize = 3;

/// Borrows tokens for this box.
#[derive(Debug, Clone)]
pub struct Borrower {
    funds: Funds,
    peers: Peers,
}

impl Borrower {
    pub fn new(funds: Funds, peers: Peers) -> Borrower {
        Borrower { funds, peers }
    }

    /// Reserves the worst case of a request with tokens of other boxes, until `until`.
    pub async fn hold(&self, customer: &Arc<str>, worst: u64, until: Instant) -> Option<Hold> {
        self.borrow_until(customer, worst, until, || self.funds.try_hold(customer, worst)).await
    }

    /// Borrows tokens from other keepers until `attempt` succeeds for a request of this size.
    pub async fn borrow_until<T>(
        &self,
        customer: &Arc<str>,
        worst: u64,
        until: Instant,
        attempt: impl Fn() -> Option<T>,
    ) -> Option<T> {
        if self.funds.are_others_exhausted(customer, worst) {
            return None;
        }
        let asked = tokio::time::timeout_at(until, self.ask(customer, worst)).await.unwrap_or(0);
        let found = attempt();
        if found.is_none() {
            self.funds.note_others_exhausted(customer, worst);
        }
        tracing::info!(
            event = "asked_other_boxes",
            customer = &**customer,
            worst,
            asked,
            found = found.is_some(),
        );
        found
    }

    /// Asks keepers, a few at a time, until no tokens are missing; returns how many it asked.
    async fn ask(&self, customer: &Arc<str>, worst: u64) -> usize {
        let ask_lock = self.funds.ask_lock(customer);
        let _guard = ask_lock.lock().await;
        let mut asked = 0;
        // Another request may have brought enough tokens for both.
        let mut missing = self.funds.missing(customer, worst);
        let lenders = self.peers.lenders();
        for batch in lenders.chunks(BATCH_SIZE) {
            if missing == 0 {
                break;
            }
            let wanted = missing.div_ceil(batch.len() as u64);
            let answers = batch.iter().map(|lender| {
                let (this, lender, customer) = (self.clone(), lender.clone(), customer.clone());
                tokio::spawn(async move {
                    let lent = this.peers.borrow(&lender, &customer, wanted).await;
                    lent.into_iter().for_each(|transfer| this.funds.receive(&customer, transfer));
                })
            });
            let _ = tokio::time::timeout(BATCH_TIMEOUT, join_all(answers)).await;
            asked += batch.len();
            missing = self.funds.missing(customer, worst);
        }
        asked
    }
}
