//! Whether the platform answers, as far as this box can tell.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

/// Failed calls in a row after which the platform counts as unreachable.
const LOST_AFTER: u32 = 3;

/// Shared verdict on the platform, fed by every call.
#[derive(Debug, Clone)]
pub struct Health {
    up: Arc<watch::Sender<bool>>,
    failures: Arc<Mutex<u32>>,
    log: timeline::Log,
}

impl Health {
    /// Opens with the platform taken for reachable.
    pub fn open(log: timeline::Log) -> Health {
        Health { up: Arc::new(watch::channel(true).0), failures: Arc::default(), log }
    }

    /// Whether calls are worth waiting for.
    pub fn is_up(&self) -> bool {
        *self.up.borrow()
    }

    /// A call was answered.
    pub fn record_success(&self) {
        *self.failures.lock() = 0;
        let changed = self.up.send_if_modified(|up| !std::mem::replace(up, true));
        if changed {
            self.log.add(timeline::EventKind::PlatformBack);
        }
    }

    /// A call was not answered.
    pub fn record_failure(&self) {
        let failures = {
            let mut failures = self.failures.lock();
            *failures += 1;
            *failures
        };
        if failures >= LOST_AFTER {
            self.lost();
        }
    }

    fn lost(&self) {
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
