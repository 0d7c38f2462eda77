//! Publishes the crash reports of this box.
//!
//! A report is written to the store, where every box finds it, also one that starts later. It is
//! also sent to the watchers, which pass it on at once, even while the store is unreachable. A watcher writes those that
//! their own box has not written, such as one that stopped in an outage of the store.

use std::{collections::HashSet, sync::Arc, time::Duration};

use objects::Expect;
use platform::store::{Client, Put};
use quarantine::{CRASHES, Report};
use tokio::sync::mpsc;

use crate::{
    fleet::peers::Peers,
    outage::{Outage, Probe, Recovery},
    proxy::crashes::NamedReport,
    sync::view::View,
};

/// Maximum number of reports that wait for the store to become reachable.
const QUEUE_CAPACITY: usize = 64;
/// Interval at which a watcher looks for reports that are not in the store; it writes those that it finds twice.
const ADOPT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a watcher removes expired reports from the store.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);

/// Publishes the crash reports of this box.
pub struct Reporter {
    pub store: Client,
    pub peers: Peers,
    pub view: View,
    pub recovery: Recovery,
}

impl Reporter {
    /// Publishes reports for as long as the box runs.
    pub async fn run(self, mut reports: mpsc::Receiver<NamedReport>) {
        let (to_write, waiting) = mpsc::channel(QUEUE_CAPACITY);
        let outage = Outage::new("crash reports", Probe::Lazy, self.recovery.clone());
        let writing = write_all(self.store.clone(), outage, waiting);
        let publishing = async {
            while let Some((name, report)) = reports.recv().await {
                self.publish(&name, &report);
                if !report.is_stored() {
                    continue;
                }
                if let Err(error) = to_write.try_send((name, report)) {
                    tracing::error!(event = "crash_report_not_written", %error);
                }
            }
        };
        let adopting = adopt(&self.view, &to_write);
        tokio::join!(writing, publishing, adopting, sweep(&self.store, &self.view));
    }

    fn publish(&self, name: &Arc<str>, report: &Report) {
        let requests = report.requests.len();
        let prompts: Vec<String> = report.prompts.iter().map(ToString::to_string).collect();
        tracing::info!(
            event = "crash_reported",
            name = &**name,
            finding = ?report.finding,
            requests,
            prompts = ?prompts,
        );
        self.view.receive_crash(name, report.clone());
        self.peers.publish_crash(name, report);
    }
}

/// Writes reports that stay out of the store.
async fn adopt(view: &View, to_write: &mpsc::Sender<NamedReport>) {
    let mut before: HashSet<Arc<str>> = HashSet::new();
    loop {
        tokio::time::sleep(ADOPT_INTERVAL).await;
        let unstored = view.unstored_crashes();
        let found: HashSet<Arc<str>> = unstored.iter().map(|(name, _)| name.clone()).collect();
        for (name, report) in unstored.into_iter().filter(|(name, _)| before.contains(name)) {
            tracing::info!(event = "crash_report_adopted", name = &*name);
            if let Err(error) = to_write.try_send((name, report)) {
                tracing::error!(event = "crash_report_not_written", %error);
            }
        }
        before = found;
    }
}

async fn write_all(store: Client, mut outage: Outage, mut waiting: mpsc::Receiver<NamedReport>) {
    while let Some((name, report)) = waiting.recv().await {
        let text = serde_json::to_string(&report).expect("reports always serialize");
        loop {
            match store.replace(CRASHES, &name, &text, Expect::Absent).await {
                // If it already exists, an earlier call of this box wrote it.
                Put::Landed(_) | Put::Refused(_) => {
                    outage.record_success();
                    break;
                }
                Put::Failed(reason) | Put::Unknown(reason) => {
                    outage.record_failure(&reason);
                    outage.pause().await;
                }
            }
        }
    }
}

/// Removes expired reports from the store while this box watches it.
async fn sweep(store: &Client, view: &View) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        view.drop_unstored_crashes();
        for (name, version) in view.expired_crashes() {
            let removed = objects::Store::delete(store, CRASHES, &name, version).await;
            tracing::info!(event = "crash_report_removed", name = &*name, outcome = ?removed);
        }
    }
}
