//! One run: a seed, its fleet, its load, its faults, its verdict.

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
    call::{self, Call, Life, Route},
    daemon::{self, Daemon},
    endpoint::{Arrivals, Endpoint, Id, Runs, Says},
    fault::{self, Fault, Kind},
    need,
    verdict::{self, Breach, Disturbance, Evidence},
    word,
};

/// Endpoints and their services.
const ENDPOINTS: [(&str, &str); 4] =
    [("e-1", "engines"), ("e-2", "engines"), ("p-1", "plain"), ("p-2", "plain")];
/// Callers for each box: enough that some call is under way at any moment.
const CALLERS: usize = 3;
/// Pause of a caller between two calls, in milliseconds.
const THINKS_MS: (u64, u64) = (5, 60);
/// What each customer paid at first. A run uses about twice as much.
const PAID: u64 = 150_000;
/// What a raise adds.
const RAISE: u64 = 40_000;
/// Time from a planned stop until nothing more is taken, in milliseconds.
const NOTICE_MS: u64 = 600;
/// Time of a planned stop, in milliseconds.
const STOP_MS: u64 = 6_000;
/// Longest wait for a process that was told to stop.
const ENDS_WITHIN: Duration = Duration::from_secs(12);
/// Time between two looks at a box that stops.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Time after the last fault until boxes are in touch again: the longest call of the store, and the
/// longest pause between two.
const IN_TOUCH: Duration = Duration::from_millis(3_500);

/// Time of load after the last fault: boxes are in touch again, and whoever still uses an endpoint
/// that left is seen to.
const CALM: Duration = Duration::from_millis(8_500);

/// What to play.
#[derive(Debug, Clone)]
pub struct Options {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Folder for settings and lines; one folder a seed is made in it.
    pub folder: PathBuf,
    /// Boxes.
    pub boxes: usize,
    /// Time of the load.
    pub length: Duration,
    /// Whether endpoints name limits.
    pub limits: bool,
    /// Whether endpoints say that they leave, and ask for rest.
    pub announcements: bool,
}

/// What a run showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Calls made, answered and refused.
    pub calls: (usize, usize, usize),
    /// Requests that endpoints ran.
    pub runs: usize,
    /// Faults played.
    pub faults: usize,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
}

/// Why a run could not be played.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A process.
    #[snafu(display("{source}"))]
    Daemon { source: daemon::Error },
    /// A file.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
}

/// A box: its processes one after the other, and its link to the store.
struct Node {
    settings: PathBuf,
    link: Link,
    life: usize,
    daemon: Option<Daemon>,
}

/// What callers and faults share.
struct Shared {
    platform: Platform,
    runs: Runs,
    calls: Mutex<Vec<Call>>,
    /// Where a box takes callers, while it does, and which life of it.
    open: Mutex<Vec<Option<(std::net::SocketAddr, Life)>>>,
    numbers: AtomicU64,
    done: AtomicBool,
    /// What arrived at endpoints that name limits.
    arrivals: Arrivals,
}

/// The part of the run that is judged in the end.
#[derive(Default)]
struct History {
    stopped: BTreeMap<Life, (Instant, Instant)>,
    harmed: BTreeSet<Life>,
    left: BTreeMap<Arc<str>, Instant>,
    disturbed: Vec<Disturbance>,
}

/// Plays one seed.
pub async fn run(seed: u64, options: &Options) -> Result<Report, Error> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let folder = options.folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
    let platform = Platform::spawn(seed).await;
    let runs = Runs::default();
    let mut world = World {
        shared: Arc::new(Shared {
            platform,
            runs: runs.clone(),
            calls: Mutex::default(),
            open: Mutex::new(vec![None; options.boxes]),
            numbers: AtomicU64::new(seed.wrapping_mul(1_000_000) + 1),
            done: AtomicBool::new(false),
            arrivals: Arrivals::default(),
        }),
        endpoints: Vec::new(),
        nodes: Vec::new(),
        history: History::default(),
        version: 1,
        paid: PAID,
        late: false,
        program: options.daemon.clone(),
        folder,
    };
    world.configure().await;
    let needs = need::draw(seed, ENDPOINTS.len(), options.length);
    let announcements = word::draw(seed, &ENDPOINTS.map(|(_, service)| service), options.length);
    for (number, (name, service)) in ENDPOINTS.into_iter().enumerate() {
        let says = Says {
            need: needs.get(&number).copied().filter(|_| options.limits),
            word: announcements.get(&number).cloned().filter(|_| options.announcements),
        };
        let arrivals = world.shared.arrivals.clone();
        let endpoint = Endpoint::spawn(name, service, runs.clone(), says, arrivals).await;
        world.list(&endpoint, true).await;
        world.endpoints.push(endpoint);
    }
    for at in 0..options.boxes {
        world.add(at).await?;
    }
    let faults = fault::draw(&mut random, options.boxes, world.endpoints.len(), options.length);
    let count = faults.len();
    let mut callers = JoinSet::new();
    for number in 0..options.boxes * CALLERS {
        callers.spawn(call_on(world.shared.clone(), seed ^ (number as u64 + 1) << 32));
    }
    world.play(faults, options.length).await?;
    world.shared.done.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    world.end().await?;
    Ok(world.judge(count).await)
}

struct World {
    shared: Arc<Shared>,
    endpoints: Vec<Endpoint>,
    nodes: Vec<Node>,
    history: History,
    version: u64,
    paid: u64,
    /// Whether the late route stands in the configuration.
    late: bool,
    program: PathBuf,
    folder: PathBuf,
}

impl World {
    async fn write(&self, kind: &str, name: &str, value: String) {
        let memory = self.shared.platform.memory();
        let found = memory.get(kind, name).await.expect("memory answers");
        let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
        memory.put(kind, name, value, expect).await;
    }

    async fn configure(&self) {
        let routes = ["stream", "cancel", "confirm", "late"];
        let routes = if self.late { &routes[..] } else { &routes[..3] };
        let (kind, name) = platform::CONFIG;
        self.write(kind, name, fixtures::config(self.version, self.paid, routes)).await;
    }

    async fn list(&self, endpoint: &Endpoint, ready: bool) {
        let entry = fixtures::entry(endpoint.service, endpoint.address(), ready);
        self.write(platform::ENDPOINTS, &endpoint.name, entry).await;
    }

    async fn add(&mut self, at: usize) -> Result<(), Error> {
        let store = self.shared.platform.socket();
        let settings = self.folder.join(format!("box-{at}.jsonc"));
        let link =
            Link::bind(store, Duration::ZERO).await.context(FileSnafu { path: &settings })?;
        let text = format!(
            r#"{{
                "box": "box-{at}", "zone": "z{zone}",
                "listen": {{
                    "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
                    "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"
                }},
                "store": {{ "address": "{store}", "timeout_ms": 500 }},
                "limits": {{ "notice_ms": {NOTICE_MS}, "stop_ms": {STOP_MS} }},
            }}"#,
            zone = at % 2,
            store = link.address(),
        );
        std::fs::write(&settings, text).context(FileSnafu { path: &settings })?;
        self.nodes.push(Node { settings, link, life: 0, daemon: None });
        self.start(at).await
    }

    /// Starts the next life of a box.
    async fn start(&mut self, at: usize) -> Result<(), Error> {
        let node = &mut self.nodes[at];
        node.life += 1;
        let log = self.folder.join(format!("box-{at}.{}.log", node.life));
        let daemon = Daemon::spawn(&self.program, &node.settings, &log).await;
        let daemon = daemon.context(DaemonSnafu)?;
        let life = Life { at, number: node.life };
        self.shared.open.lock()[at] = Some((daemon.callers(), life));
        node.daemon = Some(daemon);
        Ok(())
    }

    /// Plays faults until the load ends. What a fault undoes is due at its end.
    async fn play(&mut self, faults: Vec<Fault>, length: Duration) -> Result<(), Error> {
        let began = Instant::now();
        let mut due: Vec<(Instant, Step)> =
            faults.into_iter().map(|fault| (began + fault.at, Step::Begin(fault))).collect();
        while let Some(next) = (0..due.len()).min_by_key(|at| due[*at].0) {
            let (at, step) = due.swap_remove(next);
            tokio::time::sleep_until(at).await;
            match step {
                Step::Begin(fault) => {
                    let end = self.begin(fault).await?;
                    due.extend(end.map(|end| (Instant::now() + fault.lasts, Step::End(end))));
                }
                Step::End(end) => {
                    let again = self.undo(end).await?;
                    due.extend(again.map(|end| (Instant::now() + LOOK_AGAIN, Step::End(end))));
                }
            }
        }
        tokio::time::sleep_until(began + length + CALM).await;
        Ok(())
    }

    fn life(&self, at: usize) -> Life {
        Life { at, number: self.nodes[at].life }
    }

    /// Begins a fault; returns what is to be undone at its end.
    async fn begin(&mut self, fault: Fault) -> Result<Option<End>, Error> {
        if let Some(at) = fault.kind.disturbs() {
            let from = Instant::now();
            let until = from + fault.lasts + IN_TOUCH;
            self.history.disturbed.push(Disturbance { at, from, until });
        }
        let platform = &self.shared.platform;
        match fault.kind {
            Kind::StoreDown => platform.set(|faults| faults.down = true),
            Kind::StoreSlow => platform.set(|faults| faults.delay = Duration::from_millis(150)),
            Kind::StoreLosesAnswers => platform.set(|faults| {
                (faults.drop_responses, faults.dropped_write_delay) =
                    (0.4, Duration::from_millis(300));
            }),
            Kind::Cut { at } => self.nodes[at].link.set_cut(true),
            Kind::Silence { at } => {
                self.nodes[at].link.stall_open_connections();
                return Ok(None);
            }
            Kind::Kill { at } => self.kill(at).await,
            Kind::KillAll => {
                for at in 0..self.nodes.len() {
                    self.kill(at).await;
                }
            }
            Kind::Pause { at } => {
                self.history.harmed.insert(self.life(at));
                self.signal(at, Signal::STOP)?;
            }
            Kind::Stop { at } => return self.stop(at, fault.lasts),
            Kind::Reload { at } => {
                self.signal(at, Signal::HUP)?;
                return Ok(None);
            }
            Kind::Leave { endpoint } => {
                let endpoint = &self.endpoints[endpoint];
                self.list(endpoint, false).await;
                self.history.left.insert(endpoint.name.clone(), Instant::now());
                return Ok(None);
            }
            Kind::Configure => {
                (self.version, self.late) = (self.version + 1, true);
                self.configure().await;
                return Ok(None);
            }
            Kind::TopUp => {
                (self.version, self.paid) = (self.version + 1, self.paid + RAISE);
                self.configure().await;
                return Ok(None);
            }
        }
        let until = Instant::now() + fault.lasts;
        Ok(Some(End { kind: fault.kind, life: None, until }))
    }

    /// Ends a fault; returns it if it is not over yet. A box that stops may wait for what the end of another
    /// fault brings: nobody waits for it here.
    async fn undo(&mut self, end: End) -> Result<Option<End>, Error> {
        let platform = &self.shared.platform;
        match end.kind {
            // It was killed meanwhile.
            Kind::Stop { at } if end.life != Some(self.life(at)) => {}
            Kind::StoreDown => platform.set(|faults| faults.down = false),
            Kind::StoreSlow => platform.set(|faults| faults.delay = Duration::ZERO),
            Kind::StoreLosesAnswers => platform.set(|faults| faults.drop_responses = 0.0),
            Kind::Cut { at } => self.nodes[at].link.set_cut(false),
            Kind::Pause { at } => self.signal(at, Signal::CONT)?,
            Kind::Kill { at } => self.start_again(at).await?,
            Kind::Stop { at } => {
                if let Some(daemon) = &mut self.nodes[at].daemon
                    && !daemon.ended(Duration::ZERO).await
                {
                    if Instant::now() < end.until {
                        return Ok(Some(end));
                    }
                    // It stands still, perhaps: then it does not end by its own plan.
                    let life = self.life(at);
                    self.history.harmed.insert(life);
                }
                self.nodes[at].daemon = None;
                self.start_again(at).await?;
            }
            Kind::KillAll => {
                for at in 0..self.nodes.len() {
                    self.start_again(at).await?;
                }
            }
            Kind::Silence { .. }
            | Kind::Reload { .. }
            | Kind::Leave { .. }
            | Kind::Configure
            | Kind::TopUp => {}
        }
        Ok(None)
    }

    async fn start_again(&mut self, at: usize) -> Result<(), Error> {
        match self.nodes[at].daemon {
            Some(_) => Ok(()),
            None => self.start(at).await,
        }
    }

    fn signal(&self, at: usize, signal: Signal) -> Result<(), Error> {
        match &self.nodes[at].daemon {
            Some(daemon) => daemon.signal(signal).context(DaemonSnafu),
            None => Ok(()),
        }
    }

    async fn kill(&mut self, at: usize) {
        let life = self.life(at);
        if let Some(mut daemon) = self.nodes[at].daemon.take() {
            self.history.harmed.insert(life);
            self.shared.open.lock()[at] = None;
            // It may have ended meanwhile.
            let _ = daemon.signal(Signal::KILL);
            daemon.ended(ENDS_WITHIN).await;
        }
    }

    /// Callers keep their connections; new ones go elsewhere from now on, as with a balancer.
    fn stop(&mut self, at: usize, lasts: Duration) -> Result<Option<End>, Error> {
        let life = self.life(at);
        if self.nodes[at].daemon.is_none() || self.history.stopped.contains_key(&life) {
            return Ok(None);
        }
        let now = Instant::now();
        // What comes in the last moment before nothing more is taken may cross that.
        let taken = Duration::from_millis(NOTICE_MS - 200);
        self.history.stopped.insert(life, (now, now + taken));
        self.signal(at, Signal::TERM)?;
        let (open, shared) = (at, self.shared.clone());
        tokio::spawn(async move {
            tokio::time::sleep(taken).await;
            let mut all = shared.open.lock();
            if all[open].is_some_and(|(_, of)| of == life) {
                all[open] = None;
            }
        });
        let until = now + lasts + ENDS_WITHIN;
        Ok(Some(End { kind: Kind::Stop { at }, life: Some(life), until }))
    }

    /// Ends every fault and every box by plan.
    async fn end(&mut self) -> Result<(), Error> {
        self.shared.platform.set(|faults| *faults = Default::default());
        for at in 0..self.nodes.len() {
            self.nodes[at].link.set_cut(false);
            self.signal(at, Signal::CONT)?;
            self.signal(at, Signal::TERM)?;
        }
        for at in 0..self.nodes.len() {
            let life = self.life(at);
            if let Some(daemon) = &mut self.nodes[at].daemon
                && !daemon.ended(ENDS_WITHIN).await
            {
                self.history.harmed.insert(life);
            }
        }
        Ok(())
    }

    async fn judge(&self, faults: usize) -> Report {
        let memory = self.shared.platform.memory();
        let book = memory.get(BOOK.0, BOOK.1).await.expect("memory answers");
        let book = book.and_then(|object| serde_json::from_str(&object.value).ok());
        let book: Book = book.unwrap_or_default();
        let pages = memory.list(BILLS, "").await.expect("memory answers");
        let pages = pages.iter().filter_map(|page| serde_json::from_str::<Page>(&page.value).ok());
        let bills: Vec<_> = pages.flat_map(|page| page.bills).collect();
        let (calls, runs) = (self.shared.calls.lock(), self.shared.runs.lock());
        let breaches = verdict::breaches(&Evidence {
            calls: &calls,
            runs: &runs,
            book: &book,
            bills: &bills,
            paid: self.paid,
            stopped: &self.history.stopped,
            harmed: &self.history.harmed,
            left: &self.history.left,
            disturbed: &self.history.disturbed,
            arrivals: &self.shared.arrivals.lock(),
        });
        let count = |of: fn(&call::End) -> bool| calls.iter().filter(|call| of(&call.end)).count();
        let answered = count(|end| matches!(end, call::End::Answered { .. }));
        let refused = count(|end| matches!(end, call::End::Refused(_)));
        Report { calls: (calls.len(), answered, refused), runs: runs.len(), faults, breaches }
    }
}

enum Step {
    Begin(Fault),
    End(End),
}

/// The end of a fault.
struct End {
    kind: Kind,
    /// The life that it was about, where it was about one.
    life: Option<Life>,
    /// When it is over at the latest.
    until: Instant,
}

/// One caller, until the load ends. It keeps to a box while that takes callers.
async fn call_on(shared: Arc<Shared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let client = call::client();
    let mut stays: Option<usize> = None;
    while !shared.done.load(Ordering::Relaxed) {
        let thinks = random.random_range(THINKS_MS.0..THINKS_MS.1);
        tokio::time::sleep(Duration::from_millis(thinks)).await;
        let open = shared.open.lock().clone();
        let at = stays.filter(|at| open[*at].is_some() && random.random_bool(0.95));
        let at = at.unwrap_or_else(|| random.random_range(0..open.len()));
        let Some((address, life)) = open[at] else { continue };
        stays = Some(at);
        let route = match random.random_range(0..10) {
            0..5 => Route::Stream,
            5 | 6 => Route::Cancel,
            7 | 8 => Route::Confirm,
            _ => Route::Late,
        };
        let key = if random.random_bool(0.6) { "key-b" } else { "key-p" };
        let id = Id {
            number: shared.numbers.fetch_add(1, Ordering::Relaxed),
            prompt: random.random_range(20..400),
            events: random.random_range(1..20),
        };
        let sent = Instant::now();
        let end = call::send(&client, address, route, key, id).await;
        if !matches!(end, call::End::Answered { .. }) {
            stays = None;
        }
        let ended = Instant::now();
        shared.calls.lock().push(Call { id, key, route, life, sent, ended, end });
    }
}

/// Folder for the lines of runs below the folder of built programs.
pub fn folder_beside(daemon: &Path) -> PathBuf {
    daemon.parent().unwrap_or(Path::new(".")).join("soak")
}
