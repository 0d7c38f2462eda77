//! The choice of an endpoint for one request.

use std::{cmp::Reverse, collections::BTreeSet, sync::Arc};

use rand::{Rng, seq::IteratorRandom, seq::SliceRandom};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Pool;
use crate::{Availability, Endpoint, Prefix};

/// Weights of the cost by which endpoints are compared.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// Size of prompt to prefill that costs as much as one request in flight, in the unit of the
    /// prefixes.
    pub size_per_request: f64,
    /// Weight of the prefill of the new prompt, relative to prompts that are to be prefilled before
    /// it: it also delays all other requests and evicts cached prompts.
    pub prefill: f64,
    /// Weight of a request in flight, relative to prompts that are to be prefilled.
    pub in_flight: f64,
    /// Cost of another availability zone, in requests in flight.
    pub other_zone: f64,
    /// Multiple of the pool's mean load above which a cached prompt no longer counts.
    pub bounded_load: f64,
    /// Number of endpoints that are drawn at random for comparison.
    pub random_candidates: usize,
    /// Number of endpoints that are compared because the shared part of the prompt maps to them by
    /// hash on every box. The first of them, the owner, counts as holding the shared part if no
    /// holder is known: other boxes sent it there as well.
    pub prefix_owners: usize,
    /// Minimum size of a shared part whose owners must not be slow endpoints.
    pub large_prefix: u64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            size_per_request: 1_024.0,
            prefill: 1.0,
            in_flight: 1.0,
            other_zone: 1.0,
            bounded_load: 1.5,
            random_candidates: 2,
            prefix_owners: 0,
            large_prefix: u64::MAX,
        }
    }
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    pub name: Arc<str>,
    /// Size of the prompt's leading blocks that it probably holds.
    pub cached: u64,
    /// Estimated number of requests there.
    pub load: f64,
}

/// Which endpoints are considered, by the limits that they name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Candidates {
    /// All that take work.
    All,
    /// Only those that name no limit, and so need no permit.
    Unlimited,
}

/// Which endpoints are considered.
#[derive(Debug, Clone, Copy)]
pub struct Filter<'a> {
    pub candidates: Candidates,
    /// Availability zones; `None` for all.
    pub zones: Option<&'a BTreeSet<Arc<str>>>,
    /// Software version; `None` for all.
    pub version: Option<&'a str>,
    /// Software versions; `None` for all.
    pub versions: Option<&'a BTreeSet<Arc<str>>>,
}

impl Filter<'static> {
    /// All endpoints.
    pub const ALL: Filter<'static> =
        Filter { candidates: Candidates::All, zones: None, version: None, versions: None };
}

impl Pool {
    /// Chooses an endpoint for a prompt, skipping those in `tried`.
    ///
    /// Only endpoints that [`Pool::availability`] reports as available are considered. One that was
    /// silent is treated as cold, unless at least half of the pool was silent. One that was ejected
    /// is chosen only for its probe, or if at least half of the pool is ejected: then the failures
    /// are more likely the box's own.
    pub fn choose(
        &self,
        prefix: &Prefix,
        tried: &[Arc<str>],
        now: u64,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        self.choose_from(Filter::ALL, prefix, tried, now, random)
    }

    /// Like [`Pool::choose`], among all endpoints or some of them.
    pub fn choose_from(
        &self,
        filter: Filter,
        prefix: &Prefix,
        tried: &[Arc<str>],
        now: u64,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let available = self.available(tried, filter, now);
        if let Some(probe) = available.iter().find(|endpoint| endpoint.wants_probe(now)) {
            return Some(self.evaluate(probe, prefix, 0, now).1);
        }
        let is_unhealthy = |e: &&&Endpoint| e.is_ejected(now) || e.is_probed(now);
        let mostly_unhealthy =
            available.iter().filter(is_unhealthy).count() * 2 >= available.len().max(1);
        let usable = available.iter().filter(|e| mostly_unhealthy || !is_unhealthy(e)).copied();
        let mut candidates = usable.clone().choose_multiple(random, self.weights.random_candidates);
        // The draw keeps the order of the pool, which would decide every tie.
        candidates.shuffle(random);
        let mean = usable.clone().map(|e| e.load(now)).sum::<f64>() / usable.clone().count() as f64;
        let bound = mean * self.weights.bounded_load + 2.0;
        for name in self.prefixes.best(prefix, 2) {
            candidates.extend(usable.clone().find(|e| e.name == name && e.load(now) <= bound));
        }
        let prefix_owners = self.prefix_owners(usable, prefix);
        candidates.extend(prefix_owners.iter().filter(|e| e.load(now) <= bound));
        let evaluated = candidates.into_iter().map(|endpoint| {
            let is_owner = prefix_owners.first().is_some_and(|owner| owner.name == endpoint.name);
            let is_unknown = |(hash, _): &(u64, u64)| is_owner && !self.prefixes.is_known(*hash);
            let shared = prefix.shared().filter(is_unknown).map_or(0, |(_, size)| size);
            self.evaluate(endpoint, prefix, shared, now)
        });
        evaluated.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, choice)| choice)
    }

    /// Endpoints that may get a request of this box now, without those in `tried`. If there are
    /// none, those that signaled recently that they leave.
    fn available(&self, tried: &[Arc<str>], filter: Filter, now: u64) -> Vec<&Endpoint> {
        let Filter { candidates, zones, version, versions } = filter;
        let staying = self.staying_at(version).count();
        let suspected =
            self.staying_at(version).filter(|e| e.suspected_cold.is_active(now)).count();
        let avoids_suspects = self.allowance.is_some() && suspected * 2 < staying.max(1);
        let having = |wanted: Availability| {
            let fits = move |e: &&Endpoint| {
                let may_be_cold = avoids_suspects && e.suspected_cold.wait_ms(now) > 0;
                let is_limited = candidates == Candidates::Unlimited && e.limit().is_some();
                let is_allowed = zones.is_none_or(|zones| zones.contains(&e.zone))
                    && versions.is_none_or(|versions| e.has_one_of(versions))
                    && e.has_version(version);
                is_allowed && !may_be_cold && !is_limited && self.availability(e, now) == wanted
            };
            self.endpoints.iter().filter(fits).filter(|e| !tried.contains(&e.name)).collect()
        };
        let open: Vec<&Endpoint> = having(Availability::Open);
        match open.is_empty() {
            true => having(Availability::LastResort),
            false => open,
        }
    }

    /// Endpoints that the shared part of a prompt maps to by hash, the owner first. For large
    /// shared parts, slow endpoints come last.
    fn prefix_owners<'a>(
        &self,
        usable: impl Iterator<Item = &'a Endpoint>,
        prefix: &Prefix,
    ) -> Vec<&'a Endpoint> {
        let Some((hash, size)) = prefix.shared().filter(|_| self.weights.prefix_owners > 0) else {
            return Vec::new();
        };
        let is_large = size >= self.weights.large_prefix;
        let rank = |e: &Endpoint| {
            (is_large && self.speed.is_slow(e), Reverse(xxh3_64_with_seed(e.name.as_bytes(), hash)))
        };
        let mut prefix_owners: Vec<_> = usable.map(|e| (rank(e), e)).collect();
        prefix_owners.sort_unstable_by_key(|(rank, _)| *rank);
        prefix_owners
            .into_iter()
            .take(self.weights.prefix_owners)
            .map(|(_, endpoint)| endpoint)
            .collect()
    }

    /// Cost of sending a prompt to an endpoint that is assumed to hold at least `assumed` of it.
    fn evaluate(
        &self,
        endpoint: &Endpoint,
        prefix: &Prefix,
        assumed: u64,
        now: u64,
    ) -> (f64, Choice) {
        let load = endpoint.load(now);
        let cached = self.prefixes.cached_size(prefix, &endpoint.name).max(assumed);
        let missing = prefix.size().saturating_sub(cached);
        let zone_cost = if endpoint.zone == self.zone { 0.0 } else { self.weights.other_zone };
        let backlog = endpoint.backlog(self.mean_prefill, now);
        let cost = (load + 1.0) * self.weights.in_flight * endpoint.slow_start(now)
            + (missing as f64 * self.weights.prefill + backlog) / self.weights.size_per_request
            + zone_cost;
        (cost, Choice { name: endpoint.name.clone(), cached, load })
    }
}
