//! Accepted objects as stored by the platform, to serve peers that cannot reach it.

use std::{collections::BTreeMap, sync::Arc};

use config::Accepted;
use resource::Kind;

/// Newest text of each accepted object, with its source version.
#[derive(Debug, Default)]
pub struct AcceptedObjects(BTreeMap<(Kind, Arc<str>), (u64, Arc<str>)>);

impl AcceptedObjects {
    /// Stores the text of an accepted object unless it has one as new.
    pub fn insert(&mut self, accepted: &Accepted, text: &str) {
        let id = (accepted.kind, accepted.name.clone());
        let older = self.0.get(&id).is_none_or(|(source, _)| *source < accepted.source);
        if older {
            self.0.insert(id, (accepted.source, text.into()));
        }
    }

    /// Texts of all objects.
    pub fn texts(&self) -> Vec<Arc<str>> {
        self.0.values().map(|(_, text)| text.clone()).collect()
    }
}
