//! A request in flight to an endpoint: the tokens and the claim it holds, and its load there.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use session::Hold;

use crate::{
    call::Call,
    claims::Held,
    endpoints::Target,
    outcome::{Reason, Refusal},
    shared::Shared,
};

/// Retry delay for refusals with a transient cause.
pub const SOON: Duration = Duration::from_secs(1);

/// Everything a call needs to be dispatched.
pub struct Secured {
    /// Reserved tokens; online, the record of the reservation has landed.
    pub hold: Hold,
    /// The claim, if the call must not run twice.
    pub claim: Option<Held>,
}

/// A request that counts as load of its endpoint until dropped.
pub struct Flight {
    shared: Arc<Shared>,
    pool: Arc<str>,
    /// The endpoint.
    pub target: Target,
    /// How the request failed, if it did.
    pub failure: Option<Failure>,
}

impl Flight {
    /// Chooses an endpoint that was not tried yet.
    pub fn start(shared: &Arc<Shared>, call: &Call, tried: &[Arc<str>]) -> Option<Flight> {
        let pool = call.route.pool.clone();
        let target = shared.endpoints.start(&pool, &call.prefix, tried, shared.now())?;
        Some(Flight { shared: shared.clone(), pool, target, failure: None })
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.endpoints.end(&self.pool, &self.target.name, self.failure, now);
    }
}

/// The refusal when no endpoint can take a call.
pub fn no_endpoint() -> Refusal {
    Reason::NoEndpoint.after("no endpoint can take the request", SOON)
}
