//! Which endpoints said in their answers that they leave, as boxes tell each other. Nothing of it is in the store.

use std::{net::SocketAddr, sync::Arc};

use super::{State, View, note_unreadable};

/// Kind of the news by which boxes tell each other.
pub const DEPARTURES: &str = "departures";
/// Version of what is not in the store.
const NOT_STORED: u64 = 0;

impl View {
    /// An endpoint said so to this box or to another one, a moment ago.
    pub fn receive_departure(&self, life: &Arc<str>, address: SocketAddr) {
        let text = serde_json::to_string(&address).expect("addresses always serialize");
        self.take_departure(&mut self.0.state.lock(), life, &text, true);
        self.tell();
    }

    /// What the shelf of a home holds: new, or all that it knows.
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
    /// What was forgotten is told no more.
    pub(super) fn unshelve_departures(&mut self, is_remembered: impl Fn(&str) -> bool) {
        for (life, _) in self.change_log.names(DEPARTURES) {
            if !is_remembered(&life) {
                self.change_log.put(DEPARTURES, &life, NOT_STORED, None);
            }
        }
    }
}
