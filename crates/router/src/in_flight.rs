//! A request in flight to an endpoint: the tokens and the claim it holds, and its load there.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use session::Hold;

use crate::{
    call::Call,
    claims::Guard,
    endpoints::Target,
    outcome::{Reason, Refusal},
    shared::Shared,
};

/// Retry delay for refusals with a transient cause.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Everything a call needs to be dispatched.
pub struct Prepared {
    /// Reserved tokens; online, the record of the reservation has landed.
    pub hold: Hold,
    /// The claim, if the call must not run twice.
    pub claim: Option<Guard>,
}

/// A request that counts as load of its endpoint until dropped.
pub struct InFlight {
    shared: Arc<Shared>,
    pool: Arc<str>,
    /// The endpoint.
    pub target: Target,
    /// How the request failed, if it did.
    pub failure: Option<Failure>,
}

impl InFlight {
    /// Chooses an endpoint that was not tried yet and counts the request there.
    pub fn start(shared: &Arc<Shared>, call: &Call, tried: &[Arc<str>]) -> Option<InFlight> {
        let pool = call.route.pool.clone();
        let target = shared.endpoints.start(&pool, &call.prefix, tried, shared.now())?;
        Some(InFlight { shared: shared.clone(), pool, target, failure: None })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.endpoints.end(&self.pool, &self.target.name, self.failure, now);
    }
}

/// The refusal when no endpoint can take a call.
pub fn no_endpoint() -> Refusal {
    Reason::NoEndpoint.after("no endpoint can take the request", RETRY_DELAY)
}
