//! Relative speed of the endpoints of a pool.
//!
//! The speed of an endpoint is estimated from the times between the events of its streams.

use crate::Endpoint;

/// An endpoint is slow if its pace exceeds this multiple of the pool's median. Above the variation
/// among engines of one type, below the difference to a slower type.
const SLOW_FACTOR: f64 = 1.2;
/// Number of event gaps after which the median is computed anew.
const MEDIAN_INTERVAL: u32 = 64;

/// Speed of a pool's endpoints, as one box observes it.
#[derive(Debug, Default)]
pub struct Speed {
    /// Median pace of all endpoints, in milliseconds.
    median_ms: Option<f64>,
    /// Event gaps observed so far.
    gaps: u32,
}

impl Speed {
    /// Counts an event gap that was added to the pace of one of the endpoints.
    pub fn count_gap(&mut self, endpoints: &[Endpoint]) {
        self.gaps = self.gaps.wrapping_add(1);
        if self.gaps.is_multiple_of(MEDIAN_INTERVAL) {
            self.median_ms = median(endpoints.iter().filter_map(|endpoint| endpoint.pace.ms()));
        }
    }

    /// Pace of an endpoint as a multiple of the median.
    fn slowness(&self, endpoint: &Endpoint) -> f64 {
        endpoint.pace.ms().zip(self.median_ms).map_or(1.0, |(pace, median)| pace / median)
    }

    /// Whether an endpoint is much slower than most others.
    pub fn is_slow(&self, endpoint: &Endpoint) -> bool {
        self.slowness(endpoint) > SLOW_FACTOR
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
