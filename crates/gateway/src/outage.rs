//! Availability of a dependency, with one log line for each change.
//!
//! A call that waits for changes cannot tell an idle store from a dead connection. The task that
//! first gets an answer from the store after an outage notifies the others through [`Recovery`],
//! and they read their state again.

use std::{fmt::Display, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

/// Time after a notification during which further ones are ignored. All tasks that lost the store
/// reach it again at about the same time, and one read is enough. Shorter than any outage that
/// breaks connections.
const DEDUP_INTERVAL: Duration = Duration::from_secs(1);
/// Initial pause after a failed call; doubles up to the limit of the probe.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);

/// How often a task retries calls while the store does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// Retries often, on behalf of all tasks of the box and its subscribers. Until the end of an
    /// outage is detected, an endpoint that leaves after it cannot be told from one whose entry
    /// lapsed during it, and keeps getting requests: with 1.2 s between two calls, one that left 0.5 s
    /// after the return got work for 0.7 s too long.
    Eager,
    /// Retries seldom and relies on notification.
    Lazy,
}

impl Probe {
    /// Longest pause between calls while the store does not answer. Each call costs money.
    fn max_pause(self) -> Duration {
        match self {
            Probe::Eager => Duration::from_millis(300),
            Probe::Lazy => Duration::from_millis(1_200),
        }
    }
}

/// Notifies all tasks of a box when the store answers again.
#[derive(Debug, Clone)]
pub struct Recovery(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    /// Start of the last outage, as seen by the task that detected its end.
    lost_since: watch::Sender<Option<Instant>>,
    announced_at: Mutex<Option<Instant>>,
}

impl Recovery {
    /// Creates a notifier; no outage is known yet.
    pub fn open() -> Recovery {
        Recovery(Arc::new(Shared {
            lost_since: watch::channel(None).0,
            announced_at: Mutex::default(),
        }))
    }

    /// Waits until a task detects the end of an outage; returns when that outage began.
    ///
    /// Callers compare that time with their last read: a task that calls seldom reports an outage
    /// late, when others have already read their state again.
    pub async fn recovered(&self) -> Instant {
        let mut lost_since = self.0.lost_since.subscribe();
        lost_since.mark_unchanged();
        // Cannot fail: `self` holds the sender.
        let _ = lost_since.changed().await;
        let since = *lost_since.borrow();
        since.unwrap_or_else(Instant::now)
    }

    /// Reports that the store answers again after an outage that began at `lost_since`.
    pub fn announce(&self, lost_since: Instant) {
        let now = Instant::now();
        let previous = self.0.announced_at.lock().replace(now);
        if previous.is_none_or(|previous| now.saturating_duration_since(previous) > DEDUP_INTERVAL)
        {
            self.0.lost_since.send_replace(Some(lost_since));
        }
    }
}

/// Availability of one dependency.
#[derive(Debug)]
pub struct Outage {
    dependency: &'static str,
    recovery: Recovery,
    /// Ends of outages that other tasks detect, also during a call of this one.
    recoveries: watch::Receiver<Option<Instant>>,
    since: Option<Instant>,
    failures: u64,
    pause: Duration,
    probe: Probe,
}

impl Outage {
    /// Creates the state of a dependency that is assumed to answer.
    pub fn new(dependency: &'static str, probe: Probe, recovery: Recovery) -> Outage {
        let mut recoveries = recovery.0.lost_since.subscribe();
        recoveries.mark_unchanged();
        let (since, failures, pause) = (None, 0, INITIAL_PAUSE);
        Outage { dependency, recovery, recoveries, since, failures, pause, probe }
    }

    /// Records an outage that another task or box detected.
    pub fn set_lost_since(&mut self, since: Instant) {
        self.since = Some(since);
    }

    /// Start of the current outage, if any.
    pub fn since(&self) -> Option<Instant> {
        self.since
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, reason: &impl Display) {
        self.failures += 1;
        if self.since.is_none() {
            self.since = Some(Instant::now());
            tracing::warn!(event = "dependency_lost", what = self.dependency, %reason);
        }
    }

    /// Waits before the next attempt; ends early if another task reaches the store, or did so during the
    /// call that failed.
    pub async fn pause(&mut self) {
        let _ = tokio::time::timeout(self.pause, self.recoveries.changed()).await;
        self.pause = (self.pause * 2).min(self.probe.max_pause());
    }

    /// Records an answered call; returns the length of the outage that it ended, in milliseconds.
    pub fn record_success(&mut self) -> Option<u64> {
        self.pause = INITIAL_PAUSE;
        let since = self.since.take()?;
        let outage_ms = since.elapsed().as_millis() as u64;
        let failures = std::mem::take(&mut self.failures);
        self.recovery.announce(since);
        self.recoveries.mark_unchanged();
        tracing::info!(
            event = "dependency_back",
            what = self.dependency,
            lost_ms = outage_ms,
            failures
        );
        Some(outage_ms)
    }
}
