//! Limits that endpoints of a run name for a time.
//!
//! They are drawn from a seed of their own, so that a seed has the same faults with and without them.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What tells the draw of limits from that of faults.
const SALT: u64 = 0x6c69_6d69_7400;
/// Lowest and highest limit, in tenths of a request a second: callers of five boxes ask for some 30 of each endpoint.
const TENTHS: (u32, u32) = (0, 60);
/// Part of all endpoints that name a limit in a run.
const SHARE: f64 = 0.5;
/// A limit that an endpoint names for a time of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    pub per_s: f64,
    /// From the start of the load.
    pub from: Duration,
    pub until: Duration,
}

/// Limits of a run, by the number of the endpoint.
pub fn draw(seed: u64, endpoints: usize, length: Duration) -> BTreeMap<usize, Need> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SALT);
    let ms = length.as_millis() as u64;
    let mut needs = BTreeMap::new();
    for endpoint in 0..endpoints {
        let per_s = f64::from(random.random_range(TENTHS.0..TENTHS.1)) / 10.0;
        let from = Duration::from_millis(random.random_range(0..ms / 2));
        let lasts = Duration::from_millis(random.random_range(ms / 3..ms));
        let need = Need { per_s, from, until: from + lasts };
        if random.random_bool(SHARE) {
            needs.insert(endpoint, need);
        }
    }
    needs
}
