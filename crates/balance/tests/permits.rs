//! Compares four ways to share a rate limit among boxes, by the arrivals at the endpoint over a
//! minute.
//!
//! Each request goes to the limited endpoint if its box may send it, else elsewhere. Callers are
//! spread evenly over the boxes, or all of them use two.

use std::{collections::VecDeque, fmt};

use balance::{Permit, Permits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a run, in milliseconds.
const PLAY: u64 = 60_000;
/// Window in which arrivals are counted, in milliseconds.
const WINDOW: u64 = 4_000;
/// Requests per second over all boxes.
const PER_S: f64 = 60.0;
/// Longest round trip between two boxes, in milliseconds.
const THERE_AND_BACK: u64 = 3;
/// Interval at which boxes publish their use, in milliseconds.
const TOLD_EVERY: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each box has an equal share of the limit, with a burst of one.
    Part,
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
    asked: f64,
}

impl fmt::Debug for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:4} {:5.2} {:6.1}/s", self.most, self.used, self.asked)
    }
}

/// A box's own rate limiter with a burst of one.
#[derive(Debug, Clone, Copy, Default)]
struct Own {
    saved: f64,
    at: u64,
}

impl Own {
    fn take(&mut self, per_s: f64, now: u64) -> bool {
        self.saved = (self.saved + (now - self.at) as f64 * per_s / 1_000.0).min(1.0);
        self.at = now;
        let takes = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(takes));
        takes
    }
}

fn play(way: Way, limit: f64, boxes: usize, callers: Callers) -> Count {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut own = vec![Own::default(); boxes];
    let mut closed = vec![0; boxes];
    let mut use_now = vec![0_u32; boxes];
    let mut use_told = vec![1_u32; boxes];
    let mut turns = Permits::open(0);
    let senders = (limit.floor() as usize).clamp(1, boxes);
    let mut arrivals: VecDeque<u64> = VecDeque::new();
    let (mut sent, mut most, mut asked) = (0, 0, 0);
    for now in 0..PLAY {
        if now % TOLD_EVERY == 0 && now > 0 {
            use_told = std::mem::replace(&mut use_now, vec![0; boxes]);
            asked += if way == Way::ByUse { boxes * (boxes - 1) } else { 0 };
        }
        if !random.random_bool(PER_S / 1_000.0) {
            continue;
        }
        let at = match callers {
            Callers::Even => random.random_range(0..boxes),
            // The last boxes, so that no way depends on which boxes have callers.
            Callers::AtTwo => boxes - 1 - random.random_range(0..boxes.min(2)),
        };
        use_now[at] += 1;
        let mut delay = 0;
        let sends = match way {
            Way::Part => own[at].take(limit / boxes as f64, now),
            Way::ByUse => {
                let all: u32 = use_told.iter().sum::<u32>().max(1);
                own[at].take(limit * f64::from(use_told[at]) / f64::from(all), now)
            }
            Way::Few => at < senders && own[at].take(limit / senders as f64, now),
            Way::Permits if closed[at] > now => false,
            Way::Permits => {
                asked += usize::from(boxes > 1);
                delay = random.random_range(0..=THERE_AND_BACK);
                match turns.take(limit, now) {
                    Permit::Given => true,
                    Permit::After { ms } => {
                        closed[at] = now + ms;
                        false
                    }
                }
            }
        };
        if sends {
            sent += 1;
            arrivals.push_back(now + delay);
            while arrivals.front().is_some_and(|at| at + WINDOW <= now) {
                arrivals.pop_front();
            }
            most = most.max(arrivals.len());
        }
    }
    let seconds = PLAY as f64 / 1_000.0;
    Count { most, used: f64::from(sent) / (limit * seconds), asked: asked as f64 / seconds }
}

/// Number of requests that the limit allows within the window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW as f64 / 1_000.0 + 5.0) as usize
}

const SIZES: [usize; 4] = [1, 7, 75, 300];
const LIMITS: [f64; 3] = [0.4, 1.5, 6.0];

#[test]
fn turns_keep_the_limit_and_use_it_at_all_sizes_wherever_callers_are() {
    for limit in LIMITS {
        for callers in [Callers::Even, Callers::AtTwo] {
            for boxes in SIZES {
                let by = |way| play(way, limit, boxes, callers);
                let (part, by_use, few) = (by(Way::Part), by(Way::ByUse), by(Way::Few));
                let turns = by(Way::Permits);
                let most = allowed(limit);
                println!(
                    "{limit:3} of {most:2}, {boxes:3} {callers:?}: equal shares {part:?}, by use {by_use:?}, few {few:?}, permits {turns:?}"
                );
                assert!(
                    turns.most <= most,
                    "{limit} a second, {boxes} boxes, {callers:?}: {turns:?}"
                );
                assert!(
                    turns.used > 0.9,
                    "{limit} a second, {boxes} boxes, {callers:?}: {turns:?}"
                );
            }
        }
    }
}
