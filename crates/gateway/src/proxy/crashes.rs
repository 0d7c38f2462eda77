//! Requests whose connections to an endpoint broke, and whether the endpoint ended under them.
//!
//! A connection breaks for many reasons; only an endpoint that ended counts against a request. It is asked by
//! a connection: a port that is closed refuses it at once, and one that answers, or cannot be reached, shows
//! nothing. Until that is known, some 20 ms, a request for which it decides waits at this box, so that the box
//! does not send it to the next endpoint meanwhile. It is never put in quarantine for what is not proved: an innocent
//! request whose answers broke off at three endpoints that stood was refused for a day. In a model of nine engines,
//! 80 guilty requests and callers that come again within 10 ms, 238 engines end and 12 innocent requests wait so; where
//! unproved ends count, 238 end and 6 innocent requests are refused for a day; where they do not, 318 end.
//!
//! A caller may leave, or its time be over, before the endpoint ends under its request: no connection of it breaks
//! then. So what was given up at an endpoint is remembered for a moment, and reported with its end, which other
//! requests or other boxes see.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use futures_util::future::BoxFuture;
use ledger::Incarnation;
use parking_lot::Mutex;
use quarantine::{Finding, Fingerprint, Limits, Registry, Report, Verdict};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::clock::{Clock, Moment};

/// Time for all connections to an endpoint that ended to break, so that one report names all its requests.
const GATHER: Duration = Duration::from_millis(20);
/// Longest wait of a request for ends to be proved, twice what takes longest where the endpoint's machine answers. Where
/// it does not, its caller is told to come again when the connection is given up.
const PROVED_WITHIN: Duration = Duration::from_millis(50);
/// Reports that wait for the task that passes them on; it takes each at once.
const WAITING: usize = 256;

/// Time for which a request that was given up counts as being at its endpoint, in milliseconds: some engines run
/// it although its connection is closed, and end within a second of beginning.
const GIVEN_UP: u64 = 5_000;
/// Requests given up that are remembered, some 100 bytes each.
const MOST_GIVEN_UP: usize = 1_024;

/// What a connection to an endpoint shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Its port is closed.
    Ended,
    /// It takes connections.
    Running,
    /// Nothing answers.
    Unreachable,
}

impl Liveness {
    /// Name for log lines.
    fn as_str(self) -> &'static str {
        match self {
            Liveness::Ended => "ended",
            Liveness::Running => "stands",
            Liveness::Unreachable => "out_of_reach",
        }
    }
}

/// Finds out whether an endpoint ended.
pub type Prober = Box<dyn Fn(SocketAddr) -> BoxFuture<'static, Liveness> + Send + Sync>;

/// Finds it out by a connection, which may take so long to come up.
pub fn connect_prober(within: Duration) -> Prober {
    Box::new(move |address| {
        Box::pin(async move {
            sleep(GATHER).await;
            match timeout(within, TcpStream::connect(address)).await {
                Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Liveness::Ended,
                Ok(Err(_)) | Err(_) => Liveness::Unreachable,
                Ok(Ok(_)) => Liveness::Running,
            }
        })
    })
}

/// A report of this box with its name.
pub type NamedReport = (Arc<str>, Report);

/// What this box knows of requests that end endpoints.
#[derive(Debug, Clone)]
pub struct Crashes(Arc<Shared>);

struct Shared {
    me: Incarnation,
    prove: Prober,
    started: Moment,
    state: Mutex<State>,
    reports: mpsc::Sender<NamedReport>,
    /// Raised with each end of which it is known whether it is one.
    proofs: watch::Sender<u64>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("me", &self.me).finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct State {
    record: Registry,
    /// Requests whose connections to this life of an endpoint broke, until it is known whether it ended.
    unproved: HashMap<Arc<str>, Vec<Fingerprint>>,
    /// Requests given up at a life of an endpoint, by the millisecond.
    given_up: VecDeque<(u64, Arc<str>, Fingerprint)>,
    /// Number of the next report.
    next: u64,
}

impl State {
    /// Takes out what was given up lately at a life of an endpoint that ended.
    fn take_given_up(&mut self, instance: &str, now_ms: u64) -> Vec<Fingerprint> {
        let since = now_ms.saturating_sub(GIVEN_UP);
        self.given_up.retain(|(at, ..)| *at >= since);
        let (there, elsewhere): (VecDeque<_>, VecDeque<_>) =
            self.given_up.drain(..).partition(|(_, at, _)| **at == *instance);
        self.given_up = elsewhere;
        there.into_iter().map(|(.., request)| request).collect()
    }
}

impl Crashes {
    /// Nothing is known yet; reports of this box come out at the other end.
    pub fn open(
        me: Incarnation,
        limits: Limits,
        prove: Prober,
        clock: &Clock,
    ) -> (Crashes, mpsc::Receiver<NamedReport>) {
        let (reports, named) = mpsc::channel(WAITING);
        let (unproved, given_up) = Default::default();
        let state = State { record: Registry::new(limits), unproved, given_up, next: 0 };
        let (started, state) = (clock.now(), Mutex::new(state));
        let proofs = watch::channel(0).0;
        (Crashes(Arc::new(Shared { me, prove, started, state, reports, proofs })), named)
    }

    /// Takes over a report, with the version of the store if it has one.
    pub fn receive_report(&self, name: &Arc<str>, version: Option<u64>, report: Report) {
        let (now_s, now_ms) = (unix_s(), self.now_ms());
        let mut state = self.0.state.lock();
        let given_up = match &report.finding {
            Finding::Ended { endpoint } => state.take_given_up(endpoint, now_ms),
            Finding::Answered => Vec::new(),
        };
        let finding = report.finding.clone();
        let innocent = state.record.take(name, version, report, now_s, now_ms);
        drop(state);
        if !given_up.is_empty() {
            self.report(finding, given_up);
        }
        if !innocent.is_empty() {
            self.report(Finding::Answered, innocent);
        }
    }

    /// A report counts no more.
    pub fn forget(&self, name: &str) {
        self.0.state.lock().record.forget(name);
    }

    /// Drops reports that are too old, and says whether this one counts.
    pub fn contains(&self, name: &str) -> bool {
        let mut state = self.0.state.lock();
        state.record.expire(unix_s());
        state.record.contains(name)
    }

    /// Whether a request may be run; waits a moment where that hangs on ends that are still to be proved.
    pub async fn verdict(&self, request: &Fingerprint, until: Instant) -> Verdict {
        let until = until.min(Instant::now() + PROVED_WITHIN);
        let mut proofs = self.0.proofs.subscribe();
        loop {
            proofs.borrow_and_update();
            let verdict = self.verdict_now(request);
            let is_open = matches!(verdict, Verdict::Unconfirmed { .. });
            if !is_open || timeout_at(until, proofs.changed()).await.is_err() {
                return verdict;
            }
        }
    }

    fn verdict_now(&self, request: &Fingerprint) -> Verdict {
        let state = self.0.state.lock();
        let broken = state.unproved.iter().filter(|(_, requests)| requests.contains(request));
        let lives: Vec<Arc<str>> = broken.map(|(instance, _)| instance.clone()).collect();
        state.record.verdict(request, &lives, unix_s())
    }

    /// Number of reports that count, and of requests that are not run for them.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.0.state.lock();
        (state.record.len(), state.record.quarantined())
    }

    /// A request goes to an endpoint.
    pub fn watch(&self, instance: &Arc<str>, address: SocketAddr, request: &Fingerprint) -> Watch {
        Watch {
            crashes: self.clone(),
            instance: instance.clone(),
            address,
            request: request.clone(),
            is_over: false,
            is_framed: true,
        }
    }

    fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    /// Makes a report of this box, which counts here at once.
    fn report(&self, finding: Finding, requests: Vec<Fingerprint>) {
        let report = Report { finding, requests, at_s: unix_s() };
        let name: Arc<str> = {
            let mut state = self.0.state.lock();
            state.next += 1;
            format!("{}.{:06}", self.0.me, state.next).into()
        };
        self.receive_report(&name, None, report.clone());
        if let Err(error) = self.0.reports.try_send((name, report)) {
            tracing::error!(event = "crash_report_dropped", %error);
        }
    }

    /// Finds out whether an endpoint ended, and reports so.
    async fn prove(self, instance: Arc<str>, address: SocketAddr) {
        let found = (self.0.prove)(address).await;
        let requests = self.0.state.lock().unproved.remove(&instance).unwrap_or_default();
        let (count, shows) = (requests.len(), found.as_str());
        tracing::info!(
            event = "connections_broke",
            endpoint = &*instance,
            found = shows,
            requests = count
        );
        if found == Liveness::Ended {
            self.report(Finding::Ended { endpoint: instance }, requests);
        }
        self.0.proofs.send_modify(|count| *count += 1);
    }
}

/// A request at an endpoint.
#[derive(Debug)]
pub struct Watch {
    crashes: Crashes,
    instance: Arc<str>,
    address: SocketAddr,
    request: Fingerprint,
    /// It is known what became of it there.
    is_over: bool,
    /// The end of its answer can be told from a connection that broke.
    is_framed: bool,
}

impl Watch {
    /// The endpoint did not run it, or ran it and stands.
    pub fn ended(&mut self) {
        self.is_over = true;
    }

    /// Its connection broke before the whole answer was there.
    pub fn broke(&mut self) {
        self.is_over = true;
        let mut state = self.crashes.0.state.lock();
        let requests = state.unproved.entry(self.instance.clone()).or_default();
        let is_first = requests.is_empty();
        if !requests.contains(&self.request) {
            requests.push(self.request.clone());
        }
        drop(state);
        // There is no runtime while the process ends.
        if let (true, Ok(runtime)) = (is_first, tokio::runtime::Handle::try_current()) {
            runtime.spawn(self.crashes.clone().prove(self.instance.clone(), self.address));
        }
    }

    /// Its answer ends with its connection: it looks the same if the endpoint ended.
    pub fn unframed(&mut self) {
        self.is_framed = false;
    }

    /// The endpoint ran it and answered whole.
    pub fn answered(&mut self) {
        if !self.is_framed {
            return;
        }
        self.is_over = true;
        let now_ms = self.crashes.now_ms();
        let is_cleared = self.crashes.0.state.lock().record.answered(&self.request, now_ms);
        if is_cleared {
            self.crashes.report(Finding::Answered, vec![self.request.clone()]);
        }
    }
}

impl Drop for Watch {
    /// It was given up: the endpoint may still run it.
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let now_ms = self.crashes.now_ms();
        let mut state = self.crashes.0.state.lock();
        state.given_up.push_back((now_ms, self.instance.clone(), self.request.clone()));
        if state.given_up.len() > MOST_GIVEN_UP {
            state.given_up.pop_front();
        }
    }
}

fn unix_s() -> u64 {
    // A clock before 1970 only makes reports look old.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
