//! Turns at an endpoint that names how much it takes from all boxes together.
//!
//! One box hands them out, one by one and when they are needed: a turn is used at once, none is kept in store, so that
//! what all boxes send is what this box gave, however many they are and whichever of them has callers. A part for each
//! box instead breaks the sum or starves it. Counted over a minute of 60 requests a second, for a limit of 6 a second
//! (`tests/turns.rs`): most requests within 4 s, of 41 that are allowed, and the part of the limit that was used.
//!
//! | boxes | callers at | a part each | parts by use, told each second | few boxes by hash | turns | questions a second |
//! |---|---|---|---|---|---|---|
//! | 1 | it | 23, 0.91 | 23, 0.91 | 23, 0.91 | 25, 1.00 | 0 |
//! | 7 | all | 25, 0.90 | 25, 0.89 | 24, 0.89 | 26, 1.00 | 18 |
//! | 75 | all | 75, 0.83 | 17, 0.39 | 15, 0.44 | 26, 1.00 | 19 |
//! | 75 | two | 2, 0.02 | 24, 0.89 | 0, 0.00 | 25, 1.00 | 17 |
//! | 300 | all | 162, 0.72 | 1, 0.00 | 9, 0.18 | 25, 1.00 | 34 |
//! | 300 | two | 2, 0.01 | 24, 0.89 | 0, 0.00 | 25, 1.00 | 17 |
//!
//! Whoever gets none is told when to ask again, each later than the one before, so that some twice as many ask as there
//! are turns, and never all boxes at once. A request that takes a turn waits for one question, a millisecond or two, and
//! only where its endpoint names a limit.

/// Turns that are saved while nobody asks, as seconds of the limit, beside one: callers come in clumps. Of the 2 L + 5
/// requests by which the sum over 4 s may exceed the limit, this takes L / 2 + 1, and as much again where another box
/// takes over; the rest is for requests that arrive later than they left.
const SAVED_S: f64 = 0.5;
/// Milliseconds after which an endpoint is asked by a request although it takes none now: only its answers say when it
/// takes more. One request in 5 s is far below the five in 4 s that any limit allows besides.
const ASK_AGAIN: u64 = 5_000;
/// Those who are told to come again are half of a turn apart, as some find no use for theirs by then.
const APART: f64 = 0.5;
/// Longest time after which anyone is told to come again, in milliseconds: callers wait no longer, and a limit may
/// have ended by then.
const MOST_AFTER: u64 = 5_000;

/// What one box hands out at one endpoint, in milliseconds of that box.
#[derive(Debug, Clone)]
pub struct Permits {
    saved: f64,
    /// When the turns saved were counted last.
    at: u64,
    /// When a turn was given last.
    given: u64,
    /// When the last one who got none is to come again.
    last_told: u64,
}

/// What comes of asking for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// A request may be sent at once.
    Given,
    /// None is left; to be asked for again after so many milliseconds.
    After { ms: u64 },
}

impl Permits {
    /// None are saved: another box may have given some a moment ago.
    pub fn open(now: u64) -> Permits {
        Permits { saved: 0.0, at: now, given: now, last_told: now }
    }

    /// Takes a turn at an endpoint that takes so many requests a second.
    pub fn take(&mut self, per_s: f64, now: u64) -> Permit {
        let passed_s = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.saved = (self.saved + passed_s * per_s).min(1.0 + SAVED_S * per_s);
        self.at = now;
        if self.saved >= 1.0 || now >= self.given + ASK_AGAIN {
            self.saved = (self.saved - 1.0).max(0.0);
            self.given = now;
            return Permit::Given;
        }
        // The next one that is saved up, or the one by which the endpoint is asked again; no turns at all take for ever.
        let saved_up = ((1.0 - self.saved) * 1_000.0 / per_s).min(MOST_AFTER as f64).ceil() as u64;
        let next = (now + saved_up).min(self.given + ASK_AGAIN);
        let apart = (APART * 1_000.0 / per_s).min(MOST_AFTER as f64) as u64;
        self.last_told = (self.last_told + apart).clamp(next, now + MOST_AFTER);
        Permit::After { ms: self.last_told - now }
    }
}
