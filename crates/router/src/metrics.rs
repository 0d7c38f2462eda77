//! Metrics of a router, in the Prometheus text format.

use std::sync::Arc;

use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Labels of a finished request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Class of the route.
    pub class: &'static str,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Reason, empty if answered.
    pub reason: &'static str,
}

/// Labels of a platform call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Operation.
    pub operation: String,
    /// Kind of object.
    pub kind: String,
}

/// Labels of a latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// Class of the route.
    pub class: &'static str,
}

/// All metrics of one router.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Finished requests by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Tokens charged.
    pub tokens: Counter,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Platform calls by operation and kind of object.
    pub platform: Family<CallLabels, Gauge>,
    /// 1 if the platform is reachable, else 0.
    pub platform_up: Gauge,
    /// Requests paid from the offline part.
    pub offline: Counter,
    /// Journals that this box sealed.
    pub sealed: Counter,
    /// Sessions renewed because another box had sealed this box's journal.
    pub renewed: Counter,
    /// Seconds from the request to the first byte of its answer.
    pub first_byte: Family<ClassLabel, Histogram>,
}

fn histogram() -> Histogram {
    Histogram::new([0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.55, 1.0, 2.5, 5.0, 10.0])
}

impl Metrics {
    /// Registers all metrics.
    pub fn open() -> Metrics {
        let metrics = Metrics {
            registry: Arc::new(Mutex::new(Registry::with_prefix("flintstall"))),
            requests: Family::default(),
            tokens: Counter::default(),
            in_flight: Gauge::default(),
            platform: Family::default(),
            platform_up: Gauge::default(),
            offline: Counter::default(),
            sealed: Counter::default(),
            renewed: Counter::default(),
            first_byte: Family::new_with_constructor(histogram),
        };
        let mut registry = metrics.registry.lock();
        registry.register("requests", "Requests by outcome", metrics.requests.clone());
        registry.register("tokens", "Tokens charged", metrics.tokens.clone());
        registry.register("requests_under_way", "Requests now", metrics.in_flight.clone());
        registry.register("platform_calls", "Platform calls so far", metrics.platform.clone());
        registry.register("platform_up", "Platform reachable", metrics.platform_up.clone());
        registry.register("offline_requests", "Paid offline", metrics.offline.clone());
        registry.register("journals_sealed", "Journals sealed here", metrics.sealed.clone());
        registry.register("renewals", "Own journal found sealed", metrics.renewed.clone());
        registry.register("first_byte_seconds", "First byte", metrics.first_byte.clone());
        drop(registry);
        metrics
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let written = encode(&mut text, &self.registry.lock());
        written.map(|()| text).unwrap_or_default()
    }
}
