//! A box with a runtime of its own, so that it can end as a process does: with all of its tasks.

use gateway::{Gateway, Settings};
use tokio::runtime::Runtime;

use crate::harness::MAX_WAIT;

/// Seed of the box's random numbers.
const SEED: u64 = 77;

/// A running box; it dies when dropped.
pub struct Process {
    runtime: Option<Runtime>,
    gateway: Option<Gateway>,
}

impl Process {
    /// Starts a box.
    pub async fn start(settings: Settings) -> Process {
        let runtime = Runtime::new().expect("a runtime");
        let started = runtime.spawn(Gateway::spawn(settings, SEED)).await.expect("it starts");
        let gateway = started.expect("a gateway");
        Process { runtime: Some(runtime), gateway: Some(gateway) }
    }

    /// The box.
    pub fn gateway(&self) -> &Gateway {
        self.gateway.as_ref().expect("it runs")
    }

    /// Ends at once.
    pub fn kill(self) {
        drop(self);
    }

    /// Stops by plan, and ends with whatever is left.
    pub async fn stop(mut self) {
        let gateway = self.gateway.take().expect("it runs");
        let runtime = self.runtime.as_ref().expect("it runs");
        let stopped = runtime.spawn(gateway.stop());
        tokio::time::timeout(MAX_WAIT, stopped).await.expect("in time").expect("it stops");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
