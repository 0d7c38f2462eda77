//! What a box knows of one endpoint.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    availability::Departure,
    back_off::BackOff,
    cold::Cold,
    limit::{Limit, LimitSignal},
    pace::Pace,
};

/// Own counts remembered, one each [`SAMPLE_MS`].
const SAMPLES: usize = 128;
/// Milliseconds between two remembered counts.
const SAMPLE_MS: u64 = 50;
/// Failures in a row that eject an endpoint.
const EJECT_AFTER: u32 = 3;
/// First time that an endpoint is passed over, in milliseconds; doubles with each failure after.
const EJECT_MS: u64 = 1_000;
/// Longest time that an endpoint is passed over, in milliseconds.
const EJECT_MOST_MS: u64 = 30_000;
/// A new endpoint gets a growing share for this long, in milliseconds.
const SLOW_START_MS: u64 = 5_000;
/// A reported queue fades to a third in this time, in milliseconds: about what an engine needs to
/// read a long prompt.
const BACKLOG_MS: f64 = 300.0;
/// A prompt of another box counts for so long at most, in milliseconds, if nobody tells that it was
/// read: longer than an engine takes to read the longest one.
const PROMPT_MOST_MS: u64 = 2_000;
/// Age at which a report counts for nothing, in milliseconds.
const REPORT_MOST_MS: u64 = 15_000;

/// A load report of an endpoint, taken at `at` on this box's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// When the endpoint counted, in milliseconds.
    pub at: u64,
    /// Requests in its batch.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that its batch takes.
    pub slots: u32,
}

/// A prompt that another box sent to an endpoint, which has to read it before others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Number of the prompt at the box that sent it.
    pub number: u64,
    /// Size of what is to be read; 0 once it was.
    pub size: u64,
    /// Hashes of its blocks, which the endpoint holds from then on; 3% to 14% fewer tokens of shared
    /// parts are read again where others know them.
    pub blocks: Arc<[u64]>,
}

/// Why a dispatch did not end well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or no first byte in time.
    Silent,
    /// It refused before running.
    Refused,
    /// The stream broke.
    Broken,
}

/// State of one endpoint on one box.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Gets no new work: by pool spec, platform list or the operator.
    pub leaving: bool,
    report: Option<Report>,
    in_flight: u32,
    samples: VecDeque<(u64, u32)>,
    peers: Vec<(Arc<str>, u32, u64)>,
    failures: u32,
    ejected_until: u64,
    new_since: Option<u64>,
    /// Requests of this box whose answer has not begun, and what of their prompts is to be read.
    unanswered: u32,
    unread: u64,
    prompts: Vec<Told>,
    /// How little it bears for now.
    pub cold: Cold,
    /// The same for one that was silent: it may have started again.
    pub doubt: Cold,
    /// How fast it makes events of streams.
    pub pace: Pace,
    /// What it said of how much it takes; `None` while it never named a limit.
    limit_signal: Option<LimitSignal>,
    /// While it names a limit, this box gets no turn there until then.
    closed_until: u64,
    /// What it asked this box for.
    pub back_off: BackOff,
    /// It said itself that it leaves.
    pub departure: Option<Departure>,
}

/// A prompt that another box told of.
#[derive(Debug, Clone)]
struct Told {
    by: Arc<str>,
    number: u64,
    size: u64,
    at: u64,
}

/// What others should know of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Requests that the sender has under way there.
    pub in_flight: u32,
}

impl Endpoint {
    /// An endpoint first seen at `now`; `warm` if the whole pool is new.
    pub fn new(name: Arc<str>, zone: Arc<str>, now: u64, warm: bool) -> Endpoint {
        Endpoint {
            name,
            zone,
            leaving: false,
            report: None,
            in_flight: 0,
            samples: VecDeque::new(),
            peers: Vec::new(),
            failures: 0,
            ejected_until: 0,
            new_since: (!warm).then_some(now),
            unanswered: 0,
            unread: 0,
            prompts: Vec::new(),
            cold: Cold::default(),
            doubt: Cold::default(),
            pace: Pace::default(),
            limit_signal: None,
            closed_until: 0,
            back_off: BackOff::default(),
            departure: None,
        }
    }

    /// What it said of how much it takes, if it ever named a limit.
    pub fn limit_signal(&self) -> Option<LimitSignal> {
        self.limit_signal
    }

    /// Requests that it takes from all boxes together, while it says so.
    pub fn limit(&self) -> Option<Limit> {
        self.limit_signal?.limit
    }

    /// It said how much it takes; says whether that changes what this box knows.
    pub fn update_limit(&mut self, limit_signal: LimitSignal) -> bool {
        let before = self.limit();
        match &self.limit_signal {
            None if limit_signal.limit.is_none() => return false,
            Some(known) if !limit_signal.replaces(known) => return false,
            _ => self.limit_signal = Some(limit_signal),
        }
        let is_new = self.limit() != before;
        if is_new {
            self.closed_until = 0;
        }
        is_new
    }

    /// This box gets no turn there for so many milliseconds.
    pub fn defer_permits(&mut self, ms: u64, now: u64) {
        self.closed_until = now + ms;
    }

    /// Milliseconds until this box may ask for a turn there, if it needs one.
    pub fn turn_wait_ms(&self, now: u64) -> u64 {
        self.limit().map_or(0, |_| self.closed_until.saturating_sub(now))
    }

    /// Whether it gets no new work any more.
    pub fn has_left(&self, now: u64) -> bool {
        self.leaving || self.departure.is_some_and(|departure| departure.until <= now)
    }

    /// Whether it wants no request now, not even one that was meant for it before.
    pub fn refuses_requests(&self, now: u64) -> bool {
        self.has_left(now) || self.back_off.remaining_ms(now) > 0
    }

    /// Milliseconds until this box may send it a request after a rest.
    pub fn rest_wait_ms(&self, now: u64) -> u64 {
        self.back_off.wait_ms(self.unanswered, now)
    }

    /// A request was dispatched.
    pub fn start(&mut self, now: u64) {
        self.cold.sent(now);
        self.doubt.sent(now);
        self.in_flight += 1;
        self.sample(now);
    }

    /// A request was sent of whose prompt this much is to be read.
    pub fn start_prefill(&mut self, size: u64) {
        self.unanswered += 1;
        self.unread += size;
    }

    /// Its answer began, or it ended without one.
    pub fn finish_prefill(&mut self, size: u64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.unread = self.unread.saturating_sub(size);
    }

    /// Another box told of a prompt that it sent, or that it was read.
    pub fn receive_prompt(&mut self, by: &Arc<str>, prompt: &Prompt, now: u64) {
        let same = |receive_prompt: &Told| {
            receive_prompt.by == *by && receive_prompt.number == prompt.number
        };
        self.prompts.retain(|receive_prompt| {
            !same(receive_prompt) && receive_prompt.at + PROMPT_MOST_MS > now
        });
        if prompt.size > 0 {
            let (by, number, size) = (by.clone(), prompt.number, prompt.size);
            self.prompts.push(Told { by, number, size, at: now });
        }
    }

    /// Size of prompts that are to be read before a new one: those of this box, and those of
    /// others. They tell of large ones; besides, a `typical` one is counted for each request of
    /// others that the endpoint reported to wait, which fades with the age of the report.
    pub fn backlog(&self, typical: f64, now: u64) -> f64 {
        let waiting = self.report.map_or(0.0, |report| {
            let waiting = f64::from(report.waiting.saturating_sub(self.unanswered));
            let age = now.saturating_sub(report.at) as f64;
            waiting * (-age / BACKLOG_MS).exp()
        });
        let receive_prompt =
            self.prompts.iter().filter(|receive_prompt| receive_prompt.at + PROMPT_MOST_MS > now);
        let receive_prompt: u64 = receive_prompt.map(|receive_prompt| receive_prompt.size).sum();
        // Those that were told of may be the ones that wait.
        self.unread as f64 + (waiting * typical).max(receive_prompt as f64)
    }

    /// A request ended.
    pub fn end(&mut self, now: u64, failure: Option<Failure>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sample(now);
        match failure {
            None => {
                self.failures = 0;
                self.ejected_until = 0;
            }
            Some(Failure::Refused) => {}
            Some(Failure::Silent | Failure::Broken) => self.fail(now),
        }
    }

    fn fail(&mut self, now: u64) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            let doublings = (self.failures - EJECT_AFTER).min(10);
            self.ejected_until = now + (EJECT_MS << doublings).min(EJECT_MOST_MS);
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

    /// A report came in; an older one than known is dropped.
    pub fn report(&mut self, report: Report) {
        let newer = self.report.is_none_or(|known| known.at <= report.at);
        if newer {
            self.report = Some(report);
        }
    }

    /// A peer told what it has under way there.
    pub fn peer(&mut self, peer: &Arc<str>, in_flight: u32, now: u64) {
        match self.peers.iter_mut().find(|(name, ..)| name == peer) {
            Some(known) => (known.1, known.2) = (in_flight, now),
            None => self.peers.push((peer.clone(), in_flight, now)),
        }
        self.peers.retain(|(_, _, at)| at + REPORT_MOST_MS > now);
    }

    fn own_at(&self, at: u64) -> u32 {
        let known = self.samples.iter().rev().find(|(sampled, _)| *sampled <= at);
        known.map_or(0, |(_, count)| *count)
    }

    /// Requests that this box has under way there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests of this box there whose answer has not begun.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Estimated requests at the endpoint now, over all boxes.
    pub fn load(&self, now: u64) -> f64 {
        let receive_prompt: u32 = self.peers.iter().map(|(_, count, _)| count).sum();
        let known = f64::from(self.in_flight) + f64::from(receive_prompt);
        let fresh = self.report.filter(|report| report.at + REPORT_MOST_MS > now);
        let Some(report) = fresh else { return known };
        let reported = f64::from(report.running + report.waiting);
        let change = f64::from(self.in_flight) - f64::from(self.own_at(report.at));
        let corrected = (reported + change).max(f64::from(self.in_flight));
        // A fresh report outweighs what peers told; a late one does not.
        let age = now.saturating_sub(report.at) as f64;
        let trust = 1.0 / (1.0 + age / 500.0);
        match self.peers.is_empty() {
            true => corrected,
            false => corrected * trust + known * (1.0 - trust),
        }
    }

    /// Requests that the batch takes, if reported.
    pub fn slots(&self) -> Option<u32> {
        self.report.map(|report| report.slots)
    }

    /// Whether failures put it aside at `now`.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Whether it was ejected, and the time is over: the next request is its probe.
    pub fn wants_probe(&self, now: u64) -> bool {
        self.failures >= EJECT_AFTER && !self.is_ejected(now) && self.in_flight == 0
    }

    /// Whether it was ejected and a probe is under way.
    pub fn is_probed(&self, now: u64) -> bool {
        self.failures >= EJECT_AFTER && !self.is_ejected(now) && self.in_flight > 0
    }

    /// Load is multiplied by this while the endpoint is new.
    pub fn slow_start(&self, now: u64) -> f64 {
        match self.new_since.map(|since| now.saturating_sub(since)) {
            Some(age) if age < SLOW_START_MS => 4.0 - 3.0 * age as f64 / SLOW_START_MS as f64,
            _ => 1.0,
        }
    }
}
