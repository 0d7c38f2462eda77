//! How fast a box draws on one budget.

use std::time::Duration;

use tokio::time::Instant;

/// Half-life of the observed rate.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// A decaying rate of tokens charged, and the largest reservation lately.
#[derive(Debug)]
pub struct Usage {
    rate: f64,
    largest: f64,
    peak: u64,
    at: Instant,
}

impl Default for Usage {
    fn default() -> Usage {
        Usage { rate: 0.0, largest: 0.0, peak: 0, at: Instant::now() }
    }
}

impl Usage {
    fn decay(&mut self) {
        let age = self.at.elapsed().as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(age);
        self.rate *= kept;
        self.largest *= kept;
        self.at = Instant::now();
    }

    /// A request reserved `tokens`.
    pub fn reserved(&mut self, tokens: u64) {
        self.decay();
        self.largest = self.largest.max(tokens as f64);
        self.expect(tokens);
    }

    /// Requests of up to `tokens` may come.
    pub fn expect(&mut self, tokens: u64) {
        self.peak = self.peak.max(tokens);
    }

    /// A request was charged `tokens`.
    pub fn charged(&mut self, tokens: u64) {
        self.decay();
        let per_second = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        self.rate += tokens as f64 * per_second;
    }

    /// Tokens a second, the largest reservation lately, and the largest ever.
    pub fn read(&mut self) -> (u64, u64, u64) {
        self.decay();
        (self.rate.round() as u64, self.largest.round() as u64, self.peak)
    }
}
