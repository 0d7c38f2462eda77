//! The endpoints of one pool: their state is kept here, `choose` chooses among them, and `wait`
//! tells how long requests have to wait.

mod choose;
mod wait;

pub use choose::{Candidates, Choice, Filter, Weights};

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use crate::{
    Allowance, BackOff, Brittle, Departure, Endpoint, Failure, Fleet, Prefix, PrefixIndex, Prompt,
    Report, Snapshot, speed::Speed,
};

/// The endpoints of a pool as one box sees them.
#[derive(Debug)]
pub struct Pool {
    /// Sorted by name.
    endpoints: Vec<Endpoint>,
    prefixes: PrefixIndex,
    weights: Weights,
    zone: Arc<str>,
    /// Moving average of the size to prefill per prompt.
    mean_prefill: f64,
    speed: Speed,
    /// Rate that cold endpoints can handle; `None` if not limited.
    allowance: Option<Allowance>,
    /// The boxes that share this rate; `None` until the other boxes are known.
    fleet: Option<Fleet>,
    /// What the endpoint that answered last bears.
    brittle: Option<Brittle>,
    /// Latest retry time given to a request that was refused because of rate limits.
    last_retry_at: u64,
    /// Back-offs of endpoints that are not listed now: an entry that expired may come back within
    /// seconds.
    back_offs: HashMap<Arc<str>, BackOff>,
}

/// Smoothing factor of the average prompt size; about the last twenty prompts count.
const MEAN_PREFILL_GAIN: f64 = 0.05;
/// Shortest event gap in milliseconds that is recorded; events closer together were delivered at
/// once.
const MIN_GAP_MS: f64 = 1.0;
/// Maximum number of remembered back-offs of unlisted endpoints, about 100 bytes each.
const MAX_BACK_OFFS: usize = 4_096;
/// Prompt blocks remembered per pool.
const MAX_PREFIX_BLOCKS: usize = 65_536;

impl Pool {
    /// An empty pool seen from a box in `zone`.
    pub fn new(zone: Arc<str>, weights: Weights) -> Pool {
        let prefixes = PrefixIndex::new(MAX_PREFIX_BLOCKS);
        Pool {
            endpoints: Vec::new(),
            prefixes,
            weights,
            zone,
            mean_prefill: 0.0,
            speed: Speed::default(),
            allowance: None,
            fleet: None,
            brittle: None,
            last_retry_at: 0,
            back_offs: HashMap::new(),
        }
    }

    /// Replaces the list of endpoints, given as pairs of name and zone; known endpoints keep their
    /// state.
    pub fn update(&mut self, list: impl IntoIterator<Item = (Arc<str>, Arc<str>)>, now: u64) {
        let mut list: Vec<_> = list.into_iter().collect();
        list.sort();
        let is_listed =
            |name: &Arc<str>| list.binary_search_by(|(listed, _)| listed.cmp(name)).is_ok();
        let removed =
            self.endpoints.iter().map(|endpoint| &endpoint.name).filter(|name| !is_listed(name));
        let removed = removed.cloned().collect();
        list.retain(|(name, _)| self.get(name).is_none());
        self.apply(list, &removed, now);
    }

    /// Adds endpoints, given as pairs of name and zone, and removes some; the others keep their
    /// state.
    pub fn apply(
        &mut self,
        added: Vec<(Arc<str>, Arc<str>)>,
        removed: &HashSet<Arc<str>>,
        now: u64,
    ) {
        let warm = self.endpoints.is_empty();
        let mut gone = Vec::new();
        if !removed.is_empty() {
            gone.extend(self.endpoints.extract_if(.., |endpoint| removed.contains(&endpoint.name)));
        }
        if !added.is_empty() {
            for (name, zone) in added {
                let back_off = self.back_offs.remove(&name).unwrap_or_default();
                let mut endpoint = Endpoint::new(name, zone, now, warm);
                endpoint.back_off = back_off;
                self.endpoints.push(endpoint);
            }
            self.endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.remember_back_offs(gone, now);
    }

    /// Keeps the active back-offs of endpoints that are no longer listed.
    fn remember_back_offs(&mut self, gone: Vec<Endpoint>, now: u64) {
        self.back_offs.retain(|_, back_off| back_off.remaining_ms(now) > 0);
        let active_back_offs =
            gone.into_iter().filter(|endpoint| endpoint.back_off.remaining_ms(now) > 0);
        self.back_offs.extend(
            active_back_offs.take(MAX_BACK_OFFS).map(|endpoint| (endpoint.name, endpoint.back_off)),
        );
        if self.back_offs.len() > MAX_BACK_OFFS {
            self.back_offs.clear();
        }
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.endpoints.binary_search_by(|endpoint| (*endpoint.name).cmp(name)).ok()
    }

    pub fn get(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(self.position(name)?)
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut Endpoint> {
        let position = self.position(name)?;
        self.endpoints.get_mut(position)
    }

    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Sets the software version of an endpoint.
    pub fn set_version(&mut self, name: &str, version: Arc<str>) {
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.version = Some(version);
        }
    }

    /// Marks the endpoints that get no new work; returns those that get work again.
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

    /// Sets which endpoints signaled that they leave.
    pub fn set_departures(&mut self, of: impl Fn(&Arc<str>) -> Option<Departure>) {
        for endpoint in &mut self.endpoints {
            endpoint.departure = of(&endpoint.name);
        }
    }

    /// Sets the rate that cold endpoints can handle; `None` if not limited.
    pub fn set_allowance(&mut self, allowance: Option<Allowance>, now: u64) {
        if self.allowance != allowance {
            self.allowance = allowance;
            self.update_cold_intervals(now);
        }
    }

    /// Sets the boxes that share the rate of cold endpoints.
    pub fn set_fleet(&mut self, fleet: &Fleet, now: u64) {
        if self.fleet.as_ref() != Some(fleet) {
            self.fleet = Some(fleet.clone());
            self.update_cold_intervals(now);
        }
    }

    /// Updates this box's share of the rate at all cold endpoints.
    fn update_cold_intervals(&mut self, now: u64) {
        for endpoint in &mut self.endpoints {
            if endpoint.cold.is_active(now) || endpoint.suspected_cold.is_active(now) {
                let interval_ms = cold_interval_ms(self.allowance, &self.fleet, &endpoint.name);
                endpoint.cold.set_interval(interval_ms);
                endpoint.suspected_cold.set_interval(interval_ms);
            }
        }
    }

    /// Marks an endpoint cold for `duration_ms`, or for the default time if it did not report one.
    pub fn mark_cold(&mut self, name: &str, duration_ms: Option<u64>, now: u64) {
        let duration_ms = duration_ms
            .unwrap_or_else(|| self.allowance.map_or(0, |allowance| allowance.duration_ms));
        let interval_ms = cold_interval_ms(self.allowance, &self.fleet, name);
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.cold.extend(now, now + duration_ms, interval_ms);
        }
    }

    /// Treats a silent endpoint as cold: it may have crashed and restarted.
    fn suspect_cold(&mut self, name: &str, now: u64) {
        let duration_ms = self.allowance.map_or(0, |allowance| allowance.duration_ms);
        let interval_ms = cold_interval_ms(self.allowance, &self.fleet, name);
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.suspected_cold.extend(now, now + duration_ms, interval_ms);
        }
    }

    /// Starts or extends an endpoint's back-off; returns whether it ends later than before.
    pub fn back_off(&mut self, name: &str, ms: u64, now: u64) -> bool {
        let Some(endpoint) = self.get_mut(name) else { return false };
        let unanswered = endpoint.unanswered();
        endpoint.back_off.extend(ms, unanswered, now)
    }

    /// Number of boxes in the fleet; 1 until the others are known.
    fn boxes(&self) -> usize {
        self.fleet.as_ref().map_or(1, |fleet| fleet.others.len() + 1)
    }

    /// Records what an endpoint says in an answer of the rejections that it bears.
    pub fn set_brittle(&mut self, name: &str, brittle: Option<Brittle>) {
        self.brittle = brittle;
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.brittle = brittle;
        }
    }

    /// Backs off from an endpoint that rejected a request for want of room, if it is brittle. Returns whether that ends
    /// later than before.
    pub fn back_off_if_brittle(&mut self, name: &str, now: u64) -> bool {
        let boxes = self.boxes();
        let brittle = self.get(name).and_then(|endpoint| endpoint.brittle);
        brittle.is_some_and(|brittle| self.back_off(name, brittle.back_off_ms(boxes), now))
    }

    /// Number of cold endpoints.
    pub fn cold(&self, now: u64) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.cold.is_active(now)).count()
    }

    /// Index of cached blocks.
    pub fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Records a request that is sent to an endpoint.
    pub fn start(&mut self, name: &Arc<str>, prefix: &Prefix, now: u64) {
        self.prefixes.insert(prefix, name);
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.start(now);
        }
    }

    /// Records the prefill of a prompt of which the endpoint has `cached` in its cache; returns the
    /// size to prefill.
    pub fn start_prefill(&mut self, name: &str, prefix: &Prefix, cached: u64) -> u64 {
        let missing = prefix.size().saturating_sub(cached);
        self.mean_prefill += (missing as f64 - self.mean_prefill) * MEAN_PREFILL_GAIN;
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.start_prefill(missing);
        }
        missing
    }

    /// Records a prompt that another box published, or the end of its prefill.
    pub fn receive_prompt(&mut self, by: &Arc<str>, prompt: &Prompt, now: u64) {
        let Some(endpoint) = self.get_mut(&prompt.endpoint) else { return };
        endpoint.receive_prompt(by, prompt, now);
        for block in prompt.blocks.iter() {
            self.prefixes.add(*block, &prompt.endpoint);
        }
    }

    /// Ends the prefill of a prompt, because its answer began or its request ended without one.
    pub fn finish_prefill(&mut self, name: &str, missing: u64) {
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.finish_prefill(missing);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, name: &str, failure: Option<Failure>, now: u64) {
        if failure == Some(Failure::Silent) {
            self.suspect_cold(name, now);
        }
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.end(now, failure);
        }
    }

    /// Takes over an endpoint's load report.
    pub fn receive_report(&mut self, name: &str, report: Report) {
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.receive_report(report);
        }
    }

    /// Records the gap between two events of an endpoint's stream.
    pub fn record_gap(&mut self, name: &str, gap_ms: f64) {
        if gap_ms < MIN_GAP_MS {
            return;
        }
        if let Some(endpoint) = self.get_mut(name) {
            endpoint.pace.record(gap_ms);
        }
        self.speed.count_gap(&self.endpoints);
    }

    /// Takes over the requests that a peer has in flight.
    pub fn receive_peer_load(&mut self, peer: &Arc<str>, snapshots: &[Snapshot], now: u64) {
        for endpoint in &mut self.endpoints {
            let reported = snapshots.iter().find(|snapshot| snapshot.name == endpoint.name);
            endpoint.receive_peer_load(
                peer,
                reported.map_or(0, |snapshot| snapshot.in_flight),
                now,
            );
        }
    }

    /// Requests of this box in flight, as reported to peers.
    pub fn snapshot(&self) -> Vec<Snapshot> {
        let busy = self.endpoints.iter().filter(|endpoint| endpoint.in_flight() > 0);
        busy.map(|e| Snapshot { name: e.name.clone(), in_flight: e.in_flight() }).collect()
    }
}

fn cold_interval_ms(
    allowance: Option<Allowance>,
    fleet: &Option<Fleet>,
    name: &str,
) -> Option<u64> {
    allowance?.interval_ms(fleet.as_ref()?, name)
}
