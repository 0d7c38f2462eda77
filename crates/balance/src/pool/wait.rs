//! Availability of endpoints, and when a request that no endpoint took should be retried.

use super::Pool;
use crate::{Availability, Endpoint, Limit};

/// Longest delay in milliseconds that is added to space retries: callers wait a few times as long
/// for a model's answer.
const MAX_RETRY_SPACING_MS: u64 = 3_000;
/// Factor by which retries are spread out relative to the arrival of the requests, for the most
/// urgent ones; one more for the least urgent ones. Retries as fast as the original arrivals,
/// beside new requests, would overload the endpoints and start another back-off.
const MIN_RETRY_SPREAD: f64 = 2.0;
/// Longest time in milliseconds over which held-back requests are spread. Longer delays wrap
/// around: a caller that is given a later time gives up at once, and callers that are all given this one
/// would be rejected again.
const MAX_RETRY_SPREAD_MS: u64 = 60_000;
/// Rank of the least urgent requests; the most urgent ones have rank 0.
const MAX_RANK: u8 = 9;

impl Pool {
    /// Milliseconds until the first endpoint becomes available, 0 if one is now; `None` if there is
    /// none that stays.
    pub fn next_available_ms(&self, version: Option<&str>, now: u64) -> Option<u64> {
        let staying = self.staying_at(version);
        let availabilities = staying.map(|endpoint| self.availability(endpoint, now));
        let delays = availabilities.filter_map(|availability| match availability {
            Availability::Open => Some(0),
            Availability::Waits { ms } => Some(ms),
            Availability::LastResort | Availability::Leaving => None,
        });
        delays.min()
    }

    /// Endpoints that do not leave, neither by configuration nor by their own signal.
    pub(super) fn staying(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| !endpoint.leaving && endpoint.departure.is_none())
    }

    /// Endpoints that do not leave, of one software version or of all.
    pub(super) fn staying_at(&self, version: Option<&str>) -> impl Iterator<Item = &Endpoint> {
        self.staying().filter(move |endpoint| endpoint.has_version(version))
    }

    /// Whether an endpoint of a software version may get requests now or later.
    pub fn serves_version(&self, version: &str, now: u64) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.has_version(Some(version)) && !endpoint.has_left(now))
    }

    /// Whether an endpoint may get a request of this box now.
    pub fn availability(&self, endpoint: &Endpoint, now: u64) -> Availability {
        let cold = self.allowance.map_or(0, |_| endpoint.cold.wait_ms(now));
        let limited = endpoint.permit_wait_ms(now).max(endpoint.room_wait_ms(
            self.brittle,
            self.boxes(),
            now,
        ));
        match cold.max(limited).max(endpoint.back_off_wait_ms(now)) {
            _ if endpoint.has_left(now) => Availability::Leaving,
            0 if endpoint.departure.is_some() => Availability::LastResort,
            0 => Availability::Open,
            ms => Availability::Waits { ms },
        }
    }

    /// Milliseconds after which a request that no endpoint took should be retried; `None` if there
    /// is no endpoint that stays.
    ///
    /// Where all endpoints name limits, retries are spaced by this box's share of the limits, so
    /// that callers do not return together. During back-offs, retries are spread over at least
    /// twice the time over which the requests arrived, so that there is room for new ones too, and
    /// urgent requests come first.
    pub fn retry_after_ms(&mut self, version: Option<&str>, rank: u8, now: u64) -> Option<u64> {
        let wait = self.next_available_ms(version, now)?;
        let held_back =
            self.staying_at(version).filter_map(|endpoint| endpoint.back_off.held_back_since(now));
        if let Some(since) = held_back.max().filter(|_| wait > 0) {
            let spread = MIN_RETRY_SPREAD + f64::from(rank.min(MAX_RANK)) / f64::from(MAX_RANK);
            let extra_ms = now.saturating_sub(since) as f64 * spread;
            return Some(wait.saturating_add(extra_ms as u64 % MAX_RETRY_SPREAD_MS));
        }
        let limits = self.staying_at(version).map(|endpoint| endpoint.limit().map(Limit::as_per_s));
        let Some(per_s) = limits.sum::<Option<f64>>() else { return Some(wait) };
        let boxes = self.boxes() as f64;
        let spacing_ms = (1_000.0 * boxes / per_s).min(MAX_RETRY_SPACING_MS as f64) as u64;
        let soonest = now + wait;
        self.last_retry_at =
            (self.last_retry_at + spacing_ms).clamp(soonest, soonest + MAX_RETRY_SPACING_MS);
        Some(self.last_retry_at - now)
    }

    /// Whether an endpoint other than this one, of one software version or of any, takes a request of this box now.
    pub fn has_alternative(&self, name: &str, version: Option<&str>, now: u64) -> bool {
        let mut others = self.staying_at(version).filter(|endpoint| &*endpoint.name != name);
        others.any(|endpoint| self.availability(endpoint, now) == Availability::Open)
    }
}
