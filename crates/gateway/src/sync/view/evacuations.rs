//! The evacuated availability zones, from the store or from another box.

use objects::{Change, Object};

use super::{State, View};
use crate::sync::evacuations::Zones;

impl View {
    /// Takes over the evacuated zones as read from the store at a version.
    pub fn load_evacuations(&self, objects: &[Object], at: u64) {
        let zones = objects.iter().map(|object| object.name.clone()).collect();
        let mut state = self.0.state.lock();
        state.loaded.evacuations = true;
        if state.evacuations.replace(zones, at) {
            self.publish_evacuations(&mut state);
        }
        self.notify();
    }

    /// Takes over evacuations that the operator started or ended.
    pub fn update_evacuations(&self, changes: &[Change]) {
        let mut state = self.0.state.lock();
        if state.evacuations.change(changes) {
            self.publish_evacuations(&mut state);
            self.notify();
        }
    }

    /// Takes over the zones that another box knows, with their store version.
    pub(super) fn apply_evacuations(&self, state: &mut State, change: wire::Change) {
        match change.value.as_deref().map(serde_json::from_str::<Zones>) {
            Some(Ok(zones)) => {
                if state.evacuations.replace(zones, change.version) {
                    self.publish_evacuations(state);
                }
            }
            Some(Err(error)) => {
                tracing::error!(event = "news_unreadable", kind = &*change.kind, %error)
            }
            None => tracing::warn!(event = "news_not_understood", kind = &*change.kind),
        }
    }

    /// Puts the evacuated zones in force.
    fn publish_evacuations(&self, state: &mut State) {
        let (zones, version) = (state.evacuations.zones(), state.evacuations.at());
        let changed = self.0.consumers.endpoints.evacuate(zones);
        let text = serde_json::to_string(zones).expect("names always serialize");
        if changed {
            tracing::info!(event = "evacuations_in_force", zones = text, version);
        }
        // All zones share one name, because they are published together.
        state.change_log.put(platform::EVACUATIONS, "all", version, Some(&text));
    }
}
