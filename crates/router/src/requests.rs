//! Requests by key: a retry joins the running request or gets its stored answer.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

use crate::{
    answer::Answer,
    outcome::{Refusal, Unknown},
    transcript::Transcript,
};

/// Progress of a request, as its callers see it.
#[derive(Debug, Clone)]
pub enum Progress {
    /// No byte of the answer yet.
    Waiting,
    /// The answer is being streamed, or was.
    Streaming(Arc<Transcript>),
    /// The complete answer, not streamed.
    Answered(Arc<Answer>),
    /// It did not run.
    Refused(Refusal),
    /// It may have run, but there is no complete answer.
    Unknown(Unknown),
}

impl Progress {
    fn is_complete(&self) -> bool {
        match self {
            Progress::Streaming(transcript) => transcript.is_complete(),
            Progress::Answered(_) => true,
            Progress::Waiting | Progress::Refused(_) | Progress::Unknown(_) => false,
        }
    }

    fn bytes(&self) -> usize {
        match self {
            Progress::Streaming(transcript) => transcript.bytes(),
            Progress::Answered(answer) => answer.body.len(),
            Progress::Waiting | Progress::Refused(_) | Progress::Unknown(_) => 0,
        }
    }
}

type Id = (Arc<str>, Arc<str>);

struct Entry {
    fingerprint: u64,
    progress: watch::Sender<Progress>,
    interest: Arc<()>,
}

#[derive(Default)]
struct State {
    entries: HashMap<Id, Entry>,
    ended: VecDeque<(Instant, Id, usize)>,
    stored_bytes: usize,
}

/// All requests of this box that are in flight or were answered recently.
pub struct Requests {
    state: Mutex<State>,
    max_bytes: usize,
    max_age: Duration,
}

/// What a caller finds under its key.
pub enum Registration {
    /// Nothing: the caller has to run the request with the driver.
    New(Driver, Follower),
    /// The same request; its progress can be followed.
    Joined(Follower),
    /// Another request under the same key.
    Mismatch,
}

/// A caller that waits for the answer; while one exists, the request is wanted.
pub struct Follower {
    /// Current progress of the request.
    pub progress: watch::Receiver<Progress>,
    _interest: Arc<()>,
}

/// Publishes the progress of a request while it runs. Dropped before the end, it ends the request
/// as unknown.
pub struct Driver {
    requests: Arc<Requests>,
    id: Id,
    interest: std::sync::Weak<()>,
    done: bool,
}

impl Requests {
    /// Stores up to `max_bytes` of answers for up to `max_age`.
    pub fn new(max_bytes: usize, max_age: Duration) -> Requests {
        Requests { state: Mutex::default(), max_bytes, max_age }
    }

    /// Registers a request, or joins the one that has the same customer and key.
    pub fn register(
        self: &Arc<Self>,
        customer: &Arc<str>,
        key: &Arc<str>,
        fingerprint: u64,
    ) -> Registration {
        let id = (customer.clone(), key.clone());
        let mut state = self.state.lock();
        if let Some(entry) = state.entries.get(&id) {
            return match entry.fingerprint == fingerprint {
                true => Registration::Joined(entry.follower()),
                false => Registration::Mismatch,
            };
        }
        let interest = Arc::new(());
        let entry = Entry {
            fingerprint,
            progress: watch::channel(Progress::Waiting).0,
            interest: interest.clone(),
        };
        let follower = entry.follower();
        let weak = Arc::downgrade(&interest);
        state.entries.insert(id.clone(), entry);
        drop(state);
        let driver = Driver { requests: self.clone(), id, interest: weak, done: false };
        Registration::New(driver, follower)
    }

    /// Number of requests that have not ended.
    pub fn in_flight(&self) -> usize {
        let state = self.state.lock();
        state.entries.len() - state.ended.len()
    }

    fn end(&self, id: &Id, progress: Progress) {
        let mut state = self.state.lock();
        let complete = progress.is_complete();
        let bytes = progress.bytes();
        let Some(entry) = state.entries.get(id) else { return };
        entry.progress.send_replace(progress);
        match complete {
            true => {
                state.stored_bytes += bytes;
                state.ended.push_back((Instant::now(), id.clone(), bytes));
            }
            // Without a complete answer a retry starts over: it may find a claim, a run to attach
            // to, or an answer that arrived late.
            false => drop(state.entries.remove(id)),
        }
        while let Some((at, _, _)) = state.ended.front() {
            if state.stored_bytes <= self.max_bytes && at.elapsed() < self.max_age {
                break;
            }
            if let Some((_, oldest, bytes)) = state.ended.pop_front() {
                state.stored_bytes -= bytes;
                state.entries.remove(&oldest);
            }
        }
    }
}

impl Entry {
    fn follower(&self) -> Follower {
        Follower { progress: self.progress.subscribe(), _interest: self.interest.clone() }
    }
}

impl Driver {
    /// Publishes that the answer is being streamed.
    pub fn streaming(&self, transcript: Arc<Transcript>) {
        let state = self.requests.state.lock();
        if let Some(entry) = state.entries.get(&self.id) {
            entry.progress.send_replace(Progress::Streaming(transcript));
        }
    }

    /// Whether any caller still follows.
    pub fn is_wanted(&self) -> bool {
        // The entry itself holds one reference.
        self.interest.strong_count() > 1
    }

    /// Ends the request with its final progress.
    pub fn end(mut self, progress: Progress) {
        self.done = true;
        self.requests.end(&self.id, progress);
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if !self.done {
            self.requests.end(&self.id, Progress::Unknown(Unknown::Incomplete));
        }
    }
}
