//! Latencies in histograms, and fits of a cost to a size.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// A histogram of durations, in microseconds.
#[derive(Debug, Clone)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Times {
        Times(Histogram::new(3).expect("three digits are allowed"))
    }
}

impl Times {
    /// Adds a duration.
    pub fn add(&mut self, time: Duration) {
        // Recording, unlike saturating recording, lets the histogram grow.
        let _ = self.0.record(time.as_micros() as u64);
    }

    /// Milliseconds that a share of all durations does not exceed.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Adds all durations of another.
    pub fn merge(&mut self, other: &Times) {
        let _ = self.0.add(&other.0);
    }

    /// Number of durations.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// p50, p95 and p99 in milliseconds.
    pub fn summary(&self) -> Value {
        let rounded = |quantile: f64| (self.ms(quantile) * 1_000.0).round() / 1_000.0;
        json!({
            "count": self.len(), "p50_ms": rounded(0.5), "p95_ms": rounded(0.95),
            "p99_ms": rounded(0.99),
        })
    }
}

impl Extend<Duration> for Times {
    fn extend<T: IntoIterator<Item = Duration>>(&mut self, times: T) {
        times.into_iter().for_each(|time| self.add(time));
    }
}
