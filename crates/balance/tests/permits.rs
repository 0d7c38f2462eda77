//! Compares four policies to share a rate limit among boxes, by the arrivals at the endpoint over a
//! minute.
//!
//! Each request goes to the limited endpoint if its box may send it, else elsewhere. Callers are
//! spread evenly over the boxes, or all of them use two.

use std::{collections::VecDeque, fmt};

use balance::{Permit, Permits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a run, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Window in which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Requests per second over all boxes.
const PER_S: f64 = 60.0;
/// Longest round trip between two boxes, in milliseconds.
const ROUND_TRIP_MS: u64 = 3;
/// Interval at which boxes publish their use, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Each box has an equal share of the limit, with a burst of one.
    EqualShares,
    /// Each box has a share by the use that was published last.
    ByUse,
    /// Only as many boxes send as the limit allows requests per second, chosen by hash.
    Few,
    /// One box issues permits.
    Permits,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Callers {
    Even,
    AtTwo,
}

/// Result of a run.
#[derive(Clone, Copy)]
struct Count {
    /// Maximum number of arrivals within the window.
    most: usize,
    /// Fraction of the limit that was used.
    used: f64,
    /// Messages to other boxes per second.
    messages: f64,
}

impl fmt::Debug for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:4} {:5.2} {:6.1}/s", self.most, self.used, self.messages)
    }
}

/// A box's own rate limiter with a burst of one.
#[derive(Debug, Clone, Copy, Default)]
struct Limiter {
    available: f64,
    at: u64,
}

impl Limiter {
    fn take(&mut self, per_s: f64, now: u64) -> bool {
        self.available = (self.available + (now - self.at) as f64 * per_s / 1_000.0).min(1.0);
        self.at = now;
        let is_allowed = self.available >= 1.0;
        self.available -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}

fn run(policy: Policy, limit: f64, boxes: usize, callers: Callers) -> Count {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut limiters = vec![Limiter::default(); boxes];
    let mut retry_at = vec![0; boxes];
    let mut use_now = vec![0_u32; boxes];
    let mut published_use = vec![1_u32; boxes];
    let mut permits = Permits::open(0);
    let senders = (limit.floor() as usize).clamp(1, boxes);
    let mut arrivals: VecDeque<u64> = VecDeque::new();
    let (mut sent, mut most, mut messages) = (0, 0, 0);
    for now in 0..RUN_MS {
        if now % PUBLISH_INTERVAL_MS == 0 && now > 0 {
            published_use = std::mem::replace(&mut use_now, vec![0; boxes]);
            messages += if policy == Policy::ByUse { boxes * (boxes - 1) } else { 0 };
        }
        if !random.random_bool(PER_S / 1_000.0) {
            continue;
        }
        let at = match callers {
            Callers::Even => random.random_range(0..boxes),
            // The last boxes, so that no policy depends on which boxes have callers.
            Callers::AtTwo => boxes - 1 - random.random_range(0..boxes.min(2)),
        };
        use_now[at] += 1;
        let mut delay = 0;
        let sends = match policy {
            Policy::EqualShares => limiters[at].take(limit / boxes as f64, now),
            Policy::ByUse => {
                let all: u32 = published_use.iter().sum::<u32>().max(1);
                limiters[at].take(limit * f64::from(published_use[at]) / f64::from(all), now)
            }
            Policy::Few => at < senders && limiters[at].take(limit / senders as f64, now),
            Policy::Permits if retry_at[at] > now => false,
            Policy::Permits => {
                messages += usize::from(boxes > 1);
                delay = random.random_range(0..=ROUND_TRIP_MS);
                match permits.take(limit, now) {
                    Permit::Granted => true,
                    Permit::After { ms } => {
                        retry_at[at] = now + ms;
                        false
                    }
                }
            }
        };
        if sends {
            sent += 1;
            arrivals.push_back(now + delay);
            while arrivals.front().is_some_and(|at| at + WINDOW_MS <= now) {
                arrivals.pop_front();
            }
            most = most.max(arrivals.len());
        }
    }
    let seconds = RUN_MS as f64 / 1_000.0;
    Count { most, used: f64::from(sent) / (limit * seconds), messages: messages as f64 / seconds }
}

/// Number of requests that the limit allows within the window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

const SIZES: [usize; 4] = [1, 7, 75, 300];
const LIMITS: [f64; 3] = [0.4, 1.5, 6.0];

#[test]
fn permits_keep_and_use_the_limit_for_all_fleets_and_callers() {
    for limit in LIMITS {
        for callers in [Callers::Even, Callers::AtTwo] {
            for boxes in SIZES {
                let by = |policy| run(policy, limit, boxes, callers);
                let (equal_shares, by_use, few) =
                    (by(Policy::EqualShares), by(Policy::ByUse), by(Policy::Few));
                let permits = by(Policy::Permits);
                let most = allowed(limit);
                println!(
                    "{limit:3} of {most:2}, {boxes:3} {callers:?}: equal shares {equal_shares:?}, by use {by_use:?}, few {few:?}, permits {permits:?}"
                );
                assert!(
                    permits.most <= most,
                    "{limit} a second, {boxes} boxes, {callers:?}: {permits:?}"
                );
                assert!(
                    permits.used > 0.9,
                    "{limit} a second, {boxes} boxes, {callers:?}: {permits:?}"
                );
            }
        }
    }
}
