//! A limit that all boxes share, kept in four ways, counted at an endpoint over a minute.
//!
//! Each request of a box would go to the limited endpoint; one that gets no turn goes elsewhere. Callers are spread
//! evenly over the boxes, or all of them come to two.

use std::{collections::VecDeque, fmt};

use balance::{Permit, Permits};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a play, in milliseconds.
const PLAY: u64 = 60_000;
/// The window in which arrivals are counted, in milliseconds.
const WINDOW: u64 = 4_000;
/// Requests a second that callers send to all boxes together.
const PER_S: f64 = 60.0;
/// A question to another box and its answer take so long at most, in milliseconds.
const THERE_AND_BACK: u64 = 3;
/// Time between two words of a box on its use, in milliseconds.
const TOLD_EVERY: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Each box sends its part by the number of boxes, one request at once.
    Part,
    /// Each box sends its part by the use that all told last.
    ByUse,
    /// As many boxes as the limit allows requests a second, by hash, send all.
    Few,
    /// One box hands out turns.
    Permits,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Callers {
    Even,
    AtTwo,
}

/// What was counted.
#[derive(Clone, Copy)]
struct Count {
    /// Most arrivals within the window.
    most: usize,
    /// Part of the limit that was used.
    used: f64,
    /// Questions to other boxes a second.
    asked: f64,
}

impl fmt::Debug for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:4} {:5.2} {:6.1}/s", self.most, self.used, self.asked)
    }
}

/// What a box may send by itself: a rate, one request at once.
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
            // The last ones: no way may rely on which they are.
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

/// What a limit allows within the window, as the platform counts it.
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
                    "{limit:3} of {most:2}, {boxes:3} {callers:?}: part {part:?}, by use {by_use:?}, few {few:?}, turns {turns:?}"
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
