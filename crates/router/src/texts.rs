//! Texts of accepted objects, kept for boxes that are cut off from the platform.

use std::{collections::BTreeMap, sync::Arc};

use config::Accepted;
use resource::Kind;

/// Accepted objects as they came, for peers that are cut off from the platform.
#[derive(Debug, Default)]
pub struct Texts(BTreeMap<(Kind, Arc<str>), (u64, Arc<str>)>);

impl Texts {
    /// Keeps the text of an accepted object, if it is newer.
    pub fn keep(&mut self, accepted: &Accepted, text: &str) {
        let id = (accepted.kind, accepted.name.clone());
        let older = self.0.get(&id).is_none_or(|(source, _)| *source < accepted.source);
        if older {
            self.0.insert(id, (accepted.source, text.into()));
        }
    }

    /// All of them.
    pub fn texts(&self) -> Vec<Arc<str>> {
        self.0.values().map(|(_, text)| text.clone()).collect()
    }
}
