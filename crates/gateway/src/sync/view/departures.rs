//! Endpoints that signaled that they leave. Boxes publish this to each other; it is not in the
//! store.

use std::{net::SocketAddr, sync::Arc};

use super::{State, View, note_unreadable};

/// Kind of these updates.
pub const DEPARTURES: &str = "departures";
/// Version of objects that are not in the store.
const NOT_STORED: u64 = 0;

impl View {
    /// Takes over that an endpoint signaled a moment ago, to this box or another one, that it
    /// leaves.
    pub fn receive_departure(&self, life: &Arc<str>, address: SocketAddr) {
        let text = serde_json::to_string(&address).expect("addresses always serialize");
        self.take_departure(&mut self.0.state.lock(), life, &text, true);
        self.tell();
    }

    /// Takes over an update from a watcher: a new one, or one from a full snapshot, which may be
    /// old.
    pub(super) fn take_departure(
        &self,
        state: &mut State,
        life: &Arc<str>,
        text: &str,
        is_new: bool,
    ) {
        match serde_json::from_str::<SocketAddr>(text) {
            Ok(address) => {
                self.0.uses.endpoints.receive_departure(life, address, is_new);
                state.change_log.put(DEPARTURES, life, NOT_STORED, Some(text));
            }
            Err(error) => note_unreadable(DEPARTURES, life, &error),
        }
    }
}

impl State {
    /// Removes forgotten departures from the change log.
    pub(super) fn unshelve_departures(&mut self, is_remembered: impl Fn(&str) -> bool) {
        for (life, _) in self.change_log.names(DEPARTURES) {
            if !is_remembered(&life) {
                self.change_log.put(DEPARTURES, &life, NOT_STORED, None);
            }
        }
    }
}
