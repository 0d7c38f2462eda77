//! Whether the platform is reachable from this box.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

/// Consecutive failed calls after which the platform counts as unreachable.
const MAX_FAILURES: u32 = 3;

/// Shared state of the platform's reachability, updated by the result of each call.
#[derive(Debug, Clone)]
pub struct Health {
    up: Arc<watch::Sender<bool>>,
    failures: Arc<Mutex<u32>>,
    log: timeline::Log,
}

impl Health {
    /// Starts with the platform considered reachable.
    pub fn open(log: timeline::Log) -> Health {
        Health { up: Arc::new(watch::channel(true).0), failures: Arc::default(), log }
    }

    /// Whether the platform is considered reachable.
    pub fn is_up(&self) -> bool {
        *self.up.borrow()
    }

    /// Records a call that was answered.
    pub fn record_success(&self) {
        *self.failures.lock() = 0;
        let changed = self.up.send_if_modified(|up| !std::mem::replace(up, true));
        if changed {
            self.log.add(timeline::EventKind::PlatformBack);
        }
    }

    /// Records a call that was not answered.
    pub fn record_failure(&self) {
        let failures = {
            let mut failures = self.failures.lock();
            *failures += 1;
            *failures
        };
        if failures >= MAX_FAILURES {
            self.mark_unreachable();
        }
    }

    fn mark_unreachable(&self) {
        let changed = self.up.send_if_modified(|up| std::mem::replace(up, false));
        if changed {
            self.log.add(timeline::EventKind::PlatformLost);
        }
    }

    /// Waits until the platform is reachable.
    pub async fn wait_up(&self) {
        let _ = self.up.subscribe().wait_for(|up| *up).await;
    }

    /// Waits until the platform is unreachable.
    pub async fn wait_down(&self) {
        let _ = self.up.subscribe().wait_for(|up| !*up).await;
    }
}
