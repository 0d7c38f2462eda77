//! Limits that endpoints of a run name for a time, and what arrived meanwhile.
//!
//! They are drawn from a seed of their own, so that a seed has the same faults with and without them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::{
    call::{Call, Life},
    endpoint::Id,
    verdict::Disturbance,
};

/// What tells the draw of limits from that of faults.
const SALT: u64 = 0x6c69_6d69_7400;
/// Lowest and highest limit, in tenths of a request a second: callers of five boxes ask for some 30 of each endpoint.
const TENTHS: (u32, u32) = (0, 60);
/// Part of all endpoints that name a limit in a run.
const SHARE: f64 = 0.5;
/// Time for a box to send by a limit that it was told, and time from the first word until the sum is counted: those
/// of the platform.
const TOLD: Duration = Duration::from_millis(500);
const CONTACT: Duration = Duration::from_secs(3);
/// The span in which arrivals are counted, and what may arrive in it besides the limit.
const SPAN: Duration = Duration::from_secs(4);
const SLACK: f64 = 1.5;
const EXTRA: f64 = 5.0;

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

/// A request that reached an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub id: Id,
    pub at: Instant,
    /// The limit that the endpoint named then.
    pub limit: Option<f64>,
    /// Whether there was an answer to name it.
    pub answered: bool,
}

/// What arrived at the endpoints that name limits, by their names.
pub type Arrivals = Arc<Mutex<HashMap<Arc<str>, Vec<Arrival>>>>;

/// Spans in which an endpoint got more than its limit allows of boxes that it had told.
pub fn exceeded(
    arrivals: &HashMap<Arc<str>, Vec<Arrival>>,
    calls: &[Call],
    disturbed: &[Disturbance],
) -> Vec<String> {
    let lives: HashMap<Id, Life> = calls.iter().map(|call| (call.id, call.life)).collect();
    let mut found = Vec::new();
    for (endpoint, arrived) in arrivals {
        let mut told: HashMap<Life, Instant> = HashMap::new();
        let mut counted: Vec<(Instant, f64)> = Vec::new();
        let mut named: Option<Instant> = None;
        for arrival in arrived {
            let Some(life) = lives.get(&arrival.id) else { continue };
            let was_told = told.get(life).is_some_and(|at| *at + TOLD <= arrival.at);
            // Of a box that was cut, paused or started anew nothing is counted for a while.
            let excused = disturbed.iter().any(|disturbance| {
                let ends = disturbance.until.max(disturbance.from + CONTACT);
                disturbance.at == Some(life.at)
                    && (disturbance.from..=ends + SPAN).contains(&arrival.at)
            });
            let Some(limit) = arrival.limit else { continue };
            if arrival.answered {
                told.entry(*life).or_insert(arrival.at);
                named = named.or(Some(arrival.at));
            }
            let is_late = named.is_some_and(|since| since + CONTACT <= arrival.at);
            if was_told && !excused && is_late {
                counted.push((arrival.at, limit));
            }
        }
        for (first, (from, limit)) in counted.iter().enumerate() {
            let within = counted[first..].iter().filter(|(at, _)| *at < *from + SPAN).count();
            let most = limit * SPAN.as_secs_f64() * SLACK + EXTRA;
            if within as f64 > most {
                found.push(format!("{endpoint} got {within} in 4 s, {most} are allowed"));
                break;
            }
        }
    }
    found
}
