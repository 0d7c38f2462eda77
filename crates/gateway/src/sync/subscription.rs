//! The subscription of a box to a watcher.

use std::time::Duration;

use ledger::Incarnation;
use tokio::time::Instant;

/// State of the subscription to one watcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subscription {
    pub watcher: Incarnation,
    /// Number of the last change that was received.
    pub last: u64,
    /// Last confirmation that the watcher named.
    pub confirmation: u64,
    /// Whether the watcher reported that the store does not answer it.
    pub is_store_unreachable: bool,
    /// When it last reported the end of an outage.
    pub recovered_at: Option<Instant>,
    /// Whether it takes the place of watchers that did not answer.
    pub is_to_successor: bool,
}

impl Subscription {
    /// Whether the watcher reported the end of an outage within `time`: it reads the store again.
    pub fn has_recovered(&self, time: Duration) -> bool {
        self.recovered_at.is_some_and(|at| at.elapsed() < time)
    }
}
