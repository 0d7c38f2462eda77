//! How fast the endpoints of a pool are, each beside the others.
//!
//! An endpoint's own pace comes from the times between the events of its streams.

use crate::Endpoint;

/// An endpoint is slow if its pace is so many times the pool's median. Engines of one make differ
/// by less than a tenth as seen from one box, those of another make by a third.
const SLOW: f64 = 1.2;
/// Times between events after which the median of the paces is taken again.
const MEDIAN_EVERY: u32 = 64;

/// What a box knows of the speed of a pool's endpoints.
#[derive(Debug, Default)]
pub struct Speed {
    /// Median of the paces of all endpoints, in milliseconds.
    median_ms: Option<f64>,
    /// Times between events that were seen.
    events: u32,
}

impl Speed {
    /// One more time between two events was taken into the pace of one of the endpoints.
    pub fn note_event(&mut self, endpoints: &[Endpoint]) {
        self.events = self.events.wrapping_add(1);
        if self.events.is_multiple_of(MEDIAN_EVERY) {
            self.median_ms = median(endpoints.iter().filter_map(|endpoint| endpoint.pace.ms()));
        }
    }

    /// How many times as long as the median an endpoint takes.
    fn slowness(&self, endpoint: &Endpoint) -> f64 {
        endpoint.pace.ms().zip(self.median_ms).map_or(1.0, |(pace, median)| pace / median)
    }

    /// Whether an endpoint makes events much more slowly than most others.
    pub fn is_slow(&self, endpoint: &Endpoint) -> bool {
        self.slowness(endpoint) > SLOW
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
