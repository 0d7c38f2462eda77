//! Selection of an endpoint for each attempt, and the state learned from outcomes.

mod departures;
mod limits;
mod signals;

pub use signals::Changes;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use balance::{Allowance, Choice, Failure, Filter, Fleet, Limit, Pool, Prefix, Prompt, Weights};
use parking_lot::Mutex;
use platform::{config::Service, endpoint::Entry};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    clock::{Clock, Moment},
    config_table::ConfigTable,
    settings,
};

/// Prompt tokens that count as much as one request in flight. Processing them delays all other requests of an engine
/// by several decoding steps: an engine that prefills 40 tokens a millisecond and takes 5 ms for a step loses ten.
const TOKENS_PER_REQUEST: f64 = 2_000.0;
/// Weight of an uncached prompt token of this request, relative to one already queued at the engine. Queued tokens
/// only cost waiting time; processing an uncached prompt also evicts other prompts from the engine's cache. Against a
/// weight of 2, 15% to 26% fewer tokens of shared parts were prefilled again, and no more answers were late.
const PREFILL_WEIGHT: f64 = 4.5;
/// Weight of a request whose response an engine is generating; one more in a batch makes a step only slightly longer.
const IN_FLIGHT_WEIGHT: f64 = 0.05;
/// Penalty for another availability zone, in requests; reflects the network latency: half a millisecond, in which an
/// engine prefills 20 tokens.
const OTHER_ZONE_PENALTY: f64 = 0.02;
/// Load of an engine, as a multiple of the mean, above which its cached prompts are ignored.
const BOUNDED_LOAD: f64 = 3.0;
/// Endpoints sampled at random for comparison, for services with engines.
const RANDOM_CANDIDATES: usize = 4;
/// Owners of a prefix: the endpoint that it hashes to, and another for when that one is busy.
const PREFIX_OWNERS: usize = 2;

/// Minimum size, in tokens, of a shared prefix for which engines that are not slow are preferred as owners: processing
/// it pauses all streams of the engine, for some 50 ms. Where a third of the engines took a third longer, 7.8% of all
/// answers were late with this and 9.9% without.
const LARGE_PREFIX_TOKENS: u64 = 2_000;

/// A selected endpoint.
#[derive(Debug, Clone)]
pub struct Chosen {
    /// Name of the instance, the same on all boxes.
    pub instance: Arc<str>,
    pub id: Arc<str>,
    pub address: SocketAddr,
    /// Version of its software.
    pub version: Arc<str>,
    /// Prompt tokens that it probably has cached.
    pub cached_tokens: u64,
    /// Requests at the endpoint, as estimated by this box.
    pub load: f64,
    /// Its rate limit, if it names one.
    pub limit: Option<Limit>,
    /// Time since it began draining.
    pub leaves: Option<Duration>,
    /// Remaining back-off.
    pub back_off: Option<Duration>,
}

/// An endpoint instance and its availability zone.
type Located = (Arc<str>, Arc<str>);

/// A listed endpoint instance.
#[derive(Debug, Clone)]
struct Listing {
    id: Arc<str>,
    service: Arc<str>,
    address: SocketAddr,
    /// Version of its software.
    version: Arc<str>,
    /// Heartbeat from which the cold time was last read.
    heartbeat: u64,
}

/// What changed entries change in the pools.
#[derive(Debug, Default)]
struct Batch {
    by_service: BTreeMap<Arc<str>, Changed>,
    /// Service, name and remaining cold time of cold instances.
    cold: Vec<(Arc<str>, Arc<str>, Duration)>,
    /// Service, name and software version of changed instances.
    versions: Vec<(Arc<str>, Arc<str>, Arc<str>)>,
    /// Addresses no longer in use.
    unused: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct Changed {
    added: Vec<Located>,
    removed: HashSet<Arc<str>>,
    has_engines: bool,
}

/// Name of an endpoint instance; distinct per start, so that nothing learned of an earlier one applies.
fn instance_name(id: &Arc<str>, entry: &Entry) -> Arc<str> {
    match entry.started {
        Some(instance) => format!("{id} {instance}").into(),
        None => id.clone(),
    }
}

/// All endpoints that accept requests, by service.
#[derive(Debug)]
pub struct Endpoints {
    zone: Arc<str>,
    cold: settings::Cold,
    started: Moment,
    state: Mutex<State>,
    unread_headers: Mutex<signals::UnreadHeaders>,
}

#[derive(Debug)]
struct State {
    random: SmallRng,
    services: HashMap<Arc<str>, Pool>,
    /// Listed instances by name.
    listed: HashMap<Arc<str>, Listing>,
    /// Names of the listed instances by id.
    instances: HashMap<Arc<str>, Arc<str>>,
    /// Draining instances, listed or not.
    departures: departures::Departures,
    /// Evacuated availability zones.
    evacuated: BTreeSet<Arc<str>>,
    /// Request rates that cold endpoints can take, by service.
    allowances: HashMap<Arc<str>, Allowance>,
    /// The boxes of the fleet, once known.
    fleet: Option<Fleet>,
}

impl State {
    /// Marks exactly the endpoints of evacuated zones as leaving. Endpoints of a zone that is no longer evacuated count
    /// as cold, since they may be cold without having reported it yet.
    fn mark_leaving(&mut self, now: u64) {
        for pool in self.services.values_mut() {
            let restored = pool.set_leaving(|endpoint| self.evacuated.contains(&endpoint.zone));
            restored.iter().for_each(|instance| pool.mark_cold(instance, None, now));
            pool.set_departures(|instance| {
                self.departures.get(instance, || Some(self.listed.get(instance)?.address))
            });
        }
    }

    /// Passes to pools the allowances of their cold endpoints and the boxes that share these.
    fn apply_allowances(&mut self, now: u64) {
        for (service, pool) in &mut self.services {
            pool.set_allowance(self.allowances.get(service).copied(), now);
            if let Some(fleet) = &self.fleet {
                pool.set_fleet(fleet, now);
            }
        }
    }

    /// Lists an endpoint as its entry says, or no longer if there is none, and adds to `batch` what
    /// that changes.
    fn list(&mut self, id: &Arc<str>, entry: Option<&Entry>, batch: &mut Batch) {
        let instance = entry.map(|entry| instance_name(id, entry));
        let previous = self.instances.get(id).cloned();
        let previous = previous.and_then(|name| Some((self.listed.get(&name)?.clone(), name)));
        let stays = previous.as_ref().is_some_and(|(listing, name)| {
            instance.as_ref() == Some(name) && entry.is_some_and(|e| e.service == listing.service)
        });
        if let Some((listing, name)) = &previous {
            if !stays || entry.is_some_and(|entry| entry.address != listing.address) {
                batch.unused.push(listing.address);
            }
            if !stays {
                self.listed.remove(name);
                self.instances.remove(id);
                let changed = batch.by_service.entry(listing.service.clone()).or_default();
                changed.removed.insert(name.clone());
            }
        }
        let (Some(entry), Some(instance)) = (entry, instance) else { return };
        let changed = batch.by_service.entry(entry.service.clone()).or_default();
        changed.has_engines |= entry.engine;
        if !stays {
            changed.added.push((instance.clone(), entry.zone.clone()));
        }
        let version = entry.version.clone();
        batch.versions.push((entry.service.clone(), instance.clone(), version));
        // The cold time of an entry applies once per heartbeat.
        let heartbeat = previous.filter(|_| stays).map(|(listing, _)| listing.heartbeat);
        if entry.cold > Duration::ZERO && heartbeat != Some(entry.heartbeat) {
            batch.cold.push((entry.service.clone(), instance.clone(), entry.cold));
        }
        let listing = Listing {
            id: id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            version: entry.version.clone(),
            heartbeat: entry.heartbeat,
        };
        self.instances.insert(id.clone(), instance.clone());
        self.listed.insert(instance, listing);
    }
}

impl Endpoints {
    /// Starts without endpoints, for a box in `zone`.
    pub fn new(zone: Arc<str>, cold: settings::Cold, clock: &Clock, seed: u64) -> Endpoints {
        let random = SmallRng::seed_from_u64(seed);
        let state = State {
            random,
            services: HashMap::new(),
            listed: HashMap::new(),
            instances: HashMap::new(),
            departures: departures::Departures::default(),
            evacuated: BTreeSet::new(),
            allowances: HashMap::new(),
            fleet: None,
        };
        let (state, unread_headers) = (Mutex::new(state), Mutex::default());
        Endpoints { zone, cold, started: clock.now(), state, unread_headers }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Replaces the endpoints that accept requests; returns the addresses no longer in use.
    pub fn update<'a>(
        &self,
        ready: impl Iterator<Item = (&'a Arc<str>, &'a Entry)>,
    ) -> Vec<SocketAddr> {
        let ready: HashMap<Arc<str>, &Entry> =
            ready.map(|(id, entry)| (id.clone(), entry)).collect();
        let gone: Vec<Arc<str>> = {
            let state = self.state.lock();
            state.instances.keys().filter(|id| !ready.contains_key(*id)).cloned().collect()
        };
        let gone = gone.into_iter().map(|id| (id, None));
        let ready = ready.into_iter().map(|(id, entry)| (id, Some(entry)));
        self.apply(gone.chain(ready).collect())
    }

    /// Takes over changed endpoints: the entry if they accept requests, `None` if they do not.
    /// Returns the addresses no longer in use. Costs by the changes, not by the endpoints known.
    pub fn apply(&self, changes: Vec<(Arc<str>, Option<&Entry>)>) -> Vec<SocketAddr> {
        let now = self.now();
        let state = &mut *self.state.lock();
        let mut batch = Batch::default();
        for (id, entry) in &changes {
            state.list(id, *entry, &mut batch);
        }
        for (service, Changed { added, removed, has_engines }) in batch.by_service {
            let fresh = || Pool::new(self.zone.clone(), weights(has_engines));
            state.services.entry(service).or_insert_with(fresh).apply(added, &removed, now);
        }
        for (service, instance, version) in batch.versions {
            if let Some(pool) = state.services.get_mut(&service) {
                pool.set_version(&instance, version);
            }
        }
        state.apply_allowances(now);
        for (service, instance, cold) in batch.cold {
            if let Some(pool) = state.services.get_mut(&service) {
                pool.mark_cold(&instance, Some(cold.as_millis() as u64), now);
            }
        }
        let State { departures, listed, .. } = &mut *state;
        departures.refresh(|instance| listed.contains_key(instance), now);
        state.mark_leaving(now);
        batch.unused
    }

    /// Applies the configuration of services.
    pub fn configure(&self, table: &ConfigTable) {
        let settings::Cold { factor, extra } = self.cold;
        let allowance = |service: &Service| Allowance {
            per_s: service.cold_per_s * factor + extra,
            duration_ms: (service.cold_s * 1_000.0) as u64,
        };
        let with_allowance =
            table.config().services.iter().filter(|service| service.cold_per_s > 0.0);
        let mut state = self.state.lock();
        state.allowances =
            with_allowance.map(|service| (service.name.clone(), allowance(service))).collect();
        state.apply_allowances(self.now());
    }

    /// Sets the boxes of the fleet.
    pub fn set_fleet(&self, fleet: Fleet) {
        let mut state = self.state.lock();
        state.fleet = Some(fleet);
        state.apply_allowances(self.now());
    }

    /// Whether a listed endpoint has this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.state.lock().listed.values().any(|listing| listing.address == address)
    }

    /// Number of cold endpoints.
    pub fn count_cold(&self) -> usize {
        let now = self.now();
        self.state.lock().services.values().map(|pool| pool.cold(now)).sum()
    }

    /// Delay after which to retry a request of this rank that no endpoint of a service, of one software version or of
    /// all, accepted; `None` if there are no such endpoints or all of them are leaving.
    pub fn retry_delay(&self, service: &str, version: Option<&str>, rank: u8) -> Option<Duration> {
        let now = self.now();
        let state = &mut *self.state.lock();
        let pool = state.services.get_mut(service)?;
        pool.retry_after_ms(version, rank, now).map(Duration::from_millis)
    }

    /// Replaces the evacuated zones; returns whether that is a change.
    pub fn evacuate(&self, zones: &BTreeSet<Arc<str>>) -> bool {
        let mut state = self.state.lock();
        let changes = state.evacuated != *zones;
        state.evacuated = zones.clone();
        state.mark_leaving(self.now());
        changes
    }

    /// Number of evacuated zones.
    pub fn evacuated(&self) -> usize {
        self.state.lock().evacuated.len()
    }

    /// Selects an endpoint of a service that passes the filter and is not in `tried`.
    pub fn choose(
        &self,
        service: &str,
        filter: Filter,
        prefix: &Prefix,
        tried: &[Arc<str>],
    ) -> Option<Chosen> {
        let now = self.now();
        let state = &mut *self.state.lock();
        let pool = state.services.get_mut(service)?;
        let choice = pool.choose_from(filter, prefix, tried, now, &mut state.random)?;
        let Listing { id, address, version, .. } = state.listed.get(&choice.name)?.clone();
        let Choice { name: instance, cached: cached_tokens, load } = choice;
        let endpoint = pool.get(&instance)?;
        let limit = endpoint.limit();
        let leaves = endpoint.departure.map(|departure| now.saturating_sub(departure.since));
        let leaves = leaves.map(Duration::from_millis);
        let back_off = Some(endpoint.back_off.remaining_ms(now)).filter(|ms| *ms > 0);
        let back_off = back_off.map(Duration::from_millis);
        Some(Chosen {
            instance,
            id,
            address,
            version,
            cached_tokens,
            load,
            limit,
            leaves,
            back_off,
        })
    }

    /// Counts a request that is sent to an endpoint; returns the prompt tokens that the endpoint has to process.
    pub fn start(&self, service: &str, chosen: &Chosen, prefix: &Prefix) -> u64 {
        let now = self.now();
        let mut state = self.state.lock();
        let Some(pool) = state.services.get_mut(service) else { return 0 };
        pool.start(&chosen.instance, prefix, now);
        pool.start_prefill(&chosen.instance, prefix, chosen.cached_tokens)
    }

    /// Accepts the announcement of a prompt by another box.
    pub fn receive_prompt(&self, by: &Arc<str>, prompt: &Prompt) {
        let now = self.now();
        let services = &mut self.state.lock().services;
        let mut pools = services.values_mut();
        if let Some(pool) = pools.find(|pool| pool.get(&prompt.endpoint).is_some()) {
            pool.receive_prompt(by, prompt, now);
        }
    }

    /// The endpoint has processed a prompt: the response began, or the request ended without one.
    pub fn finish_prefill(&self, service: &str, instance: &str, prefill_tokens: u64) {
        if let Some(pool) = self.state.lock().services.get_mut(service) {
            pool.finish_prefill(instance, prefill_tokens);
        }
    }

    /// Records the time between two events of a stream.
    pub fn record_gap(&self, service: &str, instance: &str, gap: Duration) {
        if let Some(pool) = self.state.lock().services.get_mut(service) {
            pool.record_gap(instance, gap.as_secs_f64() * 1_000.0);
        }
    }

    /// A request at an endpoint ended.
    pub fn end(&self, service: &str, instance: &str, failure: Option<Failure>) {
        let now = self.now();
        if let Some(pool) = self.state.lock().services.get_mut(service) {
            pool.end(instance, failure, now);
        }
    }

    /// Whether an endpoint of a service and a software version may get requests now or later.
    pub fn serves_version(&self, service: &str, version: &str) -> bool {
        let now = self.now();
        let state = self.state.lock();
        state.services.get(service).is_some_and(|pool| pool.serves_version(version, now))
    }

    /// Whether another endpoint of the service, of one software version or of any, accepts a request now.
    pub fn has_alternative(&self, service: &str, instance: &str, version: Option<&str>) -> bool {
        let now = self.now();
        let state = self.state.lock();
        state.services.get(service).is_some_and(|pool| pool.has_alternative(instance, version, now))
    }
}

/// Weights for the selection: engines are compared by prompts to process, other endpoints by requests in flight.
fn weights(engines: bool) -> Weights {
    match engines {
        false => Weights::default(),
        true => Weights {
            size_per_request: TOKENS_PER_REQUEST,
            prefill: PREFILL_WEIGHT,
            in_flight: IN_FLIGHT_WEIGHT,
            other_zone: OTHER_ZONE_PENALTY,
            bounded_load: BOUNDED_LOAD,
            random_candidates: RANDOM_CANDIDATES,
            prefix_owners: PREFIX_OWNERS,
            large_prefix: LARGE_PREFIX_TOKENS,
        },
    }
}
