//! Keeps the records of services' software versions in the store, as a box that watches it.
//!
//! Each root decides for itself and writes on the condition of the record that it knows; if another
//! one was first, it takes over what that one wrote and decides anew. So a release costs each root a
//! call when the second version comes and one when the first has been gone for long enough. Records
//! are kept of services with streams that can be taken up.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use objects::{Expect, Object};
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

/// Records by service, with their versions.
type Records = HashMap<Arc<str>, (Record, u64)>;

/// A call that did not succeed.
struct Failed;

impl VersionWriter {
    /// Writes records for as long as the box runs.
    pub async fn run(self) {
        let mut records: Option<Records> = None;
        let mut eras = self.store.eras();
        let mut pause = MIN_PAUSE;
        loop {
            // A copy of the store may have other records.
            if eras.has_changed().is_ok_and(|has_changed| has_changed) {
                eras.mark_unchanged();
                records = None;
            }
            let outcome = match self.is_writer() {
                true => self.update(&mut records).await,
                false => {
                    records = None;
                    Ok(())
                }
            };
            match outcome {
                Ok(()) => {
                    pause = MIN_PAUSE;
                    let _ = timeout(CHECK_INTERVAL, self.sole_versions.changed()).await;
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
        is_root && self.view.status().watches
    }

    /// Whether probes of the store get no answer; each call would take its whole timeout.
    fn is_cut_off(&self) -> bool {
        self.view.unreachable_since().is_some()
    }

    /// Writes all records that have to change, those that lose their version first.
    async fn update(&self, records: &mut Option<Records>) -> Result<(), Failed> {
        let records = match records {
            Some(records) => records,
            None if self.is_cut_off() => return Err(Failed),
            None => records.insert(self.read_all().await?),
        };
        let mut due: Vec<(bool, Arc<str>)> = Vec::new();
        for service in self.services() {
            if let Some(next) = self.next(records, &service) {
                due.push((next.sole.is_some(), service));
            }
        }
        due.sort();
        let mut outcome = Ok(());
        for (_, service) in due {
            if self.is_cut_off() {
                return Err(Failed);
            }
            // One that fails by itself must not keep the others from being written.
            outcome = outcome.and(self.write(records, &service).await);
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

    fn next(&self, records: &Records, service: &str) -> Option<Record> {
        let current = records.get(service).map(|(record, _)| record);
        self.sole_versions.next_record(current, service)
    }

    async fn read_all(&self) -> Result<Records, Failed> {
        let list = self.store.list_all(VERSIONS).await.map_err(|error| {
            tracing::warn!(event = "sole_versions_not_listed", %error);
            Failed
        })?;
        let read = |object: &Object| (object.name.clone(), (Record::read(object), object.version));
        Ok(list.objects.iter().map(read).collect())
    }

    /// Writes the record of a service until it is as it has to be.
    async fn write(&self, records: &mut Records, service: &Arc<str>) -> Result<(), Failed> {
        for _ in 0..MAX_ATTEMPTS {
            let Some(next) = self.next(records, service) else { return Ok(()) };
            let known = records.get(service).map(|(_, version)| *version);
            let expect = known.map_or(Expect::Absent, Expect::Version);
            let written = self.store.replace(VERSIONS, service, &next.text(), expect).await;
            log(service, &next, &written);
            match written {
                Put::Landed(version) => drop(records.insert(service.clone(), (next, version))),
                Put::Refused(Some(object)) => {
                    let found = (Record::read(&object), object.version);
                    records.insert(service.clone(), found);
                }
                Put::Refused(None) => drop(records.remove(service)),
                Put::Failed(_) | Put::Unknown(_) => return Err(Failed),
            }
        }
        match self.next(records, service) {
            Some(_) => Err(Failed),
            None => Ok(()),
        }
    }
}

fn log(service: &str, next: &Record, written: &Put) {
    let sole = next.sole.as_deref();
    match written {
        Put::Landed(version) => {
            tracing::info!(event = "sole_version_written", service, sole, version);
        }
        Put::Refused(found) => {
            let found = found.as_ref().map(|object| object.version);
            tracing::info!(event = "sole_version_refused", service, sole, found);
        }
        Put::Failed(reason) | Put::Unknown(reason) => {
            tracing::warn!(event = "sole_version_not_written", service, sole, reason);
        }
    }
}
