//! The queue before one pool on one box.

use std::{collections::HashMap, sync::Arc};

use resource::Class;

/// What a pool can take, as a box estimates it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Requests at its endpoints now, over all boxes.
    pub load: f64,
    /// Requests that its endpoints batch.
    pub slots: f64,
}

/// A request at the gate.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique number.
    pub id: u64,
    /// Kind of work.
    pub class: Class,
    /// Who asks.
    pub customer: Arc<str>,
    /// Share against other customers.
    pub weight: u32,
    /// When its caller stops waiting.
    pub deadline: u64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Dispatch it.
    Run,
    /// It waits for its turn.
    Wait,
    /// It cannot start in time: come back after this many milliseconds.
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
    /// Milliseconds between two starts lately, by class.
    pace: HashMap<Class, f64>,
    started: HashMap<Class, u64>,
}

/// Share of the slots up to which a class may start new work.
fn share(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.5,
        Class::Streaming => 1.1,
        Class::Long => 0.7,
    }
}

impl Queue {
    /// Whether a class may start now.
    fn is_open(class: Class, capacity: Capacity) -> bool {
        capacity.load < (capacity.slots * share(class)).max(1.0)
    }

    /// A request comes.
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

    /// The next request to dispatch, the most urgent class first and customers by turn.
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

    /// A waiting request left or ran out of time.
    pub fn remove(&mut self, id: u64) {
        self.waiting.retain(|waiting| waiting.request.id != id);
        if self.waiting.is_empty() {
            self.turns.clear();
            self.clock = 0.0;
        }
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn start(&mut self, request: &Request, now: u64) {
        let before = self.started.insert(request.class, now);
        let queued = self.waiting.iter().any(|w| w.request.class == request.class);
        // Only starts that had to wait tell how fast the queue moves.
        if let (Some(before), true) = (before, queued) {
            let gap = now.saturating_sub(before) as f64;
            let pace = self.pace.entry(request.class).or_insert(gap);
            *pace += (gap - *pace) * 0.2;
        }
    }
}
