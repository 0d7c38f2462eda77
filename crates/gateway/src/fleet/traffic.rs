//! Bytes of requests to other boxes and of the answers, by topic.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use wire::Size;

/// Topic, and whether the other box is in the same availability zone.
pub type Flow = (&'static str, bool);

/// Counters of a box's requests to others and their answers. Only the sender counts, so that the
/// sum over all boxes counts each byte once.
#[derive(Debug, Clone, Default)]
pub struct Traffic(Arc<Mutex<BTreeMap<Flow, Size>>>);

impl Traffic {
    /// Counts an answered request.
    pub fn add(&self, topic: &'static str, is_same_zone: bool, size: Size) {
        let mut flows = self.0.lock();
        let flow = flows.entry((topic, is_same_zone)).or_default();
        flow.sent += size.sent;
        flow.received += size.received;
    }

    pub fn snapshot(&self) -> BTreeMap<Flow, Size> {
        self.0.lock().clone()
    }
}
