//! Random rate limits of endpoints.
//!
//! They have a generator of their own, so that a seed has the same faults with and without limits.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Combined with the seed of the run, so that this generator differs from the others.
const SEED_SALT: u64 = 0x6c69_6d69_7400;
/// Lowest and highest limit, in tenths of a request a second; far below what callers ask for.
const LIMIT_TENTHS_PER_S: (u32, u32) = (0, 60);
/// Probability that an endpoint announces a limit.
const LIMIT_PROBABILITY: f64 = 0.5;

/// A rate limit that an endpoint announces for a part of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests a second from all boxes together.
    pub per_s: f64,
    /// Time since the start of the load.
    pub from: Duration,
    pub until: Duration,
}

/// Draws the limits of a run, by number of the endpoint.
pub fn draw(seed: u64, endpoints: usize, length: Duration) -> BTreeMap<usize, Limit> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let ms = length.as_millis() as u64;
    let mut limits = BTreeMap::new();
    for endpoint in 0..endpoints {
        let per_s =
            f64::from(random.random_range(LIMIT_TENTHS_PER_S.0..LIMIT_TENTHS_PER_S.1)) / 10.0;
        let from = Duration::from_millis(random.random_range(0..ms / 2));
        let duration = Duration::from_millis(random.random_range(ms / 3..ms));
        let limit = Limit { per_s, from, until: from + duration };
        if random.random_bool(LIMIT_PROBABILITY) {
            limits.insert(endpoint, limit);
        }
    }
    limits
}
