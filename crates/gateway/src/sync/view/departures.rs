//! Endpoints that signaled that they leave. Boxes publish this to each other; it is not in the
//! store.

use std::{net::SocketAddr, sync::Arc};

use super::{State, View, log_unreadable};

/// Kind of these updates.
pub const DEPARTURES: &str = "departures";
/// Version of objects that are not in the store.
const NOT_STORED: u64 = 0;

impl View {
    /// Takes over that an endpoint signaled a moment ago, to this box or another one, that it
    /// leaves.
    pub fn receive_departure(&self, instance: &Arc<str>, address: SocketAddr) {
        let text = serde_json::to_string(&address).expect("addresses always serialize");
        self.apply_departure(&mut self.0.state.lock(), instance, &text, true);
        self.notify();
    }

    /// Takes over an update from a watcher: a new one, or one from a full snapshot, which may be
    /// old.
    pub(super) fn apply_departure(
        &self,
        state: &mut State,
        instance: &Arc<str>,
        text: &str,
        is_new: bool,
    ) {
        match serde_json::from_str::<SocketAddr>(text) {
            Ok(address) => {
                self.0.consumers.endpoints.receive_departure(instance, address, is_new);
                state.change_log.put(DEPARTURES, instance, NOT_STORED, Some(text));
            }
            Err(error) => log_unreadable(DEPARTURES, instance, &error),
        }
    }
}

impl State {
    /// Removes forgotten departures from the change log.
    pub(super) fn drop_departures(&mut self, is_remembered: impl Fn(&str) -> bool) {
        for (instance, _) in self.change_log.names(DEPARTURES) {
            if !is_remembered(&instance) {
                self.change_log.put(DEPARTURES, &instance, NOT_STORED, None);
            }
        }
    }
}
