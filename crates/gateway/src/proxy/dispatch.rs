//! Sends an admitted request to endpoints, with retries, and classifies the outcome of each attempt.

use std::{sync::Arc, time::Duration};

use balance::{Candidates, Failure, Filter, Limit};
use forward::{Answer, Fault, Framing};
use http::StatusCode;
use platform::{
    answer,
    config::{Kind, Route},
    request::{self, Directives},
};
use wire::StreamOrigin;

use crate::{
    clock::Moment,
    metrics::Service,
    proxy::{
        admit::AdmittedRequest,
        announcer::Announcement,
        context::Context,
        endpoints::Chosen,
        exchange::Exchange,
        origins,
        refusal::{CAPACITY_RETRY_DELAY, Reason, Refusal},
        relay::InFlight,
    },
};

/// `Retry-After` where the service has no endpoints, or all of them are leaving; a new one is discovered within this
/// time.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Endpoints tried for one request, including those that the request did not reach; the route's limit of
/// attempts applies in addition.
const MAX_ENDPOINTS_TRIED: usize = 4;

/// Maximum number of permits requested for one request; then endpoints that require one are skipped.
const MAX_PERMIT_REQUESTS: usize = 3;

/// Outcome of one attempt at an endpoint.
enum Attempt {
    /// A response for the caller.
    Answer(Box<Answer>, Box<InFlight>),
    /// The endpoint declined the request without running it.
    Declined(String),
    /// The address now belongs to another instance: the selected one is gone.
    Gone(String),
    /// Nothing was sent to the endpoint.
    Unsent(String),
    /// The request may have run at the endpoint.
    Unknown(Refusal),
}

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
        while tried.len() < MAX_ENDPOINTS_TRIED {
            if exchange.time_left().is_zero() {
                return Err(Reason::TooLate.with("the deadline passed before the request was sent"));
            }
            // Endpoints may have crashed on the same request since it was admitted.
            if let Err(refusal) =
                self.check_quarantine(&admitted.fingerprint, exchange.deadline).await
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
            let filter = Filter { candidates, zones: zones.as_ref(), version: version.as_deref() };
            let chosen = self.endpoints.choose(service, filter, prefix, &tried);
            let Some(chosen) = chosen else { break };
            if exchange.attempts >= admitted.route.max_attempts
                || (delivered > 0 && !self.can_repeat(admitted))
            {
                break;
            }
            if chosen.limit.is_some() {
                permit_requests += 1;
                if !self.permits.acquire(&admitted.service, &chosen).await {
                    continue;
                }
            }
            if delivered > 0 && !self.take_repeat(admitted) {
                break;
            }
            tried.push(chosen.instance.clone());
            let outcome = self.attempt(admitted, &chosen, exchange).await;
            log_not_taken(&outcome, exchange, &chosen);
            delivered += u32::from(!matches!(outcome, Attempt::Unsent(_)));
            match outcome {
                Attempt::Answer(response, in_flight) => return Ok((response, *in_flight)),
                Attempt::Unsent(reason) => {
                    last_refusal = Some(Reason::NoEndpoint.after(CAPACITY_RETRY_DELAY, reason))
                }
                Attempt::Declined(reason) | Attempt::Gone(reason) => {
                    last_refusal = Some(Reason::NoEndpoint.after(CAPACITY_RETRY_DELAY, reason));
                }
                Attempt::Unknown(refusal) if !is_repeatable(&admitted.route) => {
                    return Err(refusal);
                }
                Attempt::Unknown(refusal) => last_refusal = Some(refusal),
            }
        }
        let last_refusal = match last_refusal {
            Some(last_refusal) if last_refusal.reason == Reason::NoEndpoint => {
                self.no_endpoint(admitted).with_detail_of(last_refusal)
            }
            Some(last_refusal) => last_refusal,
            None => self.no_endpoint(admitted),
        };
        match exchange.may_have_run && last_refusal.reason.is_not_run() {
            true => Err(Reason::Lost.with(last_refusal.detail)),
            false => Err(last_refusal),
        }
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

    /// Sends the request to one endpoint.
    async fn attempt(
        &self,
        admitted: &AdmittedRequest,
        chosen: &Chosen,
        exchange: &mut Exchange,
    ) -> Attempt {
        exchange.endpoint = Some(chosen.id.clone());
        exchange.version = Some(chosen.version.clone());
        let left = exchange.time_left();
        let directives = Directives {
            instance: &chosen.id,
            customer: exchange.customer.as_deref(),
            remaining: Some(left),
            rank: admitted.engine_rank,
            resume_after: admitted.head.resumed_after,
        };
        let headers =
            match request::endpoint_headers(&admitted.headers, &directives, admitted.body.len()) {
                Ok(headers) => headers,
                Err(error) => return Attempt::Unsent(error.to_string()),
            };
        let request = forward::Request {
            method: admitted.method.clone(),
            target: admitted.target.clone(),
            headers,
            body: admitted.body.clone(),
        };
        tracing::info!(
            event = "dispatched",
            id = exchange.id.as_deref(),
            endpoint = &*chosen.id,
            version = &*chosen.version,
            resumes = admitted.head.resumes.as_deref(),
            resumed_after = admitted.head.resumed_after,
            service = &*admitted.service,
            fingerprint = %admitted.fingerprint,
            load = chosen.load,
            cached = chosen.cached_tokens,
            limit = chosen.limit.map(Limit::as_per_s),
            leaves_ms = chosen.leaves.map(|ago| ago.as_millis() as u64),
            rest_ms = chosen.back_off.map(|back_off| back_off.as_millis() as u64),
            prompt = admitted.prefix.size(),
            config = exchange.config_version,
            left_ms = left.as_millis() as u64,
            sent_before = exchange.attempts,
        );
        if chosen.limit.is_some() {
            let service = Service { service: admitted.service.to_string() };
            self.metrics.limited_sends.get_or_create(&service).inc();
        }
        let endpoints = self.endpoints.clone();
        let service = admitted.service.clone();
        let watch = self.crashes.watch(&chosen.instance, chosen.address, &admitted.fingerprint);
        let mut in_flight =
            InFlight::start(endpoints, service, chosen, &admitted.prefix, &self.peers, watch);
        let connection = match self.connect(admitted, chosen, exchange, &mut in_flight).await {
            Ok(connection) => connection,
            Err(unsent) => return unsent,
        };
        exchange.is_detour = connection.is_detour();
        self.metrics.detours.inc_by(u64::from(exchange.is_detour));
        // From here on the endpoint may have the request, also if this future is dropped.
        let (may_have_run_before, attempts_before) = (exchange.may_have_run, exchange.attempts);
        (exchange.may_have_run, exchange.attempts) = (true, exchange.attempts + 1);
        let sent_at = self.clock.now();
        let outcome = match tokio::time::timeout_at(exchange.deadline, connection.send(request))
            .await
        {
            Err(_) => Attempt::Unknown(Reason::Silent.with("the endpoint did not respond in time")),
            Ok(Err(fault)) => classify_fault(fault, &mut in_flight),
            Ok(Ok(response)) => {
                self.classify(admitted, chosen, exchange, &sent_at, response, in_flight)
            }
        };
        match outcome {
            // An endpoint that is gone does not count against the route's limit of attempts.
            Attempt::Unsent(_) | Attempt::Gone(_) => {
                (exchange.may_have_run, exchange.attempts) = (may_have_run_before, attempts_before)
            }
            Attempt::Declined(_) => exchange.may_have_run = may_have_run_before,
            _ => {}
        }
        outcome
    }

    /// Obtains a connection, and rechecks the endpoint: its availability may have changed while connecting.
    async fn connect(
        &self,
        admitted: &AdmittedRequest,
        chosen: &Chosen,
        exchange: &Exchange,
        in_flight: &mut InFlight,
    ) -> Result<forward::ReadyConnection, Attempt> {
        let connecting = self.connections.connect(chosen.address, admitted.max_connections);
        let connection = match tokio::time::timeout_at(exchange.deadline, connecting).await {
            Err(_) => {
                in_flight.fail(Failure::Silent);
                return Err(Attempt::Unsent(
                    "no connection was established before the deadline".into(),
                ));
            }
            Ok(Err(fault)) => return Err(classify_fault(fault, in_flight)),
            Ok(Ok(connection)) => connection,
        };
        if self.endpoints.refuses_requests(&admitted.service, chosen) {
            connection.release();
            in_flight.end_without_failure();
            return Err(Attempt::Unsent("the endpoint stopped accepting requests".into()));
        }
        Ok(connection)
    }

    /// Classifies a response by its head.
    fn classify(
        &self,
        admitted: &AdmittedRequest,
        chosen: &Chosen,
        exchange: &mut Exchange,
        sent_at: &Moment,
        response: Answer,
        mut in_flight: InFlight,
    ) -> Attempt {
        let status = response.head.status;
        let head = answer::Head::read(status, &response.head.headers);
        let is_foreign = head.id.is_some() && head.id != admitted.head.id;
        if is_foreign {
            in_flight.fail(Failure::Broken);
            return Attempt::Unknown(Reason::Lost.with("the response has another request's id"));
        }
        // Signals of another endpoint at the address do not apply to the selected one.
        if status != StatusCode::MISDIRECTED_REQUEST {
            let changes =
                self.endpoints.receive_signals(&admitted.service, chosen, &head, sent_at.elapsed());
            if changes.limit {
                self.announcer
                    .announce(Announcement::LimitChanged { instance: chosen.instance.clone() });
            }
            if changes.leaves {
                let (instance, address) = (chosen.instance.clone(), chosen.address);
                self.announcer.announce(Announcement::Draining { instance, address });
            }
        }
        if head.not_run {
            let reason = format!("the endpoint declined with {status}");
            if status == StatusCode::MISDIRECTED_REQUEST {
                in_flight.fail(Failure::Silent);
                return Attempt::Gone(reason);
            }
            in_flight.fail(Failure::Refused);
            return Attempt::Declined(reason);
        }
        let should_repeat = is_repeatable(&admitted.route)
            && status.is_server_error()
            && exchange.attempts < admitted.route.max_attempts
            && self.endpoints.has_alternative(
                &admitted.service,
                &chosen.instance,
                admitted.version.as_deref(),
            )
            && self.can_repeat(admitted);
        if should_repeat {
            in_flight.end_without_failure();
            return Attempt::Unknown(
                Reason::Lost.with(format!("the endpoint failed with {status}")),
            );
        }
        exchange.time_to_head = Some(exchange.arrived_at.elapsed());
        exchange.framing = Some(response.framing);
        if response.framing == Framing::Close {
            in_flight.unframed();
        }
        if status.is_success() {
            let (service, version) = (admitted.service.clone(), chosen.version.clone());
            let origin = StreamOrigin { service, version };
            self.record_origin(origin, &admitted.route, &admitted.head, exchange);
        }
        in_flight.finish_prefill();
        Attempt::Answer(Box::new(response), Box::new(in_flight))
    }

    /// Whether a repeat is permitted, without consuming it.
    fn can_repeat(&self, admitted: &AdmittedRequest) -> bool {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().has_left(&admitted.service, now_s, &self.settings().retries)
    }
}

fn log_not_taken(outcome: &Attempt, exchange: &Exchange, chosen: &Chosen) {
    let (Attempt::Unsent(reason) | Attempt::Declined(reason) | Attempt::Gone(reason)) = outcome
    else {
        return;
    };
    let (id, endpoint) = (exchange.id.as_deref(), &*chosen.id);
    tracing::info!(event = "not_taken", id, endpoint, reason);
}

fn classify_fault(fault: Fault, in_flight: &mut InFlight) -> Attempt {
    match fault {
        Fault::Full { .. } => {
            in_flight.end_without_failure();
            Attempt::Unsent(fault.to_string())
        }
        Fault::Unsent { reason } => {
            in_flight.unsent();
            Attempt::Unsent(reason)
        }
        Fault::Unknown { reason } => {
            in_flight.broke();
            Attempt::Unknown(Reason::Lost.with(reason))
        }
    }
}

fn is_repeatable(route: &Route) -> bool {
    route.kind == Kind::Repeatable || (route.kind == Kind::Streaming && route.resumable)
}
