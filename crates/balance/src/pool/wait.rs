//! Availability of endpoints, and when a request that no endpoint took should be retried.

use super::Pool;
use crate::{Availability, Endpoint, Limit};

/// Longest delay in milliseconds that is added to space retries: callers wait a few times as long
/// for a model's answer.
const RETURN_MOST: u64 = 3_000;
/// Factor by which retries are spread out relative to the arrival of the requests, for the most
/// urgent ones; one more for the least urgent ones. Retries as fast as the original arrivals,
/// beside new requests, would overload the endpoints and start another back-off.
const SOONEST: f64 = 2.0;
/// Longest time in milliseconds over which held-back requests are spread. A caller that is given a
/// later time gives up at once; callers that are all given the same time would be rejected again.
const BACK_WITHIN: u64 = 60_000;
/// Rank of the least urgent requests; the most urgent ones have rank 0.
const RANKS: u8 = 9;

impl Pool {
    /// Milliseconds until the first endpoint becomes available, 0 if one is now; `None` if there is
    /// none that stays.
    pub fn next_offer_ms(&self, now: u64) -> Option<u64> {
        let offered = self.staying().map(|endpoint| self.availability(endpoint, now));
        let waits = offered.filter_map(|availability| match availability {
            Availability::Open => Some(0),
            Availability::Waits { ms } => Some(ms),
            Availability::LastResort | Availability::Leaving => None,
        });
        waits.min()
    }

    /// Endpoints that neither are leaving nor signaled that they leave.
    pub(super) fn staying(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter().filter(|endpoint| !endpoint.leaving && endpoint.departure.is_none())
    }

    /// Whether an endpoint may get a request of this box now.
    pub fn availability(&self, endpoint: &Endpoint, now: u64) -> Availability {
        let cold = self.allowance.map_or(0, |_| endpoint.cold.wait_ms(now));
        match cold.max(endpoint.turn_wait_ms(now)).max(endpoint.rest_wait_ms(now)) {
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

    /// Whether an endpoint other than this one takes a request of this box now.
    pub fn has_alternative(&self, name: &str, now: u64) -> bool {
        let mut others = self.staying().filter(|endpoint| &*endpoint.name != name);
        others.any(|endpoint| self.availability(endpoint, now) == Availability::Open)
    }
}
