//! Detects requests that crash endpoints.
//!
//! A connection breaks for many reasons; only a crash of the endpoint counts against a request. After a broken
//! connection this box therefore probes the endpoint by connecting to it: a closed port proves a crash, anything else
//! proves nothing. While the probe runs, requests whose verdict depends on it wait, so that they are not sent to the
//! next endpoint. Unconfirmed crashes never quarantine a request, since connections to healthy endpoints break too.
//!
//! If the caller disconnects or the deadline passes before the endpoint crashes, no connection of the request breaks.
//! Abandoned requests are therefore remembered for a while, and added to the report of a crash that follows. If
//! nothing else ran at the endpoint, no connection breaks at all: the next request then finds its port closed, which
//! starts the probe as well.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use forward::{Connections, Port};
use futures_util::future::BoxFuture;
use ledger::Incarnation;
use parking_lot::Mutex;
use quarantine::{Finding, Fingerprint, Limits, Part, Prompt, Registry, Report, Verdict};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout_at},
};

use crate::clock::{Clock, Moment};

/// Delay before the probe, so that all connections to a crashed endpoint break and one report names all its requests.
const PROBE_DELAY: Duration = Duration::from_millis(20);
/// Longest wait of a request for the probe, twice what it takes at longest where the endpoint's machine responds. If the endpoint's machine does not respond by then, the request is refused
/// and its caller retries after the connect timeout.
const PROBE_WAIT_TIMEOUT: Duration = Duration::from_millis(50);
/// Capacity of the queue to the task that publishes reports.
const REPORT_QUEUE_CAPACITY: usize = 256;

/// Time in milliseconds for which an abandoned request counts as running at its endpoint: some engines run a request
/// although its connection is closed, and crash on it.
const ABANDONED_TTL_MS: u64 = 5_000;
/// Maximum number of abandoned requests remembered.
const MAX_ABANDONED: usize = 1_024;

/// What probing an endpoint shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The port is closed.
    Ended,
    /// The endpoint accepts connections.
    Running,
    /// The endpoint does not respond.
    Unreachable,
}

impl Liveness {
    /// Name in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Liveness::Ended => "ended",
            Liveness::Running => "stands",
            Liveness::Unreachable => "out_of_reach",
        }
    }
}

/// Probes whether an endpoint crashed.
pub type Prober = Box<dyn Fn(SocketAddr) -> BoxFuture<'static, Liveness> + Send + Sync>;

/// A prober that connects to the endpoint, and lets other boxes do so if its port is closed: this box may be cut off.
pub fn connect_prober(connections: Connections) -> Prober {
    Box::new(move |address| {
        let connections = connections.clone();
        Box::pin(async move {
            sleep(PROBE_DELAY).await;
            match connections.probe(address).await {
                Port::Closed => Liveness::Ended,
                Port::Unknown => Liveness::Unreachable,
                Port::Open => Liveness::Running,
            }
        })
    })
}

/// What may crash an endpoint in a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// The whole of it.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that others may hold as well.
    pub prompt: Option<Prompt>,
}

/// A report of this box and its name in the store.
pub type NamedReport = (Arc<str>, Report);

/// Requests that crash endpoints, as known to this box.
#[derive(Debug, Clone)]
pub struct Crashes(Arc<Shared>);

struct Shared {
    incarnation: Incarnation,
    prober: Prober,
    started: Moment,
    state: Mutex<State>,
    reports: mpsc::Sender<NamedReport>,
    /// Counts completed probes; wakes requests that wait for one.
    probes: watch::Sender<u64>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("me", &self.incarnation).finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct State {
    registry: Registry,
    /// Requests whose connections broke, by endpoint instance, until the probe completes.
    unconfirmed: HashMap<Arc<str>, Vec<Content>>,
    /// Abandoned requests with the time in milliseconds and the endpoint instance, oldest first.
    abandoned: VecDeque<(u64, Arc<str>, Content)>,
    /// Sequence number of the last report.
    last_number: u64,
}

impl State {
    /// Removes and returns the requests abandoned recently at a crashed endpoint instance.
    fn take_abandoned(&mut self, instance: &str, now_ms: u64) -> Vec<Content> {
        let since = now_ms.saturating_sub(ABANDONED_TTL_MS);
        self.abandoned.retain(|(at, ..)| *at >= since);
        let (matching, others): (VecDeque<_>, VecDeque<_>) =
            self.abandoned.drain(..).partition(|(_, at_instance, _)| **at_instance == *instance);
        self.abandoned = others;
        matching.into_iter().map(|(.., request)| request).collect()
    }

    /// Requests abandoned recently at an endpoint instance. The time is read only if there are any.
    fn abandoned_at(
        &self,
        instance: &str,
        now_ms: impl Fn() -> u64,
    ) -> impl Iterator<Item = &Content> {
        let there =
            self.abandoned.iter().filter(move |(_, at_instance, _)| **at_instance == *instance);
        let recent = there.filter(move |(at, ..)| *at + ABANDONED_TTL_MS >= now_ms());
        recent.map(|(.., request)| request)
    }
}

impl Crashes {
    /// Starts without reports; reports of this box are sent to the returned receiver.
    pub fn open(
        incarnation: Incarnation,
        limits: Limits,
        prober: Prober,
        clock: &Clock,
    ) -> (Crashes, mpsc::Receiver<NamedReport>) {
        let (reports, receiver) = mpsc::channel(REPORT_QUEUE_CAPACITY);
        let (unconfirmed, abandoned) = Default::default();
        let state =
            State { registry: Registry::new(limits), unconfirmed, abandoned, last_number: 0 };
        let (started, state) = (clock.now(), Mutex::new(state));
        let probes = watch::channel(0).0;
        (
            Crashes(Arc::new(Shared { incarnation, prober, started, state, reports, probes })),
            receiver,
        )
    }

    /// Records a report of any box, with its version in the store if it has one.
    pub fn receive_report(&self, name: &Arc<str>, version: Option<u64>, report: Report) {
        let (now_s, now_ms) = (unix_s(), self.now_ms());
        let mut state = self.0.state.lock();
        let abandoned = match &report.finding {
            Finding::Ended { endpoint } => state.take_abandoned(endpoint, now_ms),
            Finding::Answered | Finding::Harmless { .. } => Vec::new(),
        };
        let finding = report.finding.clone();
        let cleared = state.registry.add_report(name, version, report, now_s, now_ms);
        drop(state);
        if !abandoned.is_empty() {
            self.report(finding, abandoned);
        }
        if !cleared.is_empty() {
            self.report_answered(cleared);
        }
    }

    /// The part for which a request with this prompt is refused, and for how many more seconds.
    pub fn held_part(&self, prompt: &Prompt) -> Option<(Part, u64)> {
        self.0.state.lock().registry.held_part(prompt, unix_s())
    }

    /// Removes a report.
    pub fn forget(&self, name: &str) {
        self.0.state.lock().registry.forget(name);
    }

    /// Drops expired reports; returns whether this one still counts.
    pub fn contains(&self, name: &str) -> bool {
        let mut state = self.0.state.lock();
        state.registry.expire(unix_s());
        state.registry.contains(name)
    }

    /// Whether a request may run; waits briefly if that depends on a probe in progress.
    pub async fn verdict(&self, request: &Fingerprint, until: Instant) -> Verdict {
        let until = until.min(Instant::now() + PROBE_WAIT_TIMEOUT);
        let mut probes = self.0.probes.subscribe();
        loop {
            probes.borrow_and_update();
            let verdict = self.verdict_now(request);
            let is_pending = matches!(verdict, Verdict::Unconfirmed { .. });
            if !is_pending || timeout_at(until, probes.changed()).await.is_err() {
                return verdict;
            }
        }
    }

    /// Whether an endpoint has ended, as this box or another one found; waits briefly for a probe in progress.
    pub async fn has_ended(&self, instance: &Arc<str>, until: Instant) -> bool {
        let until = until.min(Instant::now() + PROBE_WAIT_TIMEOUT);
        let finding = Finding::Ended { endpoint: instance.clone() };
        let mut probes = self.0.probes.subscribe();
        loop {
            probes.borrow_and_update();
            let (has_ended, is_pending) = {
                let state = self.0.state.lock();
                (state.registry.has(&finding), state.unconfirmed.contains_key(instance))
            };
            if has_ended || !is_pending || timeout_at(until, probes.changed()).await.is_err() {
                return has_ended;
            }
        }
    }

    fn verdict_now(&self, request: &Fingerprint) -> Verdict {
        let state = self.0.state.lock();
        // Its connection broke there, or its caller left and others' connections broke.
        let suspected = state.unconfirmed.iter().filter(|(instance, requests)| {
            let is_it = |content: &Content| content.fingerprint == *request;
            requests.iter().any(is_it) || state.abandoned_at(instance, || self.now_ms()).any(is_it)
        });
        let instances: Vec<Arc<str>> = suspected.map(|(instance, _)| instance.clone()).collect();
        state.registry.verdict(request, &instances, unix_s())
    }

    /// Number of reports that count, of quarantined requests and of parts of prompts that are suspect.
    pub fn counts(&self) -> (usize, usize, usize) {
        let state = self.0.state.lock();
        let registry = &state.registry;
        (registry.len(), registry.quarantined(), registry.suspect_parts())
    }

    /// Watches a request that is sent to an endpoint.
    pub fn watch(&self, instance: &Arc<str>, address: SocketAddr, request: &Content) -> Watch {
        Watch {
            crashes: self.clone(),
            instance: instance.clone(),
            address,
            request: request.clone(),
            reports_before: self.0.state.lock().registry.arrivals(),
            is_resolved: false,
            is_framed: true,
        }
    }

    fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    /// Reports requests that this box found with a finding.
    fn report(&self, finding: Finding, contents: Vec<Content>) {
        let prompts: Vec<Prompt> =
            contents.iter().filter_map(|content| content.prompt.clone()).collect();
        let now_ms = self.now_ms();
        let (prompts, excused) = self.0.state.lock().registry.judge(&prompts, now_ms);
        let requests = contents.into_iter().map(|content| content.fingerprint).collect();
        self.publish(Report { finding, requests, prompts, excused, at_s: unix_s() });
    }

    /// Reports requests that endpoints answered completely.
    fn report_answered(&self, requests: Vec<Fingerprint>) {
        let (finding, prompts, excused) = (Finding::Answered, Vec::new(), Vec::new());
        self.publish(Report { finding, requests, prompts, excused, at_s: unix_s() });
    }

    /// Publishes a report of this box, which takes effect here at once.
    fn publish(&self, report: Report) {
        let name: Arc<str> = {
            let mut state = self.0.state.lock();
            state.last_number += 1;
            format!("{}.{:06}", self.0.incarnation, state.last_number).into()
        };
        self.receive_report(&name, None, report.clone());
        if let Err(error) = self.0.reports.try_send((name, report)) {
            tracing::error!(event = "crash_report_dropped", %error);
        }
    }

    /// Reports the parts of a prompt harmless that was answered, where one of them is suspect.
    fn prompt_answered(&self, prompt: &Prompt) {
        let now_ms = self.now_ms();
        let endpoints = {
            let registry = &mut self.0.state.lock().registry;
            registry.record_answer(prompt, now_ms);
            registry.prompt_answered(prompt)
        };
        if endpoints.is_empty() {
            return;
        }
        let finding = Finding::Harmless { endpoints };
        let (requests, prompts, excused) = (Vec::new(), vec![prompt.clone()], Vec::new());
        self.publish(Report { finding, requests, prompts, excused, at_s: unix_s() });
    }

    /// Probes an endpoint unless a probe of it is in progress; a request whose connection broke there waits for the
    /// result.
    fn suspect(&self, instance: &Arc<str>, address: SocketAddr, request: Option<&Content>) {
        let mut state = self.0.state.lock();
        let is_first = !state.unconfirmed.contains_key(instance);
        let requests = state.unconfirmed.entry(instance.clone()).or_default();
        requests.extend(request.filter(|request| !requests.contains(request)).cloned());
        drop(state);
        // There is no runtime during process shutdown.
        if let (true, Ok(runtime)) = (is_first, tokio::runtime::Handle::try_current()) {
            runtime.spawn(self.clone().probe(instance.clone(), address));
        }
    }

    /// Probes an endpoint, and reports a crash.
    async fn probe(self, instance: Arc<str>, address: SocketAddr) {
        let liveness = (self.0.prober)(address).await;
        let requests = {
            let mut state = self.0.state.lock();
            let requests = state.unconfirmed.remove(&instance).unwrap_or_default();
            match liveness {
                // Where others broke, those abandoned get a report of their own on its receipt.
                Liveness::Ended if requests.is_empty() => {
                    state.take_abandoned(&instance, self.now_ms())
                }
                _ => requests,
            }
        };
        let (count, name) = (requests.len(), liveness.as_str());
        tracing::info!(
            event = "connections_broke",
            endpoint = &*instance,
            found = name,
            requests = count
        );
        if liveness == Liveness::Ended && !requests.is_empty() {
            self.report(Finding::Ended { endpoint: instance }, requests);
        }
        self.0.probes.send_modify(|count| *count += 1);
    }
}

/// Watches one request at an endpoint; dropped without an outcome, the request counts as abandoned.
#[derive(Debug)]
pub struct Watch {
    crashes: Crashes,
    instance: Arc<str>,
    address: SocketAddr,
    request: Content,
    /// Number of crash reports before the request was sent: earlier crashes are none of its doing.
    reports_before: u64,
    /// The outcome at the endpoint is known.
    is_resolved: bool,
    /// The end of the response is distinguishable from a broken connection.
    is_framed: bool,
}

impl Watch {
    /// The endpoint did not run the request, or survived it.
    pub fn not_crashed(&mut self) {
        self.is_resolved = true;
    }

    /// The connection broke before the response was complete.
    pub fn broke(&mut self) {
        self.is_resolved = true;
        self.crashes.suspect(&self.instance, self.address, Some(&self.request));
    }

    /// No connection to the endpoint could be opened. If a request was abandoned there, the endpoint may have crashed on
    /// it while nothing ran beside it whose connection could break.
    pub fn unsent(&mut self) {
        self.is_resolved = true;
        let state = self.crashes.0.state.lock();
        let now_ms = || self.crashes.now_ms();
        let has_abandoned = state.abandoned_at(&self.instance, now_ms).next().is_some();
        drop(state);
        if has_abandoned {
            self.crashes.suspect(&self.instance, self.address, None);
        }
    }

    /// The close of the connection marks the end of the response, which looks the same as a crash.
    pub fn unframed(&mut self) {
        self.is_framed = false;
    }

    /// The endpoint ran the request and its response, a success or a failure, is complete.
    pub fn answered(&mut self, is_success: bool) {
        if !self.is_framed {
            return;
        }
        self.is_resolved = true;
        let Content { fingerprint, prompt } = &self.request;
        let now_ms = self.crashes.now_ms();
        let is_cleared = self.crashes.0.state.lock().registry.answered(fingerprint, now_ms);
        if is_cleared {
            self.crashes.report_answered(vec![fingerprint.clone()]);
        }
        // A failure may come before anything was made of the prompt.
        if let Some(prompt) = prompt.as_ref().filter(|_| is_success) {
            self.crashes.prompt_answered(prompt);
        }
    }
}

impl Drop for Watch {
    /// Records the request as abandoned: the endpoint may still run it.
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let finding = Finding::Ended { endpoint: self.instance.clone() };
        let now_ms = self.crashes.now_ms();
        let mut state = self.crashes.0.state.lock();
        // The report of the crash may have arrived first, and no other one may follow.
        if state.registry.has_arrived_after(&finding, self.reports_before) {
            drop(state);
            self.crashes.report(finding, vec![self.request.clone()]);
            return;
        }
        state.abandoned.push_back((now_ms, self.instance.clone(), self.request.clone()));
        if state.abandoned.len() > MAX_ABANDONED {
            state.abandoned.pop_front();
        }
    }
}

fn unix_s() -> u64 {
    // A clock set before 1970 only makes reports look expired.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
