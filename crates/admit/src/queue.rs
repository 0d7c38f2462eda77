//! Queue of one pool on one box.

use std::{collections::HashMap, sync::Arc};

use resource::Class;

/// Load and capacity of a pool, as estimated by a box.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests in flight at its endpoints, from all boxes.
    pub load: f64,
    /// Requests that its endpoints can run in their batches.
    pub slots: f64,
}

/// A request to be scheduled.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique number.
    pub id: u64,
    pub class: Class,
    pub customer: Arc<str>,
    /// Weight of the customer in fair queueing.
    pub weight: u32,
    /// When the caller stops waiting.
    pub deadline: u64,
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Dispatch the request.
    Run,
    /// The request is queued.
    Wait,
    /// The request would not start in time; the caller may retry after this many milliseconds.
    Refuse { after: u64 },
}

struct Waiting {
    request: Request,
    turn: f64,
}

/// Queue of one pool.
#[derive(Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
    turns: HashMap<Arc<str>, f64>,
    clock: f64,
    /// Moving average of the milliseconds between two starts, by class.
    pace: HashMap<Class, f64>,
    started: HashMap<Class, u64>,
}

/// Load, as a share of the slots, below which a class may start new requests.
fn share(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.5,
        Class::Streaming => 1.1,
        Class::Long => 0.7,
    }
}

impl Queue {
    /// Whether a class may start a request now.
    fn is_open(class: Class, capacity: Capacity) -> bool {
        capacity.load < (capacity.slots * share(class)).max(1.0)
    }

    /// Runs, queues or refuses a new request.
    pub fn offer(&mut self, request: Request, capacity: Capacity, now: u64) -> Verdict {
        let ahead = self.waiting.iter().filter(|w| w.request.class == request.class).count();
        if ahead == 0 && Queue::is_open(request.class, capacity) {
            self.start(&request, now);
            return Verdict::Run;
        }
        let pace = self.pace.get(&request.class).copied().unwrap_or(0.0);
        let expected = (pace * (ahead + 1) as f64) as u64;
        if now + expected >= request.deadline {
            return Verdict::Refuse { after: expected.max(1) };
        }
        let last = self.turns.get(&request.customer).copied().unwrap_or(0.0);
        let turn = last.max(self.clock) + 1.0 / f64::from(request.weight.max(1));
        self.turns.insert(request.customer.clone(), turn);
        self.waiting.push(Waiting { request, turn });
        Verdict::Wait
    }

    /// Takes the next request to dispatch: the most urgent class first, then by fair queueing among customers.
    pub fn next(&mut self, capacity: Capacity, now: u64) -> Option<u64> {
        let open = |waiting: &&Waiting| Queue::is_open(waiting.request.class, capacity);
        let key = |waiting: &Waiting| (waiting.request.class, waiting.turn);
        let best = self
            .waiting
            .iter()
            .filter(open)
            .min_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal));
        let id = best?.request.id;
        let at = self.waiting.iter().position(|waiting| waiting.request.id == id)?;
        let taken = self.waiting.remove(at);
        self.clock = self.clock.max(taken.turn);
        self.start(&taken.request, now);
        Some(id)
    }

    /// Removes a queued request that was cancelled or whose deadline passed.
    pub fn remove(&mut self, id: u64) {
        self.waiting.retain(|waiting| waiting.request.id != id);
        if self.waiting.is_empty() {
            self.turns.clear();
            self.clock = 0.0;
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn start(&mut self, request: &Request, now: u64) {
        let before = self.started.insert(request.class, now);
        let queued = self.waiting.iter().any(|w| w.request.class == request.class);
        // Only starts while requests are queued measure the speed of the queue.
        if let (Some(before), true) = (before, queued) {
            let gap = now.saturating_sub(before) as f64;
            let pace = self.pace.entry(request.class).or_insert(gap);
            *pace += (gap - *pace) * 0.2;
        }
    }
}
