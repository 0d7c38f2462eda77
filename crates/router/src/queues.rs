//! One fair queue of waiting requests per pool, and the limits of customers and routes.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use admit::{Exceeded, Limits, Queue, Request, Verdict};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{call::Call, endpoints::Endpoints};

#[derive(Default)]
struct State {
    queues: HashMap<Arc<str>, Queue>,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    limits: Limits,
}

/// The queues of one box.
#[derive(Default)]
pub struct Queues {
    state: Mutex<State>,
    next_id: AtomicU64,
}

impl Queues {
    /// Admits waiting requests of a pool as far as its capacity allows.
    pub fn advance(&self, endpoints: &Endpoints, pool: &Arc<str>, now: u64) {
        let mut admitted = 0.0;
        let mut state = self.state.lock();
        loop {
            let mut capacity = endpoints.capacity(pool, now);
            // Requests admitted by this loop are not part of the measured load yet.
            capacity.load += admitted;
            let next = state.queues.get_mut(pool).and_then(|queue| queue.next(capacity, now));
            let Some(id) = next else { return };
            admitted += 1.0;
            if let Some(waiter) = state.waiters.remove(&id) {
                let _ = waiter.send(());
            }
        }
    }

    /// Counts a call against the limits of its customer and its route.
    pub fn count(&self, call: &Call) -> Result<(), Exceeded> {
        let (customer, route) = (&call.caller.customer, &call.route_name);
        self.state
            .lock()
            .limits
            .enter((customer, call.caller.max_in_flight), (route, call.route.max_in_flight))
    }

    /// Ends a call counted by [`Queues::count`].
    pub fn leave(&self, customer: &Arc<str>, route: &Arc<str>) {
        self.state.lock().limits.leave(customer, route);
    }

    /// Offers a call to the pool's queue. Returns its id there, the verdict, and a channel that is
    /// notified once a waiting call is admitted.
    pub fn offer(
        &self,
        endpoints: &Endpoints,
        call: &Call,
        now: u64,
    ) -> (u64, Verdict, oneshot::Receiver<()>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let request = Request {
            id,
            class: call.class(),
            customer: call.caller.customer.clone(),
            weight: call.caller.weight,
            deadline: now + call.time_left().as_millis() as u64,
        };
        let capacity = endpoints.capacity(&call.route.pool, now);
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let queue = state.queues.entry(call.route.pool.clone()).or_default();
        let verdict = queue.offer(request, capacity, now);
        if verdict == Verdict::Wait {
            state.waiters.insert(id, sender);
        }
        (id, verdict, receiver)
    }

    /// Removes a call from the queue.
    pub fn cancel(&self, pool: &Arc<str>, id: u64) {
        let mut state = self.state.lock();
        state.waiters.remove(&id);
        if let Some(queue) = state.queues.get_mut(pool) {
            queue.remove(id);
        }
    }
}
