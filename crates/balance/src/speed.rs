//! How fast the endpoints of a pool are, each beside the others.
//!
//! An endpoint's own pace comes from the times between the events of its streams; what a prompt
//! takes to be read comes from first events, over all endpoints, since one of them alone sees few
//! long prompts. Both together tell for how long streams pause where a prompt is read.

use crate::{Endpoint, pace::Pace};

/// An endpoint is slow if its pace is so many times the pool's median. Engines of one make differ
/// by less than a tenth as seen from one box, those of another make by a third.
const SLOW: f64 = 1.2;
/// Times between events after which the median of the paces is taken again.
const MEDIAN_EVERY: u32 = 64;
/// Size of what is to be read of a prompt below which its first event tells the time to start.
const LITTLE: u64 = 500;
/// Size of what is to be read of a prompt from which on its first event tells the time to read.
const MUCH: u64 = 4 * LITTLE;

/// What a box knows of the speed of a pool's endpoints.
#[derive(Debug, Default)]
pub struct Speed {
    /// Median of the paces of all endpoints, in milliseconds.
    median_ms: Option<f64>,
    /// Times between events that were seen.
    events: u32,
    /// Time to the first event of a prompt with little to read, at a typical endpoint.
    start: Pace,
    /// Time to read one more unit of a prompt, at a typical endpoint.
    unit: Pace,
}

impl Speed {
    /// One more time between two events was taken into the pace of one of the endpoints.
    pub fn note_event(&mut self, endpoints: &[Endpoint]) {
        self.events = self.events.wrapping_add(1);
        if self.events.is_multiple_of(MEDIAN_EVERY) {
            self.median_ms = median(endpoints.iter().filter_map(|endpoint| endpoint.pace.ms()));
        }
    }

    /// An endpoint that had `missing` of a prompt to read began its answer after this long.
    pub fn note_first_event(&mut self, endpoint: &Endpoint, missing: u64, took_ms: f64) {
        let typical_ms = took_ms / self.slowness(endpoint);
        match (missing, self.start.ms()) {
            (..LITTLE, _) => self.start.see(typical_ms),
            (MUCH.., Some(start_ms)) => {
                self.unit.see((typical_ms - start_ms).max(0.0) / missing as f64);
            }
            _ => {}
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

    /// Longest pause of streams at an endpoint that reads so much in a row, in milliseconds.
    pub fn pause_ms(&self, endpoint: &Endpoint, size: f64) -> f64 {
        let reading_ms = self.unit.ms().unwrap_or(0.0) * size;
        (reading_ms + self.median_ms.unwrap_or(0.0)) * self.slowness(endpoint)
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
