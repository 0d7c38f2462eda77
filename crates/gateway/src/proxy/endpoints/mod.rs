//! The choice of an endpoint for one try, and what is learned from how it went.

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

use balance::{
    Allowance, Candidates, Choice, Failure, Fleet, Limit, Pool, Prefix, Prompt, Weights,
};
use parking_lot::Mutex;
use platform::{config::Service, endpoint::Entry};
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    clock::{Clock, Moment},
    settings,
    table::Table,
};

/// Tokens of prompt that weigh as much as one request under way. An engine of the deployments
/// reads about 40 tokens a millisecond and takes some 5 ms for a step, so that 2,000 tokens delay
/// everything beside them by ten steps.
const TOKENS_PER_REQUEST: f64 = 2_000.0;
/// Weight of a token of the prompt that an engine would have to read, beside one that waits there:
/// what waits costs nothing while the first event is in time, what is read displaces other prompts.
/// Against 2, 15% to 26% fewer tokens of shared parts were read again, and no more answers late.
const READING: f64 = 4.5;
/// Weight of a request that an engine is answering: one more in a batch makes a step longer by
/// less than a hundredth.
const UNDER_WAY: f64 = 0.05;
/// Another availability zone weighs as much as this many tokens of prompt would, in requests: the
/// way there takes half a millisecond, the time to read 20 tokens.
const OTHER_ZONE: f64 = 0.02;
/// Requests at an engine, as a multiple of the mean, above which a prompt that it holds does not
/// count any more.
const BOUNDED_LOAD: f64 = 3.0;
/// Endpoints drawn at random to compare, where prompts make the difference.
const DRAWS: usize = 4;
/// Endpoints that a shared part of a prompt hashes to: one, and another for when it is busy.
const HOMES: usize = 2;

/// Tokens of the shared part of a prompt from which on it is kept at engines that are not slow: an
/// engine of the deployments needs some 50 ms to read as many, while streams beside it pause. Where
/// a third of the engines took a third longer, 7.8% instead of 9.9% of all answers were late so.
const LARGE: u64 = 2_000;

/// A chosen endpoint.
#[derive(Debug, Clone)]
pub struct Chosen {
    /// Name of this life of it, on all boxes.
    pub instance: Arc<str>,
    /// Id of the endpoint.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tokens of the prompt that it probably holds.
    pub held: u64,
    /// Requests there, as far as this box can tell.
    pub load: f64,
    /// How much it takes, while it names that.
    pub limit: Option<Limit>,
    /// How long ago it said that it leaves, if it did.
    pub leaves: Option<Duration>,
    /// How much longer it wants nothing from this box, if it said so.
    pub rest: Option<Duration>,
}

/// A life of an endpoint and its availability zone.
type Placed = (Arc<str>, Arc<str>);

/// Where a life of an endpoint is found.
#[derive(Debug, Clone)]
struct Found {
    id: Arc<str>,
    address: SocketAddr,
    /// Heartbeat that told last how long it is cold.
    heartbeat: u64,
}

/// Name of a life of an endpoint: what was learned of an earlier one is not known of it.
fn life_name(id: &Arc<str>, entry: &Entry) -> Arc<str> {
    match entry.started {
        Some(instance) => format!("{id} {instance}").into(),
        None => id.clone(),
    }
}

/// All endpoints that take work, by service.
#[derive(Debug)]
pub struct Endpoints {
    zone: Arc<str>,
    cold: settings::Cold,
    started: Moment,
    state: Mutex<State>,
    unread: Mutex<signals::Unread>,
}

#[derive(Debug)]
struct State {
    random: SmallRng,
    services: HashMap<Arc<str>, Pool>,
    /// By the names of their lives.
    found: HashMap<Arc<str>, Found>,
    /// Lives that said that they leave, also while they are not listed.
    left: departures::Left,
    /// Availability zones that are to get no more work.
    evacuated: BTreeSet<Arc<str>>,
    /// What cold endpoints bear, by service.
    allowances: HashMap<Arc<str>, Allowance>,
    /// The boxes of the fleet, once they are known.
    fleet: Option<Fleet>,
}

impl State {
    /// Endpoints of zones that are to get no more work leave, all others do not. Those of a zone that is
    /// taken back may be cold and not have said so yet.
    fn mark_leaving(&mut self, now: u64) {
        for pool in self.services.values_mut() {
            let back = pool.set_leaving(|endpoint| self.evacuated.contains(&endpoint.zone));
            back.iter().for_each(|instance| pool.mark_cold(instance, None, now));
            pool.set_departures(|instance| {
                self.left.get(instance, self.found.get(instance)?.address)
            });
        }
    }

    /// Pools know what their cold endpoints bear, and who shares that.
    fn share(&mut self, now: u64) {
        for (service, pool) in &mut self.services {
            pool.set_allowance(self.allowances.get(service).copied(), now);
            if let Some(fleet) = &self.fleet {
                pool.set_fleet(fleet, now);
            }
        }
    }

    /// An endpoint says how long it is cold. Told again of the same heartbeat, nothing is new.
    fn mark_cold(&mut self, instance: &Arc<str>, entry: &Entry, now: u64) {
        let known = self.found.get(instance).is_some_and(|found| found.heartbeat == entry.heartbeat);
        if let Some(pool) = self.services.get_mut(&entry.service).filter(|_| !known) {
            pool.mark_cold(instance, Some(entry.cold.as_millis() as u64), now);
        }
    }
}

impl Endpoints {
    /// No endpoints yet, seen from a box in `zone`.
    pub fn new(zone: Arc<str>, cold: settings::Cold, clock: &Clock, seed: u64) -> Endpoints {
        let random = SmallRng::seed_from_u64(seed);
        let state = State {
            random,
            services: HashMap::new(),
            found: HashMap::new(),
            left: departures::Left::default(),
            evacuated: BTreeSet::new(),
            allowances: HashMap::new(),
            fleet: None,
        };
        let (state, unread) = (Mutex::new(state), Mutex::default());
        Endpoints { zone, cold, started: clock.now(), state, unread }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Takes over who takes work; returns the addresses that are of no more use.
    pub fn update<'a>(
        &self,
        ready: impl Iterator<Item = (&'a Arc<str>, &'a Entry)>,
    ) -> Vec<SocketAddr> {
        let now = self.now();
        let mut engines: HashSet<Arc<str>> = HashSet::new();
        let mut listed: BTreeMap<Arc<str>, Vec<Placed>> = BTreeMap::new();
        let mut found: HashMap<Arc<str>, Found> = HashMap::new();
        let mut cold: Vec<(Arc<str>, &Entry)> = Vec::new();
        for (id, entry) in ready {
            let instance = life_name(id, entry);
            let of = listed.entry(entry.service.clone()).or_default();
            of.push((instance.clone(), entry.zone.clone()));
            if entry.cold > Duration::ZERO {
                cold.push((instance.clone(), entry));
            }
            let (id, address, heartbeat) = (id.clone(), entry.address, entry.heartbeat);
            found.insert(instance, Found { id, address, heartbeat });
            if entry.engine {
                engines.insert(entry.service.clone());
            }
        }
        let state = &mut *self.state.lock();
        for (service, pool) in &mut state.services {
            if !listed.contains_key(service) {
                pool.update([], now);
            }
        }
        for (service, mut list) in listed {
            list.sort();
            let engines = engines.contains(&service);
            let fresh = || Pool::new(self.zone.clone(), weights(engines));
            state.services.entry(service).or_insert_with(fresh).update(list, now);
        }
        state.share(now);
        for (instance, entry) in cold {
            state.mark_cold(&instance, entry, now);
        }
        let before = std::mem::replace(&mut state.found, found);
        let State { left, found, .. } = &mut *state;
        left.keep(|instance| found.contains_key(instance), now);
        state.mark_leaving(now);
        let stays = |instance: &Arc<str>, at: &Found| {
            state.found.get(instance).is_some_and(|found| found.address == at.address)
        };
        let gone = before.into_iter().filter(|(instance, at)| !stays(instance, at));
        gone.map(|(_, found)| found.address).collect()
    }

    /// Takes over what the operator says of services.
    pub fn configure(&self, table: &Table) {
        let settings::Cold { factor, extra } = self.cold;
        let allowance = |service: &Service| Allowance {
            per_s: service.cold_per_s * factor + extra,
            duration_ms: (service.cold_s * 1_000.0) as u64,
        };
        let bound = table.config().services.iter().filter(|service| service.cold_per_s > 0.0);
        let mut state = self.state.lock();
        state.allowances =
            bound.map(|service| (service.name.clone(), allowance(service))).collect();
        state.share(self.now());
    }

    /// Takes over which boxes there are.
    pub fn set_fleet(&self, fleet: Fleet) {
        let mut state = self.state.lock();
        state.fleet = Some(fleet);
        state.share(self.now());
    }

    /// Number of endpoints that are cold.
    pub fn count_cold(&self) -> usize {
        let now = self.now();
        self.state.lock().services.values().map(|pool| pool.cold(now)).sum()
    }

    /// Time after which a request of this rank that no endpoint of a service took is to come again; `None` if there is no
    /// endpoint that stays.
    pub fn retry_delay(&self, service: &str, rank: u8) -> Option<Duration> {
        let now = self.now();
        let state = &mut *self.state.lock();
        let pool = state.services.get_mut(service)?;
        pool.retry_after_ms(rank, now).map(Duration::from_millis)
    }

    /// Sends nothing more to these zones, and to all others again; says whether that is new.
    pub fn evacuate(&self, zones: &BTreeSet<Arc<str>>) -> bool {
        let mut state = self.state.lock();
        let changes = state.evacuated != *zones;
        state.evacuated = zones.clone();
        state.mark_leaving(self.now());
        changes
    }

    /// Number of zones that are to get no more work.
    pub fn evacuated(&self) -> usize {
        self.state.lock().evacuated.len()
    }

    /// Chooses an endpoint of a service that is not in `tried`.
    pub fn choose(
        &self,
        service: &str,
        offer: Candidates,
        prefix: &Prefix,
        tried: &[Arc<str>],
    ) -> Option<Chosen> {
        let now = self.now();
        let state = &mut *self.state.lock();
        let pool = state.services.get_mut(service)?;
        let choice = pool.choose_from(offer, prefix, tried, now, &mut state.random)?;
        let Found { id, address, .. } = state.found.get(&choice.name)?.clone();
        let Choice { name: instance, held, load } = choice;
        let endpoint = pool.get(&instance)?;
        let limit = endpoint.limit();
        let leaves = endpoint.departure.map(|departure| now.saturating_sub(departure.since));
        let leaves = leaves.map(Duration::from_millis);
        let rest = Some(endpoint.back_off.remaining_ms(now)).filter(|ms| *ms > 0);
        let rest = rest.map(Duration::from_millis);
        Some(Chosen { instance, id, address, held, load, limit, leaves, rest })
    }

    /// A request goes to an endpoint; returns how much of its prompt is to be read there.
    pub fn start(&self, service: &str, chosen: &Chosen, prefix: &Prefix) -> u64 {
        let now = self.now();
        let mut state = self.state.lock();
        let Some(pool) = state.services.get_mut(service) else { return 0 };
        pool.start(&chosen.instance, prefix, now);
        pool.start_prefill(&chosen.instance, prefix, chosen.held)
    }

    /// Another box told of a prompt.
    pub fn receive_prompt(&self, by: &Arc<str>, prompt: &Prompt) {
        let now = self.now();
        let services = &mut self.state.lock().services;
        let mut pools = services.values_mut();
        if let Some(pool) = pools.find(|pool| pool.get(&prompt.endpoint).is_some()) {
            pool.receive_prompt(by, prompt, now);
        }
    }

    /// The answer of a request began, or it ended without one.
    pub fn finish_prefill(&self, service: &str, id: &str, missing: u64) {
        if let Some(pool) = self.state.lock().services.get_mut(service) {
            pool.finish_prefill(id, missing);
        }
    }

    /// A stream of an endpoint brought an event so long after the one before.
    pub fn record_gap(&self, service: &str, id: &str, gap: Duration) {
        if let Some(pool) = self.state.lock().services.get_mut(service) {
            pool.record_gap(id, gap.as_secs_f64() * 1_000.0);
        }
    }

    /// A request ended there.
    pub fn end(&self, service: &str, id: &str, failure: Option<Failure>) {
        let now = self.now();
        if let Some(pool) = self.state.lock().services.get_mut(service) {
            pool.end(id, failure, now);
        }
    }

    /// Whether another endpoint of a service than this one takes a request now.
    pub fn has_alternative(&self, service: &str, instance: &str) -> bool {
        let now = self.now();
        let state = self.state.lock();
        state.services.get(service).is_some_and(|pool| pool.has_alternative(instance, now))
    }
}

/// What weighs how much: at engines the prompts to be read, elsewhere the requests under way.
fn weights(engines: bool) -> Weights {
    match engines {
        false => Weights::default(),
        true => Weights {
            size_per_request: TOKENS_PER_REQUEST,
            prefill: READING,
            in_flight: UNDER_WAY,
            other_zone: OTHER_ZONE,
            bounded_load: BOUNDED_LOAD,
            random_candidates: DRAWS,
            prefix_owners: HOMES,
            large_prefix: LARGE,
        },
    }
}
