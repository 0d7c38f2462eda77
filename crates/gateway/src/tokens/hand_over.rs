//! Hands the bills of a box that stops over to other boxes, while the store is unreachable.
//!
//! The stopping box keeps its bills as long as it runs, so it may still write them itself. It need
//! not wait for the store once enough other boxes have them: whoever reaches the store first writes
//! them.

use std::time::Duration;

use ledger::Incarnation;
use tokio::time::Instant;
use wire::Segment;

use crate::fleet::peers::{HAND_OVER_TIMEOUT, Peers};

/// Boxes that the bills are handed over to: one may die before it reaches the store.
const COPIES: usize = 2;
/// Interval between two rounds while fewer boxes have the bills.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time for which a box looks for a further receiver once one box has its bills. Longer
/// than boxes that did not answer are avoided.
const LONE_COPY_TIME: Duration = Duration::from_millis(2_500);

/// Hands the bills over; returns once other boxes have them, or never if none accepts them.
pub async fn run(peers: Peers, messages: Vec<Vec<Segment>>) {
    if messages.is_empty() {
        return;
    }
    let began = Instant::now();
    let mut holders: Vec<Incarnation> = Vec::new();
    while holders.len() < COPIES && (holders.is_empty() || began.elapsed() < LONE_COPY_TIME) {
        hand_over_once(&peers, &messages, &mut holders).await;
        if holders.len() < COPIES {
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
    let to: Vec<&str> = holders.iter().map(Incarnation::as_str).collect();
    tracing::info!(event = "bills_handed_over", to = to.join(","), count = bill_count(&messages));
}

/// Offers the bills to boxes that do not have them yet, until there are enough copies.
async fn hand_over_once(peers: &Peers, messages: &[Vec<Segment>], holders: &mut Vec<Incarnation>) {
    for receiver in peers.bill_receivers() {
        if holders.len() >= COPIES {
            return;
        }
        if !holders.contains(&receiver) && is_accepted(peers, &receiver, messages).await {
            holders.push(receiver);
        }
    }
    if holders.is_empty() {
        tracing::warn!(event = "bills_not_handed_over", count = bill_count(messages));
    }
}

/// Sends all bills; returns whether the receiver took them all.
async fn is_accepted(peers: &Peers, receiver: &Incarnation, messages: &[Vec<Segment>]) -> bool {
    for segments in messages {
        if peers.replicate_bills(receiver, segments, HAND_OVER_TIMEOUT).await.is_none() {
            return false;
        }
    }
    true
}

fn bill_count(messages: &[Vec<Segment>]) -> usize {
    messages.iter().flatten().map(|segment| segment.bills.len()).sum()
}
