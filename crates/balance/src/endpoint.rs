//! State of one endpoint, as one box knows it.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    availability::Departure,
    back_off::BackOff,
    brittle::{Brittle, Occupancy},
    cold::Throttle,
    limit::{Limit, LimitSignal},
    pace::Pace,
};

/// Number of remembered samples of this box's own request count, one per [`SAMPLE_MS`].
const SAMPLES: usize = 128;
/// Milliseconds between two samples.
const SAMPLE_MS: u64 = 50;
/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER: u32 = 3;
/// First ejection time in milliseconds; doubles with each further failure.
const EJECTION_MS: u64 = 1_000;
/// Longest ejection time in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Time in milliseconds over which a new endpoint is ramped up to its full share.
const SLOW_START_MS: u64 = 5_000;
/// Time constant in milliseconds with which a reported queue decays: about as long as an engine
/// needs to prefill a long prompt.
const QUEUE_DECAY_MS: f64 = 300.0;
/// Time in milliseconds after which a peer's prompt no longer counts, even if nobody reported the
/// end of its prefill. Longer than any prefill takes.
const PROMPT_TTL_MS: u64 = 2_000;
/// Age in milliseconds at which a load report no longer counts.
const REPORT_TTL_MS: u64 = 15_000;

/// A load report of an endpoint, taken at `at` by this box's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the endpoint counted, in milliseconds.
    pub at: u64,
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Capacity of its batch, in requests.
    pub slots: u32,
}

/// Published by a box that sends a prompt to an endpoint, and again with size 0 once it is
/// prefilled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    pub endpoint: Arc<str>,
    /// Number of the prompt, unique at the box that sent it.
    pub number: u64,
    /// Size to prefill; 0 once that is done.
    pub size: u64,
    /// Hashes of the prompt's blocks, which the endpoint caches from then on.
    pub blocks: Arc<[u64]>,
}

/// Why a request to an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or no first byte in time.
    Silent,
    /// The endpoint refused the request before running it.
    Refused,
    /// The stream broke off.
    Broken,
}

/// State of one endpoint on one box.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Version of its software; `None` if not known.
    pub version: Option<Arc<str>>,
    /// Gets no new work, by pool specification, platform list or operator.
    pub leaving: bool,
    report: Option<Report>,
    in_flight: u32,
    /// Times in milliseconds, and the number of requests of this box in flight then.
    samples: VecDeque<(u64, u32)>,
    /// Peers, the number of requests that each has in flight there, and when it reported that.
    peers: Vec<(Arc<str>, u32, u64)>,
    failures: u32,
    ejected_until: u64,
    new_since: Option<u64>,
    /// Requests of this box whose answer has not begun.
    unanswered: u32,
    /// Size of their prompts that is still to be prefilled.
    prefill_size: u64,
    peer_prompts: Vec<PeerPrompt>,
    /// Rate limiter while the endpoint is cold.
    pub cold: Throttle,
    /// Rate limiter after the endpoint was silent: it may have restarted and be cold.
    pub suspected_cold: Throttle,
    /// Time that it takes between two events of a stream.
    pub pace: Pace,
    /// Newest rate limit that it signaled; `None` if it never named one.
    limit_signal: Option<LimitSignal>,
    /// While it names a limit, this box asks for no permit before this time.
    permits_deferred_until: u64,
    /// Back-off that it asked this box for.
    pub back_off: BackOff,
    /// Set while it signals that it crashes if it has to reject too many requests.
    pub brittle: Option<Brittle>,
    /// Set once it signaled that it leaves.
    pub departure: Option<Departure>,
}

/// A prompt that another box published.
#[derive(Debug, Clone)]
struct PeerPrompt {
    by: Arc<str>,
    number: u64,
    size: u64,
    at: u64,
}

/// What a box reports to its peers about one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub name: Arc<str>,
    /// Requests of the sender in flight there.
    pub in_flight: u32,
}

impl Endpoint {
    /// A new endpoint, first seen at `now`. It gets its full share at once if it is `warm`, because
    /// the whole pool is new.
    pub fn new(name: Arc<str>, zone: Arc<str>, now: u64, warm: bool) -> Endpoint {
        Endpoint {
            name,
            zone,
            version: None,
            leaving: false,
            report: None,
            in_flight: 0,
            samples: VecDeque::new(),
            peers: Vec::new(),
            failures: 0,
            ejected_until: 0,
            new_since: (!warm).then_some(now),
            unanswered: 0,
            prefill_size: 0,
            peer_prompts: Vec::new(),
            cold: Throttle::default(),
            suspected_cold: Throttle::default(),
            pace: Pace::default(),
            limit_signal: None,
            permits_deferred_until: 0,
            back_off: BackOff::default(),
            brittle: None,
            departure: None,
        }
    }

    /// Whether it runs one of these software versions.
    pub fn has_one_of(&self, versions: &BTreeSet<Arc<str>>) -> bool {
        self.version.as_ref().is_some_and(|version| versions.contains(version))
    }

    /// Whether it runs this software version; any does for `None`.
    pub fn has_version(&self, version: Option<&str>) -> bool {
        version.is_none_or(|version| self.version.as_deref() == Some(version))
    }

    /// Its newest limit signal, if it ever named a limit.
    pub fn limit_signal(&self) -> Option<LimitSignal> {
        self.limit_signal
    }

    /// Rate limit over all boxes together, if it names one.
    pub fn limit(&self) -> Option<Limit> {
        self.limit_signal?.limit
    }

    /// Takes over a limit signal; returns whether the limit changed.
    pub fn update_limit(&mut self, limit_signal: LimitSignal) -> bool {
        let before = self.limit();
        match &self.limit_signal {
            None if limit_signal.limit.is_none() => return false,
            Some(known) if !limit_signal.replaces(known) => return false,
            _ => self.limit_signal = Some(limit_signal),
        }
        let is_new = self.limit() != before;
        if is_new {
            self.permits_deferred_until = 0;
        }
        is_new
    }

    /// Asks for no permit there for `ms` milliseconds.
    pub fn defer_permits(&mut self, ms: u64, now: u64) {
        self.permits_deferred_until = now + ms;
    }

    /// Milliseconds until this box may ask for a permit; 0 if the endpoint names no limit.
    pub fn permit_wait_ms(&self, now: u64) -> u64 {
        self.limit().map_or(0, |_| self.permits_deferred_until.saturating_sub(now))
    }

    /// Whether it gets no new work any more.
    pub fn has_left(&self, now: u64) -> bool {
        self.leaving || self.departure.is_some_and(|departure| departure.until <= now)
    }

    /// Whether it gets no request now, not even one that was already assigned to it.
    pub fn refuses_requests(&self, now: u64) -> bool {
        self.has_left(now) || self.back_off.remaining_ms(now) > 0
    }

    /// Milliseconds until its back-off lets this box send a request.
    pub fn back_off_wait_ms(&self, now: u64) -> u64 {
        self.back_off.wait_ms(self.unanswered, now)
    }

    /// Milliseconds until this box, one of `boxes`, may send a request there without risking a rejection that the endpoint
    /// does not bear; 0 if it is not brittle. `others` is what endpoints of the service that answered lately bear.
    pub fn room_wait_ms(&self, others: Option<Brittle>, boxes: usize, now: u64) -> u64 {
        let (brittle, report) = match self.report {
            Some(report) => (self.brittle, report),
            None => (others, Report::default()),
        };
        if brittle.is_none() {
            return 0;
        }
        let occupancy = Occupancy {
            requests: self.load(now),
            slots: report.slots,
            report_age_ms: now.saturating_sub(report.at),
            own: self.in_flight,
        };
        occupancy.wait_ms(boxes)
    }

    /// Records a request that was sent to it.
    pub fn start(&mut self, now: u64) {
        self.cold.record_sent(now);
        self.suspected_cold.record_sent(now);
        self.in_flight += 1;
        self.sample(now);
    }

    /// Records a prompt that was sent to it, `size` of which is to be prefilled.
    pub fn start_prefill(&mut self, size: u64) {
        self.unanswered += 1;
        self.prefill_size += size;
    }

    /// Ends the prefill of a prompt, because its answer began or its request ended without one.
    pub fn finish_prefill(&mut self, size: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.prefill_size = self.prefill_size.saturating_sub(size);
    }

    /// Records a prompt that another box published, or the end of its prefill.
    pub fn receive_prompt(&mut self, by: &Arc<str>, prompt: &Prompt, now: u64) {
        let same = |known: &PeerPrompt| known.by == *by && known.number == prompt.number;
        self.peer_prompts.retain(|known| !same(known) && known.at + PROMPT_TTL_MS > now);
        if prompt.size > 0 {
            let (by, number, size) = (by.clone(), prompt.number, prompt.size);
            self.peer_prompts.push(PeerPrompt { by, number, size, at: now });
        }
    }

    /// Size of prompts that are to be prefilled before a new one: those of this box and those of
    /// other boxes. Since those publish only large prompts, their part is the larger of two
    /// estimates: the published sizes, or `mean_prefill` for each of their requests in the reported
    /// queue, decaying with the age of the report.
    pub fn backlog(&self, mean_prefill: f64, now: u64) -> f64 {
        let waiting = self.report.map_or(0.0, |report| {
            let waiting = f64::from(report.waiting.saturating_sub(self.unanswered));
            let age = now.saturating_sub(report.at) as f64;
            waiting * (-age / QUEUE_DECAY_MS).exp()
        });
        let published = self.peer_prompts.iter().filter(|prompt| prompt.at + PROMPT_TTL_MS > now);
        let published: u64 = published.map(|prompt| prompt.size).sum();
        // Published prompts may be the ones in the reported queue, so they are not added up.
        self.prefill_size as f64 + (waiting * mean_prefill).max(published as f64)
    }

    /// Records the end of a request.
    pub fn end(&mut self, now: u64, failure: Option<Failure>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sample(now);
        match failure {
            None => {
                self.failures = 0;
                self.ejected_until = 0;
            }
            Some(Failure::Refused) => {}
            Some(Failure::Silent | Failure::Broken) => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: u64) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            let doublings = (self.failures - EJECT_AFTER).min(10);
            self.ejected_until = now + (EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        }
    }

    fn sample(&mut self, now: u64) {
        match self.samples.back_mut() {
            Some((at, count)) if now < *at + SAMPLE_MS => *count = self.in_flight,
            _ => self.samples.push_back((now, self.in_flight)),
        }
        if self.samples.len() > SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Takes over a load report, unless a newer one is known.
    pub fn receive_report(&mut self, report: Report) {
        let newer = self.report.is_none_or(|known| known.at <= report.at);
        if newer {
            self.report = Some(report);
        }
    }

    /// Takes over the number of requests that a peer has in flight there.
    pub fn receive_peer_load(&mut self, peer: &Arc<str>, in_flight: u32, now: u64) {
        match self.peers.iter_mut().find(|(name, ..)| name == peer) {
            Some(known) => (known.1, known.2) = (in_flight, now),
            None => self.peers.push((peer.clone(), in_flight, now)),
        }
        self.peers.retain(|(_, _, at)| at + REPORT_TTL_MS > now);
    }

    fn own_in_flight_at(&self, at: u64) -> u32 {
        let known = self.samples.iter().rev().find(|(sampled, _)| *sampled <= at);
        known.map_or(0, |(_, count)| *count)
    }

    /// Requests of this box in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests of this box there whose answer has not begun.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Estimated number of requests at the endpoint now, over all boxes.
    pub fn load(&self, now: u64) -> f64 {
        let by_peers: u32 = self.peers.iter().map(|(_, count, _)| count).sum();
        let known = f64::from(self.in_flight) + f64::from(by_peers);
        let fresh = self.report.filter(|report| report.at + REPORT_TTL_MS > now);
        let Some(report) = fresh else { return known };
        let reported = f64::from(report.running + report.waiting);
        let change = f64::from(self.in_flight) - f64::from(self.own_in_flight_at(report.at));
        let corrected = (reported + change).max(f64::from(self.in_flight));
        // A fresh report outweighs what peers reported; an old one does not.
        let age = now.saturating_sub(report.at) as f64;
        let trust = 1.0 / (1.0 + age / 500.0);
        match self.peers.is_empty() {
            true => corrected,
            false => corrected * trust + known * (1.0 - trust),
        }
    }

    /// Capacity of its batch in requests, if reported.
    pub fn slots(&self) -> Option<u32> {
        self.report.map(|report| report.slots)
    }

    /// Whether it is ejected at `now`.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Whether its ejection is over and the next request is to probe it.
    pub fn wants_probe(&self, now: u64) -> bool {
        self.failures >= EJECT_AFTER && !self.is_ejected(now) && self.in_flight == 0
    }

    /// Whether its ejection is over and a probe is in flight.
    pub fn is_probed(&self, now: u64) -> bool {
        self.failures >= EJECT_AFTER && !self.is_ejected(now) && self.in_flight > 0
    }

    /// Factor by which its load is multiplied while it is new.
    pub fn slow_start(&self, now: u64) -> f64 {
        match self.new_since.map(|since| now.saturating_sub(since)) {
            Some(age) if age < SLOW_START_MS => 4.0 - 3.0 * age as f64 / SLOW_START_MS as f64,
            _ => 1.0,
        }
    }
}
