//! What a cold endpoint bears, shared by all boxes with no word exchanged.
//!
//! An endpoint that just started, or that was empty for a while, bears so few requests a second that a fleet
//! must share them: each box sees only its own. As many boxes as the endpoint may get requests in a second
//! send it one a second each, chosen by rendezvous hashing, so that all boxes agree on them and each cold
//! endpoint has others. In a fleet of fewer boxes than that, all do, each its part.
//!
//! The load: a quarter of 140 engines comes back at once, and each of 75 boxes sees 35 idle engines that win
//! every comparison of load.

use std::sync::Arc;

/// Requests of a box are so much further apart than its part asks for, as a factor: two that leave a second
/// apart may arrive closer.
const APART: f64 = 1.1;

/// Part of what a cold endpoint may get in a second that boxes send it: the rest is for requests that were
/// on their way when it turned cold, and for boxes that know another fleet. With half of that used, days on which
/// many cold engines meet a burst had a mean worth of 0.379, with this 0.391, with no bound at all 0.418 (four
/// plays each; two of one day differ by 0.05).
const USED: f64 = 0.85;

/// What a cold endpoint bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Most requests that it may get within any second, from all boxes together.
    pub per_s: f64,
    /// Milliseconds for which an endpoint is cold that does not say it itself.
    pub duration_ms: u64,
}

/// The boxes that share what cold endpoints bear.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// This box.
    pub me: Arc<str>,
    /// The others.
    pub others: Vec<Arc<str>>,
}

impl Allowance {
    /// Milliseconds between two requests of this box to a cold endpoint; `None` if others send them.
    pub fn every_ms(self, fleet: &Fleet, endpoint: &str) -> Option<u64> {
        let boxes = fleet.others.len() as f64 + 1.0;
        let per_s = self.per_s * USED;
        let senders = per_s.floor().clamp(1.0, boxes);
        let mine = member::weight(endpoint, &fleet.me);
        let before =
            |other: &Arc<str>| (member::weight(endpoint, other), other) > (mine, &fleet.me);
        let rank = fleet.others.iter().filter(|other| before(other)).count();
        let each_per_s = (per_s / senders).min(if senders < boxes { 1.0 } else { f64::MAX });
        ((rank as f64) < senders).then(|| (1_000.0 * APART / each_per_s).ceil() as u64)
    }
}

/// When a box may send a cold endpoint its next request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cold {
    /// It is cold until then.
    until: u64,
    /// Milliseconds between two requests; `None` if this box sends none.
    every: Option<u64>,
    next: u64,
}

impl Cold {
    /// Cold from `now` until `until`, with so much time between two requests.
    pub fn extend(&mut self, now: u64, until: u64, every: Option<u64>) {
        if self.until <= now {
            self.next = self.next.max(now);
        }
        self.until = until;
        self.every = every;
    }

    /// From now on so much time is between two requests.
    pub fn share(&mut self, every: Option<u64>) {
        self.every = every;
    }

    /// Whether it is cold.
    pub fn holds(&self, now: u64) -> bool {
        now < self.until
    }

    /// Milliseconds until this box may send it a request.
    pub fn wait_ms(&self, now: u64) -> u64 {
        let next = self.every.map_or(self.until, |_| self.next.min(self.until));
        next.saturating_sub(now)
    }

    /// A request was sent.
    pub fn sent(&mut self, now: u64) {
        self.next = now + self.every.unwrap_or_default();
    }
}
