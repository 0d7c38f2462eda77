//! Who may get a request now, and when those come again that no endpoint took.

use super::Pool;
use crate::{Availability, Endpoint, Limit};

/// Longest time that is added for one request to come after the others, in milliseconds: callers that wait for an
/// answer of a model have a few times as much.
const RETURN_MOST: u64 = 3_000;
/// Requests that were kept back come again apart from each other by the time between them, times this for the most urgent ones
/// and one more for the least urgent ones. As fast as they came, beside those that come anyway, they would fill endpoints
/// that had half of what they bear, which then ask for rest once more.
const SOONEST: f64 = 2.0;
/// Longest time over which requests that were kept back come again, in milliseconds. Told a time that is too late for it, a
/// caller knows that it waits for nothing; told one at which others come, all are turned away.
const BACK_WITHIN: u64 = 60_000;
/// Rank of the least urgent requests, the most urgent ones are 0.
const RANKS: u8 = 9;

impl Pool {
    /// Milliseconds until an endpoint of those that take work bears a request of this box; `None` if there
    /// is none, 0 if one does now.
    pub fn next_offer_ms(&self, now: u64) -> Option<u64> {
        let offered = self.staying().map(|endpoint| self.availability(endpoint, now));
        let waits = offered.filter_map(|availability| match availability {
            Availability::Open => Some(0),
            Availability::Waits { ms } => Some(ms),
            Availability::LastResort | Availability::Leaving => None,
        });
        waits.min()
    }

    /// Endpoints that are to go on.
    pub(super) fn staying(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| !endpoint.leaving && endpoint.departure.is_none())
    }

    /// How an endpoint stands with this box now.
    pub fn availability(&self, endpoint: &Endpoint, now: u64) -> Availability {
        let cold = self.allowance.map_or(0, |_| endpoint.cold.wait_ms(now));
        match cold.max(endpoint.turn_wait_ms(now)).max(endpoint.rest_wait_ms(now)) {
            _ if endpoint.has_left(now) => Availability::Leaving,
            0 if endpoint.departure.is_some() => Availability::LastResort,
            0 => Availability::Open,
            ms => Availability::Waits { ms },
        }
    }

    /// Milliseconds after which a request that no endpoint took is to come again. Where limits leave room for few, one
    /// comes after the other: as many of this box as its part of the limits, so that callers do not return together. Where
    /// endpoints rest, requests come again half as fast as they came, so that there is room for them and for others, and urgent
    /// ones before others.
    pub fn retry_after_ms(&mut self, rank: u8, now: u64) -> Option<u64> {
        let wait = self.next_offer_ms(now)?;
        let kept_back =
            self.staying().filter_map(|endpoint| endpoint.back_off.keeps_back_since(now));
        if let Some(since) = kept_back.max().filter(|_| wait > 0) {
            let place = SOONEST + f64::from(rank.min(RANKS)) / f64::from(RANKS);
            let later = now.saturating_sub(since) as f64 * place;
            return Some(wait.saturating_add(later as u64 % BACK_WITHIN));
        }
        let limits = self.staying().map(|endpoint| endpoint.limit().map(Limit::as_per_s));
        let Some(per_s) = limits.sum::<Option<f64>>() else { return Some(wait) };
        let boxes = self.fleet.as_ref().map_or(1, |fleet| fleet.others.len() + 1) as f64;
        let apart = (1_000.0 * boxes / per_s).min(RETURN_MOST as f64) as u64;
        let soonest = now + wait;
        self.last_told = (self.last_told + apart).clamp(soonest, soonest + RETURN_MOST);
        Some(self.last_told - now)
    }

    /// Whether another endpoint than this one takes a request of this box now.
    pub fn has_alternative(&self, name: &str, now: u64) -> bool {
        let mut others = self.staying().filter(|endpoint| &*endpoint.name != name);
        others.any(|endpoint| self.availability(endpoint, now) == Availability::Open)
    }
}
