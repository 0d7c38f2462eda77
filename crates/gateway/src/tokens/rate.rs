//! Use per second, averaged over the last seconds.

use tokio::time::Instant;

/// Time constant of the average, in seconds.
const TIME_CONSTANT_S: f64 = 6.0;
/// Shortest observed time to divide by, in seconds, as a single large first request says little
/// about the next ones.
const MIN_OBSERVED_S: f64 = 2.0;

/// Use per second, as an exponentially decaying average.
///
/// The sum is divided by the part of the window that was observed, so that the rate of a box that
/// just started is not underestimated.
#[derive(Debug, Default)]
pub struct Rate {
    sum: f64,
    /// When the first use was counted.
    since: Option<Instant>,
    updated: Option<Instant>,
}

impl Rate {
    /// Counts tokens as used.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.decay(now);
        self.since.get_or_insert(now);
        self.sum += tokens as f64;
    }

    /// Returns the tokens used per second.
    pub fn per_second(&mut self, now: Instant) -> u64 {
        self.used_in(1.0, now)
    }

    /// Returns the tokens used in this many seconds.
    pub fn used_in(&mut self, seconds: f64, now: Instant) -> u64 {
        self.decay(now);
        let Some(since) = self.since else { return 0 };
        let observed = now.saturating_duration_since(since).as_secs_f64().max(MIN_OBSERVED_S);
        let window = TIME_CONSTANT_S * (1.0 - (-observed / TIME_CONSTANT_S).exp());
        (self.sum / window * seconds) as u64
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self
            .updated
            .map_or(0.0, |updated| now.saturating_duration_since(updated).as_secs_f64());
        self.sum *= (-elapsed / TIME_CONSTANT_S).exp();
        self.updated = Some(now);
    }
}
