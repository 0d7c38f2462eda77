//! The records of services' software versions, from the store or from another box.

use objects::{Change, Object};

use super::View;
use crate::sole_versions::record::VERSIONS;

impl View {
    /// Takes over all records as read from the store.
    pub fn load_versions(&self, objects: &[Object]) {
        objects.iter().for_each(|object| self.update_versions(object));
        self.0.consumers.sole_versions.set_listed(true);
    }

    /// Takes over records that were written.
    pub fn change_versions(&self, changes: Vec<Change>) {
        for Change { kind, name, version, value } in changes {
            match value {
                Some(value) => self.update_versions(&Object { kind, name, version, value }),
                None => self.0.consumers.sole_versions.forget(&name),
            }
        }
    }

    /// Takes over a record, and passes it on if it is new.
    pub fn update_versions(&self, object: &Object) {
        if !self.0.consumers.sole_versions.learn(object) {
            return;
        }
        let Object { name, version, value, .. } = object;
        self.0.state.lock().change_log.put(VERSIONS, name, *version, Some(value));
        self.notify();
    }
}
