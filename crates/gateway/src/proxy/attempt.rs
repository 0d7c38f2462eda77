//! One attempt at an endpoint: connects, sends the request and judges the head of the response.
//!
//! An attempt ends with an answer for the caller, with the certainty that the request did not run, or without knowing. What
//! follows from that is decided in `dispatch`.

use balance::{Failure, Limit};
use forward::{Answer, Fault, Framing, Tag};
use http::StatusCode;
use platform::{
    answer,
    config::{Kind, Route},
    request::{self, Directives},
};
use wire::StreamOrigin;

use crate::{
    clock::Moment,
    freshness::{Source, Subject},
    metrics::Service,
    proxy::{
        admit::AdmittedRequest,
        announcer::Announcement,
        context::Context,
        endpoints::Chosen,
        exchange::Exchange,
        in_flight::InFlight,
        refusal::{Reason, Refusal},
    },
};

/// Outcome of one attempt at an endpoint.
pub enum Attempt {
    /// A response for the caller.
    Answer(Box<Answer>, Box<InFlight>),
    /// The endpoint declined the request without running it.
    Declined(String),
    /// The address now belongs to another instance: the selected one is gone.
    Gone(String),
    /// Nothing was sent to the endpoint.
    Unsent(String),
    /// The endpoint responded that it failed, and is not at work on the request any more.
    Failed(Refusal),
    /// The request may have run at the endpoint, or run there still.
    Unknown(Refusal),
}

impl Attempt {
    /// Name in log lines.
    pub fn as_str(&self) -> &'static str {
        match self {
            Attempt::Answer(..) => "answer",
            Attempt::Declined(_) => "declined",
            Attempt::Gone(_) => "gone",
            Attempt::Unsent(_) => "unsent",
            Attempt::Failed(_) => "failed",
            Attempt::Unknown(_) => "unknown",
        }
    }
}

impl Context {
    /// Sends the request to one endpoint.
    pub async fn attempt(
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
            tag: tag(admitted, exchange),
        };
        let listed_by = self.freshness.source(Subject::Endpoints);
        tracing::info!(
            event = "dispatched",
            id = exchange.id.as_deref(),
            endpoint = &*chosen.id,
            version = &*chosen.version,
            resumes = admitted.head.resumes.as_deref(),
            resumed_after = admitted.head.resumed_after,
            service = &*admitted.service,
            fingerprint = %admitted.content.fingerprint,
            parts = admitted.content.prompt.as_ref().map(tracing::field::display),
            load = chosen.load,
            cached = chosen.cached_tokens,
            limit = chosen.limit.map(Limit::as_per_s),
            leaves_ms = chosen.leaves.map(|ago| ago.as_millis() as u64),
            rest_ms = chosen.back_off.map(|back_off| back_off.as_millis() as u64),
            prompt = admitted.prefix.size(),
            config = exchange.config_version,
            endpoints_age_ms = self.freshness.age(Subject::Endpoints).map(|age| age.as_millis() as u64),
            endpoints_from = listed_by.as_ref().map(Source::as_str),
            left_ms = left.as_millis() as u64,
            sent_before = exchange.attempts,
            after = exchange.last_outcome,
        );
        if chosen.limit.is_some() {
            let service = Service { service: admitted.service.to_string() };
            self.metrics.limited_sends.get_or_create(&service).inc();
        }
        let endpoints = self.endpoints.clone();
        let service = admitted.service.clone();
        let watch = self.crashes.watch(&chosen.instance, chosen.address, &admitted.content);
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
        // A caller can take up a stream of which it has seen the first event.
        if let Some(sent) = exchange.origin_sent.take() {
            self.streams.wait_sent(sent).await;
        }
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
        let tag = tag(admitted, exchange);
        let connecting = self.connections.connect(chosen.address, admitted.max_connections, &tag);
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
        if head.id != admitted.head.id {
            report_foreign(&head, admitted, chosen, &response);
            self.metrics.foreign_responses.inc();
            in_flight.fail(Failure::Broken);
            let detail = "the response does not have the request's id";
            return Attempt::Unknown(Reason::Lost.with(detail));
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
        // The caller would take it for a promise that nothing backs.
        if answer::promises_not_run(status) {
            in_flight.end_without_failure();
            let detail =
                format!("the endpoint sent {status} and does not say that it did not run it");
            return Attempt::Failed(Reason::Lost.with(detail));
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
            let detail = format!("the endpoint failed with {status}");
            return Attempt::Failed(Reason::Lost.with(detail));
        }
        exchange.time_to_head = Some(exchange.arrived_at.elapsed());
        exchange.framing = Some(response.framing);
        if response.framing == Framing::Close {
            in_flight.unframed();
        }
        if status.is_success() {
            let (service, version) = (admitted.service.clone(), chosen.version.clone());
            let origin = StreamOrigin { service, version };
            exchange.origin_sent =
                self.record_origin(origin, &admitted.route, &admitted.head, exchange);
        }
        in_flight.finish_prefill();
        Attempt::Answer(Box::new(response), Box::new(in_flight))
    }

    /// Whether a repeat is permitted, without consuming it.
    pub fn can_repeat(&self, admitted: &AdmittedRequest) -> bool {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().has_left(&admitted.service, now_s, &self.settings().retries)
    }
}

/// What tells this request apart on a connection.
fn tag(admitted: &AdmittedRequest, exchange: &Exchange) -> Tag {
    Tag { id: admitted.head.id.clone(), until: exchange.caller_deadline }
}

/// Logs a response that is not known to be this request's.
fn report_foreign(
    head: &answer::Head,
    admitted: &AdmittedRequest,
    chosen: &Chosen,
    response: &Answer,
) {
    tracing::warn!(
        event = "response_foreign",
        id = admitted.head.id.as_deref(),
        endpoint = &*chosen.id,
        found = head.id.as_deref(),
        status = response.head.status.as_u16(),
        not_run = head.not_run,
        carried_before = response.carried_before,
    );
}

/// Logs why an endpoint did not take the request.
pub fn log_not_taken(outcome: &Attempt, exchange: &Exchange, chosen: &Chosen) {
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

/// Whether a request of this route may run twice.
pub fn is_repeatable(route: &Route) -> bool {
    route.kind == Kind::Repeatable || (route.kind == Kind::Streaming && route.resumable)
}
