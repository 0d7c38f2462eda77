//! State of one request and its response, for its log line and its bill; settled exactly once, however it ends.

use std::{sync::Arc, time::Duration};

use forward::Framing;
use ledger::Ended;
use platform::request::{Head, Tokens};
use quarantine::Fingerprint;
use tokio::time::Instant;

use crate::{
    clock::Moment,
    fleet::streams::Sent,
    metrics::{Finished, Metrics},
    proxy::refusal::{Denial, Refusal},
    tokens::{bills::Bills, funds::Hold},
};

/// Events that an endpoint may produce after the last one that was relayed, before it notices that its
/// connection was closed: those of some 200 ms, a hundred times the way there.
const MAX_UNRELAYED_EVENTS: u64 = 10;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got the complete response of an endpoint.
    Answered { status: u16 },
    /// The box responded itself.
    Refused(Refusal),
    /// The response broke off after its head.
    Broken { reason: String },
    /// The caller disconnected before the end.
    Disconnected,
}

/// A request and its response.
#[derive(Debug)]
pub struct Exchange {
    pub id: Option<Arc<str>>,
    pub customer: Option<Arc<str>>,
    pub route: Option<Arc<str>>,
    pub service: Option<Arc<str>>,
    /// Version of the configuration that the request was routed with.
    pub config_version: u64,
    /// What it rests on that the request was denied, if it was.
    pub denial: Option<Denial>,
    pub arrived_at: Instant,
    /// The same moment on the box's clock, which also counts time in suspension.
    arrival: Moment,
    pub deadline: Instant,
    /// When the caller gives up, whatever the route allows.
    pub caller_deadline: Instant,
    pub tokens: Option<Tokens>,
    /// Identifies requests with the same content; set once the body was read.
    pub fingerprint: Option<Fingerprint>,
    /// Maximum number of tokens in one event of the service's engines.
    pub event_tokens: u64,
    pub endpoint: Option<Arc<str>>,
    /// Software version of that endpoint.
    pub version: Option<Arc<str>>,
    /// Number of endpoints that it was sent to, without those that turned out to be gone.
    pub attempts: u32,
    /// How the attempt before the current one ended.
    pub last_outcome: Option<&'static str>,
    /// Whether another box carried the last attempt.
    pub is_detour: bool,
    /// Whether some endpoint may have run it.
    pub may_have_run: bool,
    /// Tells when the origin of the stream that it begins has been sent.
    pub origin_sent: Option<Sent>,
    /// Time until the head of the response.
    pub time_to_head: Option<Duration>,
    /// Longest time between two events of the stream.
    pub longest_pause: Option<Duration>,
    /// What marks the end of the response.
    pub framing: Option<Framing>,
    /// Whether the response, a stream of events, has stopped inside one.
    pub is_in_event: bool,
    hold: Option<Hold>,
    metrics: Metrics,
    bills: Bills,
    is_ended: bool,
}

impl Exchange {
    /// Starts tracking a request whose head was read.
    pub fn begin(
        head: &Head,
        arrival: Moment,
        deadline: Instant,
        metrics: Metrics,
        bills: Bills,
    ) -> Exchange {
        metrics.in_flight.inc();
        Exchange {
            id: head.id.clone(),
            customer: None,
            route: None,
            service: None,
            config_version: 0,
            denial: None,
            arrived_at: arrival.at(),
            arrival,
            deadline,
            caller_deadline: deadline,
            tokens: head.tokens,
            fingerprint: None,
            event_tokens: 1,
            endpoint: None,
            version: None,
            attempts: 0,
            last_outcome: None,
            is_detour: false,
            may_have_run: false,
            origin_sent: None,
            time_to_head: None,
            longest_pause: None,
            framing: None,
            is_in_event: false,
            hold: None,
            metrics,
            bills,
            is_ended: false,
        }
    }

    /// Sets the reservation from which the request is charged.
    pub fn set_hold(&mut self, hold: Hold) {
        self.hold = Some(hold);
    }

    /// Time left until the deadline. Time in suspension counts, since the caller's clock kept running.
    pub fn time_left(&self) -> Duration {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        time_left.saturating_sub(self.arrival.suspended())
    }

    /// Tokens to charge if the request ends now, after `events` relayed events.
    ///
    /// If the only attempt ends before its response is complete, the charge covers the relayed events and those
    /// that the endpoint may have produced before it noticed the close. If several endpoints may have run the
    /// request, or the length of the output is unknown, the maximum is charged. Charging the maximum of all that end
    /// early took 4% of what customers had paid on a day when many callers left.
    fn charge(&self, outcome: &Outcome, events: u64) -> u64 {
        let Some(tokens) = self.tokens else { return 0 };
        let cost = |events: u64| {
            let output = events.saturating_mul(self.event_tokens);
            tokens.prompt + output.min(tokens.max_output)
        };
        match outcome {
            _ if !self.may_have_run => 0,
            Outcome::Answered { status } if (200..300).contains(status) => cost(events),
            Outcome::Disconnected | Outcome::Broken { .. } if self.attempts == 1 => {
                cost(events + MAX_UNRELAYED_EVENTS)
            }
            _ => cost(u64::MAX),
        }
    }

    /// What its caller is told in place of a response: no promise that it did not run, if it may have.
    pub fn refuse(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => refusal.without_promise(),
            false => refusal,
        }
    }

    /// Settles and logs the request; later calls have no effect.
    pub fn end(&mut self, outcome: Outcome, events: u64) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let reserved = self.hold.as_ref().map_or(0, Hold::tokens);
        let charge = self.charge(&outcome, events);
        let charged = self.hold.take().map_or(0, |hold| hold.settle(charge));
        self.bill(&outcome, charged);
        let (outcome_name, reason) = match &outcome {
            Outcome::Answered { .. } => ("answered", "-"),
            Outcome::Refused(refusal) if refusal.reason.is_not_run() => {
                ("not_run", refusal.reason.as_str())
            }
            Outcome::Refused(refusal) => ("unknown", refusal.reason.as_str()),
            Outcome::Broken { .. } => ("broken", "-"),
            Outcome::Disconnected => ("left", "-"),
        };
        self.update_metrics(outcome_name, reason, charged);
        let (status, detail) = match &outcome {
            Outcome::Answered { status } => (*status, ""),
            Outcome::Refused(refusal) => (refusal.reason.status().as_u16(), &*refusal.detail),
            Outcome::Broken { reason } => (0, &**reason),
            Outcome::Disconnected => (0, ""),
        };
        let denial = self.denial.as_ref();
        tracing::info!(
            event = "request_ended",
            id = self.id.as_deref(),
            customer = self.customer.as_deref(),
            route = self.route.as_deref(),
            service = self.service.as_deref(),
            endpoint = self.endpoint.as_deref(),
            version = self.version.as_deref(),
            fingerprint = self.fingerprint.as_ref().map(tracing::field::display),
            config = self.config_version,
            missing = denial.map(|denial| &*denial.missing),
            config_is = denial.map(|denial| denial.validity.as_str()),
            config_age_ms = denial.and_then(|denial| Some(denial.age?.as_millis() as u64)),
            config_from = denial.and_then(|denial| Some(denial.source.as_ref()?.as_str())),
            up_ms = denial.map(|denial| denial.up.as_millis() as u64),
            outcome = outcome_name,
            reason,
            status,
            detail,
            sent = self.attempts,
            detour = self.is_detour,
            held = reserved,
            charged,
            events,
            framing = self.framing.map(Framing::as_str),
            in_event = self.is_in_event,
            first_byte_ms = self.time_to_head.map(|time| time.as_millis() as u64),
            longest_pause_ms = self.longest_pause.map(|time| time.as_millis() as u64),
            took_ms = self.arrived_at.elapsed().as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
        );
    }

    fn bill(&self, outcome: &Outcome, charged: u64) {
        let ended = match outcome {
            Outcome::Answered { .. } => Ended::Answered,
            Outcome::Refused(_) | Outcome::Broken { .. } | Outcome::Disconnected => Ended::Broken,
        };
        match (&self.customer, &self.id) {
            (Some(customer), Some(id)) if charged > 0 => {
                self.bills.add(customer, id, charged, ended);
            }
            _ => {}
        }
    }

    fn update_metrics(&self, outcome: &'static str, reason: &'static str, charged: u64) {
        self.metrics.in_flight.dec();
        self.metrics.tokens.inc_by(charged);
        self.metrics.requests.get_or_create(&Finished { outcome, reason }).inc();
        if let Some(time) = self.time_to_head {
            self.metrics.first_byte.observe(time.as_secs_f64());
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.end(Outcome::Disconnected, 0);
    }
}
