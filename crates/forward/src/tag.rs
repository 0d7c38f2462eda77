//! Which requests a connection has carried, as far as a response to one of them may still be taken for another's.
//!
//! An endpoint in trouble may respond to a request twice, and the second response comes where the next one is expected. The
//! id in it tells requests apart, but not two tries of one request: a caller may come back with the same id. So no
//! connection carries an id twice while its caller may come back, and a response with the id of the request that was just
//! sent is the response to it.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use tokio::time::Instant;

/// Maximum number of ids that are remembered for a connection; then it is not reused. Several times what one carries while
/// callers wait.
const MAX_REMEMBERED: usize = 2_048;

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
    pub fn may_confuse(&self, tag: &Tag, now: Instant) -> bool {
        match &tag.id {
            Some(id) => {
                let hash = hash_of(id);
                self.recent.iter().any(|(other, until)| *other == hash && *until > now)
            }
            None => self.count > 0,
        }
    }

    /// Whether no further id can be remembered.
    pub fn is_full(&self) -> bool {
        self.recent.len() >= MAX_REMEMBERED
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
