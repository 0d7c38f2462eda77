//! Estimate of the typical time that an endpoint takes for a repeated task, such as the next event
//! of a stream.
//!
//! Endpoints do not report how fast they are, so this is estimated from observed times. Each
//! observed time also contains other work that the endpoint does meanwhile; the shortest times come
//! closest to its own speed, so a low quantile is tracked.

/// Quantile that is tracked: low enough to exclude other work of the endpoint, high enough to
/// exclude events that arrive together.
const QUANTILE: f64 = 0.2;
/// Step of the estimate, relative to its value.
const GAIN: f64 = 0.05;
/// Observations before the estimate is valid; it starts from the shortest of them.
const MIN_SAMPLES: u32 = 16;

/// A low quantile of observed times.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    ms: f64,
    samples: u32,
}

impl Pace {
    /// Adds an observed time, in milliseconds.
    pub fn record(&mut self, ms: f64) {
        self.ms = match self.samples {
            0 => ms,
            samples if samples < MIN_SAMPLES => self.ms.min(ms),
            _ if ms > self.ms => self.ms * (1.0 + GAIN * QUANTILE),
            _ => self.ms * (1.0 - GAIN * (1.0 - QUANTILE)),
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// The estimate in milliseconds, once there are enough observations.
    pub fn ms(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.ms)
    }
}
