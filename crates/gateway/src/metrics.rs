//! Counters and histograms, in the Prometheus text format.

use std::sync::{Arc, atomic::AtomicU64};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Finished {
    /// `answered`, `not_run`, `unknown`, `broken` or `left`.
    pub outcome: &'static str,
    /// Reason, empty if there is none.
    pub reason: &'static str,
}

/// Labels of denied requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Denied {
    /// `no_route` or `no_customer`.
    pub reason: &'static str,
    /// Whether the configuration is `current`, `outdated` or `unconfirmed`.
    pub config: &'static str,
}

/// Labels of streams that callers took up.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TakenUp {
    /// How the software version that began them was known, or `unknown` or `unheard`.
    pub known_from: &'static str,
}

/// Labels of the age of a state that is followed in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct State {
    pub state: &'static str,
}

/// Labels of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCall {
    pub operation: String,
    /// Kind of object.
    pub kind: String,
}

/// Labels of traffic to other boxes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Flow {
    /// Topic of the frames.
    pub topic: &'static str,
    /// Availability zone of the other box: `own` or `other`.
    pub zone: &'static str,
    /// Direction: `sent` or `heard`.
    pub way: &'static str,
}

/// Labels of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Budget {
    /// Customer that owns the budget.
    pub customer: String,
}

/// Labels of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Endpoint {
    /// Instance of the endpoint.
    pub endpoint: String,
}

/// Labels of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Service {
    pub service: String,
}

/// Labels of an unreadable header of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Header {
    pub name: String,
}

/// Labels of requests for permits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PermitOutcome {
    /// `given`, `none`, or `free` if the endpoint no longer names a limit.
    pub outcome: &'static str,
}

/// All metrics of a box.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Finished requests by outcome.
    pub requests: Family<Finished, Counter>,
    /// Requests for which the configuration has no route or customer, by its age.
    pub denials: Family<Denied, Counter>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Tokens charged.
    pub tokens: Counter,
    /// Seconds to the first byte of an endpoint's answer.
    pub first_byte: Histogram,
    /// Requests retried at a second endpoint.
    pub repeats: Counter,
    /// Responses of endpoints without the id of the request that was sent.
    pub foreign_responses: Counter,
    /// Tokens charged that the book had neither granted nor counted as lost.
    pub uncovered_tokens: Counter,
    /// Connections opened to endpoints.
    pub connections: Gauge,
    /// Open connections of callers.
    pub callers: Gauge,
    /// Calls to the store by operation and kind of object.
    pub calls: Family<StoreCall, Gauge>,
    /// Bytes of requests to other boxes and their answers.
    pub peer_bytes: Family<Flow, Gauge>,
    /// Free tokens of this box, by customer.
    pub free: Family<Budget, Gauge>,
    /// Tokens paid and not known to be spent, by customer.
    pub unspent: Family<Budget, Gauge>,
    /// Free tokens that this box promised its witness to leave untouched, by customer.
    pub promised: Family<Budget, Gauge>,
    /// Log lines dropped because the reader was too slow.
    pub dropped_lines: Gauge,
    /// Evacuated availability zones.
    pub evacuated: Gauge,
    /// Open claims: boxes that died and whose witness has not yet reported their untouched tokens.
    pub claims: Gauge,
    /// Cold endpoints.
    pub cold: Gauge,
    /// Listed endpoints that announced that they leave.
    pub leaving: Gauge,
    /// Endpoints in a back-off towards this box.
    pub backing_off: Gauge,
    /// Unknown headers of endpoints, and headers with unreadable values.
    pub unreadable: Family<Header, Gauge>,
    /// Limits that endpoints name for all boxes together, in requests per second.
    pub limits: Family<Endpoint, Gauge<f64, AtomicU64>>,
    /// Requests sent to endpoints that named a limit, by service; the log lines name the endpoint.
    pub limited_sends: Family<Service, Counter>,
    /// Requests of this box for permits.
    pub permits: Family<PermitOutcome, Counter>,
    /// Permits issued to this box and others.
    pub permits_issued: Counter,
    /// Requests sent to endpoints through another box.
    pub detours: Counter,
    /// Connections to endpoints that this box opened for others.
    pub tunnels: Counter,
    /// Streams that callers took up, by what was known of their origin.
    pub streams_taken_up: Family<TakenUp, Counter>,
    /// Endpoints that this box does not reach and others do.
    pub cut_off: Gauge,
    /// Streams whose origin this box knows.
    pub streams_known: Gauge,
    /// Copies of origins of streams that no other box took.
    pub stream_copies_lost: Gauge,
    /// Crash reports, and suspect requests that were answered completely.
    pub crashes: Gauge,
    /// Quarantined requests.
    pub quarantined: Gauge,
    /// Parts of prompts that are suspect of enough crashes for a quarantine.
    pub suspect_parts: Gauge,
    /// 1 while this box is a watcher of the store, 0 while it is a subscriber.
    pub watches: Gauge,
    /// Milliseconds since the last contact with the store, directly or through a watcher; -1 before
    /// the first.
    pub store_age: Gauge,
    /// Milliseconds since the store confirmed each state.
    pub ages: Family<State, Gauge>,
}

/// Upper bounds of the buckets of `first_byte`, in seconds: around the latency targets of the deployments.
const FIRST_BYTE: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 6.0];

impl Metrics {
    /// Creates and registers all metrics.
    pub fn open() -> Metrics {
        let metrics = Metrics {
            registry: Arc::new(Mutex::new(Registry::with_prefix("flintstall"))),
            requests: Family::default(),
            denials: Family::default(),
            in_flight: Gauge::default(),
            tokens: Counter::default(),
            first_byte: Histogram::new(FIRST_BYTE),
            repeats: Counter::default(),
            foreign_responses: Counter::default(),
            uncovered_tokens: Counter::default(),
            connections: Gauge::default(),
            callers: Gauge::default(),
            calls: Family::default(),
            peer_bytes: Family::default(),
            free: Family::default(),
            unspent: Family::default(),
            promised: Family::default(),
            dropped_lines: Gauge::default(),
            evacuated: Gauge::default(),
            claims: Gauge::default(),
            cold: Gauge::default(),
            leaving: Gauge::default(),
            backing_off: Gauge::default(),
            unreadable: Family::default(),
            limits: Family::default(),
            limited_sends: Family::default(),
            permits: Family::default(),
            permits_issued: Counter::default(),
            detours: Counter::default(),
            tunnels: Counter::default(),
            streams_taken_up: Family::default(),
            cut_off: Gauge::default(),
            streams_known: Gauge::default(),
            stream_copies_lost: Gauge::default(),
            crashes: Gauge::default(),
            quarantined: Gauge::default(),
            suspect_parts: Gauge::default(),
            watches: Gauge::default(),
            store_age: Gauge::default(),
            ages: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register(
            "denials",
            "Requests for which the configuration has no route or customer, by its age",
            self.denials.clone(),
        );
        registry.register("requests_under_way", "Requests under way", self.in_flight.clone());
        registry.register("tokens_charged", "Tokens charged", self.tokens.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an endpoint's answer",
            self.first_byte.clone(),
        );
        registry.register("repeats", "Requests sent to a second endpoint", self.repeats.clone());
        registry.register(
            "foreign_responses",
            "Responses of endpoints without the id of the request that was sent",
            self.foreign_responses.clone(),
        );
        registry.register(
            "uncovered_tokens",
            "Tokens charged that the book had neither granted nor counted as lost",
            self.uncovered_tokens.clone(),
        );
        registry.register(
            "endpoint_connections_opened",
            "Connections opened to endpoints since the start",
            self.connections.clone(),
        );
        registry.register("caller_connections", "Connections of callers", self.callers.clone());
        registry.register("store_calls", "Calls to the store by purpose", self.calls.clone());
        registry.register(
            "peer_bytes",
            "Bytes of this box's questions to other boxes and of the answers, by topic",
            self.peer_bytes.clone(),
        );
        registry.register("tokens_free", "Tokens free in this box", self.free.clone());
        registry.register(
            "tokens_kept",
            "Free tokens that this box promised its witness to keep untouched",
            self.promised.clone(),
        );
        registry.register(
            "tokens_unspent",
            "Tokens paid and not known to be spent",
            self.unspent.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Availability zones whose endpoints get no more work",
            self.evacuated.clone(),
        );
        registry.register(
            "open_claims",
            "Boxes that died and whose witness has not told yet what they left untouched",
            self.claims.clone(),
        );
        registry.register(
            "cold_endpoints",
            "Endpoints that bear few requests a second for now",
            self.cold.clone(),
        );
        registry.register(
            "leaving_endpoints",
            "Listed endpoints that said in an answer that they leave",
            self.leaving.clone(),
        );
        registry.register(
            "resting_endpoints",
            "Endpoints that want nothing from this box for now",
            self.backing_off.clone(),
        );
        registry.register(
            "unread_headers",
            "Headers of endpoints that are not known, or whose values cannot be read",
            self.unreadable.clone(),
        );
        registry.register(
            "endpoint_limit",
            "Requests a second that an endpoint in need takes from all boxes together",
            self.limits.clone(),
        );
        registry.register(
            "limited_sends",
            "Requests that this box sent to endpoints of a service while they named a limit",
            self.limited_sends.clone(),
        );
        registry.register(
            "turns",
            "Questions of this box for turns at endpoints that name a limit, by what came of them",
            self.permits.clone(),
        );
        registry.register(
            "turns_given",
            "Turns at endpoints that name a limit which this box handed out",
            self.permits_issued.clone(),
        );
        registry.register(
            "detours",
            "Requests sent to endpoints through another box",
            self.detours.clone(),
        );
        registry.register(
            "streams_taken_up",
            "Streams that callers took up, by what was known of their origin",
            self.streams_taken_up.clone(),
        );
        registry.register(
            "tunnels",
            "Connections to endpoints that this box opened for others",
            self.tunnels.clone(),
        );
        registry.register(
            "endpoints_cut_off",
            "Endpoints that this box does not reach and others do",
            self.cut_off.clone(),
        );
        registry.register(
            "streams_known",
            "Streams of which this box knows at which version they began",
            self.streams_known.clone(),
        );
        registry.register(
            "stream_copies_lost",
            "Copies of what this box knows of streams that no other box took",
            self.stream_copies_lost.clone(),
        );
        registry.register(
            "crash_reports",
            "Reports of endpoints that ended, and of suspect requests that were answered whole",
            self.crashes.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are not run any more, since endpoints ended each time they ran them",
            self.quarantined.clone(),
        );
        registry.register(
            "suspect_parts",
            "Parts of prompts that endpoints ended with, often enough for a quarantine",
            self.suspect_parts.clone(),
        );
        registry.register(
            "news_from_store",
            "1 while this box looks at the store itself, 0 while it listens to another box",
            self.watches.clone(),
        );
        registry.register(
            "news_age_milliseconds",
            "Time since the store, or a box that reaches it, was heard; -1 before that",
            self.store_age.clone(),
        );
        registry.register(
            "state_age_milliseconds",
            "Time since the store confirmed what this box knows of the configuration, of endpoints and others",
            self.ages.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the reader was too slow",
            self.dropped_lines.clone(),
        );
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry.lock()) {
            Ok(()) => text,
            Err(error) => format!("# metrics could not be written: {error}\n"),
        }
    }
}
