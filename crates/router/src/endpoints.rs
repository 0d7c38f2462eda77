//! All endpoints of all pools, as this box sees them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use admit::Capacity;
use balance::{Failure, Pool, Prefix, Report, Snapshot, Weights};
use config::Snapshot as Configuration;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use resource::Workload;
use serde::Deserialize;

/// Requests at once of an endpoint that does not say how many it takes.
const SLOTS_UNKNOWN: f64 = 1_000.0;

/// Why an endpoint gets no new work; any one suffices.
#[derive(Debug, Clone, Copy, Default)]
struct Leaving {
    by_spec: bool,
    by_host: bool,
    by_report: bool,
}

impl Leaving {
    fn any(self) -> bool {
        self.by_spec || self.by_host || self.by_report
    }
}

#[derive(Debug, Clone)]
struct Place {
    pool: Arc<str>,
    address: Arc<str>,
    model: bool,
    leaving: Leaving,
}

struct State {
    pools: HashMap<Arc<str>, Pool>,
    places: HashMap<Arc<str>, Place>,
    random: ChaCha8Rng,
}

/// Handle on the endpoints.
pub struct Endpoints {
    state: Mutex<State>,
    zone: Arc<str>,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Its address with port.
    pub address: Arc<str>,
}

/// What an engine says of itself.
#[derive(Deserialize)]
pub struct Load {
    running: u32,
    waiting: u32,
    slots: u32,
    age_ms: u64,
    #[serde(default)]
    leaving: bool,
}

impl Endpoints {
    /// No endpoints yet, seen from `zone`.
    pub fn new(zone: Arc<str>, seed: u64) -> Endpoints {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let state = State { pools: HashMap::new(), places: HashMap::new(), random };
        Endpoints { state: Mutex::new(state), zone }
    }

    /// Takes over the pools in force; returns endpoints that are leaving since.
    pub fn update(&self, snapshot: &Configuration, now: u64) -> Vec<Arc<str>> {
        let mut state = self.state.lock();
        let mut known = std::mem::take(&mut state.places);
        for (name, spec) in &snapshot.pools {
            let list = spec.endpoints.iter().map(|e| (e.name.clone(), e.zone.clone()));
            let fresh = || Pool::new(self.zone.clone(), Weights::default());
            state.pools.entry(name.clone()).or_insert_with(fresh).update(list, now);
            for endpoint in &spec.endpoints {
                let before = known.remove(&endpoint.name);
                let mut leaving = before.map_or(Leaving::default(), |place| place.leaving);
                leaving.by_spec = endpoint.leaving;
                let place = Place {
                    pool: name.clone(),
                    address: endpoint.address.clone(),
                    model: matches!(spec.serves, Workload::Model(_)),
                    leaving,
                };
                state.places.insert(endpoint.name.clone(), place);
            }
        }
        state.pools.retain(|name, _| snapshot.pools.contains_key(name));
        state.refresh()
    }

    /// Takes over the platform's list of leaving boxes, by endpoint name.
    pub fn hosts(&self, hosts: &[objects::Host]) -> Vec<Arc<str>> {
        let mut state = self.state.lock();
        for host in hosts {
            if let Some(place) = state.places.get_mut(&host.name) {
                place.leaving.by_host = host.leaving;
            }
        }
        state.refresh()
    }

    /// Chooses an endpoint and counts the request there.
    pub fn start(
        &self,
        pool: &str,
        prefix: &Prefix,
        tried: &[Arc<str>],
        now: u64,
    ) -> Option<Target> {
        let mut state = self.state.lock();
        let State { pools, places, random } = &mut *state;
        let pool = pools.get_mut(pool)?;
        let choice = pool.choose(prefix, tried, now, random)?;
        pool.start(&choice.name, prefix, now);
        let address = places.get(&choice.name)?.address.clone();
        Some(Target { name: choice.name, address })
    }

    /// A request counted by [`Endpoints::start`] ended.
    pub fn end(&self, pool: &str, endpoint: &str, failure: Option<Failure>, now: u64) {
        if let Some(pool) = self.state.lock().pools.get_mut(pool) {
            pool.end(endpoint, failure, now);
        }
    }

    /// An endpoint turned a request away and wants nothing from this box for so long: what it turns away at once makes it
    /// look empty.
    pub fn rest(&self, endpoint: &str, rest: Duration, now: u64) {
        let mut state = self.state.lock();
        let State { pools, places, .. } = &mut *state;
        let pool = places.get(endpoint).and_then(|place| pools.get_mut(&place.pool));
        let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
        if pool.is_some_and(|pool| pool.back_off(endpoint, rest_ms, now)) {
            tracing::info!(event = "endpoint_rests", endpoint, rest_ms);
        }
    }

    /// What a pool can take now, as this box estimates it.
    pub fn capacity(&self, pool: &str, now: u64) -> Capacity {
        let state = self.state.lock();
        let endpoints = state.pools.get(pool).map_or(&[][..], |pool| pool.endpoints());
        let usable = endpoints.iter().filter(|e| !e.refuses_requests(now) && !e.is_ejected(now));
        let mut capacity = Capacity { load: 0.0, slots: 0.0 };
        for endpoint in usable {
            capacity.load += endpoint.load(now);
            // A service or an engine that reports nothing is taken for wide open.
            capacity.slots += endpoint.slots().map_or(SLOTS_UNKNOWN, f64::from);
        }
        capacity
    }

    /// Requests under way by pool, for peers.
    pub fn snapshot(&self) -> Vec<(Arc<str>, Vec<Snapshot>)> {
        let state = self.state.lock();
        let told = state.pools.iter().map(|(name, pool)| (name.clone(), pool.snapshot()));
        told.filter(|(_, snapshot)| !snapshot.is_empty()).collect()
    }

    /// A peer told what it has under way.
    pub fn peer(&self, peer: &Arc<str>, told: &[(Arc<str>, Vec<Snapshot>)], now: u64) {
        let mut state = self.state.lock();
        for (name, pool) in &mut state.pools {
            let of_pool = told.iter().find(|(told, _)| told == name);
            pool.receive_peer_load(peer, of_pool.map_or(&[], |(_, snapshots)| snapshots), now);
        }
    }

    /// Addresses of the model endpoints of a pool that has `first`, which comes first.
    ///
    /// Empty for plain services: they report no runs, and asking them would be a call.
    pub fn engines_beside(&self, first: &str) -> Vec<Arc<str>> {
        let state = self.state.lock();
        let Some(pool) = state.places.get(first).map(|place| place.pool.clone()) else {
            return Vec::new();
        };
        let mut found: Vec<(bool, Arc<str>)> = state
            .places
            .iter()
            .filter(|(_, place)| place.model && place.pool == pool)
            .map(|(name, place)| (&**name != first, place.address.clone()))
            .collect();
        found.sort();
        found.into_iter().map(|(_, address)| address).collect()
    }

    /// The model endpoints.
    pub fn models(&self) -> Vec<Target> {
        let state = self.state.lock();
        let models = state.places.iter().filter(|(_, place)| place.model);
        models
            .map(|(name, place)| Target { name: name.clone(), address: place.address.clone() })
            .collect()
    }

    /// Takes over what an engine says; returns endpoints that are leaving since.
    pub fn report(&self, endpoint: &Arc<str>, load: &Load, now: u64) -> Vec<Arc<str>> {
        let mut state = self.state.lock();
        let State { pools, places, .. } = &mut *state;
        let Some(place) = places.get_mut(endpoint) else { return Vec::new() };
        place.leaving.by_report = load.leaving;
        let at = now.saturating_sub(load.age_ms);
        let (running, waiting, slots) = (load.running, load.waiting, load.slots);
        if let Some(pool) = pools.get_mut(&place.pool) {
            pool.report(endpoint, Report { at, running, waiting, slots });
        }
        state.refresh()
    }
}

impl State {
    /// Carries the leaving marks over to the pools; returns those that are new.
    fn refresh(&mut self) -> Vec<Arc<str>> {
        let mut fresh = Vec::new();
        for (name, place) in &self.places {
            let endpoint = self.pools.get_mut(&place.pool).and_then(|pool| pool.get_mut(name));
            let Some(endpoint) = endpoint else { continue };
            if place.leaving.any() && !endpoint.leaving {
                fresh.push(name.clone());
            }
            endpoint.leaving = place.leaving.any();
        }
        fresh
    }
}
