//! Rate limiting of cold endpoints, shared by all boxes without coordination.
//!
//! An endpoint that just started, or that was idle for a while, can handle only a few requests per
//! second, and each box sees only its own. So the allowed rate is divided: as many boxes as the
//! endpoint may get requests per second send it up to one per second each. They are chosen by
//! rendezvous hashing, so that all boxes agree on them and different cold endpoints have different
//! senders. In a smaller fleet all boxes send, each at an equal part of the rate.
//!
//! Without this, endpoints that restart together attract all boxes at once, because they are idle
//! and win every comparison of load.

use std::sync::Arc;

/// Factor by which a box stretches the interval between its requests: two requests may arrive
/// closer together than they were sent.
const INTERVAL_FACTOR: f64 = 1.1;

/// Part of the allowed rate that boxes use. The rest is left for requests that were in flight when
/// the endpoint turned cold, and for boxes that know a different fleet. With half as much used,
/// days on which many cold engines meet a burst had a mean worth of 0.379, with this 0.391 and with
/// no bound 0.418, where two plays of a day differ by 0.05.
const USED_FRACTION: f64 = 0.85;

/// The rate that a cold endpoint can handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Maximum number of requests within any second, from all boxes together.
    pub per_s: f64,
    /// How long an endpoint stays cold that does not report it itself, in milliseconds.
    pub duration_ms: u64,
}

/// The boxes that share the rate of cold endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Name of this box.
    pub me: Arc<str>,
    /// Names of all other boxes.
    pub others: Vec<Arc<str>>,
}

impl Allowance {
    /// Milliseconds between two requests of this box to a cold endpoint; `None` if only other boxes
    /// send to it.
    pub fn interval_ms(self, fleet: &Fleet, endpoint: &str) -> Option<u64> {
        let boxes = fleet.others.len() as f64 + 1.0;
        let per_s = self.per_s * USED_FRACTION;
        let senders = per_s.floor().clamp(1.0, boxes);
        let own_weight = member::weight(endpoint, &fleet.me);
        let ranks_above =
            |other: &Arc<str>| (member::weight(endpoint, other), other) > (own_weight, &fleet.me);
        let rank = fleet.others.iter().filter(|other| ranks_above(other)).count();
        let sender_per_s = (per_s / senders).min(if senders < boxes { 1.0 } else { f64::MAX });
        ((rank as f64) < senders).then(|| (1_000.0 * INTERVAL_FACTOR / sender_per_s).ceil() as u64)
    }
}

/// Rate limiter of one box for one cold endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttle {
    /// The endpoint is cold until then.
    until: u64,
    /// Milliseconds between two requests; `None` if this box sends none.
    interval_ms: Option<u64>,
    next_at: u64,
}

impl Throttle {
    /// Marks the endpoint cold from `now` until `until`, with `interval_ms` milliseconds between two
    /// requests.
    pub fn extend(&mut self, now: u64, until: u64, interval_ms: Option<u64>) {
        if self.until <= now {
            self.next_at = self.next_at.max(now);
        }
        self.until = until;
        self.interval_ms = interval_ms;
    }

    /// Changes the interval between two requests.
    pub fn set_interval(&mut self, interval_ms: Option<u64>) {
        self.interval_ms = interval_ms;
    }

    /// Whether the endpoint is cold.
    pub fn is_active(&self, now: u64) -> bool {
        now < self.until
    }

    /// Milliseconds until this box may send a request to the endpoint.
    pub fn wait_ms(&self, now: u64) -> u64 {
        let next_at = self.interval_ms.map_or(self.until, |_| self.next_at.min(self.until));
        next_at.saturating_sub(now)
    }

    /// Records a request that was sent.
    pub fn record_sent(&mut self, now: u64) {
        self.next_at = now + self.interval_ms.unwrap_or_default();
    }
}
