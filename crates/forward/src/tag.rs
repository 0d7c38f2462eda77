//! Which requests a connection has carried, as far as a response to one of them may still be taken for another's.
//!
//! An endpoint in trouble may respond to a request twice, and the second response comes where the next one is expected. The
//! id in it tells requests apart, but not two tries of one request: a caller may come back with the same id.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use tokio::time::Instant;

/// What tells a request apart from others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tag {
    /// Id that its response repeats; `None` if it has none, so that nothing tells its response apart.
    pub id: Option<Arc<str>>,
    /// When its caller has given up, and does not come back with this id any more.
    pub until: Instant,
}

/// Requests that a connection has carried.
#[derive(Debug, Default)]
pub struct Carried {
    /// Hash of each id, and until when its caller may come back.
    recent: Vec<(u64, Instant)>,
    count: u64,
}

impl Carried {
    /// Number of requests so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a response to an earlier request could be taken for the response to this one.
    pub fn may_confuse(&self, tag: &Tag) -> bool {
        match &tag.id {
            Some(id) => self.recent.iter().any(|(hash, _)| *hash == hash_of(id)),
            None => self.count > 0,
        }
    }

    /// Adds a request.
    pub fn add(&mut self, tag: &Tag, now: Instant) {
        self.count += 1;
        self.recent.retain(|(_, until)| *until > now);
        let id = tag.id.iter().map(|id| (hash_of(id), tag.until));
        self.recent.extend(id);
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
