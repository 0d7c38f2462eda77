//! Use a second, averaged over the last seconds.

use tokio::time::Instant;

/// Time over which the rate of use is averaged, in seconds.
const RATE_S: f64 = 6.0;
/// Shortest time over which use is averaged, in seconds: one large request that comes first says
/// little about the ones after it.
const LEAST_OBSERVED_S: f64 = 2.0;

/// Use a second.
///
/// The sum fades with [`RATE_S`]. It is divided by the part of that window that was observed, so
/// that the use of a box that just started isn't taken for less than it is.
#[derive(Debug, Default)]
pub struct Rate {
    sum: f64,
    /// When the first use was seen.
    since: Option<Instant>,
    at: Option<Instant>,
}

impl Rate {
    /// Tokens were held for a request.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.decay(now);
        self.since.get_or_insert(now);
        self.sum += tokens as f64;
    }

    /// Tokens a second.
    pub fn per_second(&mut self, now: Instant) -> u64 {
        self.over(1.0, now)
    }

    /// Tokens used in so many seconds.
    pub fn over(&mut self, seconds: f64, now: Instant) -> u64 {
        self.decay(now);
        let Some(since) = self.since else { return 0 };
        let observed = now.saturating_duration_since(since).as_secs_f64().max(LEAST_OBSERVED_S);
        let window = RATE_S * (1.0 - (-observed / RATE_S).exp());
        (self.sum / window * seconds) as u64
    }

    fn decay(&mut self, now: Instant) {
        let passed = self.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.sum *= (-passed / RATE_S).exp();
        self.at = Some(now);
    }
}
