//! The events of one process: stamped, rendered by `tracing`, the newest kept in a ring.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;

use crate::{Clock, Event, Timestamp, EventKind};

/// Events kept in memory.
const RING: usize = 4_096;

struct State {
    clock: Clock,
    seq: u64,
    by: Arc<str>,
    ring: VecDeque<Event>,
}

/// Handle on the event log of one process.
#[derive(Clone)]
pub struct Log(Arc<Mutex<State>>);

impl std::fmt::Debug for Log {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Log")
    }
}

impl Log {
    /// Opens a log for the incarnation `by`.
    pub fn open(by: impl Into<Arc<str>>) -> Log {
        let state = State { clock: Clock::default(), seq: 0, by: by.into(), ring: VecDeque::new() };
        Log(Arc::new(Mutex::new(state)))
    }

    /// Goes on under another incarnation's name.
    pub fn rename(&self, by: impl Into<Arc<str>>) {
        self.0.lock().by = by.into();
    }

    /// Adds an event of the process itself.
    pub fn add(&self, what: EventKind) {
        self.push(what, None, None);
    }

    /// Adds an event of one request.
    pub fn request(&self, request: &Arc<str>, budget: &Arc<str>, what: EventKind) {
        self.push(what, Some(request.clone()), Some(budget.clone()));
    }

    /// Adds an event of one budget.
    pub fn budget(&self, budget: &Arc<str>, what: EventKind) {
        self.push(what, None, Some(budget.clone()));
    }

    fn push(&self, what: EventKind, request: Option<Arc<str>>, budget: Option<Arc<str>>) {
        let mut state = self.0.lock();
        let at = state.clock.tick(wall_ms());
        state.seq += 1;
        let event = Event { at, by: state.by.clone(), seq: state.seq, what, request, budget };
        if tracing::enabled!(target: "timeline", tracing::Level::INFO) {
            let line = serde_json::to_string(&event).expect("events always serialize");
            tracing::info!(target: "timeline", event = %line);
        }
        if state.ring.len() == RING {
            state.ring.pop_front();
        }
        state.ring.push_back(event);
    }

    /// The stamp to send along with a message.
    pub fn stamp(&self) -> Timestamp {
        self.0.lock().clock.tick(wall_ms())
    }

    /// Takes over the stamp of a message that came in.
    pub fn observe(&self, seen: Timestamp) {
        self.0.lock().clock.observe(seen, wall_ms());
    }

    /// The newest events, oldest first.
    pub fn events(&self) -> Vec<Event> {
        self.0.lock().ring.iter().cloned().collect()
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
