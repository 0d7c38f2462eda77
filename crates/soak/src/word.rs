//! Random announcements that endpoints make in the heads of responses.
//!
//! An endpoint announces that it leaves while its entry in the store still lists it as ready, or it
//! rejects requests and asks the sending box for a back-off. The announcements have a generator of
//! their own, so that a seed has the same faults with and without them.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Combined with the seed of the run, so that this generator differs from those for limits and faults.
const SALT: u64 = 0x776f_7264_7300;
/// Probability that an endpoint leaves, unless it is the last one of its service.
const LEAVES: f64 = 0.5;
/// The same draw decides: an endpoint that does not leave asks for back-offs if the draw is below this.
const RESTS: f64 = 0.6;
/// Shortest and longest back-off, in milliseconds.
const ASKS_MS: Range<u64> = 600..4_000;

/// What an endpoint announces; times count from the start of the load.
#[derive(Debug, Clone, PartialEq)]
pub enum Word {
    /// It leaves at this time.
    Leaves { from: Duration },
    /// It rejects all requests for a time, and asks each box for a back-off.
    Rests { within: Range<Duration>, asks: Duration },
}

impl Word {
    /// Whether the endpoint announces at this time that it leaves.
    pub fn leaves(&self, now: Duration) -> bool {
        matches!(self, Word::Leaves { from } if *from <= now)
    }

    /// The back-off that the endpoint asks for at this time.
    pub fn asks(&self, now: Duration) -> Option<Duration> {
        match self {
            Word::Rests { within, asks } => within.contains(&now).then_some(*asks),
            Word::Leaves { .. } => None,
        }
    }
}

/// Draws the announcements of a run, by number of the endpoint. The last endpoint of each service
/// does not leave.
pub fn draw(seed: u64, services: &[&str], length: Duration) -> BTreeMap<usize, Word> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SALT);
    let ms = length.as_millis() as u64;
    let mut at = |range: Range<u64>| Duration::from_millis(random.random_range(range));
    let mut words = BTreeMap::new();
    for (number, service) in services.iter().enumerate() {
        let (from, begins) = (at(ms / 5..ms / 2), at(0..ms / 2));
        let (lasts, asks) = (at(ms / 8..ms / 2), at(ASKS_MS));
        let chance = at(0..1_000).as_secs_f64();
        let is_last = services[number + 1..].iter().all(|other| other != service);
        if !is_last && chance < LEAVES {
            words.insert(number, Word::Leaves { from });
        } else if chance < RESTS {
            words.insert(number, Word::Rests { within: begins..begins + lasts, asks });
        }
    }
    words
}
