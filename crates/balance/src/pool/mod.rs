//! The endpoints of one pool: what is learned of them here, the choice among them in `choose`, and who has to wait in `wait`.

mod choose;
mod wait;

pub use choose::{Candidates, Choice, Weights};

use std::{collections::HashMap, sync::Arc};

use crate::{
    Allowance, BackOff, Departure, Endpoint, Failure, Fleet, Prefix, Prefixes, Prompt, Report,
    Snapshot, speed::Speed,
};

/// The endpoints of a pool as one box sees them.
#[derive(Debug)]
pub struct Pool {
    endpoints: Vec<Endpoint>,
    prefixes: Prefixes,
    weights: Weights,
    zone: Arc<str>,
    /// Mean size of what was to be read of a prompt.
    typical: f64,
    speed: Speed,
    /// What cold endpoints bear; `None` where that has no bound.
    allowance: Option<Allowance>,
    /// Who shares that; `None` while the other boxes are not known.
    fleet: Option<Fleet>,
    /// When the last request that no endpoint took for its limit is to come again.
    last_told: u64,
    /// Rests of endpoints that are not listed now: an entry that lapsed comes back within seconds.
    rests: HashMap<Arc<str>, BackOff>,
}

/// Gain of the mean size of prompts that are to be read: the last twenty or so count.
const TYPICAL_GAIN: f64 = 0.05;
/// Shortest time between two events that says something, in milliseconds: below it they came
/// together.
const SHORTEST_MS: f64 = 1.0;
/// Rests of endpoints that are not listed which are remembered, some 100 bytes each.
const MOST_RESTS: usize = 4_096;
/// Prompt blocks remembered by pool.
const PREFIX_BLOCKS: usize = 65_536;

impl Pool {
    /// An empty pool seen from a box in `zone`.
    pub fn new(zone: Arc<str>, weights: Weights) -> Pool {
        let prefixes = Prefixes::new(PREFIX_BLOCKS);
        Pool {
            endpoints: Vec::new(),
            prefixes,
            weights,
            zone,
            typical: 0.0,
            speed: Speed::default(),
            allowance: None,
            fleet: None,
            last_told: 0,
            rests: HashMap::new(),
        }
    }

    /// Takes over the pool's list; known endpoints keep their state.
    pub fn update(&mut self, list: impl IntoIterator<Item = (Arc<str>, Arc<str>)>, now: u64) {
        let warm = self.endpoints.is_empty();
        let mut known = std::mem::take(&mut self.endpoints);
        for (name, zone) in list {
            let at = known.iter().position(|endpoint| endpoint.name == name);
            let endpoint = match at {
                Some(at) => known.swap_remove(at),
                None => {
                    let back_off = self.rests.remove(&name).unwrap_or_default();
                    let mut endpoint = Endpoint::new(name, zone, now, warm);
                    endpoint.back_off = back_off;
                    endpoint
                }
            };
            self.endpoints.push(endpoint);
        }
        self.rests.retain(|_, back_off| back_off.remaining_ms(now) > 0);
        let resting = known.into_iter().filter(|endpoint| endpoint.back_off.remaining_ms(now) > 0);
        self.rests
            .extend(resting.take(MOST_RESTS).map(|endpoint| (endpoint.name, endpoint.back_off)));
        if self.rests.len() > MOST_RESTS {
            self.rests.clear();
        }
    }

    /// The endpoint of a name.
    pub fn get(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.iter().find(|endpoint| &*endpoint.name == name)
    }

    /// The endpoint of a name.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Endpoint> {
        self.endpoints.iter_mut().find(|endpoint| &*endpoint.name == name)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Says of each endpoint whether it gets no new work; returns those that get some again.
    pub fn set_leaving(&mut self, leaves: impl Fn(&Endpoint) -> bool) -> Vec<Arc<str>> {
        let mut back = Vec::new();
        for endpoint in &mut self.endpoints {
            let leaves = leaves(endpoint);
            if std::mem::replace(&mut endpoint.leaving, leaves) && !leaves {
                back.push(endpoint.name.clone());
            }
        }
        back
    }

    /// Says of each endpoint whether it said itself that it leaves.
    pub fn set_departures(&mut self, of: impl Fn(&Arc<str>) -> Option<Departure>) {
        for endpoint in &mut self.endpoints {
            endpoint.departure = of(&endpoint.name);
        }
    }

    /// What cold endpoints bear from now on; `None` where that has no bound.
    pub fn set_allowance(&mut self, allowance: Option<Allowance>, now: u64) {
        if self.allowance != allowance {
            self.allowance = allowance;
            self.share_cold(now);
        }
    }

    /// Who shares what cold endpoints bear.
    pub fn set_fleet(&mut self, fleet: &Fleet, now: u64) {
        if self.fleet.as_ref() != Some(fleet) {
            self.fleet = Some(fleet.clone());
            self.share_cold(now);
        }
    }

    /// Finds this box's part at all endpoints that are cold.
    fn share_cold(&mut self, now: u64) {
        for endpoint in &mut self.endpoints {
            if endpoint.cold.holds(now) || endpoint.doubt.holds(now) {
                let every = every_ms(self.allowance, &self.fleet, &endpoint.name);
                endpoint.cold.share(every);
                endpoint.doubt.share(every);
            }
        }
    }

    /// An endpoint is cold for `duration_ms`, or for as long as endpoints are that do not say so.
    pub fn mark_cold(&mut self, name: &str, duration_ms: Option<u64>, now: u64) {
        let duration_ms =
            duration_ms.unwrap_or_else(|| self.allowance.map_or(0, |allowance| allowance.duration_ms));
        let every = every_ms(self.allowance, &self.fleet, name);
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.cold.extend(now, now + duration_ms, every);
        }
    }

    /// A silent endpoint may have crashed, and be cold when it comes back.
    fn doubt(&mut self, name: &str, now: u64) {
        let duration_ms = self.allowance.map_or(0, |allowance| allowance.duration_ms);
        let every = every_ms(self.allowance, &self.fleet, name);
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.doubt.extend(now, now + duration_ms, every);
        }
    }

    /// An endpoint wants nothing from this box for so long; says whether that is longer than what it had asked for before.
    pub fn back_off(&mut self, name: &str, ms: u64, now: u64) -> bool {
        let Some(endpoint) = self.get_mut(name) else { return false };
        let unanswered = endpoint.unanswered();
        endpoint.back_off.ask(ms, unanswered, now)
    }

    /// Number of endpoints that are cold.
    pub fn cold(&self, now: u64) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.cold.holds(now)).count()
    }

    /// Which blocks are held where.
    pub fn prefixes_mut(&mut self) -> &mut Prefixes {
        &mut self.prefixes
    }

    /// A request goes to an endpoint.
    pub fn start(&mut self, name: &Arc<str>, prefix: &Prefix, now: u64) {
        self.prefixes.sent(prefix, name);
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.start(now);
        }
    }

    /// An endpoint that holds `held` of a prompt has the rest of it to read; returns how much.
    pub fn start_prefill(&mut self, name: &str, prefix: &Prefix, held: u64) -> u64 {
        let missing = prefix.size().saturating_sub(held);
        self.typical += (missing as f64 - self.typical) * TYPICAL_GAIN;
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.start_prefill(missing);
        }
        missing
    }

    /// Another box told of a prompt that it sent, or that it was read.
    pub fn receive_prompt(&mut self, by: &Arc<str>, prompt: &Prompt, now: u64) {
        let Some(endpoint) = self.get_mut(&prompt.endpoint) else { return };
        endpoint.receive_prompt(by, prompt, now);
        for block in prompt.blocks.iter() {
            self.prefixes.add(*block, &prompt.endpoint);
        }
    }

    /// The answer of a request began, or it ended without one.
    pub fn finish_prefill(&mut self, name: &str, missing: u64) {
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.finish_prefill(missing);
        }
    }

    /// A request ended.
    pub fn end(&mut self, name: &str, failure: Option<Failure>, now: u64) {
        if failure == Some(Failure::Silent) {
            self.doubt(name, now);
        }
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.end(now, failure);
        }
    }

    /// An endpoint reported its load.
    pub fn report(&mut self, name: &str, report: Report) {
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.report(report);
        }
    }

    /// A stream of an endpoint brought an event so many milliseconds after the one before.
    pub fn record_gap(&mut self, name: &str, gap_ms: f64) {
        if gap_ms < SHORTEST_MS {
            return;
        }
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.pace.see(gap_ms);
        }
        self.speed.note_event(&self.endpoints);
    }

    /// A peer told what it has under way.
    pub fn peer(&mut self, peer: &Arc<str>, receive_prompt: &[Snapshot], now: u64) {
        for endpoint in &mut self.endpoints {
            let count = receive_prompt.iter().find(|snapshot| snapshot.name == endpoint.name);
            endpoint.peer(peer, count.map_or(0, |snapshot| snapshot.in_flight), now);
        }
    }

    /// What peers should know.
    pub fn snapshot(&self) -> Vec<Snapshot> {
        let busy = self.endpoints.iter().filter(|endpoint| endpoint.in_flight() > 0);
        busy.map(|e| Snapshot { name: e.name.clone(), in_flight: e.in_flight() }).collect()
    }
}

fn every_ms(allowance: Option<Allowance>, fleet: &Option<Fleet>, name: &str) -> Option<u64> {
    allowance?.every_ms(fleet.as_ref()?, name)
}
