//! The endpoints, from the store or from another box.

use std::{sync::Arc, time::Duration};

use objects::{Change, Object};
use platform::endpoint::Entry as Endpoint;
use tokio::time::Instant;

use super::{Consumers, State, View, log_unreadable};
use crate::{
    clock::Dataset,
    sole_versions::history::Listed,
    sync::{change_log::ChangeLog, directory::Directory},
};

impl View {
    /// Takes over all entries of endpoints as read from the store at version `at`. `suspensions` is
    /// the number of suspensions of the box before the call began.
    pub fn load_endpoints(&self, objects: &[Object], at: u64, suspensions: u64) {
        let now = self.now();
        let mut state = self.0.state.lock();
        let mut entries = Vec::with_capacity(objects.len());
        for Object { name, version, value, .. } in objects {
            match read_endpoint(name, value) {
                Some(entry) => entries.push((name.clone(), *version, entry)),
                None => state.directory.remove(name, *version),
            }
        }
        state.directory.apply_list(entries, at, now);
        for object in objects {
            state.add_endpoint_change(&object.name, object.version, &object.value);
        }
        state.loaded.endpoints = true;
        self.publish_endpoints(&mut state, "list", at);
        self.0.consumers.watchdog.mark_read(Dataset::Endpoints, suspensions);
    }

    /// Takes over changed entries of endpoints, complete up to store version `at`.
    pub fn update_endpoints(&self, changes: Vec<Change>, at: u64) {
        let now = self.now();
        let mut state = self.0.state.lock();
        let is_new = !changes.is_empty();
        for change in changes {
            let read = change.value.as_deref().and_then(|text| read_endpoint(&change.name, text));
            match (read, &change.value) {
                (Some(entry), Some(text)) => {
                    state.directory.set(change.name.clone(), change.version, entry);
                    state.add_endpoint_change(&change.name, change.version, text);
                }
                _ => state.directory.remove(&change.name, change.version),
            }
        }
        state.directory.advance_to(at);
        if state.directory.sweep(now) || is_new {
            self.publish_endpoints(&mut state, "watch", at);
        }
    }

    /// The store is reachable again: entries that the next lists lack are kept for `grace`,
    /// since they may have expired after `lost_since` and come back.
    pub fn store_returned(&self, lost_since: Instant, grace: Duration) {
        let until = self.now() + grace.as_millis() as u64;
        let lost_since = self.to_ms(lost_since);
        self.0.state.lock().directory.store_returned(lost_since, until);
    }

    /// Store version up to which all entries are known.
    pub fn endpoints_at(&self) -> u64 {
        self.0.state.lock().directory.at()
    }

    /// Time until missing entries count as removed; `None` if none is missing.
    pub fn grace_left(&self) -> Option<Duration> {
        let left = self.0.state.lock().directory.grace_left(self.now());
        left.map(Duration::from_millis)
    }

    /// Removes missing entries if the grace period is over.
    pub fn sweep(&self) {
        let now = self.now();
        let mut state = self.0.state.lock();
        if state.directory.sweep(now) {
            let at = state.directory.at();
            self.publish_endpoints(&mut state, "sweep", at);
        }
    }

    /// Puts the known endpoints in force.
    pub(super) fn publish_endpoints(&self, state: &mut State, by: &str, version: u64) {
        let Consumers { endpoints, connections, sole_versions, .. } = &self.0.consumers;
        let State { directory, change_log, .. } = &mut *state;
        let listed = directory.changed().map(|(id, entry)| (id.clone(), entry.map(listed)));
        // A version counts before the first request is sent to it.
        sole_versions.apply(listed.collect());
        let changed = directory.take_changed();
        let ids: Vec<Arc<str>> = changed.iter().map(|(id, _)| id.clone()).collect();
        let unused = endpoints.apply(changed);
        for id in ids {
            add_endpoint_removal(directory, change_log, &id);
        }
        unused.iter().for_each(|address| connections.forget(*address));
        state.drop_limits(|instance| endpoints.is_listed(instance));
        state.drop_departures(|instance| endpoints.remembers_departure(instance));
        let (known, ready) = (state.directory.len(), state.directory.ready().count());
        let gone = unused.len();
        tracing::info!(event = "endpoints_changed", by, version, known, ready, gone);
        self.notify();
    }
}

impl State {
    /// Adds an entry to the change log, if it is the current one.
    fn add_endpoint_change(&mut self, id: &str, version: u64, text: &str) {
        if self.directory.version(id) == Some(version) {
            self.change_log.put(platform::ENDPOINTS, id, version, Some(text));
        }
    }

    pub(super) fn apply_endpoints(
        &mut self,
        changes: Vec<wire::Change>,
        is_snapshot: bool,
        at: u64,
    ) {
        let mut entries = Vec::new();
        let mut texts = Vec::new();
        for change in changes {
            let read = change.value.as_deref().and_then(|text| read_endpoint(&change.name, text));
            match (read, change.value) {
                (Some(entry), Some(text)) => {
                    texts.push((change.name.clone(), change.version, text));
                    entries.push((change.name, change.version, entry));
                }
                _ => self.directory.remove(&change.name, change.version),
            }
        }
        match is_snapshot {
            true => self.directory.apply_snapshot(entries, at),
            false => {
                for (id, version, entry) in entries {
                    self.directory.set(id, version, entry);
                }
            }
        }
        for (id, version, text) in &texts {
            self.add_endpoint_change(id, *version, text);
        }
    }
}

/// Records the removal of an endpoint in the change log, if it was removed.
fn add_endpoint_removal(directory: &Directory, change_log: &mut ChangeLog, id: &str) {
    let version = change_log.version(platform::ENDPOINTS, id);
    if let Some(version) = version.filter(|_| directory.version(id).is_none()) {
        let removed_at = directory.removed_at(id).unwrap_or(version);
        change_log.put(platform::ENDPOINTS, id, removed_at, None);
    }
}

/// What the history of versions needs to know of a listed endpoint.
fn listed(Endpoint { service, version, .. }: &Endpoint) -> Listed {
    Listed { service: service.clone(), version: version.clone() }
}

fn read_endpoint(id: &str, text: &str) -> Option<Endpoint> {
    Endpoint::read(text).inspect_err(|error| log_unreadable(platform::ENDPOINTS, id, error)).ok()
}
