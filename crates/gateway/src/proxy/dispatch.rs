//! Sends an admitted request to endpoints, one `attempt` after the other, and says why none of them answered.

use std::{sync::Arc, time::Duration};

use balance::{Candidates, Filter};
use forward::Answer;
use tokio::time::Instant;

use crate::proxy::{
    admit::AdmittedRequest,
    attempt::{Attempt, log_not_taken},
    context::Context,
    endpoints::Chosen,
    exchange::Exchange,
    in_flight::InFlight,
    next::Next,
    origins,
    refusal::{CAPACITY_RETRY_DELAY, Reason, Refusal},
};

/// `Retry-After` where the service has no endpoints, or all of them are leaving; a new one is discovered within this
/// time.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Endpoints tried for one request, including those that the request did not reach; the route's limit of
/// attempts applies in addition.
const MAX_ENDPOINTS_TRIED: usize = 4;

/// Longest wait until a stream may begin at a version that the store does not know of yet.
const OPENING_WAIT: Duration = Duration::from_millis(200);

/// Maximum number of permits requested for one request; then endpoints that require one are skipped.
const MAX_PERMIT_REQUESTS: usize = 3;

impl Context {
    /// Sends a request to endpoints until one of them responds or no more attempts are allowed.
    pub async fn dispatch(
        &self,
        admitted: &AdmittedRequest,
        exchange: &mut Exchange,
    ) -> Result<(Box<Answer>, InFlight), Refusal> {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().count_request(&admitted.service, now_s, &self.settings().retries);
        let mut tried: Vec<Arc<str>> = Vec::new();
        let (mut delivered, mut permit_requests) = (0, 0);
        let mut last_refusal = None;
        // The engine that may still work on the request: no other one gets it.
        let mut bound_to: Option<Chosen> = None;
        let mut has_waited = false;
        while tried.len() < MAX_ENDPOINTS_TRIED {
            if exchange.time_left().is_zero() {
                let too_late =
                    || Reason::TooLate.with("the deadline passed before the request was sent");
                return Err(last_refusal.unwrap_or_else(too_late));
            }
            // Endpoints may have crashed on the same request since it was admitted.
            if let Err(refusal) = self.check_quarantine(&admitted.content, exchange.deadline).await
            {
                last_refusal = Some(refusal);
                break;
            }
            let candidates = if permit_requests < MAX_PERMIT_REQUESTS {
                Candidates::All
            } else {
                Candidates::Unlimited
            };
            let AdmittedRequest { service, version, zones, prefix, .. } = admitted;
            let open = self.open_versions(&admitted.route, service, version.as_deref());
            let filter = Filter {
                candidates,
                zones: zones.as_ref(),
                version: version.as_deref(),
                versions: open.as_ref(),
            };
            let is_repeat = bound_to.is_some();
            let chosen =
                bound_to.take().or_else(|| self.endpoints.choose(service, filter, prefix, &tried));
            let Some(chosen) = chosen else {
                if open.is_none() || std::mem::replace(&mut has_waited, true) {
                    break;
                }
                // The store is told of a new version within milliseconds.
                let until = exchange.deadline.min(Instant::now() + OPENING_WAIT);
                match self.sole_versions.wait_opened(service, &open, until).await {
                    true => continue,
                    false => break,
                }
            };
            if exchange.attempts >= admitted.route.max_attempts
                || (delivered > 0 && !self.can_repeat(admitted))
            {
                break;
            }
            if chosen.limit.is_some() {
                permit_requests += 1;
                match self.permits.acquire(&admitted.service, &chosen).await {
                    true => {}
                    false if is_repeat => break,
                    false => continue,
                }
            }
            if delivered > 0 && !self.take_repeat(admitted) {
                break;
            }
            tried.push(chosen.instance.clone());
            let outcome = self.attempt(admitted, &chosen, exchange).await;
            log_not_taken(&outcome, exchange, &chosen);
            exchange.last_outcome = Some(outcome.as_str());
            let next = self.next(&outcome, admitted, &chosen, exchange, is_repeat).await;
            delivered += u32::from(!matches!(outcome, Attempt::Unsent(_)));
            let refusal = match outcome {
                Attempt::Answer(response, in_flight) => return Ok((response, *in_flight)),
                Attempt::Unsent(reason) | Attempt::Declined(reason) | Attempt::Gone(reason) => {
                    Reason::NoEndpoint.after(CAPACITY_RETRY_DELAY, reason)
                }
                Attempt::Failed(refusal) | Attempt::Unknown(refusal) => refusal,
            };
            match next {
                Next::Another => {}
                Next::Same => bound_to = Some(chosen),
                Next::Nowhere => return Err(refusal),
            }
            last_refusal = Some(refusal);
        }
        Err(match last_refusal {
            Some(last_refusal) if last_refusal.reason == Reason::NoEndpoint => {
                self.no_endpoint(admitted).with_detail_of(last_refusal)
            }
            Some(last_refusal) => last_refusal,
            None => self.no_endpoint(admitted),
        })
    }

    /// The refusal when no endpoint can be selected: the service has none, or the limits of cold and rate-limited
    /// endpoints are used up.
    fn no_endpoint(&self, admitted: &AdmittedRequest) -> Refusal {
        let AdmittedRequest { service, version, .. } = admitted;
        let is_gone = |version: &&Arc<str>| !self.endpoints.serves_version(service, version);
        if let Some(version) = version.as_ref().filter(is_gone) {
            let detail = "no endpoint runs the software version that began the stream";
            // One that this box never saw is one that it does not see yet.
            return match self.sole_versions.has_seen(service, version) {
                true => Reason::VersionGone.with(detail),
                false => Reason::VersionGone.after(origins::RETRY_DELAY, detail),
            };
        }
        match self.endpoints.retry_delay(service, version.as_deref(), admitted.rank) {
            Some(wait) if wait > CAPACITY_RETRY_DELAY => Reason::NoEndpoint.after(
                wait,
                "all endpoints which take requests are cold, backing off or limited in rate",
            ),
            Some(_) => Reason::NoEndpoint
                .after(CAPACITY_RETRY_DELAY, "no endpoint of this service can take work"),
            None => Reason::NoEndpoint
                .after(NO_ENDPOINT_RETRY_DELAY, "the service has no endpoint or all are leaving"),
        }
    }

    fn take_repeat(&self, admitted: &AdmittedRequest) -> bool {
        let now_s = self.started.elapsed().as_secs();
        let taken = self.retries.lock().take(&admitted.service, now_s, &self.settings().retries);
        if taken {
            self.metrics.repeats.inc();
        }
        taken
    }
}
