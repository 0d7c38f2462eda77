//! Random faults of endpoints in trouble.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault::{Fault, Kind};

/// Combined with the seed of the run, so that this generator differs from the others.
const SEED_SALT: u64 = 0x7472_6f75_6200;
/// Mean time between two faults.
const MEAN_INTERVAL: Duration = Duration::from_millis(600);
/// Shortest and longest duration of a fault, in milliseconds.
const DURATION_MS: (u64, u64) = (100, 3_000);

/// Draws the faults of a run.
pub fn draw(seed: u64, boxes: usize, endpoints: usize, length: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let count = length.as_millis() / MEAN_INTERVAL.as_millis();
    let fault = |_| {
        let start = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
        let duration = Duration::from_millis(random.random_range(DURATION_MS.0..DURATION_MS.1));
        let endpoint = random.random_range(0..endpoints);
        let box_index = random.random_range(0..boxes);
        let kind = match random.random_range(0..10) {
            0..3 => Kind::SuspendEndpoint { endpoint },
            3..5 => Kind::CrashEndpoint { endpoint, takes_over: false },
            5 => Kind::CrashEndpoint { endpoint, takes_over: true },
            6..8 => Kind::LoseRequests { endpoint, box_index },
            _ => Kind::LoseResponses { endpoint, box_index },
        };
        Fault { start, duration, kind }
    };
    (0..count).map(fault).collect()
}
