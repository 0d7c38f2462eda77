//! Reports of this box on their way to all others.
//!
//! A report goes into the store, where each box hears of it like of everything there, also one that starts
//! later. It is told to the homes of news besides, which pass it on at once: also while the store is away.

use std::{sync::Arc, time::Duration};

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

/// Reports that wait for the store: those of 64 endpoints that end while it is away.
const WAITING: usize = 64;
/// Time between two looks for reports that are too old to count, which homes remove from the store.
const SWEEP_EVERY: Duration = Duration::from_secs(300);

/// Passes on the reports of this box.
pub struct Reporter {
    pub store: Client,
    pub peers: Peers,
    pub view: View,
    pub recovery: Recovery,
}

impl Reporter {
    /// Passes on reports for as long as the box runs.
    pub async fn run(self, mut reports: mpsc::Receiver<NamedReport>) {
        let (to_write, waiting) = mpsc::channel(WAITING);
        let outage = Outage::new("crash reports", Probe::Lazy, self.recovery.clone());
        let writing = write_all(self.store.clone(), outage, waiting);
        let telling = async {
            while let Some((name, report)) = reports.recv().await {
                self.tell(&name, &report);
                if let Err(error) = to_write.try_send((name, report)) {
                    tracing::error!(event = "crash_report_not_written", %error);
                }
            }
        };
        tokio::join!(writing, telling, sweep(&self.store, &self.view));
    }

    fn tell(&self, name: &Arc<str>, report: &Report) {
        let requests = report.requests.len();
        tracing::info!(event = "crash_reported", name = &**name, finding = ?report.finding, requests);
        self.view.receive_crash(name, report.clone());
        self.peers.publish_crash(name, report);
    }
}

async fn write_all(store: Client, mut outage: Outage, mut waiting: mpsc::Receiver<NamedReport>) {
    while let Some((name, report)) = waiting.recv().await {
        let text = serde_json::to_string(&report).expect("reports always serialize");
        loop {
            match store.replace(CRASHES, &name, &text, Expect::Absent).await {
                // One that is there already was written by an earlier call.
                Put::Landed(_) | Put::Refused(_) => {
                    outage.answered();
                    break;
                }
                Put::Failed(reason) | Put::Unknown(reason) => {
                    outage.failed(&reason);
                    outage.pause().await;
                }
            }
        }
    }
}

/// Removes reports that are too old from the store, while this box looks at it.
async fn sweep(store: &Client, view: &View) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        for (name, version) in view.old_crashes() {
            let removed = objects::Store::delete(store, CRASHES, &name, version).await;
            tracing::info!(event = "crash_report_removed", name = &*name, outcome = ?removed);
        }
    }
}
