//! Software versions of endpoints, and random releases: an endpoint of a newer version starts, then the
//! oldest one is drained and leaves.
//!
//! Two or three versions of the service of engines serve at a time. Releases have a generator of their
//! own, so that a seed has the same faults with and without them.

use std::{collections::BTreeSet, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fault::{Fault, Kind};

/// Combined with the seed of the run, so that this generator differs from the others.
const SEED_SALT: u64 = 0x7265_6c65_6100;
/// Mean time between two releases.
const MEAN_INTERVAL: Duration = Duration::from_millis(3_500);
/// Shortest and longest time from the start of an endpoint until the oldest one is drained, in
/// milliseconds.
const OVERLAP_MS: (u64, u64) = (300, 2_000);
/// Shortest and longest time for which an endpoint is drained, in milliseconds.
const DRAIN_MS: (u64, u64) = (1_000, 4_000);
/// Largest number of versions that serve at a time.
const MAX_VERSIONS: usize = 3;
/// Probability that an endpoint has a new version, if that is possible.
const NEW_VERSION_PROBABILITY: f64 = 0.7;

/// An endpoint that is started in the run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    pub name: String,
    pub version: String,
}

/// The releases of a run.
#[derive(Debug, Clone, Default)]
pub struct Releases {
    /// Endpoints that are started, in order.
    pub starts: Vec<Start>,
    /// Starts, drains and removals of endpoints.
    pub faults: Vec<Fault>,
}

/// Text form of a version.
pub fn version(number: u64) -> String {
    format!("v{number}")
}

/// Draws the releases of a run. `serving` are the endpoints of engines at its start, oldest first: their
/// numbers and versions; endpoints that are started get the numbers from `next` on.
pub fn draw(seed: u64, serving: &[(usize, u64)], next: usize, length: Duration) -> Releases {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let ms = length.as_millis() as u64;
    let count = ms / MEAN_INTERVAL.as_millis() as u64;
    let mut begins: Vec<u64> = (0..count).map(|_| random.random_range(0..ms)).collect();
    begins.sort_unstable();
    let (mut serving, mut releases) = (serving.to_vec(), Releases::default());
    for (number, begin) in begins.into_iter().enumerate() {
        let overlap = random.random_range(OVERLAP_MS.0..OVERLAP_MS.1);
        let drain = random.random_range(DRAIN_MS.0..DRAIN_MS.1);
        let is_new = random.random_bool(NEW_VERSION_PROBABILITY);
        let versions: BTreeSet<u64> = serving.iter().map(|(_, version)| *version).collect();
        let newest = versions.last().copied().unwrap_or_default();
        let newest = newest + u64::from(is_new && versions.len() < MAX_VERSIONS);
        let (endpoint, _) = serving.remove(0);
        serving.push((next + number, newest));
        let name = format!("e-r{}", number + 1);
        releases.starts.push(Start { name, version: version(newest) });
        let fault = |start: u64, kind| Fault {
            start: Duration::from_millis(start),
            duration: Duration::ZERO,
            kind,
        };
        releases.faults.extend([
            fault(begin, Kind::Release { number }),
            fault(begin + overlap, Kind::Leave { endpoint }),
            fault(begin + overlap + drain, Kind::Remove { endpoint }),
        ]);
    }
    releases
}
