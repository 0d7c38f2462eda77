//! How long an endpoint takes for things that it does again and again.
//!
//! Nothing tells how fast an endpoint makes events or reads prompts, but what comes from it. Each
//! time grows by whatever else the endpoint does meanwhile; what remains in the shortest times is
//! its own speed.

/// Part of the times that lie below the pace: low enough that what is done in between does not
/// count, high enough that events which arrive together do not either.
const QUANTILE: f64 = 0.2;
/// Relative change by one time; some fifty bring the pace to its place.
const GAIN: f64 = 0.05;
/// Times until a pace counts: the shortest of them is where it starts.
const LEAST_SEEN: u32 = 16;

/// A low quantile of observed times.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    ms: f64,
    seen: u32,
}

impl Pace {
    /// Takes in an observed time, in milliseconds.
    pub fn see(&mut self, ms: f64) {
        self.ms = match self.seen {
            0 => ms,
            seen if seen < LEAST_SEEN => self.ms.min(ms),
            _ if ms > self.ms => self.ms * (1.0 + GAIN * QUANTILE),
            _ => self.ms * (1.0 - GAIN * (1.0 - QUANTILE)),
        };
        self.seen = self.seen.saturating_add(1);
    }

    /// Milliseconds, once enough was seen.
    pub fn ms(&self) -> Option<f64> {
        (self.seen >= LEAST_SEEN).then_some(self.ms)
    }
}
