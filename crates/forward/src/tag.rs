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

use parking_lot::Mutex;
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

/// Requests that a connection has carried. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Carried(Arc<Mutex<Requests>>);

#[derive(Debug, Default)]
struct Requests {
    /// Hash of each id, and until when its caller may come back.
    recent: Vec<(u64, Instant)>,
    /// Hash of the id of the last one.
    last: Option<u64>,
    count: u64,
}

impl Carried {
    /// Number of requests so far.
    pub fn count(&self) -> u64 {
        self.0.lock().count
    }

    /// Whether a response to an earlier request could be taken for the response to this one.
    pub fn may_confuse(&self, tag: &Tag, now: Instant) -> bool {
        match &tag.id {
            Some(id) => {
                let hash = hash_of(id);
                let requests = self.0.lock();
                requests.recent.iter().any(|(other, until)| *other == hash && *until > now)
            }
            None => self.count() > 0,
        }
    }

    /// Whether this is the id of the last request.
    pub fn is_last(&self, id: &[u8]) -> bool {
        std::str::from_utf8(id).is_ok_and(|id| self.0.lock().last == Some(hash_of(id)))
    }

    /// Whether this is the id of a request before the last one.
    pub fn is_earlier(&self, id: &[u8]) -> bool {
        let Ok(id) = std::str::from_utf8(id) else { return false };
        let (hash, requests) = (hash_of(id), self.0.lock());
        requests.last != Some(hash) && requests.recent.iter().any(|(other, _)| *other == hash)
    }

    /// Whether no further id can be remembered.
    pub fn is_full(&self) -> bool {
        self.0.lock().recent.len() >= MAX_REMEMBERED
    }

    /// Adds a request.
    pub fn add(&self, tag: &Tag, now: Instant) {
        let mut requests = self.0.lock();
        requests.count += 1;
        requests.recent.retain(|(_, until)| *until > now);
        requests.last = tag.id.as_deref().map(hash_of);
        let last = requests.last.map(|hash| (hash, tag.until));
        requests.recent.extend(last);
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
