//! One run of the soak test: starts the fleet, plays load and faults, and checks the guarantees.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use ledger::{BILLS, BOOK, Book, Page};
use objects::{Expect, Store};
use parking_lot::Mutex;
use platform::fixtures;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use snafu::{ResultExt, Snafu};
use standin::{Link, Platform};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    announcement,
    call::{self, Call, Incarnation, Route},
    daemon::{self, Daemon},
    endpoint::{Arrivals, Endpoint, Id, Plan, Runs},
    fault::{self, Fault, Kind},
    limit,
    verdict::{self, Disturbance, Evidence, Violation},
};

/// Names of the endpoints, each with its service.
const ENDPOINTS: [(&str, &str); 4] =
    [("e-1", "engines"), ("e-2", "engines"), ("p-1", "plain"), ("p-2", "plain")];
/// Callers for each box; enough that calls are nearly always in flight.
const CALLERS_PER_BOX: usize = 3;
/// Shortest and longest pause of a caller between two calls, in milliseconds.
const CALLER_PAUSE_MS: (u64, u64) = (5, 60);
/// Tokens that each customer has paid for at the start; less than a run uses.
const INITIAL_PAID_TOKENS: u64 = 150_000;
/// Tokens that `Kind::TopUp` adds.
const TOP_UP_TOKENS: u64 = 40_000;
/// The daemon's setting `notice_ms`: time after SIGTERM in which it still accepts requests.
const NOTICE_MS: u64 = 600;
/// The daemon's setting `stop_ms`: longest time of a planned stop.
const STOP_MS: u64 = 6_000;
/// Longest wait for a daemon to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which a stopping daemon is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a fault until boxes are connected to the store again: the longest call plus the
/// longest delay between two calls.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time of load after the last fault, long enough for boxes to be connected again and for requests to
/// endpoints that left to count as violations.
const FINAL_LOAD_TIME: Duration = Duration::from_millis(8_500);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Folder for settings and logs; each seed gets a subfolder.
    pub folder: PathBuf,
    /// Number of boxes.
    pub boxes: usize,
    /// Duration of the load, without the time after the last fault.
    pub length: Duration,
    /// Whether endpoints announce rate limits.
    pub limits: bool,
    /// Whether endpoints announce that they leave, or ask for back-offs.
    pub announcements: bool,
    /// What happens while a box stops.
    pub stops: StopOrder,
}

/// What happens to faults that are due while a box stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOrder {
    /// They wait for the exit of the box, as in a rolling restart.
    InLine,
    /// They begin and end when they are due.
    Concurrent,
}

/// Results of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Numbers of calls: all, answered and refused.
    pub calls: (usize, usize, usize),
    /// Number of requests that endpoints ran.
    pub runs: usize,
    /// Number of faults.
    pub faults: usize,
    /// Violated guarantees.
    pub breaches: Vec<Violation>,
}

/// Failure of the test environment.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A daemon cannot be started or signalled.
    #[snafu(display("{source}"))]
    Daemon { source: daemon::Error },
    /// A file or folder cannot be created, or no port can be bound.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
}

/// A box: its current daemon, if it runs, and its link to the store.
struct Node {
    settings: PathBuf,
    link: Link,
    starts: usize,
    daemon: Option<Daemon>,
}

/// State shared with the callers.
struct Shared {
    platform: Platform,
    runs: Runs,
    calls: Mutex<Vec<Call>>,
    /// Address and incarnation of each box that accepts callers.
    accepting: Mutex<Vec<Option<(std::net::SocketAddr, Incarnation)>>>,
    next_number: AtomicU64,
    done: AtomicBool,
    /// Requests that reached endpoints that announce anything.
    arrivals: Arrivals,
}

/// Events of the run that the checks take into account; see [`Evidence`].
#[derive(Default)]
struct History {
    stopped: BTreeMap<Incarnation, (Instant, Instant)>,
    interrupted: BTreeSet<Incarnation>,
    left: BTreeMap<Arc<str>, Instant>,
    disturbances: Vec<Disturbance>,
    /// Faults begun and ended, a line each.
    steps: String,
}

/// Runs the soak test with one seed.
pub async fn run(seed: u64, options: &Options) -> Result<Report, Error> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // Runs of one seed in both orders may overlap, and each has settings and logs of its own.
    let name = match options.stops {
        StopOrder::InLine => format!("seed-{seed}"),
        StopOrder::Concurrent => format!("seed-{seed}-concurrent"),
    };
    let folder = options.folder.join(name);
    std::fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
    let platform = Platform::spawn(seed).await;
    let runs = Runs::default();
    let mut harness = Harness {
        shared: Arc::new(Shared {
            platform,
            runs: runs.clone(),
            calls: Mutex::default(),
            accepting: Mutex::new(vec![None; options.boxes]),
            next_number: AtomicU64::new(seed.wrapping_mul(1_000_000) + 1),
            done: AtomicBool::new(false),
            arrivals: Arrivals::default(),
        }),
        endpoints: Vec::new(),
        nodes: Vec::new(),
        history: History::default(),
        version: 1,
        paid: INITIAL_PAID_TOKENS,
        has_late_route: false,
        stops: options.stops,
        program: options.daemon.clone(),
        folder,
    };
    harness.configure().await;
    let limits = limit::draw(seed, ENDPOINTS.len(), options.length);
    let announcements =
        announcement::draw(seed, &ENDPOINTS.map(|(_, service)| service), options.length);
    for (number, (name, service)) in ENDPOINTS.into_iter().enumerate() {
        let plan = Plan {
            limit: limits.get(&number).copied().filter(|_| options.limits),
            announcement: announcements.get(&number).cloned().filter(|_| options.announcements),
        };
        let arrivals = harness.shared.arrivals.clone();
        let endpoint = Endpoint::spawn(name, service, runs.clone(), plan, arrivals).await;
        harness.register(&endpoint, true).await;
        harness.endpoints.push(endpoint);
    }
    for box_index in 0..options.boxes {
        harness.add_box(box_index).await?;
    }
    let faults = fault::draw(&mut random, options.boxes, harness.endpoints.len(), options.length);
    let count = faults.len();
    let mut callers = JoinSet::new();
    for number in 0..options.boxes * CALLERS_PER_BOX {
        callers.spawn(run_caller(harness.shared.clone(), seed ^ (number as u64 + 1) << 32));
    }
    harness.play(faults, options.length).await?;
    harness.shared.done.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    harness.finish().await?;
    Ok(harness.report(count).await)
}

struct Harness {
    shared: Arc<Shared>,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Node>,
    history: History,
    version: u64,
    paid: u64,
    /// Whether the configuration has `Route::Late`.
    has_late_route: bool,
    stops: StopOrder,
    program: PathBuf,
    folder: PathBuf,
}

impl Harness {
    async fn write(&self, kind: &str, name: &str, value: String) {
        let memory = self.shared.platform.memory();
        let found = memory.get(kind, name).await.expect("memory answers");
        let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
        memory.put(kind, name, value, expect).await;
    }

    async fn configure(&self) {
        let routes = ["stream", "cancel", "confirm", "late"];
        let routes = if self.has_late_route { &routes[..] } else { &routes[..3] };
        let (kind, name) = platform::CONFIG;
        self.write(kind, name, fixtures::config(self.version, self.paid, routes)).await;
    }

    async fn register(&self, endpoint: &Endpoint, ready: bool) {
        let entry = fixtures::entry(endpoint.service, endpoint.address(), ready);
        self.write(platform::ENDPOINTS, &endpoint.name, entry).await;
    }

    async fn add_box(&mut self, box_index: usize) -> Result<(), Error> {
        let store = self.shared.platform.socket();
        let settings = self.folder.join(format!("box-{box_index}.jsonc"));
        let link =
            Link::bind(store, Duration::ZERO).await.context(FileSnafu { path: &settings })?;
        let text = format!(
            r#"{{
                "box": "box-{box_index}", "zone": "z{zone}",
                "listen": {{
                    "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
                    "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
                }},
                "store": {{ "address": "{store}", "timeout_ms": 500 }},
                "limits": {{ "notice_ms": {NOTICE_MS}, "stop_ms": {STOP_MS} }},
            }}"#,
            zone = box_index % 2,
            store = link.address(),
        );
        std::fs::write(&settings, text).context(FileSnafu { path: &settings })?;
        self.nodes.push(Node { settings, link, starts: 0, daemon: None });
        self.start(box_index).await
    }

    /// Starts the daemon of a box.
    async fn start(&mut self, box_index: usize) -> Result<(), Error> {
        let node = &mut self.nodes[box_index];
        node.starts += 1;
        let log = self.folder.join(format!("box-{box_index}.{}.log", node.starts));
        let daemon = Daemon::spawn(&self.program, &node.settings, &log).await;
        let daemon = daemon.context(DaemonSnafu)?;
        let incarnation = Incarnation { box_index, number: node.starts };
        self.shared.accepting.lock()[box_index] = Some((daemon.callers(), incarnation));
        node.daemon = Some(daemon);
        Ok(())
    }

    /// Begins and undoes faults as scheduled, then waits for the end of the load.
    async fn play(&mut self, faults: Vec<Fault>, length: Duration) -> Result<(), Error> {
        let started = Instant::now();
        let mut due: Vec<(Instant, Step)> =
            faults.into_iter().map(|fault| (started + fault.start, Step::Begin(fault))).collect();
        while let Some(next) = (0..due.len()).min_by_key(|index| due[*index].0) {
            let (due_at, step) = due.swap_remove(next);
            tokio::time::sleep_until(due_at).await;
            self.log_step(&step, started, due_at);
            match step {
                Step::Begin(fault) => {
                    let end = self.begin(fault).await?;
                    due.extend(end.map(|end| (Instant::now() + fault.duration, Step::End(end))));
                }
                Step::End(end) => {
                    let unfinished = self.undo(end).await?;
                    due.extend(
                        unfinished.map(|end| (Instant::now() + STOP_POLL_INTERVAL, Step::End(end))),
                    );
                }
            }
        }
        tokio::time::sleep_until(started + length + FINAL_LOAD_TIME).await;
        Ok(())
    }

    /// Notes a step: when it was due and when it began, since the start of the load.
    fn log_step(&mut self, step: &Step, started: Instant, due_at: Instant) {
        let (name, kind) = match step {
            Step::Begin(fault) => ("begin", fault.kind),
            Step::End(end) => ("end", end.kind),
        };
        let (due, now) = (due_at - started, started.elapsed());
        let line = format!("due {due:.3?}, at {now:.3?}: {name} {kind:?}\n");
        self.history.steps.push_str(&line);
    }

    fn incarnation(&self, box_index: usize) -> Incarnation {
        Incarnation { box_index, number: self.nodes[box_index].starts }
    }

    /// Begins a fault; returns its end, if it must be undone.
    async fn begin(&mut self, fault: Fault) -> Result<Option<FaultEnd>, Error> {
        if let Some(box_index) = fault.kind.disturbed_boxes() {
            let from = Instant::now();
            let until = from + fault.duration + RECONNECT_TIMEOUT;
            self.history.disturbances.push(Disturbance { box_index, from, until });
        }
        let platform = &self.shared.platform;
        match fault.kind {
            Kind::StoreDown => platform.set(|faults| faults.down = true),
            Kind::StoreSlow => platform.set(|faults| faults.delay = Duration::from_millis(150)),
            Kind::StoreDropsResponses => platform.set(|faults| {
                (faults.drop_responses, faults.dropped_write_delay) =
                    (0.4, Duration::from_millis(300));
            }),
            Kind::CutLink { box_index } => self.nodes[box_index].link.set_cut(true),
            Kind::StallConnections { box_index } => {
                self.nodes[box_index].link.stall_open_connections();
                return Ok(None);
            }
            Kind::Kill { box_index } => self.kill(box_index).await,
            Kind::KillAll => {
                for box_index in 0..self.nodes.len() {
                    self.kill(box_index).await;
                }
            }
            Kind::Suspend { box_index } => {
                self.history.interrupted.insert(self.incarnation(box_index));
                self.signal(box_index, Signal::STOP)?;
            }
            Kind::Stop { box_index } => return self.stop(box_index, fault.duration),
            Kind::Reload { box_index } => {
                self.signal(box_index, Signal::HUP)?;
                return Ok(None);
            }
            Kind::Leave { endpoint } => {
                let endpoint = &self.endpoints[endpoint];
                self.register(endpoint, false).await;
                self.history.left.insert(endpoint.name.clone(), Instant::now());
                return Ok(None);
            }
            Kind::Configure => {
                (self.version, self.has_late_route) = (self.version + 1, true);
                self.configure().await;
                return Ok(None);
            }
            Kind::TopUp => {
                (self.version, self.paid) = (self.version + 1, self.paid + TOP_UP_TOKENS);
                self.configure().await;
                return Ok(None);
            }
        }
        let until = Instant::now() + fault.duration;
        Ok(Some(FaultEnd { kind: fault.kind, incarnation: None, until }))
    }

    /// Undoes a fault; returns it if the daemon is still stopping and other faults do not wait for
    /// that.
    async fn undo(&mut self, end: FaultEnd) -> Result<Option<FaultEnd>, Error> {
        let platform = &self.shared.platform;
        match end.kind {
            // Another fault killed the daemon meanwhile.
            Kind::Stop { box_index } if end.incarnation != Some(self.incarnation(box_index)) => {}
            Kind::StoreDown => platform.set(|faults| faults.down = false),
            Kind::StoreSlow => platform.set(|faults| faults.delay = Duration::ZERO),
            Kind::StoreDropsResponses => platform.set(|faults| faults.drop_responses = 0.0),
            Kind::CutLink { box_index } => self.nodes[box_index].link.set_cut(false),
            Kind::Suspend { box_index } => self.signal(box_index, Signal::CONT)?,
            Kind::Kill { box_index } => self.start_if_down(box_index).await?,
            Kind::Stop { box_index } => {
                let timeout = match self.stops {
                    StopOrder::InLine => EXIT_TIMEOUT,
                    StopOrder::Concurrent => Duration::ZERO,
                };
                if let Some(daemon) = &mut self.nodes[box_index].daemon
                    && !daemon.wait_exit(timeout).await
                {
                    if self.stops == StopOrder::Concurrent && Instant::now() < end.until {
                        return Ok(Some(end));
                    }
                    // It may be suspended, so its planned stop cannot be checked.
                    let incarnation = self.incarnation(box_index);
                    self.history.interrupted.insert(incarnation);
                }
                self.nodes[box_index].daemon = None;
                self.start_if_down(box_index).await?;
            }
            Kind::KillAll => {
                for box_index in 0..self.nodes.len() {
                    self.start_if_down(box_index).await?;
                }
            }
            Kind::StallConnections { .. }
            | Kind::Reload { .. }
            | Kind::Leave { .. }
            | Kind::Configure
            | Kind::TopUp => {}
        }
        Ok(None)
    }

    async fn start_if_down(&mut self, box_index: usize) -> Result<(), Error> {
        match self.nodes[box_index].daemon {
            Some(_) => Ok(()),
            None => self.start(box_index).await,
        }
    }

    fn signal(&self, box_index: usize, signal: Signal) -> Result<(), Error> {
        match &self.nodes[box_index].daemon {
            Some(daemon) => daemon.signal(signal).context(DaemonSnafu),
            None => Ok(()),
        }
    }

    async fn kill(&mut self, box_index: usize) {
        let incarnation = self.incarnation(box_index);
        if let Some(mut daemon) = self.nodes[box_index].daemon.take() {
            self.history.interrupted.insert(incarnation);
            self.shared.accepting.lock()[box_index] = None;
            // May fail if the daemon has already exited.
            let _ = daemon.signal(Signal::KILL);
            daemon.wait_exit(EXIT_TIMEOUT).await;
        }
    }

    /// Begins a planned stop. Shortly before the box rejects requests, callers move to other boxes,
    /// as behind a load balancer.
    fn stop(&mut self, box_index: usize, duration: Duration) -> Result<Option<FaultEnd>, Error> {
        let incarnation = self.incarnation(box_index);
        if self.nodes[box_index].daemon.is_none() || self.history.stopped.contains_key(&incarnation)
        {
            return Ok(None);
        }
        let now = Instant::now();
        // Requests sent just before the end of the notice may arrive after it.
        let notice = Duration::from_millis(NOTICE_MS - 200);
        self.history.stopped.insert(incarnation, (now, now + notice));
        self.signal(box_index, Signal::TERM)?;
        let (stopping, shared) = (box_index, self.shared.clone());
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            let mut all = shared.accepting.lock();
            if all[stopping].is_some_and(|(_, running)| running == incarnation) {
                all[stopping] = None;
            }
        });
        let until = now + duration + EXIT_TIMEOUT;
        Ok(Some(FaultEnd { kind: Kind::Stop { box_index }, incarnation: Some(incarnation), until }))
    }

    /// Ends all faults and stops all boxes.
    async fn finish(&mut self) -> Result<(), Error> {
        self.shared.platform.set(|faults| *faults = Default::default());
        for box_index in 0..self.nodes.len() {
            self.nodes[box_index].link.set_cut(false);
            self.signal(box_index, Signal::CONT)?;
            self.signal(box_index, Signal::TERM)?;
        }
        for box_index in 0..self.nodes.len() {
            let incarnation = self.incarnation(box_index);
            if let Some(daemon) = &mut self.nodes[box_index].daemon
                && !daemon.wait_exit(EXIT_TIMEOUT).await
            {
                self.history.interrupted.insert(incarnation);
            }
        }
        let steps = self.folder.join("faults.log");
        std::fs::write(&steps, &self.history.steps).context(FileSnafu { path: &steps })
    }

    async fn report(&self, faults: usize) -> Report {
        let memory = self.shared.platform.memory();
        let book = memory.get(BOOK.0, BOOK.1).await.expect("memory answers");
        let book = book.and_then(|object| serde_json::from_str(&object.value).ok());
        let book: Book = book.unwrap_or_default();
        let pages = memory.list(BILLS, "").await.expect("memory answers");
        let pages = pages.iter().filter_map(|page| serde_json::from_str::<Page>(&page.value).ok());
        let bills: Vec<_> = pages.flat_map(|page| page.bills).collect();
        let (calls, runs) = (self.shared.calls.lock(), self.shared.runs.lock());
        let breaches = verdict::violations(&Evidence {
            calls: &calls,
            runs: &runs,
            book: &book,
            bills: &bills,
            paid: self.paid,
            stopped: &self.history.stopped,
            interrupted: &self.history.interrupted,
            left: &self.history.left,
            disturbances: &self.history.disturbances,
            arrivals: &self.shared.arrivals.lock(),
        });
        let count = |matches_kind: fn(&call::Outcome) -> bool| {
            calls.iter().filter(|call| matches_kind(&call.outcome)).count()
        };
        let answered = count(|outcome| matches!(outcome, call::Outcome::Answered { .. }));
        let refused = count(|outcome| matches!(outcome, call::Outcome::Refused(_)));
        Report { calls: (calls.len(), answered, refused), runs: runs.len(), faults, breaches }
    }
}

enum Step {
    Begin(Fault),
    End(FaultEnd),
}

/// The scheduled end of a fault.
struct FaultEnd {
    kind: Kind,
    /// The incarnation that a planned stop concerns.
    incarnation: Option<Incarnation>,
    /// When a planned stop counts as failed.
    until: Instant,
}

/// Runs a caller until the load ends. It usually stays at one box while calls succeed and the box
/// accepts callers.
async fn run_caller(shared: Arc<Shared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let client = call::client();
    let mut current: Option<usize> = None;
    while !shared.done.load(Ordering::Relaxed) {
        let pause_ms = random.random_range(CALLER_PAUSE_MS.0..CALLER_PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let accepting = shared.accepting.lock().clone();
        let box_index =
            current.filter(|box_index| accepting[*box_index].is_some() && random.random_bool(0.95));
        let box_index = box_index.unwrap_or_else(|| random.random_range(0..accepting.len()));
        let Some((address, incarnation)) = accepting[box_index] else { continue };
        current = Some(box_index);
        let route = match random.random_range(0..10) {
            0..5 => Route::Stream,
            5 | 6 => Route::Cancel,
            7 | 8 => Route::Confirm,
            _ => Route::Late,
        };
        let key = if random.random_bool(0.6) { "key-b" } else { "key-p" };
        let id = Id {
            number: shared.next_number.fetch_add(1, Ordering::Relaxed),
            prompt: random.random_range(20..400),
            events: random.random_range(1..20),
        };
        let sent = Instant::now();
        let outcome = call::send(&client, address, route, key, id).await;
        if !matches!(outcome, call::Outcome::Answered { .. }) {
            current = None;
        }
        let ended = Instant::now();
        shared.calls.lock().push(Call { id, key, route, incarnation, sent, ended, outcome });
    }
}

/// Folder for settings and logs, beside the daemon's binary.
pub fn folder_beside(daemon: &Path) -> PathBuf {
    daemon.parent().unwrap_or(Path::new(".")).join("soak")
}
