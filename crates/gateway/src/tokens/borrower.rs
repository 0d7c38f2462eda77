//! Borrowing tokens of other keepers, where the book does not give them in time.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::{
    fleet::peers::Peers,
    tokens::funds::{Funds, Hold},
};

/// Time after which the next boxes are asked: many times the way there and back between
/// availability zones, with room for a box that is busy.
const NEXT: Duration = Duration::from_millis(50);
/// Boxes asked at once.
const ASKED: usize = 3;

/// Borrows for the accounts of this box.
#[derive(Debug, Clone)]
pub struct Borrower {
    funds: Funds,
    peers: Peers,
}

impl Borrower {
    /// For this box's accounts.
    pub fn new(funds: Funds, peers: Peers) -> Borrower {
        Borrower { funds, peers }
    }

    /// Holds the worst case of a request with tokens of other boxes, until `until`.
    pub async fn hold(&self, customer: &Arc<str>, worst: u64, until: Instant) -> Option<Hold> {
        self.borrow_until(customer, worst, until, || self.funds.try_hold(customer, worst)).await
    }

    /// Borrows tokens of other keepers until `attempt` finds those for a request of this size.
    pub async fn borrow_until<T>(
        &self,
        customer: &Arc<str>,
        worst: u64,
        until: Instant,
        attempt: impl Fn() -> Option<T>,
    ) -> Option<T> {
        if self.funds.are_others_dry(customer, worst) {
            return None;
        }
        let asked = tokio::time::timeout_at(until, self.ask(customer, worst)).await.unwrap_or(0);
        let found = attempt();
        if found.is_none() {
            self.funds.note_others_dry(customer, worst);
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

    /// Asks a few keepers after another until nothing is missing; returns how many.
    async fn ask(&self, customer: &Arc<str>, worst: u64) -> usize {
        let asking = self.funds.asking(customer);
        let _one_at_a_time = asking.lock().await;
        let mut asked = 0;
        // Another request may have brought enough for both.
        let mut missing = self.funds.missing(customer, worst);
        let lenders = self.peers.lenders();
        for few in lenders.chunks(ASKED) {
            if missing == 0 {
                break;
            }
            let wanted = missing.div_ceil(few.len() as u64);
            let answers = few.iter().map(|lender| {
                let (this, lender, customer) = (self.clone(), lender.clone(), customer.clone());
                tokio::spawn(async move {
                    let lent = this.peers.borrow(&lender, &customer, wanted).await;
                    lent.into_iter().for_each(|transfer| this.funds.receive(&customer, transfer));
                })
            });
            let _ = tokio::time::timeout(NEXT, join_all(answers)).await;
            asked += few.len();
            missing = self.funds.missing(customer, worst);
        }
        asked
    }
}
