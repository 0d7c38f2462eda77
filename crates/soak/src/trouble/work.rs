//! What endpoints in trouble work on, and when.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::Instant;

/// The work of one endpoint on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Id of the request.
    pub id: String,
    /// Name of the endpoint's instance.
    pub endpoint: Arc<str>,
    pub is_engine: bool,
    pub from: Instant,
    /// `None` while it lasts.
    pub until: Option<Instant>,
}

/// All work of the endpoints of a run, in the order in which it began.
#[derive(Debug, Clone, Default)]
pub struct Log(Arc<Mutex<Vec<Work>>>);

impl Log {
    /// Work begins; it lasts until the guard is dropped.
    pub fn begin(&self, id: &str, endpoint: &Arc<str>, is_engine: bool) -> Guard {
        let (id, endpoint, from) = (id.to_owned(), endpoint.clone(), Instant::now());
        let mut all = self.0.lock();
        all.push(Work { id, endpoint, is_engine, from, until: None });
        Guard { log: self.clone(), index: all.len() - 1 }
    }

    /// All work so far.
    pub fn all(&self) -> Vec<Work> {
        self.0.lock().clone()
    }
}

/// Work that lasts until this is dropped.
#[derive(Debug)]
pub struct Guard {
    log: Log,
    index: usize,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.log.0.lock()[self.index].until = Some(Instant::now());
    }
}
