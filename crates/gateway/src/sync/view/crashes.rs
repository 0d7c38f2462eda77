//! Which requests endpoints ended with: from the store, or told by a box.

use std::sync::Arc;

use objects::{Change, Object};
use quarantine::{CRASHES, Report};

use super::{State, View, note_unreadable};

/// Version of a report that a box told and the store has not taken yet.
const NOT_STORED: u64 = 0;

impl View {
    /// Reports of requests that endpoints ended with, as they were read from the store.
    pub fn crashes_read(&self, objects: &[Object]) {
        let mut state = self.0.state.lock();
        state.watches.crashes = true;
        for Object { name, version, value, .. } in objects {
            self.take_crash(&mut state, name, *version, Some(value));
        }
        drop(state);
        self.tell();
    }

    /// Reports came to the store, or went.
    pub fn crashes_changed(&self, changes: &[Change]) {
        let mut state = self.0.state.lock();
        for Change { name, version, value, .. } in changes {
            self.take_crash(&mut state, name, *version, value.as_deref());
        }
        drop(state);
        self.tell();
    }

    /// Takes over a report that a box tells, this one or another.
    pub fn receive_crash(&self, name: &Arc<str>, report: Report) {
        let text = serde_json::to_string(&report).expect("reports always serialize");
        self.0.uses.crashes.receive_report(name, None, report);
        self.0.state.lock().change_log.put(CRASHES, name, NOT_STORED, Some(&text));
        self.tell();
    }

    /// A report as it stands in the store, or that it went.
    pub(super) fn take_crash(
        &self,
        state: &mut State,
        name: &Arc<str>,
        version: u64,
        text: Option<&str>,
    ) {
        let crashes = &self.0.uses.crashes;
        match text.map(serde_json::from_str::<Report>) {
            Some(Ok(report)) => {
                crashes.receive_report(name, (version != NOT_STORED).then_some(version), report);
                state.change_log.put(CRASHES, name, version, text);
            }
            Some(Err(error)) => note_unreadable(CRASHES, name, &error),
            None => {
                crashes.forget(name);
                state.change_log.put(CRASHES, name, version, None);
            }
        }
    }

    /// Reports in the store that are too old to count, with their versions, while this box looks at it.
    pub fn old_crashes(&self) -> Vec<(Arc<str>, u64)> {
        let state = self.0.state.lock();
        let is_old = |name: &str| !self.0.uses.crashes.contains(name);
        let mut names = match state.watches.is_whole() {
            true => state.change_log.names(CRASHES),
            false => Vec::new(),
        };
        names.retain(|(name, version)| *version != NOT_STORED && is_old(name));
        names
    }
}
