//! The other boxes, from the store or from another box.

use std::{collections::BTreeMap, sync::Arc};

use ledger::Incarnation;
use platform::version;
use wire::Greeting;

use super::{State, View, log_unreadable};
use crate::fleet::entry::{BOXES, Entry};

impl View {
    /// Takes over all entries of boxes, as read at a store version that may be out of date.
    pub fn load_boxes(&self, entries: Vec<(Entry, u64)>, at: u64) {
        let mut state = self.0.state.lock();
        let is_from_copy = version::era(state.boxes_at) < version::era(at);
        let named = |(entry, version): (Entry, u64)| {
            (Arc::from(entry.incarnation.box_name()), (entry, version))
        };
        let mut listed: BTreeMap<Arc<str>, (Entry, u64)> = entries.into_iter().map(named).collect();
        for (name, known) in std::mem::take(&mut state.boxes) {
            let newer = listed.get(&name).is_none_or(|(_, version)| known.1 > *version);
            // An entry newer than the list is not removed by it. One that the first list from a copy of the
            // store lacks is written again.
            if newer && (known.1 > at || is_from_copy) {
                listed.insert(name, known);
            }
        }
        state.boxes = listed;
        self.publish_boxes(&mut state, at);
    }

    /// Takes over the entries of some boxes; tells nothing of others.
    pub fn add_boxes(&self, entries: Vec<(Entry, u64)>) {
        let mut state = self.0.state.lock();
        for (entry, version) in entries {
            let name: Arc<str> = entry.incarnation.box_name().into();
            if state.boxes.get(&name).is_none_or(|(_, known)| *known < version) {
                state.boxes.insert(name, (entry, version));
            }
        }
        let at = state.boxes_at;
        self.publish_boxes(&mut state, at);
    }

    /// Takes over the address of a box that registered after this one, which this one may not have
    /// read: it may be cut off from the store since.
    pub fn receive_greeting(&self, from: &Incarnation, sender: Greeting) {
        let Greeting { zone, peer, capacity, version } = sender;
        let entry = Entry { incarnation: from.clone(), zone, peer, capacity };
        self.add_boxes(vec![(entry, version)]);
    }

    /// Version of the entry of a box, if it is known.
    pub fn box_version(&self, name: &str) -> Option<u64> {
        self.0.state.lock().boxes.get(name).map(|(_, version)| *version)
    }

    pub(super) fn publish_boxes(&self, state: &mut State, at: u64) {
        state.boxes_at = state.boxes_at.max(at);
        state.add_box_changes();
        let entries = state.boxes.values().cloned().collect();
        self.0.consumers.peers.update(entries, at);
        self.0.consumers.endpoints.set_fleet(self.0.consumers.peers.fleet());
        self.notify();
    }
}

impl State {
    fn add_box_changes(&mut self) {
        for (name, version) in self.change_log.names(BOXES) {
            if !self.boxes.contains_key(&name) {
                self.change_log.put(BOXES, &name, version, None);
            }
        }
        for (name, (entry, version)) in &self.boxes {
            if self.change_log.version(BOXES, name) == Some(*version) {
                continue;
            }
            let text = serde_json::to_string(entry).expect("entries always serialize");
            self.change_log.put(BOXES, name, *version, Some(&text));
        }
    }

    pub(super) fn apply_boxes(&mut self, changes: Vec<wire::Change>, is_snapshot: bool, at: u64) {
        let before = std::mem::take(&mut self.boxes);
        if !is_snapshot {
            self.boxes = before;
        } else {
            self.boxes = before.into_iter().filter(|(_, (_, version))| *version > at).collect();
        }
        for change in changes {
            let version = self.boxes.get(&change.name).map_or(0, |(_, version)| *version);
            match change.value.as_deref().and_then(|text| read_box(&change.name, text)) {
                _ if version > change.version => {}
                Some(entry) => drop(self.boxes.insert(change.name, (entry, change.version))),
                None => drop(self.boxes.remove(&change.name)),
            }
        }
    }
}

/// Parses the entry of a box.
pub fn read_box(name: &str, text: &str) -> Option<Entry> {
    serde_json::from_str(text).inspect_err(|error| log_unreadable(BOXES, name, error)).ok()
}
