//! The schedule of a run: begins and undoes faults when they are due.

use std::{collections::BTreeMap, path::Path, sync::Arc, time::Duration};

use objects::{Expect, Store};
use platform::fixtures;
use rustix::process::Signal;
use snafu::ResultExt;
use standin::Platform;
use tokio::time::Instant;

use crate::{
    call::{Incarnation, Route},
    endpoint::{Endpoint, Plan, Records},
    fault::{Fault, Kind},
    release::Start,
    run::{
        fleet::{self, EXIT_TIMEOUT, Error, FileSnafu, Fleet},
        troubled::Troubled,
    },
    trouble,
    verdict::Disturbance,
};

/// Tokens that each customer has paid for at the start; less than a run uses.
const INITIAL_PAID_TOKENS: u64 = 150_000;
/// Tokens that `Kind::TopUp` adds.
const TOP_UP_TOKENS: u64 = 40_000;
/// Interval at which a stopping daemon is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after a fault until boxes are connected to the store again: the longest call plus the
/// longest delay between two calls.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time of load after the last fault, long enough for boxes to be connected again and for requests to
/// endpoints that left to count as violations.
const FINAL_LOAD_TIME: Duration = Duration::from_millis(8_500);

/// What happens to faults that are due while a box stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOrder {
    /// They wait for the exit of the box, as in a rolling restart.
    InLine,
    /// They begin and end when they are due.
    Concurrent,
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

/// What faults act on, and what was done; see [`crate::verdict::Evidence`].
pub struct Schedule {
    pub platform: Platform,
    pub endpoints: Vec<Endpoint>,
    /// Endpoints of releases.
    pub starts: Vec<Start>,
    pub records: Records,
    pub troubled: Troubled,
    pub fleet: Fleet,
    /// Tokens that each customer has paid for.
    pub paid: u64,
    pub left: BTreeMap<Arc<str>, Instant>,
    pub disturbances: Vec<Disturbance>,
    /// When boxes were cut off from endpoints.
    pub cuts: Vec<Instant>,
    /// Start of the load.
    pub started: Instant,
    version: u64,
    /// Whether the configuration has `Route::Late`.
    has_late_route: bool,
    /// Whether the configuration has `Route::Resume`.
    pub has_resume_route: bool,
    stops: StopOrder,
    /// Faults begun and ended, a line each.
    steps: String,
}

impl Schedule {
    pub fn new(platform: Platform, fleet: Fleet, stops: StopOrder) -> Schedule {
        Schedule {
            platform,
            endpoints: Vec::new(),
            starts: Vec::new(),
            records: Records::default(),
            troubled: Troubled::default(),
            fleet,
            paid: INITIAL_PAID_TOKENS,
            left: BTreeMap::new(),
            disturbances: Vec::new(),
            cuts: Vec::new(),
            started: Instant::now(),
            version: 1,
            has_late_route: false,
            has_resume_route: false,
            stops,
            steps: String::new(),
        }
    }

    async fn write(&self, kind: &str, name: &str, value: String) {
        let memory = self.platform.memory();
        let found = memory.get(kind, name).await.expect("memory answers");
        let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
        memory.put(kind, name, value, expect).await;
    }

    pub async fn configure(&self) {
        let mut routes = vec![Route::Stream, Route::Cancel, Route::Confirm];
        routes.extend(self.has_late_route.then_some(Route::Late));
        routes.extend(self.has_resume_route.then_some(Route::Resume));
        let routes = routes.into_iter().map(Route::name);
        let troubled = trouble::route::Route::ALL.map(trouble::route::Route::name);
        let troubled = troubled.into_iter().filter(|_| !self.troubled.is_empty());
        let routes: Vec<&str> = routes.chain(troubled).collect();
        let (kind, name) = platform::CONFIG;
        self.write(kind, name, fixtures::config(self.version, self.paid, &routes)).await;
    }

    pub async fn register(&self, endpoint: &Endpoint, ready: bool) {
        let registration = fixtures::registration(endpoint.service, endpoint.address());
        let registration =
            fixtures::Registration { ready, version: &endpoint.version, ..registration };
        let entry = registration.entry().to_string();
        self.write(platform::ENDPOINTS, &endpoint.name, entry).await;
    }

    /// Starts an endpoint and adds its entry.
    pub async fn add_endpoint(
        &mut self,
        name: &str,
        service: &'static str,
        version: String,
        plan: Plan,
    ) {
        let records = self.records.clone();
        let endpoint = Endpoint::spawn(name, service, version, plan, records).await;
        self.register(&endpoint, true).await;
        self.endpoints.push(endpoint);
    }

    /// An endpoint is no longer ready; it still serves what it has.
    async fn drain(&mut self, endpoint: usize) {
        let endpoint = &self.endpoints[endpoint];
        if !self.left.contains_key(&endpoint.name) {
            self.register(endpoint, false).await;
            self.left.insert(endpoint.name.clone(), Instant::now());
        }
    }

    /// Removes the entry of an endpoint. It goes on listening, so that late requests are noticed.
    async fn remove_entry(&self, endpoint: usize) {
        let (memory, name) = (self.platform.memory(), &self.endpoints[endpoint].name);
        let found = memory.get(platform::ENDPOINTS, name).await.expect("memory answers");
        if let Some(object) = found {
            memory.delete(platform::ENDPOINTS, name, object.version).await;
        }
    }

    /// Begins and undoes faults as scheduled, then waits for the end of the load.
    pub async fn play(&mut self, faults: Vec<Fault>, length: Duration) -> Result<(), Error> {
        self.started = Instant::now();
        let started = self.started;
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
        self.steps.push_str(&line);
    }

    /// Begins a fault; returns its end, if it must be undone.
    async fn begin(&mut self, fault: Fault) -> Result<Option<FaultEnd>, Error> {
        if let Some(box_index) = fault.kind.disturbed_boxes() {
            let from = Instant::now();
            let until = from + fault.duration + RECONNECT_TIMEOUT;
            self.disturbances.push(Disturbance { box_index, from, until });
        }
        let (platform, trace) = (&self.platform, &mut self.fleet.trace);
        match fault.kind {
            Kind::StoreDown => {
                platform.set(|faults| faults.down = true);
                trace.down.set(true, Instant::now());
            }
            Kind::StoreSlow => {
                platform.set(|faults| faults.delay = Duration::from_millis(150));
                trace.slow.set(true, Instant::now());
            }
            Kind::StoreDropsResponses => {
                platform.set(|faults| {
                    (faults.drop_responses, faults.dropped_write_delay) =
                        (0.4, Duration::from_millis(300));
                });
                trace.losing.set(true, Instant::now());
            }
            Kind::DeafWatches => platform.set(|faults| faults.deaf_watches = true),
            Kind::SuspendEndpoint { endpoint } => self.troubled.suspend(endpoint, true),
            Kind::CrashEndpoint { endpoint, .. } => self.troubled.crash(platform, endpoint).await,
            Kind::LoseRequests { endpoint, box_index } => {
                self.troubled.lose_requests(endpoint, box_index, true);
            }
            Kind::LoseResponses { endpoint, box_index } => {
                self.troubled.lose_responses(endpoint, box_index, true);
            }
            Kind::CutLink { box_index } => self.fleet.set_cut(box_index, true),
            Kind::CutEndpoints { box_index } => {
                self.cuts.push(Instant::now());
                self.set_cut_off(box_index, true);
            }
            Kind::StallConnections { box_index } => {
                self.fleet.stall(box_index);
                return Ok(None);
            }
            Kind::Kill { box_index } => self.kill(box_index).await,
            Kind::KillAll => {
                for box_index in 0..self.fleet.nodes.len() {
                    self.kill(box_index).await;
                }
            }
            Kind::Suspend { box_index } => {
                self.fleet.interrupted.insert(self.fleet.incarnation(box_index));
                self.fleet.signal(box_index, Signal::STOP)?;
            }
            Kind::Stop { box_index } => {
                let incarnation = self.fleet.stop(box_index)?;
                let until = Instant::now() + fault.duration + EXIT_TIMEOUT;
                return Ok(incarnation.map(|incarnation| FaultEnd {
                    kind: fault.kind,
                    incarnation: Some(incarnation),
                    until,
                }));
            }
            Kind::Reload { box_index } => {
                self.fleet.signal(box_index, Signal::HUP)?;
                return Ok(None);
            }
            Kind::Leave { endpoint } => {
                self.drain(endpoint).await;
                return Ok(None);
            }
            Kind::Remove { endpoint } => {
                self.remove_entry(endpoint).await;
                return Ok(None);
            }
            Kind::Release { number } => {
                let Start { name, version } = self.starts[number].clone();
                self.add_endpoint(&name, "engines", version, Plan::default()).await;
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

    /// Cuts a box off from all endpoints, or ends that.
    /// Kills a box, which breaks calls of other boxes that it carries.
    async fn kill(&mut self, box_index: usize) {
        let source = fleet::box_address(box_index);
        self.endpoints.iter().for_each(|endpoint| endpoint.note_killed(source));
        self.fleet.kill(box_index).await;
    }

    fn set_cut_off(&self, box_index: usize, is_cut_off: bool) {
        let source = fleet::box_address(box_index);
        self.endpoints.iter().for_each(|endpoint| endpoint.set_cut_off(source, is_cut_off));
    }

    /// Undoes a fault; returns it if the daemon is still stopping and other faults do not wait for
    /// that.
    async fn undo(&mut self, end: FaultEnd) -> Result<Option<FaultEnd>, Error> {
        // Another fault killed the daemon meanwhile.
        let was_killed = matches!(end.kind, Kind::Stop { box_index }
            if end.incarnation != Some(self.fleet.incarnation(box_index)));
        let (platform, trace) = (&self.platform, &mut self.fleet.trace);
        match end.kind {
            Kind::Stop { .. } if was_killed => {}
            Kind::DeafWatches => platform.set(|faults| faults.deaf_watches = false),
            Kind::StoreDown => {
                platform.set(|faults| faults.down = false);
                trace.down.set(false, Instant::now());
            }
            Kind::StoreSlow => {
                platform.set(|faults| faults.delay = Duration::ZERO);
                trace.slow.set(false, Instant::now());
            }
            Kind::StoreDropsResponses => {
                platform.set(|faults| faults.drop_responses = 0.0);
                trace.losing.set(false, Instant::now());
            }
            Kind::SuspendEndpoint { endpoint } => self.troubled.suspend(endpoint, false),
            Kind::CrashEndpoint { endpoint, takes_over } => {
                self.troubled.restart(platform, endpoint, takes_over).await;
            }
            Kind::LoseRequests { endpoint, box_index } => {
                self.troubled.lose_requests(endpoint, box_index, false);
            }
            Kind::LoseResponses { endpoint, box_index } => {
                self.troubled.lose_responses(endpoint, box_index, false);
            }
            Kind::CutLink { box_index } => self.fleet.set_cut(box_index, false),
            Kind::CutEndpoints { box_index } => self.set_cut_off(box_index, false),
            Kind::Suspend { box_index } => self.fleet.signal(box_index, Signal::CONT)?,
            Kind::Kill { box_index } => self.fleet.start_if_down(box_index).await?,
            Kind::Stop { box_index } => {
                let timeout = match self.stops {
                    StopOrder::InLine => EXIT_TIMEOUT,
                    StopOrder::Concurrent => Duration::ZERO,
                };
                let has_exited = match &mut self.fleet.nodes[box_index].daemon {
                    Some(daemon) => daemon.wait_exit(timeout).await,
                    None => true,
                };
                if !has_exited {
                    if self.stops == StopOrder::Concurrent && Instant::now() < end.until {
                        return Ok(Some(end));
                    }
                    // It may be suspended, so its planned stop cannot be checked.
                    let incarnation = self.fleet.incarnation(box_index);
                    self.fleet.interrupted.insert(incarnation);
                }
                self.fleet.remove(box_index, has_exited).await;
                self.fleet.start_if_down(box_index).await?;
            }
            Kind::KillAll => {
                for box_index in 0..self.fleet.nodes.len() {
                    self.fleet.start_if_down(box_index).await?;
                }
            }
            Kind::StallConnections { .. }
            | Kind::Reload { .. }
            | Kind::Leave { .. }
            | Kind::Remove { .. }
            | Kind::Release { .. }
            | Kind::Configure
            | Kind::TopUp => {}
        }
        Ok(None)
    }

    /// Ends all faults, stops all boxes and writes what was done.
    pub async fn finish(&mut self, folder: &Path) -> Result<(), Error> {
        self.platform.set(|faults| *faults = Default::default());
        let now = Instant::now();
        let trace = &mut self.fleet.trace;
        for condition in [&mut trace.down, &mut trace.slow, &mut trace.losing] {
            condition.set(false, now);
        }
        self.fleet.finish().await?;
        let steps = folder.join("faults.log");
        std::fs::write(&steps, &self.steps).context(FileSnafu { path: &steps })
    }
}
