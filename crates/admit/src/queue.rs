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
    /// Virtual finish time; within a class, the lowest is served first.
    finish_time: f64,
}

/// Queue of one pool.
#[derive(Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
    /// Virtual finish time of the last queued request, by customer.
    finish_times: HashMap<Arc<str>, f64>,
    /// Highest virtual finish time that was served.
    virtual_time: f64,
    /// Moving average of the milliseconds between two starts, by class.
    start_interval: HashMap<Class, f64>,
    last_start: HashMap<Class, u64>,
}

/// Load below which a class may start new requests, as a multiple of the slots.
fn max_load(class: Class) -> f64 {
    match class {
        Class::Interactive => 1.5,
        Class::Streaming => 1.1,
        Class::Long => 0.7,
    }
}

impl Queue {
    /// Whether a class may start a request now. An idle pool accepts any class, whatever its slots.
    fn may_start(class: Class, capacity: Capacity) -> bool {
        capacity.load < (capacity.slots * max_load(class)).max(1.0)
    }

    /// Runs, queues or refuses a new request.
    pub fn offer(&mut self, request: Request, capacity: Capacity, now: u64) -> Verdict {
        let ahead = self.waiting.iter().filter(|w| w.request.class == request.class).count();
        if ahead == 0 && Queue::may_start(request.class, capacity) {
            self.start(&request, now);
            return Verdict::Run;
        }
        let start_interval = self.start_interval.get(&request.class).copied().unwrap_or(0.0);
        let expected = (start_interval * (ahead + 1) as f64) as u64;
        if now + expected >= request.deadline {
            return Verdict::Refuse { after: expected.max(1) };
        }
        let last = self.finish_times.get(&request.customer).copied().unwrap_or(0.0);
        let finish_time = last.max(self.virtual_time) + 1.0 / f64::from(request.weight.max(1));
        self.finish_times.insert(request.customer.clone(), finish_time);
        self.waiting.push(Waiting { request, finish_time });
        Verdict::Wait
    }

    /// Takes the next request to dispatch: the most urgent class first, then by fair queueing among customers.
    pub fn next(&mut self, capacity: Capacity, now: u64) -> Option<u64> {
        let startable = |waiting: &&Waiting| Queue::may_start(waiting.request.class, capacity);
        let key = |waiting: &Waiting| (waiting.request.class, waiting.finish_time);
        let best = self
            .waiting
            .iter()
            .filter(startable)
            .min_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal));
        let id = best?.request.id;
        let position = self.waiting.iter().position(|waiting| waiting.request.id == id)?;
        let first = self.waiting.remove(position);
        self.virtual_time = self.virtual_time.max(first.finish_time);
        self.start(&first.request, now);
        Some(id)
    }

    /// Removes a queued request that was cancelled or whose deadline passed.
    pub fn remove(&mut self, id: u64) {
        self.waiting.retain(|waiting| waiting.request.id != id);
        if self.waiting.is_empty() {
            self.finish_times.clear();
            self.virtual_time = 0.0;
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
        let previous = self.last_start.insert(request.class, now);
        let queued = self.waiting.iter().any(|w| w.request.class == request.class);
        // Only starts while requests are queued measure the speed of the queue.
        if let (Some(previous), true) = (previous, queued) {
            let gap = now.saturating_sub(previous) as f64;
            let start_interval = self.start_interval.entry(request.class).or_insert(gap);
            *start_interval += (gap - *start_interval) * 0.2;
        }
    }
}
