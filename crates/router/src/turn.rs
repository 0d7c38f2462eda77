//! Admission: a request waits in its pool's queue, or is refused early.

use std::{sync::Arc, time::Duration};

use admit::{Exceeded, Verdict};

use crate::{
    call::Call,
    lanes::Lanes,
    outcome::{Reason, Refusal},
    shared::Shared,
};

/// Interval for rechecking the queue: load that other boxes put on the pool wakes nobody here.
const LOOK: Duration = Duration::from_millis(10);

/// An admitted request. Counts against the limits of its customer and route until dropped.
pub struct Permit {
    shared: Arc<Shared>,
    customer: Arc<str>,
    route: Arc<str>,
    pool: Arc<str>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let lanes = &self.shared.lanes;
        lanes.leave(&self.customer, &self.route);
        lanes.advance(&self.shared.endpoints, &self.pool, self.shared.now());
    }
}

/// Removes a request from the queue when dropped.
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

/// Waits until a call may be dispatched, or refuses it.
pub async fn enter(shared: &Arc<Shared>, call: &Call) -> Result<Permit, Refusal> {
    let lanes = &shared.lanes;
    let (customer, route) = (&call.caller.customer, &call.route_name);
    lanes.count(call).map_err(limit_reached)?;
    let pool = call.route.pool.clone();
    let permit = Permit {
        shared: shared.clone(),
        customer: customer.clone(),
        route: route.clone(),
        pool: pool.clone(),
    };
    let (id, verdict, mut turn) = lanes.offer(&shared.endpoints, call, shared.now());
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
            () = tokio::time::sleep(LOOK) => lanes.advance(&shared.endpoints, &pool, shared.now()),
            () = tokio::time::sleep_until(end) => return Err(overloaded(Duration::from_secs(1))),
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
