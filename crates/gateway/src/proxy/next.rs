//! Where a request may go after an attempt that brought no response for its caller.
//!
//! A request that may run once goes on only after proof that it did not run. One that may be repeated goes on at another plain
//! endpoint after any failure. An engine may work on although its connection is closed, and no second engine may work on the
//! request meanwhile: until the first one is known to have ended, the request stays with it.

use crate::proxy::{
    admit::AdmittedRequest,
    attempt::{Attempt, is_repeatable},
    context::Context,
    endpoints::Chosen,
    exchange::Exchange,
};

/// Where a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// To any endpoint that was not tried.
    Another,
    /// To the same engine, which may still work on it.
    Same,
    /// Nowhere.
    Nowhere,
}

impl Next {
    /// Name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Next::Another => "another",
            Next::Same => "same",
            Next::Nowhere => "nowhere",
        }
    }
}

impl Context {
    /// Where a request may go after this outcome at an endpoint; `is_repeat` if it had reached the same engine before.
    pub async fn next(
        &self,
        outcome: &Attempt,
        admitted: &AdmittedRequest,
        chosen: &Chosen,
        exchange: &Exchange,
        is_repeat: bool,
    ) -> Next {
        match outcome {
            // Another instance has the address, so this one has ended.
            Attempt::Gone(_) => Next::Another,
            _ if is_repeat => Next::Nowhere,
            Attempt::Answer(..) => Next::Nowhere,
            Attempt::Declined(_) | Attempt::Unsent(_) => Next::Another,
            Attempt::Failed(_) | Attempt::Unknown(_) if !is_repeatable(&admitted.route) => {
                Next::Nowhere
            }
            Attempt::Failed(_) => Next::Another,
            Attempt::Unknown(_) if !admitted.is_for_engine() => Next::Another,
            Attempt::Unknown(_) => {
                let has_ended = self.crashes.has_ended(&chosen.instance, exchange.deadline).await;
                let next = if has_ended { Next::Another } else { Next::Same };
                let (id, endpoint) = (exchange.id.as_deref(), &*chosen.id);
                tracing::info!(event = "engine_lost", id, endpoint, next = next.as_str());
                next
            }
        }
    }
}
