//! From a call to the answer of an endpoint: tries, and what each of them came to.

use std::{sync::Arc, time::Duration};

use balance::{Candidates, Failure, Limit};
use forward::{Answer, Fault};
use http::{HeaderMap, StatusCode, header};
use platform::{
    answer,
    config::{Kind, Route},
    request::{self, Directives},
};

use crate::{
    clock::Moment,
    metrics::Service,
    proxy::{
        admit::Call,
        announcer::Announcement,
        context::Context,
        endpoints::Chosen,
        exchange::Exchange,
        refusal::{Reason, Refusal, SOON},
        relay::InFlight,
    },
};

/// When to come back where no endpoint is known that stays: one that starts is known within a second.
const LATER: Duration = Duration::from_millis(1_000);
/// Endpoints tried where none of them got the request, besides the route's own bound.
const MOST_TRIED: usize = 4;

/// Turns that one request asks for at most, some milliseconds each, before it passes over all endpoints that need one.
const MOST_ASKED: usize = 3;

/// What one try at an endpoint came to.
enum Try {
    /// An answer for the caller.
    Answer(Box<Answer>, Box<InFlight>),
    /// The endpoint did not run it.
    NotRun(String),
    /// Another incarnation answers at the address: the endpoint that was meant is gone.
    Gone(String),
    /// Nothing was sent to the endpoint.
    Unsent(String),
    /// It may have run there.
    Unknown(Refusal),
}

impl Context {
    /// Sends a request to endpoints until one of them answers or no more may be tried.
    pub async fn dispatch(
        &self,
        call: &Call,
        exchange: &mut Exchange,
    ) -> Result<(Box<Answer>, InFlight), Refusal> {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().request(&call.service, now_s, &self.settings().retries);
        let mut tried: Vec<Arc<str>> = Vec::new();
        let (mut arrived, mut asked) = (0, 0);
        let mut last = None;
        while tried.len() < MOST_TRIED {
            if exchange.left().is_zero() {
                return Err(Reason::TooLate.with("its time was over before it was sent"));
            }
            // Endpoints may have ended with it since it came.
            if let Err(refusal) = self.check_quarantine(&call.fingerprint, exchange.until).await {
                last = Some(refusal);
                break;
            }
            let offer = if asked < MOST_ASKED { Candidates::All } else { Candidates::Unlimited };
            let chosen = self.endpoints.choose(&call.service, offer, &call.prefix, &tried);
            let Some(chosen) = chosen else { break };
            if exchange.sent >= call.route.max_attempts || (arrived > 0 && !self.may_repeat_later(call))
            {
                break;
            }
            if chosen.limit.is_some() {
                asked += 1;
                if !self.permits.take(&call.service, &chosen).await {
                    continue;
                }
            }
            if arrived > 0 && !self.may_repeat(call) {
                break;
            }
            tried.push(chosen.instance.clone());
            let outcome = self.attempt(call, &chosen, exchange).await;
            note_not_taken(&outcome, exchange, &chosen);
            arrived += u32::from(!matches!(outcome, Try::Unsent(_)));
            match outcome {
                Try::Answer(answer, in_flight) => return Ok((answer, *in_flight)),
                Try::Unsent(reason) => last = Some(Reason::NoEndpoint.after(SOON, reason)),
                Try::NotRun(reason) | Try::Gone(reason) => {
                    last = Some(Reason::NoEndpoint.after(SOON, reason));
                }
                Try::Unknown(refusal) if !is_repeatable(&call.route) => return Err(refusal),
                Try::Unknown(refusal) => last = Some(refusal),
            }
        }
        let last = match last {
            Some(last) if last.reason == Reason::NoEndpoint => self.no_offer(call).because(last),
            Some(last) => last,
            None => self.no_offer(call),
        };
        match exchange.may_have_run && last.reason.is_not_run() {
            true => Err(Reason::Lost.with(last.detail)),
            false => Err(last),
        }
    }

    /// Why no endpoint is offered a request: there is none, or this box has sent the cold ones its part and gets no turn
    /// at those that name a limit.
    fn no_offer(&self, call: &Call) -> Refusal {
        match self.endpoints.retry_delay(&call.service, call.urgency) {
            Some(wait) if wait > SOON => Reason::NoEndpoint.after(
                wait,
                "all endpoints of the service that take work are cold, rest or name a limit",
            ),
            Some(_) => Reason::NoEndpoint.after(SOON, "no endpoint of the service takes work now"),
            None => {
                Reason::NoEndpoint.after(LATER, "no endpoint of the service is known that stays")
            }
        }
    }

    fn may_repeat(&self, call: &Call) -> bool {
        let now_s = self.started.elapsed().as_secs();
        let taken = self.retries.lock().take(&call.service, now_s, &self.settings().retries);
        if taken {
            self.metrics.repeats.inc();
        }
        taken
    }

    /// One try at one endpoint.
    async fn attempt(&self, call: &Call, chosen: &Chosen, exchange: &mut Exchange) -> Try {
        exchange.endpoint = Some(chosen.id.clone());
        let left = exchange.left();
        let directives = Directives {
            instance: &chosen.id,
            customer: exchange.customer.as_deref(),
            left: Some(left),
            rank: call.rank,
            resume_after: call.head.resumed_after,
        };
        let headers = match request::endpoint_headers(&call.headers, &directives, call.body.len()) {
            Ok(headers) => headers,
            Err(unfit) => return Try::Unsent(unfit.to_string()),
        };
        let request = forward::Request {
            method: call.method.clone(),
            target: call.target.clone(),
            headers,
            body: call.body.clone(),
        };
        tracing::info!(
            event = "dispatched",
            id = exchange.id.as_deref(),
            endpoint = &*chosen.id,
            service = &*call.service,
            fingerprint = %call.fingerprint,
            load = chosen.load,
            cached = chosen.held,
            limit = chosen.limit.map(Limit::as_per_s),
            leaves_ms = chosen.leaves.map(|ago| ago.as_millis() as u64),
            rest_ms = chosen.rest.map(|rest| rest.as_millis() as u64),
            prompt = call.prefix.size(),
            config = exchange.version,
            left_ms = left.as_millis() as u64,
            sent_before = exchange.sent,
        );
        if chosen.limit.is_some() {
            let service = Service { service: call.service.to_string() };
            self.metrics.limited_sends.get_or_create(&service).inc();
        }
        let endpoints = self.endpoints.clone();
        let service = call.service.clone();
        let watch = self.crashes.watch(&chosen.instance, chosen.address, &call.fingerprint);
        let mut in_flight =
            InFlight::start(endpoints, service, chosen, &call.prefix, &self.peers, watch);
        let link = match self.connect(call, chosen, exchange, &mut in_flight).await {
            Ok(link) => link,
            Err(unsent) => return unsent,
        };
        // From here on the endpoint may have it, also when this future is dropped.
        let (had_run, had_sent) = (exchange.may_have_run, exchange.sent);
        (exchange.may_have_run, exchange.sent) = (true, exchange.sent + 1);
        let sent_at = self.clock.now();
        let outcome = match tokio::time::timeout_at(exchange.until, link.send(request)).await {
            Err(_) => Try::Unknown(Reason::Silent.with("the endpoint did not answer in time")),
            Ok(Err(fault)) => lost(fault, &mut in_flight),
            Ok(Ok(answer)) => self.judge(call, chosen, exchange, &sent_at, answer, in_flight),
        };
        match outcome {
            // An endpoint that is gone is none that the route's bound counts.
            Try::Unsent(_) | Try::Gone(_) => {
                (exchange.may_have_run, exchange.sent) = (had_run, had_sent)
            }
            Try::NotRun(_) => exchange.may_have_run = had_run,
            _ => {}
        }
        outcome
    }

    /// A connection on which the request may be sent. What an endpoint said while it came up counts.
    async fn connect(
        &self,
        call: &Call,
        chosen: &Chosen,
        exchange: &Exchange,
        in_flight: &mut InFlight,
    ) -> Result<forward::Ready, Try> {
        let opening = self.connections.connect(chosen.address, call.connections);
        let link = match tokio::time::timeout_at(exchange.until, opening).await {
            Err(_) => {
                in_flight.fail(Failure::Silent);
                return Err(Try::Unsent("no connection came up in the time of the request".into()));
            }
            Ok(Err(fault)) => return Err(lost(fault, in_flight)),
            Ok(Ok(link)) => link,
        };
        if self.endpoints.refuses_requests(&call.service, chosen) {
            link.release();
            in_flight.ended();
            return Err(Try::Unsent("the endpoint wants no more requests".into()));
        }
        Ok(link)
    }

    /// Decides what an answer's head means.
    fn judge(
        &self,
        call: &Call,
        chosen: &Chosen,
        exchange: &mut Exchange,
        sent_at: &Moment,
        answer: Answer,
        mut in_flight: InFlight,
    ) -> Try {
        let status = answer.head.status;
        let head = answer::Head::read(status, &answer.head.headers);
        let foreign = head.id.is_some() && head.id != call.head.id;
        if foreign {
            in_flight.fail(Failure::Broken);
            return Try::Unknown(Reason::Lost.with("the connection carried another answer"));
        }
        // Another endpoint that answers at the address says nothing of the one that was meant.
        if status != StatusCode::MISDIRECTED_REQUEST {
            let heard =
                self.endpoints.receive_signals(&call.service, chosen, &head, sent_at.elapsed());
            if heard.limit {
                self.announcer
                    .announce(Announcement::LimitChanged { instance: chosen.instance.clone() });
            }
            if heard.leaves {
                let (instance, address) = (chosen.instance.clone(), chosen.address);
                self.announcer.announce(Announcement::Draining { instance, address });
            }
        }
        if head.not_run {
            let reason = format!("the endpoint declined with {status}");
            if status == StatusCode::MISDIRECTED_REQUEST {
                in_flight.fail(Failure::Silent);
                return Try::Gone(reason);
            }
            in_flight.fail(Failure::Refused);
            return Try::NotRun(reason);
        }
        let again = is_repeatable(&call.route)
            && status.is_server_error()
            && exchange.sent < call.route.max_attempts
            && self.endpoints.has_alternative(&call.service, &chosen.instance)
            && self.may_repeat_later(call);
        if again {
            in_flight.ended();
            return Try::Unknown(Reason::Lost.with(format!("the endpoint failed with {status}")));
        }
        exchange.first_byte = Some(exchange.came.elapsed());
        if !is_framed(&answer.head.headers) {
            in_flight.unframed();
        }
        in_flight.begin();
        Try::Answer(Box::new(answer), Box::new(in_flight))
    }

    /// Whether a repeat is left, without taking it.
    fn may_repeat_later(&self, call: &Call) -> bool {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().has(&call.service, now_s, &self.settings().retries)
    }
}

fn note_not_taken(outcome: &Try, exchange: &Exchange, chosen: &Chosen) {
    let (Try::Unsent(reason) | Try::NotRun(reason) | Try::Gone(reason)) = outcome else { return };
    let (id, endpoint) = (exchange.id.as_deref(), &*chosen.id);
    tracing::info!(event = "not_taken", id, endpoint, reason);
}

fn lost(fault: Fault, in_flight: &mut InFlight) -> Try {
    match fault {
        Fault::Full { .. } => {
            in_flight.ended();
            Try::Unsent(fault.to_string())
        }
        Fault::Unsent { reason } => {
            in_flight.fail(Failure::Silent);
            Try::Unsent(reason)
        }
        Fault::Unknown { reason } => {
            in_flight.broke();
            Try::Unknown(Reason::Lost.with(reason))
        }
    }
}

/// Whether the end of an answer's body can be told from a connection that broke.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn is_repeatable(route: &Route) -> bool {
    route.kind == Kind::Repeatable || (route.kind == Kind::Streaming && route.resumable)
}
