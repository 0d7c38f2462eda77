//! All endpoints of all pools, with their load as this box knows it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use admit::Capacity;
use balance::{Failure, Pool, Prefix, Report, Snapshot, Weights};
use config::Snapshot as Configuration;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use resource::Workload;
use serde::Deserialize;

/// Concurrent requests assumed for an endpoint that reports no number of slots.
const DEFAULT_SLOTS: f64 = 1_000.0;

/// Sources that report an endpoint as leaving; any one suffices.
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
struct Entry {
    pool: Arc<str>,
    address: Arc<str>,
    serves_model: bool,
    leaving: Leaving,
}

struct State {
    pools: HashMap<Arc<str>, Pool>,
    entries: HashMap<Arc<str>, Entry>,
    random: ChaCha8Rng,
}

/// The endpoints of all pools.
pub struct Endpoints {
    state: Mutex<State>,
    zone: Arc<str>,
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Host and port.
    pub address: Arc<str>,
}

/// Load report of an engine.
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
    /// Starts without endpoints; those in `zone` will be preferred.
    pub fn new(zone: Arc<str>, seed: u64) -> Endpoints {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let state = State { pools: HashMap::new(), entries: HashMap::new(), random };
        Endpoints { state: Mutex::new(state), zone }
    }

    /// Applies the configured pools; returns endpoints that started to leave.
    pub fn update(&self, snapshot: &Configuration, now: u64) -> Vec<Arc<str>> {
        let mut state = self.state.lock();
        let mut known = std::mem::take(&mut state.entries);
        for (name, spec) in &snapshot.pools {
            let list = spec.endpoints.iter().map(|e| (e.name.clone(), e.zone.clone()));
            let new_pool = || Pool::new(self.zone.clone(), Weights::default());
            state.pools.entry(name.clone()).or_insert_with(new_pool).update(list, now);
            for endpoint in &spec.endpoints {
                let before = known.remove(&endpoint.name);
                let mut leaving = before.map_or(Leaving::default(), |entry| entry.leaving);
                leaving.by_spec = endpoint.leaving;
                let entry = Entry {
                    pool: name.clone(),
                    address: endpoint.address.clone(),
                    serves_model: matches!(spec.serves, Workload::Model(_)),
                    leaving,
                };
                state.entries.insert(endpoint.name.clone(), entry);
            }
        }
        state.pools.retain(|name, _| snapshot.pools.contains_key(name));
        state.refresh()
    }

    /// Applies the platform's list of hosts; returns endpoints that started to leave.
    pub fn apply_hosts(&self, hosts: &[objects::Host]) -> Vec<Arc<str>> {
        let mut state = self.state.lock();
        for host in hosts {
            if let Some(entry) = state.entries.get_mut(&host.name) {
                entry.leaving.by_host = host.leaving;
            }
        }
        state.refresh()
    }

    /// Chooses an endpoint and counts the request as its load.
    pub fn start(
        &self,
        pool: &str,
        prefix: &Prefix,
        tried: &[Arc<str>],
        now: u64,
    ) -> Option<Target> {
        let mut state = self.state.lock();
        let State { pools, entries, random } = &mut *state;
        let pool = pools.get_mut(pool)?;
        let choice = pool.choose(prefix, tried, now, random)?;
        pool.start(&choice.name, prefix, now);
        let address = entries.get(&choice.name)?.address.clone();
        Some(Target { name: choice.name, address })
    }

    /// Ends a request counted by [`Endpoints::start`].
    pub fn end(&self, pool: &str, endpoint: &str, failure: Option<Failure>, now: u64) {
        if let Some(pool) = self.state.lock().pools.get_mut(pool) {
            pool.end(endpoint, failure, now);
        }
    }

    /// Applies the back-off that an endpoint asked for in a refusal. Without it, fast refusals
    /// would make the endpoint look idle and attract more requests.
    pub fn back_off(&self, endpoint: &str, back_off: Duration, now: u64) {
        let mut state = self.state.lock();
        let State { pools, entries, .. } = &mut *state;
        let pool = entries.get(endpoint).and_then(|entry| pools.get_mut(&entry.pool));
        let back_off_ms = u64::try_from(back_off.as_millis()).unwrap_or(u64::MAX);
        if pool.is_some_and(|pool| pool.back_off(endpoint, back_off_ms, now)) {
            tracing::info!(event = "endpoint_rests", endpoint, rest_ms = back_off_ms);
        }
    }

    /// Estimated load and slots of a pool's available endpoints.
    pub fn capacity(&self, pool: &str, now: u64) -> Capacity {
        let state = self.state.lock();
        let endpoints = state.pools.get(pool).map_or(&[][..], |pool| pool.endpoints());
        let usable = endpoints.iter().filter(|e| !e.refuses_requests(now) && !e.is_ejected(now));
        let mut capacity = Capacity { load: 0.0, slots: 0.0 };
        for endpoint in usable {
            capacity.load += endpoint.load(now);
            // Without a reported number of slots, practically unlimited.
            capacity.slots += endpoint.slots().map_or(DEFAULT_SLOTS, f64::from);
        }
        capacity
    }

    /// Requests in flight by pool, to send to peers.
    pub fn snapshot(&self) -> Vec<(Arc<str>, Vec<Snapshot>)> {
        let state = self.state.lock();
        let reported = state.pools.iter().map(|(name, pool)| (name.clone(), pool.snapshot()));
        reported.filter(|(_, snapshot)| !snapshot.is_empty()).collect()
    }

    /// Applies a peer's requests in flight.
    pub fn receive_peer_load(
        &self,
        peer: &Arc<str>,
        reported: &[(Arc<str>, Vec<Snapshot>)],
        now: u64,
    ) {
        let mut state = self.state.lock();
        for (name, pool) in &mut state.pools {
            let of_pool = reported.iter().find(|(reported, _)| reported == name);
            pool.receive_peer_load(peer, of_pool.map_or(&[], |(_, snapshots)| snapshots), now);
        }
    }

    /// Addresses of the engines in the pool of endpoint `first`, starting with its own.
    ///
    /// Empty for plain services: they report no runs, and the request would be a call to them.
    pub fn pool_engines(&self, first: &str) -> Vec<Arc<str>> {
        let state = self.state.lock();
        let Some(pool) = state.entries.get(first).map(|entry| entry.pool.clone()) else {
            return Vec::new();
        };
        let mut found: Vec<(bool, Arc<str>)> = state
            .entries
            .iter()
            .filter(|(_, entry)| entry.serves_model && entry.pool == pool)
            .map(|(name, entry)| (&**name != first, entry.address.clone()))
            .collect();
        found.sort();
        found.into_iter().map(|(_, address)| address).collect()
    }

    /// All engines, that is, endpoints that serve a model.
    pub fn engines(&self) -> Vec<Target> {
        let state = self.state.lock();
        let engines = state.entries.iter().filter(|(_, entry)| entry.serves_model);
        engines
            .map(|(name, entry)| Target { name: name.clone(), address: entry.address.clone() })
            .collect()
    }

    /// Applies a load report; returns endpoints that started to leave.
    pub fn receive_load(&self, endpoint: &Arc<str>, load: &Load, now: u64) -> Vec<Arc<str>> {
        let mut state = self.state.lock();
        let State { pools, entries, .. } = &mut *state;
        let Some(entry) = entries.get_mut(endpoint) else { return Vec::new() };
        entry.leaving.by_report = load.leaving;
        let at = now.saturating_sub(load.age_ms);
        let (running, waiting, slots) = (load.running, load.waiting, load.slots);
        if let Some(pool) = pools.get_mut(&entry.pool) {
            pool.receive_report(endpoint, Report { at, running, waiting, slots });
        }
        state.refresh()
    }
}

impl State {
    /// Copies the leaving marks to the pools; returns the endpoints newly marked.
    fn refresh(&mut self) -> Vec<Arc<str>> {
        let mut newly_leaving = Vec::new();
        for (name, entry) in &self.entries {
            let endpoint = self.pools.get_mut(&entry.pool).and_then(|pool| pool.get_mut(name));
            let Some(endpoint) = endpoint else { continue };
            if entry.leaving.any() && !endpoint.leaving {
                newly_leaving.push(name.clone());
            }
            endpoint.leaving = entry.leaving.any();
        }
        newly_leaving
    }
}
