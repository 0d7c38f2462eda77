//! The task that writes this box's log, and bills of other logs that are left to this box.

use std::time::Duration;

use platform::store::Client;
use tokio::time::Instant;

use super::{Bills, Fault};
use crate::outage::Recovery;

/// First time from the start of a failed write to the next one; doubles.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest such time. A write that was not answered until its timeout is repeated at once: only one that
/// is sent after the store's return is answered.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes pages as they are due, for as long as the box runs.
pub async fn run(bills: Bills, store: Client, recovery: Recovery) {
    let mut delay = RETRY_DELAY;
    let mut eras = store.eras();
    loop {
        let era = eras.borrow_and_update().unwrap_or_default();
        let is_missing = bills.0.state.lock().recent.missing(era).is_some();
        if !is_missing {
            tokio::select! {
                () = bills.due() => {}
                Ok(()) = eras.changed() => continue,
            }
        }
        let began = Instant::now();
        let written = tokio::select! {
            written = bills.write_next(&store, is_missing.then_some(era)) => written.is_ok(),
            // A write that was sent before the store returned may get no answer. It is repeated,
            // and if both are carried out, the second one finds the page.
            _ = recovery.recovered() => {
                bills.forget_attempt();
                true
            }
        };
        if written {
            delay = RETRY_DELAY;
            continue;
        }
        let _ = tokio::time::timeout_at(began + delay, recovery.recovered()).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

impl Bills {
    /// Writes what is due; before that, pages that the store may lack in an era.
    async fn write_next(&self, store: &Client, incomplete_era: Option<u64>) -> Result<(), Fault> {
        match incomplete_era {
            Some(era) => self.write_again(store, era).await,
            None => self.write(store, false).await,
        }
    }

    /// Forgets that a write is in progress, which was given up.
    fn forget_attempt(&self) {
        self.0.state.lock().writing_since = None;
    }

    /// Waits until a page is due.
    async fn due(&self) {
        loop {
            let due_at = {
                let state = self.0.state.lock();
                let now = Instant::now();
                match state.taken_over.is_empty() {
                    true => state.pending.due_at(now, state.is_flushing),
                    false => Some(now),
                }
            };
            let changed = self.0.to_write.notified();
            match due_at {
                Some(at) if at <= Instant::now() => return,
                Some(at) => {
                    let _ = tokio::time::timeout_at(at, changed).await;
                }
                None => changed.await,
            }
        }
    }
}
