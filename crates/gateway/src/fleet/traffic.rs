//! What questions to other boxes and their answers took, by topic.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use wire::Size;

/// A topic, and whether the other box is in the own availability zone.
pub type Flow = (&'static str, bool);

/// Counters of a box's questions and their answers. Whoever answers counts nothing, so that the sum over all
/// boxes counts each byte once.
#[derive(Debug, Clone, Default)]
pub struct Traffic(Arc<Mutex<BTreeMap<Flow, Size>>>);

impl Traffic {
    /// A question was answered.
    pub fn add(&self, topic: &'static str, is_near: bool, size: Size) {
        let mut flows = self.0.lock();
        let flow = flows.entry((topic, is_near)).or_default();
        flow.sent += size.sent;
        flow.received += size.received;
    }

    /// What was counted so far.
    pub fn snapshot(&self) -> BTreeMap<Flow, Size> {
        self.0.lock().clone()
    }
}
