//! Keeps the records of services' software versions in the store, as a box that watches it.
//!
//! Each root decides for itself and writes on the condition of the record that it knows; if another
//! one was first, it takes over what that one wrote and decides anew. So a release costs each root a
//! call when the second version comes, one when the first has left, and one when the streams of that can no longer be
//! taken up. Records are kept of services with streams that can be taken up.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use objects::{Expect, Object, Store};
use platform::store::{Client, Put};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use crate::{
    config_table::ConfigTable,
    fleet::peers::Peers,
    outage::Recovery,
    sole_versions::{
        handle::SoleVersions,
        record::{Record, VERSIONS},
    },
    sync::view::View,
};

/// Interval between two checks whether this box is to write and whether a version is gone for long
/// enough.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call; doubles. Ends when the store answers again or a version changes.
const MIN_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Attempts to write a record before a pause. One is refused for each write of another root.
const MAX_ATTEMPTS: usize = 3;

/// What the writer needs.
pub struct VersionWriter {
    pub store: Client,
    pub view: View,
    pub peers: Peers,
    pub sole_versions: SoleVersions,
    pub table: watch::Receiver<Option<Arc<ConfigTable>>>,
    pub recovery: Recovery,
}

/// A call that did not succeed.
struct Failed;

impl VersionWriter {
    /// Writes records for as long as the box runs.
    pub async fn run(self) {
        let mut table = self.table.clone();
        let mut pause = MIN_PAUSE;
        loop {
            let outcome = match self.is_writer() {
                true => self.update().await,
                false => Ok(()),
            };
            match outcome {
                Ok(()) => {
                    pause = MIN_PAUSE;
                    let changed = async {
                        tokio::select! {
                            () = self.sole_versions.changed() => {}
                            // A route may go to a service that has no record yet.
                            Ok(()) = table.changed() => {}
                        }
                    };
                    let _ = timeout(CHECK_INTERVAL, changed).await;
                }
                Err(Failed) => {
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = self.sole_versions.changed() => {}
                        _ = self.recovery.recovered() => {}
                    }
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    /// Whether this box is a root and has read the store.
    fn is_writer(&self) -> bool {
        let is_root = self.peers.is_empty() || self.peers.watchers().is_root(self.peers.me());
        is_root && self.view.status().watches && self.sole_versions.are_listed()
    }

    /// Whether probes of the store get no answer; each call would take its whole timeout.
    fn is_cut_off(&self) -> bool {
        self.view.unreachable_since().is_some()
    }

    /// Writes all records that have to change, those that open a version first.
    async fn update(&self) -> Result<(), Failed> {
        let mut due: Vec<(bool, Arc<str>)> = Vec::new();
        for service in self.services() {
            if let Some(next) = self.sole_versions.next_record(&service) {
                due.push((next.sole(next.era).is_some(), service));
            }
        }
        due.sort();
        let mut outcome = Ok(());
        for (_, service) in due {
            if self.is_cut_off() {
                return Err(Failed);
            }
            // One that fails by itself must not keep the others from being written.
            outcome = outcome.and(self.write(&service).await);
        }
        outcome
    }

    /// Services with streams that can be taken up.
    fn services(&self) -> BTreeSet<Arc<str>> {
        let table = self.table.borrow();
        let routes = table.iter().flat_map(|table| &table.config().routes);
        let targets = routes.filter(|route| route.resumable).flat_map(|route| &route.targets);
        targets.map(|target| target.service.clone()).collect()
    }

    /// Writes the record of a service until it is as it has to be.
    async fn write(&self, service: &Arc<str>) -> Result<(), Failed> {
        for _ in 0..MAX_ATTEMPTS {
            let Some(next) = self.sole_versions.next_record(service) else { return Ok(()) };
            let known = self.sole_versions.record_version(service);
            let expect = known.map_or(Expect::Absent, Expect::Version);
            let written = self.store.replace(VERSIONS, service, &next.text(), expect).await;
            log(service, &next, &written);
            match written {
                Put::Landed(version) => self.view.update_versions(&object(service, &next, version)),
                Put::Refused(Some(object)) => self.view.update_versions(&object),
                Put::Refused(None) => self.sole_versions.forget(service),
                // It may have landed.
                Put::Unknown(_) => {
                    if let Ok(Some(object)) = self.store.get(VERSIONS, service).await {
                        self.view.update_versions(&object);
                    }
                    return Err(Failed);
                }
                Put::Failed(_) => return Err(Failed),
            }
        }
        match self.sole_versions.next_record(service) {
            Some(_) => Err(Failed),
            None => Ok(()),
        }
    }
}

fn object(service: &Arc<str>, record: &Record, version: u64) -> Object {
    Object { kind: VERSIONS.into(), name: service.clone(), version, value: record.text().into() }
}

fn log(service: &str, next: &Record, written: &Put) {
    let Record { open, closed, era, is_partial } = next;
    let outcome = match written {
        Put::Landed(_) => "landed",
        Put::Refused(_) => "refused",
        Put::Failed(_) => "failed",
        Put::Unknown(_) => "unknown",
    };
    tracing::info!(
        event = "stream_versions_written",
        service,
        ?open,
        ?closed,
        era,
        is_partial,
        outcome,
        detail = ?written,
    );
}
