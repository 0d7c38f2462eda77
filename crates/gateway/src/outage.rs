//! Whether a dependency answers, with one log line for each change.

use std::fmt::Display;

use tokio::time::Instant;

/// State of one dependency.
#[derive(Debug)]
pub struct Outage {
    what: &'static str,
    since: Option<Instant>,
    failures: u64,
}

impl Outage {
    /// A dependency that is taken to answer.
    pub fn new(what: &'static str) -> Outage {
        Outage { what, since: None, failures: 0 }
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
        tracing::info!(event = "dependency_back", what = self.what, lost_ms = lost, failures);
        Some(lost)
    }
}
