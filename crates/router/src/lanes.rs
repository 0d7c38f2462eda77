//! Waiting for a turn before a pool: limits, classes, fairness, early refusal.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use admit::{Gate, Limits, Reached, Ticket, Verdict};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    call::Call,
    outcome::{Reason, Refusal},
    shared::Shared,
};

/// Time between looks at a queue that nobody of this box wakes.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Default)]
struct State {
    gates: HashMap<Arc<str>, Gate>,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    limits: Limits,
}

/// The lanes of one box.
#[derive(Default)]
pub struct Lanes {
    state: Mutex<State>,
    next: AtomicU64,
}

/// A request that may be dispatched; it is counted until this is dropped.
pub struct Permit {
    shared: Arc<Shared>,
    customer: Arc<str>,
    route: Arc<str>,
    pool: Arc<str>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let lanes = &self.shared.lanes;
        lanes.state.lock().limits.leave(&self.customer, &self.route);
        lanes.advance(&self.shared, &self.pool);
    }
}

impl Lanes {
    /// Starts whatever may start now.
    fn advance(&self, shared: &Shared, pool: &Arc<str>) {
        let now = shared.now();
        let mut ahead = 0.0;
        let mut state = self.state.lock();
        loop {
            let mut capacity = shared.endpoints.capacity(pool, now);
            // What was started here a moment ago is not dispatched yet.
            capacity.load += ahead;
            let next = state.gates.get_mut(pool).and_then(|gate| gate.next(capacity, now));
            let Some(id) = next else { return };
            ahead += 1.0;
            if let Some(waiter) = state.waiters.remove(&id) {
                let _ = waiter.send(());
            }
        }
    }

    fn offer(&self, shared: &Shared, call: &Call, id: u64) -> (Verdict, oneshot::Receiver<()>) {
        let now = shared.now();
        let ticket = Ticket {
            id,
            class: call.class(),
            customer: call.caller.customer.clone(),
            weight: call.caller.weight,
            deadline: now + call.left().as_millis() as u64,
        };
        let capacity = shared.endpoints.capacity(&call.route.pool, now);
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        let gate = state.gates.entry(call.route.pool.clone()).or_default();
        let verdict = gate.offer(ticket, capacity, now);
        if verdict == Verdict::Wait {
            state.waiters.insert(id, sender);
        }
        (verdict, receiver)
    }

    fn give_up(&self, pool: &Arc<str>, id: u64) {
        let mut state = self.state.lock();
        state.waiters.remove(&id);
        if let Some(gate) = state.gates.get_mut(pool) {
            gate.remove(id);
        }
    }
}

/// Leaves the queue when its request does.
struct Place<'a> {
    lanes: &'a Lanes,
    pool: &'a Arc<str>,
    id: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.lanes.give_up(self.pool, self.id);
    }
}

/// Waits until a call may be dispatched, or refuses it; either way it has not run.
pub async fn enter(shared: &Arc<Shared>, call: &Call) -> Result<Permit, Refusal> {
    let lanes = &shared.lanes;
    let (customer, route) = (&call.caller.customer, &call.route_name);
    let counted = lanes
        .state
        .lock()
        .limits
        .enter((customer, call.caller.max_in_flight), (route, call.route.max_in_flight));
    counted.map_err(limit_reached)?;
    let pool = call.route.pool.clone();
    let permit = Permit {
        shared: shared.clone(),
        customer: customer.clone(),
        route: route.clone(),
        pool: pool.clone(),
    };
    let id = lanes.next.fetch_add(1, Ordering::Relaxed);
    let (verdict, mut turn) = lanes.offer(shared, call, id);
    match verdict {
        Verdict::Run => return Ok(permit),
        Verdict::Refuse { after } => return Err(overloaded(Duration::from_millis(after))),
        Verdict::Wait => {}
    }
    let _place = Place { lanes, pool: &pool, id };
    let end = call.deadline();
    loop {
        tokio::select! {
            started = &mut turn => {
                return started.map(|()| permit).map_err(|_| overloaded(LOOK));
            }
            () = tokio::time::sleep(LOOK) => lanes.advance(shared, &pool),
            () = tokio::time::sleep_until(end) => return Err(overloaded(Duration::from_secs(1))),
        }
    }
}

fn limit_reached(reached: Reached) -> Refusal {
    let message = match reached {
        Reached::Customer => "too many requests of this customer are under way on this box",
        Reached::Route => "too many requests of this route are under way on this box",
    };
    Reason::LimitReached.after(message, Duration::from_secs(1))
}

fn overloaded(after: Duration) -> Refusal {
    let message = "the request cannot start before its caller stops waiting";
    Reason::Overloaded.after(message, after)
}
