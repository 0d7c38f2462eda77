//! Histograms of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// A histogram of durations, with microsecond resolution.
#[derive(Debug, Clone)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Durations {
        Durations(Histogram::new(3).expect("three significant digits are supported"))
    }
}

impl Durations {
    /// Adds a duration.
    pub fn add(&mut self, time: Duration) {
        // `record` grows the histogram as needed; `saturating_record` would not.
        let _ = self.0.record(time.as_micros() as u64);
    }

    /// Returns the duration at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Adds all durations of another histogram.
    pub fn merge(&mut self, other: &Durations) {
        let _ = self.0.add(&other.0);
    }

    /// Returns the number of durations.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Returns the count, and p50, p95 and p99 in milliseconds.
    pub fn summary(&self) -> Value {
        let rounded = |quantile: f64| (self.quantile_ms(quantile) * 1_000.0).round() / 1_000.0;
        json!({
            "count": self.len(), "p50_ms": rounded(0.5), "p95_ms": rounded(0.95),
            "p99_ms": rounded(0.99),
        })
    }
}

impl Extend<Duration> for Durations {
    fn extend<T: IntoIterator<Item = Duration>>(&mut self, times: T) {
        times.into_iter().for_each(|time| self.add(time));
    }
}
