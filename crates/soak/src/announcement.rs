//! Random announcements that endpoints make in the heads of responses.
//!
//! An endpoint announces that it leaves while its entry in the store still lists it as ready, or it
//! rejects requests and asks the sending box for a back-off. The announcements have a generator of
//! their own, so that a seed has the same faults with and without them.

use std::{collections::BTreeMap, ops::Range, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Combined with the seed of the run, so that this generator differs from the others.
const SEED_SALT: u64 = 0x776f_7264_7300;
/// Probability that an endpoint leaves, unless it is the last one of its service.
const LEAVING_PROBABILITY: f64 = 0.5;
/// An endpoint that does not leave asks for back-offs if the same random number is below this.
const BACK_OFF_THRESHOLD: f64 = 0.6;
/// Shortest and longest back-off, in milliseconds.
const BACK_OFF_MS: Range<u64> = 600..4_000;

/// What an endpoint announces; times count from the start of the load.
#[derive(Debug, Clone, PartialEq)]
pub enum Announcement {
    /// It leaves at this time.
    Leaving { from: Duration },
    /// It rejects all requests for a time, and asks each box for a back-off.
    BackOff { within: Range<Duration>, back_off: Duration },
}

impl Announcement {
    /// Whether the endpoint announces at this time that it leaves.
    pub fn leaves(&self, now: Duration) -> bool {
        matches!(self, Announcement::Leaving { from } if *from <= now)
    }

    /// The back-off that the endpoint asks for at this time.
    pub fn back_off(&self, now: Duration) -> Option<Duration> {
        match self {
            Announcement::BackOff { within, back_off } => {
                within.contains(&now).then_some(*back_off)
            }
            Announcement::Leaving { .. } => None,
        }
    }
}

/// Draws the announcements of a run, by number of the endpoint. The last endpoint of each service
/// does not leave.
pub fn draw(seed: u64, services: &[&str], length: Duration) -> BTreeMap<usize, Announcement> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let ms = length.as_millis() as u64;
    let mut at = |range: Range<u64>| Duration::from_millis(random.random_range(range));
    let mut announcements = BTreeMap::new();
    for (number, service) in services.iter().enumerate() {
        let (from, start) = (at(ms / 5..ms / 2), at(0..ms / 2));
        let (duration, back_off) = (at(ms / 8..ms / 2), at(BACK_OFF_MS));
        let chance = at(0..1_000).as_secs_f64();
        let is_last = services[number + 1..].iter().all(|other| other != service);
        if !is_last && chance < LEAVING_PROBABILITY {
            announcements.insert(number, Announcement::Leaving { from });
        } else if chance < BACK_OFF_THRESHOLD {
            announcements.insert(
                number,
                Announcement::BackOff { within: start..start + duration, back_off },
            );
        }
    }
    announcements
}
