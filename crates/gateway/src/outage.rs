//! Whether a dependency answers, with one log line for each change.
//!
//! A call that waits for news cannot tell a quiet store from a dead connection. So whichever task
//! first finds the store answering again says so to the others through [`Contact`], and they read
//! anew at once.

use std::{fmt::Display, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

/// Time for which the store counts as found: each of the tasks that lost it finds it again about
/// then, and what was read anew at the first word needs no other read at the next ones. Shorter
/// than an outage that a connection notices.
const FOUND: Duration = Duration::from_secs(1);
/// First pause after a call that failed; doubles up to [`PAUSE_MOST`].
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two calls of a task while the store does not answer. A call that fails is
/// paid for, and of the several tasks the first to find the store wakes the others: so the store is
/// found within a third of the time that boxes have to be up to date after an outage.
const PAUSE_MOST: Duration = Duration::from_millis(1_200);

/// Counts how often the store was found to answer again.
#[derive(Debug, Clone)]
pub struct Contact(Arc<Found>);

#[derive(Debug)]
struct Found {
    count: watch::Sender<u64>,
    at: Mutex<Option<Instant>>,
}

impl Contact {
    /// Nothing was lost yet.
    pub fn new() -> Contact {
        Contact(Arc::new(Found { count: watch::channel(0).0, at: Mutex::default() }))
    }

    /// Waits until some task finds the store answering again.
    pub async fn regained(&self) {
        let mut count = self.0.count.subscribe();
        // The sender lives as long as `self`.
        let _ = count.changed().await;
    }

    fn tell(&self) {
        let now = Instant::now();
        let before = self.0.at.lock().replace(now);
        if before.is_none_or(|before| now.saturating_duration_since(before) > FOUND) {
            self.0.count.send_modify(|count| *count += 1);
        }
    }
}

/// State of one dependency.
#[derive(Debug)]
pub struct Outage {
    what: &'static str,
    contact: Contact,
    since: Option<Instant>,
    failures: u64,
    pause: Duration,
}

impl Outage {
    /// A dependency that is taken to answer.
    pub fn new(what: &'static str, contact: Contact) -> Outage {
        Outage { what, contact, since: None, failures: 0, pause: PAUSE }
    }

    /// A call failed.
    pub fn failed(&mut self, reason: &impl Display) {
        self.failures += 1;
        if self.since.is_none() {
            self.since = Some(Instant::now());
            tracing::warn!(event = "dependency_lost", what = self.what, %reason);
        }
    }

    /// Waits after a call that failed, until some other task finds the store at the longest.
    pub async fn pause(&mut self) {
        let _ = tokio::time::timeout(self.pause, self.contact.regained()).await;
        self.pause = (self.pause * 2).min(PAUSE_MOST);
    }

    /// A call was answered; returns for how many milliseconds none was.
    pub fn answered(&mut self) -> Option<u64> {
        self.pause = PAUSE;
        let lost = self.since.take()?.elapsed().as_millis() as u64;
        let failures = std::mem::take(&mut self.failures);
        self.contact.tell();
        tracing::info!(event = "dependency_back", what = self.what, lost_ms = lost, failures);
        Some(lost)
    }
}
