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
    /// Reason, where there is one.
    pub reason: &'static str,
}

/// Labels of calls to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCall {
    /// What the call does.
    pub operation: String,
    /// Kind of object.
    pub kind: String,
}

/// Labels of what questions to other boxes take.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Flow {
    /// What they are about.
    pub topic: &'static str,
    /// `own` or `other`: the availability zone of the box that was asked.
    pub zone: &'static str,
    /// `sent` or `heard`.
    pub way: &'static str,
}

/// Labels of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Budget {
    /// Customer whose budget it is.
    pub customer: String,
}

/// Labels of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Endpoint {
    /// This life of it.
    pub endpoint: String,
}

/// Labels of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Service {
    /// Its name.
    pub service: String,
}

/// Labels of headers of endpoints that nobody read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Header {
    /// Its name.
    pub name: String,
}

/// Labels of questions for turns at endpoints that name a limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PermitOutcome {
    /// `given`, `none` or `free`: the endpoint names no limit any more.
    pub outcome: &'static str,
}

/// All metrics of a box.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Requests by how they ended.
    pub requests: Family<Finished, Counter>,
    /// Requests under way.
    pub in_flight: Gauge,
    /// Tokens charged.
    pub tokens: Counter,
    /// Seconds to the first byte of an endpoint's answer.
    pub first_byte: Histogram,
    /// Requests sent to a second endpoint.
    pub repeats: Counter,
    /// Connections opened to endpoints.
    pub connections: Gauge,
    /// Connections of callers.
    pub callers: Gauge,
    /// Calls to the store by purpose.
    pub calls: Family<StoreCall, Gauge>,
    /// Bytes of questions to other boxes and their answers.
    pub peer_bytes: Family<Flow, Gauge>,
    /// Tokens free in this box, by customer.
    pub free: Family<Budget, Gauge>,
    /// Tokens paid and not known to be spent, by customer.
    pub unspent: Family<Budget, Gauge>,
    /// Free tokens that are kept untouched by a promise.
    pub kept: Family<Budget, Gauge>,
    /// Log lines dropped because the reader was too slow.
    pub dropped_lines: Gauge,
    /// Availability zones that are to get no more work.
    pub evacuated: Gauge,
    /// Boxes that died and of whom it is open what they left untouched.
    pub claims: Gauge,
    /// Endpoints that bear little for now.
    pub cold: Gauge,
    /// Endpoints that said in an answer that they leave.
    pub leaving: Gauge,
    /// Endpoints that want nothing from this box for now.
    pub backing_off: Gauge,
    /// Headers of endpoints that are not known, or whose values cannot be read.
    pub unread: Family<Header, Gauge>,
    /// Requests a second that endpoints in need take from all boxes together.
    pub limits: Family<Endpoint, Gauge<f64, AtomicU64>>,
    /// Requests that this box sent to endpoints while they named a limit, by service; lines name the endpoint.
    pub limited_sends: Family<Service, Counter>,
    /// Questions of this box for turns at endpoints that name a limit.
    pub permits: Family<PermitOutcome, Counter>,
    /// Turns that this box handed out, to itself and to others.
    pub permits_issued: Counter,
    /// Reports of endpoints that ended, and of requests that were answered after all.
    pub crashes: Gauge,
    /// Requests that are not run any more.
    pub quarantined: Gauge,
    /// 1 while this box looks at the store itself.
    pub watches: Gauge,
    /// Milliseconds since the store, or a home that reaches it, was heard; -1 before that.
    pub news_age: Gauge,
}

/// Bounds of the buckets for the first byte, in seconds: round the targets of the deployments.
const FIRST_BYTE: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 6.0];

impl Metrics {
    /// Registers all metrics.
    pub fn open() -> Metrics {
        let metrics = Metrics {
            registry: Arc::new(Mutex::new(Registry::with_prefix("flintstall"))),
            requests: Family::default(),
            in_flight: Gauge::default(),
            tokens: Counter::default(),
            first_byte: Histogram::new(FIRST_BYTE),
            repeats: Counter::default(),
            connections: Gauge::default(),
            callers: Gauge::default(),
            calls: Family::default(),
            peer_bytes: Family::default(),
            free: Family::default(),
            unspent: Family::default(),
            kept: Family::default(),
            dropped_lines: Gauge::default(),
            evacuated: Gauge::default(),
            claims: Gauge::default(),
            cold: Gauge::default(),
            leaving: Gauge::default(),
            backing_off: Gauge::default(),
            unread: Family::default(),
            limits: Family::default(),
            limited_sends: Family::default(),
            permits: Family::default(),
            permits_issued: Counter::default(),
            crashes: Gauge::default(),
            quarantined: Gauge::default(),
            watches: Gauge::default(),
            news_age: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock();
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("requests_under_way", "Requests under way", self.in_flight.clone());
        registry.register("tokens_charged", "Tokens charged", self.tokens.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte of an endpoint's answer",
            self.first_byte.clone(),
        );
        registry.register("repeats", "Requests sent to a second endpoint", self.repeats.clone());
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
            self.kept.clone(),
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
            self.unread.clone(),
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
            "news_from_store",
            "1 while this box looks at the store itself, 0 while it listens to another box",
            self.watches.clone(),
        );
        registry.register(
            "news_age_milliseconds",
            "Time since the store, or a box that reaches it, was heard; -1 before that",
            self.news_age.clone(),
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
