//! How fast an endpoint makes the events of its streams.
//!
//! Endpoints of one pool are not equally fast, and nothing tells so but their streams. The time
//! between two events grows by whatever the endpoint does between them, such as reading prompts;
//! what remains in its shortest times is its own speed.

/// Part of the times between events that lie below the pace: low enough that prompts which are
/// read in between do not count, high enough that events which arrive together do not either.
const QUANTILE: f64 = 0.2;
/// Relative change by one time between events; some fifty bring it to its place.
const GAIN: f64 = 0.05;
/// Times between events until a pace counts: the shortest of them is where it starts.
const LEAST_SEEN: u32 = 16;
/// Shortest time between two events that says something, in milliseconds: below it they came
/// together.
const SHORTEST_MS: f64 = 1.0;

/// A low quantile of the times between events of an endpoint's streams.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    ms: f64,
    seen: u32,
}

impl Pace {
    /// Takes in a time between two events, in milliseconds.
    pub fn see(&mut self, gap_ms: f64) {
        if gap_ms < SHORTEST_MS {
            return;
        }
        self.ms = match self.seen {
            0 => gap_ms,
            seen if seen < LEAST_SEEN => self.ms.min(gap_ms),
            _ if gap_ms > self.ms => self.ms * (1.0 + GAIN * QUANTILE),
            _ => self.ms * (1.0 - GAIN * (1.0 - QUANTILE)),
        };
        self.seen = self.seen.saturating_add(1);
    }

    /// Milliseconds between two events, once enough were seen.
    pub fn ms(&self) -> Option<f64> {
        (self.seen >= LEAST_SEEN).then_some(self.ms)
    }
}
