//! Token usage of a box in one budget.

use std::time::Duration;

use tokio::time::Instant;

/// Half-life of the rate and of the largest recent reservation.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Exponentially decaying rate of charged tokens and size of the largest recent reservation.
#[derive(Debug)]
pub struct Usage {
    rate: f64,
    largest: f64,
    peak: u64,
    updated_at: Instant,
}

impl Default for Usage {
    fn default() -> Usage {
        Usage { rate: 0.0, largest: 0.0, peak: 0, updated_at: Instant::now() }
    }
}

impl Usage {
    fn decay(&mut self) {
        let age = self.updated_at.elapsed().as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(age);
        self.rate *= factor;
        self.largest *= factor;
        self.updated_at = Instant::now();
    }

    /// Records a reservation.
    pub fn record_reservation(&mut self, tokens: u64) {
        self.decay();
        self.largest = self.largest.max(tokens as f64);
        self.prepare(tokens);
    }

    /// Prepares for requests of up to `tokens`.
    pub fn prepare(&mut self, tokens: u64) {
        self.peak = self.peak.max(tokens);
    }

    /// Records a charge.
    pub fn record_charge(&mut self, tokens: u64) {
        self.decay();
        let per_second = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        self.rate += tokens as f64 * per_second;
    }

    /// Tokens per second, the largest recent reservation, and the largest one ever expected.
    pub fn read(&mut self) -> (u64, u64, u64) {
        self.decay();
        (self.rate.round() as u64, self.largest.round() as u64, self.peak)
    }
}
