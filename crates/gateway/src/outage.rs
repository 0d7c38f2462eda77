//! Whether a dependency answers, with one log line for each change.
//!
//! A call that waits for news cannot tell a quiet store from a dead connection. So whichever task
//! first finds the store answering again says so to the others through [`Recovery`], and they read
//! anew at once.

use std::{fmt::Display, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

/// Time for which the store counts as found: each of the tasks that lost it finds it again about
/// then, and what was read anew at the first word needs no other read at the next ones. Shorter
/// than an outage that a connection notices.
const FOUND: Duration = Duration::from_secs(1);
/// First pause after a call that failed; doubles up to the longest of the task.
const PAUSE: Duration = Duration::from_millis(200);

/// How soon a task looks for the store again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// It finds the store for all tasks of the box, and for boxes that listen to it. What happened since
    /// the store's return cannot be told from what happened before: with 1.2 s between two calls, an endpoint that left 0.5 s
    /// after the return was taken for one whose entry had lapsed, and got work for 0.7 s too long.
    Eager,
    /// It waits for the first, and looks itself now and then.
    Lazy,
}

impl Probe {
    /// Longest pause between two calls while the store does not answer. Each call is paid for.
    fn pause_most(self) -> Duration {
        match self {
            Probe::Eager => Duration::from_millis(300),
            Probe::Lazy => Duration::from_millis(1_200),
        }
    }
}

/// Tells all tasks of a box when one of them finds the store answering again.
#[derive(Debug, Clone)]
pub struct Recovery(Arc<Found>);

#[derive(Debug)]
struct Found {
    /// When the outage began that ended last, as the task saw it that found the store.
    lost_since: watch::Sender<Option<Instant>>,
    at: Mutex<Option<Instant>>,
}

impl Recovery {
    /// Nothing was lost yet.
    pub fn open() -> Recovery {
        Recovery(Arc::new(Found { lost_since: watch::channel(None).0, at: Mutex::default() }))
    }

    /// Waits until some task finds the store answering again; returns since when that one had not.
    /// A task that looks seldom finds the end of an outage long after the others: what began before
    /// they read anew is no news to them.
    pub async fn recovered(&self) -> Instant {
        let mut lost_since = self.0.lost_since.subscribe();
        lost_since.mark_unchanged();
        // The sender lives as long as `self`.
        let _ = lost_since.changed().await;
        let since = *lost_since.borrow();
        since.unwrap_or_else(Instant::now)
    }

    /// The store answers again, which it had not since `lost_since`.
    pub fn announce(&self, lost_since: Instant) {
        let now = Instant::now();
        let before = self.0.at.lock().replace(now);
        if before.is_none_or(|before| now.saturating_duration_since(before) > FOUND) {
            self.0.lost_since.send_replace(Some(lost_since));
        }
    }
}

/// State of one dependency.
#[derive(Debug)]
pub struct Outage {
    what: &'static str,
    recovery: Recovery,
    since: Option<Instant>,
    failures: u64,
    pause: Duration,
    probe: Probe,
}

impl Outage {
    /// A dependency that is taken to answer.
    pub fn new(what: &'static str, probe: Probe, recovery: Recovery) -> Outage {
        Outage { what, recovery, since: None, failures: 0, pause: PAUSE, probe }
    }

    /// The dependency has not answered since then, as somebody else found.
    pub fn lost_since(&mut self, since: Instant) {
        self.since = Some(since);
    }

    /// Since when it has not answered, if it does not.
    pub fn since(&self) -> Option<Instant> {
        self.since
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
        let _ = tokio::time::timeout(self.pause, self.recovery.recovered()).await;
        self.pause = (self.pause * 2).min(self.probe.pause_most());
    }

    /// A call was answered; returns for how many milliseconds none was.
    pub fn answered(&mut self) -> Option<u64> {
        self.pause = PAUSE;
        let since = self.since.take()?;
        let lost = since.elapsed().as_millis() as u64;
        let failures = std::mem::take(&mut self.failures);
        self.recovery.announce(since);
        tracing::info!(event = "dependency_back", what = self.what, lost_ms = lost, failures);
        Some(lost)
    }
}
