//! Requests whose connections to an endpoint broke, and whether the endpoint ended under them.
//!
//! A connection breaks for many reasons; only an endpoint that ended counts against a request. It is asked by
//! a connection: a port that is closed refuses it at once, and one that answers, or cannot be reached, shows
//! nothing. Until that is known, a few milliseconds, the end counts on this box alone, so that the box does not
//! repeat a request to the next endpoint meanwhile.

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use ledger::Incarnation;
use parking_lot::Mutex;
use quarantine::{Finding, Fingerprint, Limits, Record, Report, Verdict};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    clock::{Clock, Moment},
    way::endpoints::Chosen,
};

/// Time for all connections to an endpoint that ended to break, so that one report names all its requests.
const GATHER: Duration = Duration::from_millis(20);
/// Reports that wait for the task that passes them on; it takes each at once.
const WAITING: usize = 256;

/// A report of this box with its name.
pub type Named = (Arc<str>, Report);

/// What this box knows of requests that end endpoints.
#[derive(Debug, Clone)]
pub struct Crashes(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    me: Incarnation,
    /// Longest time for a connection to come up.
    connect: Duration,
    started: Moment,
    state: Mutex<State>,
    reports: mpsc::Sender<Named>,
}

#[derive(Debug)]
struct State {
    record: Record,
    /// Requests whose connections to this life of an endpoint broke, until it is known whether it ended.
    unproved: HashMap<Arc<str>, Vec<Fingerprint>>,
    /// Number of the next report.
    next: u64,
}

impl Crashes {
    /// Nothing is known yet; reports of this box come out at the other end.
    pub fn open(
        me: Incarnation,
        limits: Limits,
        connect: Duration,
        clock: &Clock,
    ) -> (Crashes, mpsc::Receiver<Named>) {
        let (reports, named) = mpsc::channel(WAITING);
        let state = State { record: Record::new(limits), unproved: HashMap::new(), next: 0 };
        let (started, state) = (clock.now(), Mutex::new(state));
        (Crashes(Arc::new(Shared { me, connect, started, state, reports })), named)
    }

    /// Takes over a report, with the version of the store if it has one.
    pub fn take(&self, name: &Arc<str>, version: Option<u64>, report: Report) {
        let (now_s, now_ms) = (unix_s(), self.now_ms());
        let innocent = self.0.state.lock().record.take(name, version, report, now_s, now_ms);
        if !innocent.is_empty() {
            self.report(Finding::Answered, innocent);
        }
    }

    /// A report counts no more.
    pub fn forget(&self, name: &str) {
        self.0.state.lock().record.forget(name);
    }

    /// Drops reports that are too old, and says whether this one counts.
    pub fn holds(&self, name: &str) -> bool {
        let mut state = self.0.state.lock();
        state.record.expire(unix_s());
        state.record.holds(name)
    }

    /// Whether a request may be run.
    pub fn verdict(&self, request: &Fingerprint) -> Verdict {
        let state = self.0.state.lock();
        let broken = state.unproved.iter().filter(|(_, requests)| requests.contains(request));
        let lives: Vec<Arc<str>> = broken.map(|(life, _)| life.clone()).collect();
        state.record.verdict(request, &lives, unix_s())
    }

    /// Number of reports that count, and of requests that are not run for them.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.0.state.lock();
        (state.record.len(), state.record.quarantined())
    }

    /// A request goes to an endpoint.
    pub fn watch(&self, chosen: &Chosen, request: &Fingerprint) -> Watch {
        let (life, address) = (chosen.life.clone(), chosen.address);
        Watch { crashes: self.clone(), life, address, request: request.clone() }
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
        self.take(&name, None, report.clone());
        if let Err(error) = self.0.reports.try_send((name, report)) {
            tracing::error!(event = "crash_report_dropped", %error);
        }
    }

    /// Finds out whether an endpoint ended, and reports so.
    async fn prove(self, life: Arc<str>, address: SocketAddr) {
        sleep(GATHER).await;
        let connected = timeout(self.0.connect, TcpStream::connect(address)).await;
        let requests = self.0.state.lock().unproved.remove(&life).unwrap_or_default();
        let found = match connected {
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => "ended",
            Ok(Err(_)) | Err(_) => "out_of_reach",
            Ok(Ok(_)) => "stands",
        };
        let count = requests.len();
        tracing::info!(event = "connections_broke", endpoint = &*life, found, requests = count);
        if found == "ended" {
            self.report(Finding::Ended { endpoint: life }, requests);
        }
    }
}

/// A request at an endpoint.
#[derive(Debug)]
pub struct Watch {
    crashes: Crashes,
    life: Arc<str>,
    address: SocketAddr,
    request: Fingerprint,
}

impl Watch {
    /// Its connection broke before the whole answer was there.
    pub fn broke(&self) {
        let mut state = self.crashes.0.state.lock();
        let requests = state.unproved.entry(self.life.clone()).or_default();
        let is_first = requests.is_empty();
        if !requests.contains(&self.request) {
            requests.push(self.request.clone());
        }
        drop(state);
        // There is no runtime while the process ends.
        if let (true, Ok(runtime)) = (is_first, tokio::runtime::Handle::try_current()) {
            runtime.spawn(self.crashes.clone().prove(self.life.clone(), self.address));
        }
    }

    /// The endpoint ran it and answered whole.
    pub fn answered(&self) {
        let now_ms = self.crashes.now_ms();
        let is_cleared = self.crashes.0.state.lock().record.answered(&self.request, now_ms);
        if is_cleared {
            self.crashes.report(Finding::Answered, vec![self.request.clone()]);
        }
    }
}

fn unix_s() -> u64 {
    // A clock before 1970 only makes reports look old.
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
