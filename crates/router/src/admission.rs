//! Admission: a request waits in its pool's queue, or is refused early.

use std::{sync::Arc, time::Duration};

use admit::{Exceeded, Verdict};

use crate::{
    call::Call,
    outcome::{Reason, Refusal},
    queues::Queues,
    shared::Shared,
};

/// Interval for rechecking the queue: capacity that other boxes free up wakes no waiter here.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// An admitted request. Counts against the limits of its customer and route until dropped.
pub struct Admission {
    shared: Arc<Shared>,
    customer: Arc<str>,
    route: Arc<str>,
    pool: Arc<str>,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let queues = &self.shared.queues;
        queues.leave(&self.customer, &self.route);
        queues.advance(&self.shared.endpoints, &self.pool, self.shared.now());
    }
}

/// Removes a request from the queue when dropped.
struct QueueEntry<'a> {
    queues: &'a Queues,
    pool: &'a Arc<str>,
    id: u64,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.queues.cancel(self.pool, self.id);
    }
}

/// Waits until a call may be dispatched, or refuses it.
pub async fn acquire(shared: &Arc<Shared>, call: &Call) -> Result<Admission, Refusal> {
    let queues = &shared.queues;
    let (customer, route) = (&call.caller.customer, &call.route_name);
    queues.count(call).map_err(limit_reached)?;
    let pool = call.route.pool.clone();
    let admission = Admission {
        shared: shared.clone(),
        customer: customer.clone(),
        route: route.clone(),
        pool: pool.clone(),
    };
    let (id, verdict, mut admitted) = queues.offer(&shared.endpoints, call, shared.now());
    match verdict {
        Verdict::Run => return Ok(admission),
        Verdict::Refuse { after } => return Err(overloaded(Duration::from_millis(after))),
        Verdict::Wait => {}
    }
    let _entry = QueueEntry { queues, pool: &pool, id };
    let deadline = call.deadline();
    loop {
        tokio::select! {
            started = &mut admitted => {
                return started.map(|()| admission).map_err(|_| overloaded(RECHECK_INTERVAL));
            }
            () = tokio::time::sleep(RECHECK_INTERVAL) =>
                queues.advance(&shared.endpoints, &pool, shared.now()),
            () = tokio::time::sleep_until(deadline) =>
                return Err(overloaded(Duration::from_secs(1))),
        }
    }
}

fn limit_reached(reached: Exceeded) -> Refusal {
    let message = match reached {
        Exceeded::Customer => "the customer has too many requests in flight on this box",
        Exceeded::Route => "the route has too many requests in flight on this box",
    };
    Reason::LimitReached.after(message, Duration::from_secs(1))
}

fn overloaded(after: Duration) -> Refusal {
    let message = "the request cannot start before its deadline";
    Reason::Overloaded.after(message, after)
}
