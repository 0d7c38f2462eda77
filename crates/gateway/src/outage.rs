//! Whether a dependency answers, with one log line for each change.
//!
//! A call that waits for news cannot tell a quiet store from a dead connection. So whichever task
//! first finds the store answering again says so to the others through [`Contact`], and they read
//! anew at once.

use std::{fmt::Display, sync::Arc};

use tokio::{sync::watch, time::Instant};

/// Counts how often the store was found to answer again.
#[derive(Debug, Clone)]
pub struct Contact(Arc<watch::Sender<u64>>);

impl Contact {
    /// Nothing was lost yet.
    pub fn new() -> Contact {
        Contact(Arc::new(watch::channel(0).0))
    }

    /// Waits until some task finds the store answering again.
    pub async fn regained(&self) {
        let mut count = self.0.subscribe();
        // The sender lives as long as `self`.
        let _ = count.changed().await;
    }

    fn tell(&self) {
        self.0.send_modify(|count| *count += 1);
    }
}

/// State of one dependency.
#[derive(Debug)]
pub struct Outage {
    what: &'static str,
    contact: Contact,
    since: Option<Instant>,
    failures: u64,
}

impl Outage {
    /// A dependency that is taken to answer.
    pub fn new(what: &'static str, contact: Contact) -> Outage {
        Outage { what, contact, since: None, failures: 0 }
    }

    /// A call failed.
    pub fn failed(&mut self, reason: &impl Display) {
        self.failures += 1;
        if self.since.is_none() {
            self.since = Some(Instant::now());
            tracing::warn!(event = "dependency_lost", what = self.what, %reason);
        }
    }

    /// A call was answered; returns for how many milliseconds none was.
    pub fn answered(&mut self) -> Option<u64> {
        let lost = self.since.take()?.elapsed().as_millis() as u64;
        let failures = std::mem::take(&mut self.failures);
        self.contact.tell();
        tracing::info!(event = "dependency_back", what = self.what, lost_ms = lost, failures);
        Some(lost)
    }
}
