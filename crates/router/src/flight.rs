//! A request on its way to an endpoint: what it holds, and where it is counted.

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

/// When to come back after a refusal that a moment may cure.
pub const SOON: Duration = Duration::from_secs(1);

/// Everything a call needs to be dispatched.
pub struct Secured {
    /// Tokens held and, online, the intent landed.
    pub hold: Hold,
    /// The claim, if the call may not run twice.
    pub claim: Option<Held>,
}

/// A request counted at an endpoint until it is dropped.
pub struct Flight {
    shared: Arc<Shared>,
    pool: Arc<str>,
    /// Where it goes.
    pub target: Target,
    /// How it went wrong, if it did.
    pub failure: Option<Failure>,
}

impl Flight {
    /// Chooses an endpoint other than those tried.
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
