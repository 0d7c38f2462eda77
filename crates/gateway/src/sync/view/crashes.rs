//! Reports of requests that crash endpoints, from the store or from another box.

use std::sync::Arc;

use objects::{Change, Object};
use quarantine::{CRASHES, Report};

use super::{State, View, log_unreadable};

/// Version of a report that was received from a box and is not in the store yet.
const NOT_STORED: u64 = 0;

impl View {
    /// Takes over the reports read from the store.
    pub fn load_crashes(&self, objects: &[Object]) {
        let mut state = self.0.state.lock();
        state.loaded.crashes = true;
        for Object { name, version, value, .. } in objects {
            self.apply_crash(&mut state, name, *version, Some(value));
        }
        drop(state);
        self.notify();
    }

    /// Takes over reports that were written to the store or removed from it.
    pub fn update_crashes(&self, changes: &[Change]) {
        let mut state = self.0.state.lock();
        for Change { name, version, value, .. } in changes {
            self.apply_crash(&mut state, name, *version, value.as_deref());
        }
        drop(state);
        self.notify();
    }

    /// Takes over a report made by this box or received from another one.
    pub fn receive_crash(&self, name: &Arc<str>, report: Report) {
        let text = serde_json::to_string(&report).expect("reports always serialize");
        self.0.consumers.crashes.receive_report(name, None, report);
        self.0.state.lock().change_log.put(CRASHES, name, NOT_STORED, Some(&text));
        self.notify();
    }

    /// Takes over a report in the store, or its removal.
    pub(super) fn apply_crash(
        &self,
        state: &mut State,
        name: &Arc<str>,
        version: u64,
        text: Option<&str>,
    ) {
        let crashes = &self.0.consumers.crashes;
        match text.map(serde_json::from_str::<Report>) {
            Some(Ok(report)) => {
                crashes.receive_report(name, (version != NOT_STORED).then_some(version), report);
                state.change_log.put(CRASHES, name, version, text);
            }
            Some(Err(error)) => log_unreadable(CRASHES, name, &error),
            None => {
                crashes.forget(name);
                state.change_log.put(CRASHES, name, version, None);
            }
        }
    }

    /// Removes expired reports that are not in the store from what subscribers get.
    pub fn drop_unstored_crashes(&self) {
        let mut state = self.0.state.lock();
        for (name, version) in state.change_log.names(CRASHES) {
            if version == NOT_STORED && !self.0.consumers.crashes.contains(&name) {
                state.change_log.put(CRASHES, &name, NOT_STORED, None);
            }
        }
    }

    /// Reports that are to be in the store and are not, as far as this box knows; none unless it watches the store.
    pub fn unstored_crashes(&self) -> Vec<(Arc<str>, Report)> {
        let state = self.0.state.lock();
        if !state.loaded.is_complete() || state.unreachable_since.is_some() {
            return Vec::new();
        }
        let names = state.change_log.names(CRASHES);
        let unstored = names.into_iter().filter(|(_, version)| *version == NOT_STORED);
        let read = |name: &str| serde_json::from_str(&state.change_log.value(CRASHES, name)?).ok();
        let reports = unstored.filter_map(|(name, _)| Some((name.clone(), read(&name)?)));
        reports.filter(|(_, report): &(_, Report)| report.is_stored()).collect()
    }

    /// Expired reports in the store, with their versions; empty unless this box watches the store.
    pub fn expired_crashes(&self) -> Vec<(Arc<str>, u64)> {
        let state = self.0.state.lock();
        let is_expired = |name: &str| !self.0.consumers.crashes.contains(name);
        let mut names = match state.loaded.is_complete() {
            true => state.change_log.names(CRASHES),
            false => Vec::new(),
        };
        names.retain(|(name, version)| *version != NOT_STORED && is_expired(name));
        names
    }
}
