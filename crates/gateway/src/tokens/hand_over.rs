//! Hands the bills of a box that stops over to other boxes, while the store is unreachable.
//!
//! The stopping box keeps its pages as long as it runs, so it may still write them itself. It need
//! not wait for the store once enough other boxes have them: whoever reaches the store first writes
//! a page, and a page is only ever created once.

use std::time::Duration;

use ledger::Incarnation;
use tokio::time::Instant;
use wire::BillPage;

use crate::fleet::peers::Peers;

/// Boxes that each page is handed over to: one may die before it reaches the store.
const COPIES: usize = 2;
/// Interval between two rounds while fewer boxes have the pages.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time for which a box looks for a further receiver once one box has its pages. Longer
/// than boxes that did not answer are avoided.
const LONE_COPY_TIME: Duration = Duration::from_millis(2_500);

/// Hands the pages over; returns once other boxes have them, or never if none accepts them.
pub async fn run(peers: Peers, pages: Vec<BillPage>) {
    if pages.is_empty() {
        return;
    }
    let began = Instant::now();
    let mut holders: Vec<Incarnation> = Vec::new();
    while holders.len() < COPIES && (holders.is_empty() || began.elapsed() < LONE_COPY_TIME) {
        hand_over_once(&peers, &pages, &mut holders).await;
        if holders.len() < COPIES {
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
    let to: Vec<&str> = holders.iter().map(Incarnation::as_str).collect();
    tracing::info!(event = "bills_handed_over", to = to.join(","), count = pages.len());
}

/// Offers the pages to boxes that do not have them yet, until there are enough copies.
async fn hand_over_once(peers: &Peers, pages: &[BillPage], holders: &mut Vec<Incarnation>) {
    for receiver in peers.bill_receivers() {
        if holders.len() >= COPIES {
            return;
        }
        if !holders.contains(&receiver) && peers.hand_over_bills(&receiver, pages).await {
            holders.push(receiver);
        }
    }
    if holders.is_empty() {
        tracing::warn!(event = "bills_not_handed_over", count = pages.len());
    }
}
