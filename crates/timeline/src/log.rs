//! Event log of one process: writes events through `tracing` and keeps the newest in memory.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;

use crate::{Clock, Event, EventKind, Timestamp};

/// Number of events kept in memory.
const MAX_EVENTS_KEPT: usize = 4_096;

struct State {
    clock: Clock,
    seq: u64,
    incarnation: Arc<str>,
    recent: VecDeque<Event>,
}

/// Handle to the event log of one process.
#[derive(Clone)]
pub struct Log(Arc<Mutex<State>>);

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Log")
    }
}

impl Log {
    /// Opens a log that records events under `incarnation`.
    pub fn open(incarnation: impl Into<Arc<str>>) -> Log {
        let state = State {
            clock: Clock::default(),
            seq: 0,
            incarnation: incarnation.into(),
            recent: VecDeque::new(),
        };
        Log(Arc::new(Mutex::new(state)))
    }

    /// Sets the incarnation that later events are recorded under.
    pub fn set_incarnation(&self, incarnation: impl Into<Arc<str>>) {
        self.0.lock().incarnation = incarnation.into();
    }

    /// Adds an event that belongs to no request or budget.
    pub fn add(&self, what: EventKind) {
        self.push(what, None, None);
    }

    /// Adds an event of one request.
    pub fn add_for_request(&self, request: &Arc<str>, budget: &Arc<str>, what: EventKind) {
        self.push(what, Some(request.clone()), Some(budget.clone()));
    }

    /// Adds an event of one budget.
    pub fn add_for_budget(&self, budget: &Arc<str>, what: EventKind) {
        self.push(what, None, Some(budget.clone()));
    }

    fn push(&self, what: EventKind, request: Option<Arc<str>>, budget: Option<Arc<str>>) {
        let mut state = self.0.lock();
        let at = state.clock.tick(wall_ms());
        state.seq += 1;
        let event =
            Event { at, by: state.incarnation.clone(), seq: state.seq, what, request, budget };
        if tracing::enabled!(target: "timeline", tracing::Level::INFO) {
            let line = serde_json::to_string(&event).expect("events always serialize");
            tracing::info!(target: "timeline", event = %line);
        }
        if state.recent.len() == MAX_EVENTS_KEPT {
            state.recent.pop_front();
        }
        state.recent.push_back(event);
    }

    /// Returns a new timestamp, to be sent with a message.
    pub fn stamp(&self) -> Timestamp {
        self.0.lock().clock.tick(wall_ms())
    }

    /// Advances the clock past the timestamp of a received message.
    pub fn observe(&self, received: Timestamp) {
        self.0.lock().clock.observe(received, wall_ms());
    }

    /// The events kept in memory, oldest first.
    pub fn events(&self) -> Vec<Event> {
        self.0.lock().recent.iter().cloned().collect()
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
