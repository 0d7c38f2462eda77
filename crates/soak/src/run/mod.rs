//! One run of the soak test: starts the fleet, plays load and faults, and checks the guarantees.

use std::{
    path::{Path, PathBuf},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use ledger::{BILLS, BOOK, Book, Page};
use objects::Store;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;
use standin::Platform;
use tokio::task::JoinSet;

use crate::{
    announcement, call,
    endpoint::{Endpoint, Plan},
    fault, framing, limit,
    loss::{self, Loss},
    release,
    stream::{self, Origins, Stream},
    trouble::{self, verdict::Absence},
    verdict::{self, Evidence, Violation},
};

mod callers;
mod fleet;
mod raw_callers;
mod returning_callers;
mod schedule;
mod troubled;

pub use fleet::Error;
pub use schedule::StopOrder;

use callers::Shared;
use fleet::{FileSnafu, Fleet, Layout};
use raw_callers::{RawCaller, Scope};
use returning_callers::ReturningCaller;
use schedule::Schedule;
use troubled::Troubled;

/// Names of the endpoints, each with its service and the version that it has if there are several.
const ENDPOINTS: [(&str, &str, u64); 4] =
    [("e-1", "engines", 1), ("e-2", "engines", 2), ("p-1", "plain", 1), ("p-2", "plain", 2)];
/// Further engines of runs with several versions; they announce nothing.
const MORE_ENGINES: [(&str, u64); 2] = [("e-3", 1), ("e-4", 2)];
/// Numbers and versions of the engines of such a run, in the order in which they are drained.
const ENGINES: [(usize, u64); 4] = [(0, 1), (4, 1), (1, 2), (5, 2)];
/// Callers for each box; enough that calls are nearly always in flight.
const CALLERS_PER_BOX: usize = 3;

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
    /// Whether boxes are cut off from endpoints.
    pub cuts: bool,
    /// Whether watches of the store hear nothing now and then.
    pub deaf: bool,
    /// Whether endpoints also respond without a length and without chunks, and break responses off.
    pub unframed: bool,
    /// Whether endpoints have several software versions, and releases replace them.
    pub versions: bool,
    /// Whether there are endpoints in trouble, with callers that come back.
    pub trouble: bool,
    /// Whether these keep to the protocol: each try has an id of its own, each response the id of its request, and a
    /// promise that a request did not run is true.
    pub proper: bool,
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
    /// Answered requests that are on no bill because no box could have written one.
    pub excused: usize,
    /// Number of calls that broke during a planned stop as the run closed their connections.
    pub broken_by_run: usize,
    /// Responses on raw connections.
    pub raw: framing::Tally,
    /// Streams that were taken up again.
    pub streams: stream::Tally,
    /// Tries at endpoints in trouble: all and refused ones, and how often such an endpoint began to work.
    pub tries: (usize, usize, usize),
}

/// Runs the soak test with one seed.
pub async fn run(seed: u64, options: &Options) -> Result<Report, Error> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    // Runs of one seed in both orders may overlap, and each has settings and logs of its own.
    let order = match options.stops {
        StopOrder::InLine => "",
        StopOrder::Concurrent => "-concurrent",
    };
    let cuts = if options.cuts { "-cuts" } else { "" };
    let deaf = if options.deaf { "-deaf" } else { "" };
    let unframed = if options.unframed { "-unframed" } else { "" };
    let versions = if options.versions { "-versions" } else { "" };
    let trouble = if options.trouble { "-trouble" } else { "" };
    let proper = if options.proper { "-proper" } else { "" };
    let name = format!("seed-{seed}{order}{cuts}{deaf}{unframed}{versions}{trouble}{proper}");
    let folder = options.folder.join(name);
    std::fs::create_dir_all(&folder).context(FileSnafu { path: &folder })?;
    let platform = Platform::spawn(seed).await;
    let shared = Arc::new(Shared::new(seed, options.boxes));
    let (program, store) = (options.daemon.clone(), platform.socket());
    let layout = Layout {
        has_addresses: options.cuts || options.trouble,
        has_short_stops: options.unframed,
    };
    let fleet = Fleet::new(shared.clone(), store, program, folder.clone(), layout);
    let mut schedule = Schedule::new(platform, fleet, options.stops);
    schedule.has_resume_route = options.versions;
    if options.trouble {
        schedule.troubled = Troubled::spawn(seed, options.proper).await;
    }
    schedule.configure().await;
    let limits = limit::draw(seed, ENDPOINTS.len(), options.length);
    let announcements =
        announcement::draw(seed, &ENDPOINTS.map(|(_, service, _)| service), options.length);
    for (number, (name, service, version)) in ENDPOINTS.into_iter().enumerate() {
        let plan = Plan {
            limit: limits.get(&number).copied().filter(|_| options.limits),
            announcement: announcements.get(&number).cloned().filter(|_| options.announcements),
        };
        let version = release::version(if options.versions { version } else { 1 });
        schedule.add_endpoint(name, service, version, plan).await;
    }
    if options.versions {
        for (name, version) in MORE_ENGINES {
            let version = release::version(version);
            schedule.add_endpoint(name, "engines", version, Plan::default()).await;
        }
    }
    schedule.troubled.register(&schedule.platform).await;
    for box_index in 0..options.boxes {
        schedule.fleet.add_box(box_index).await?;
    }
    let mut faults = fault::draw(&mut random, options.boxes, ENDPOINTS.len(), options.length);
    if options.cuts {
        faults.extend(fault::draw_cuts(seed, options.boxes, options.length));
    }
    if options.deaf {
        faults.extend(fault::draw_deaf(seed, options.length));
    }
    if options.unframed {
        faults.extend(fault::draw_ends(seed, options.boxes, options.length));
    }
    if options.versions {
        let next = schedule.endpoints.len();
        let releases = release::draw(seed, &ENGINES, next, options.length);
        faults.extend(releases.faults);
        schedule.starts = releases.starts;
    }
    if options.trouble {
        let endpoints = schedule.troubled.len();
        faults.extend(trouble::fault::draw(seed, options.boxes, endpoints, options.length));
    }
    let count = faults.len();
    let mut callers = JoinSet::new();
    for number in 0..options.boxes * CALLERS_PER_BOX {
        callers.spawn(callers::run(shared.clone(), seed ^ (number as u64 + 1) << 32));
    }
    let scope = Scope { unframed: options.unframed, resumable: options.versions };
    if options.unframed || options.versions {
        for number in 0..options.boxes * raw_callers::PER_BOX {
            callers.spawn(RawCaller::new(shared.clone(), seed, number, scope).run());
        }
    }
    if options.trouble {
        for number in 0..options.boxes * returning_callers::PER_BOX {
            let caller = ReturningCaller::new(shared.clone(), seed, number, options.proper);
            callers.spawn(caller.run());
        }
    }
    schedule.play(faults, options.length).await?;
    shared.done.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    schedule.finish(&folder).await?;
    report(seed, &schedule, &shared, count, &folder).await
}

async fn report(
    seed: u64,
    schedule: &Schedule,
    shared: &Shared,
    faults: usize,
    folder: &Path,
) -> Result<Report, Error> {
    let memory = schedule.platform.memory();
    let book = memory.get(BOOK.0, BOOK.1).await.expect("memory answers");
    let book = book.and_then(|object| serde_json::from_str(&object.value).ok());
    let book: Book = book.unwrap_or_default();
    let pages = memory.list(BILLS, "").await.expect("memory answers");
    let pages = pages.iter().filter_map(|page| serde_json::from_str::<Page>(&page.value).ok());
    let bills: Vec<_> = pages.flat_map(|page| page.bills).collect();
    let (calls, runs) = (shared.calls.lock(), schedule.records.runs.lock());
    let cut_runs = schedule.endpoints.iter().flat_map(Endpoint::cut_runs).collect();
    let evidence = Evidence {
        calls: &calls,
        runs: &runs,
        book: &book,
        bills: &bills,
        paid: schedule.paid,
        stopped: &schedule.fleet.stopped,
        short_stops: &schedule.fleet.short_stops,
        interrupted: &schedule.fleet.interrupted,
        cut_runs: &cut_runs,
        trace: &schedule.fleet.trace,
        left: &schedule.left,
        disturbances: &schedule.disturbances,
        arrivals: &schedule.records.arrivals.lock(),
    };
    let mut breaches = verdict::violations(&evidence);
    let raw_calls = shared.raw_calls.lock();
    breaches.extend(framing::violations(&raw_calls, &schedule.cuts));
    let versions = schedule.endpoints.iter();
    let versions = versions.map(|endpoint| (endpoint.name.clone(), endpoint.version.clone()));
    let versions = versions.collect();
    let (streams, origins) = (shared.streams.lock(), Origins::new(&runs, &versions));
    breaches.extend(stream::violations(seed, &streams, &origins));
    let (tries, work) = (shared.tries.lock(), schedule.troubled.log.all());
    let absences = absences(schedule);
    breaches.extend(trouble::verdict::violations(&tries, &work, &absences));
    let refused_tries = tries.iter().filter(|one| one.is_refused()).count();
    write_streams(&streams, &origins, &folder.join("streams.log"))?;
    let losses = loss::find(&calls, &bills, &schedule.fleet.trace);
    write_losses(&losses, schedule, &folder.join("lost-bills.log"))?;
    let count = |matches_kind: fn(&call::Outcome) -> bool| {
        calls.iter().filter(|call| matches_kind(&call.outcome)).count()
    };
    let answered = count(|outcome| matches!(outcome, call::Outcome::Answered { .. }));
    let refused = count(|outcome| matches!(outcome, call::Outcome::Refused(_)));
    Ok(Report {
        calls: (calls.len(), answered, refused),
        runs: runs.len(),
        faults,
        breaches,
        broken_by_run: verdict::count_broken_by_run(&evidence),
        excused: losses.iter().filter(|loss| loss.is_excused()).count(),
        raw: framing::tally(&raw_calls),
        streams: stream::tally(&streams),
        tries: (tries.len(), refused_tries, work.len()),
    })
}

/// Times in which boxes may not end what they sent to endpoints.
fn absences(schedule: &Schedule) -> Vec<Absence> {
    let trace = &schedule.fleet.trace;
    let lives = trace.lives.iter().flat_map(|(incarnation, life)| {
        let box_index = incarnation.box_index;
        let absence = move |from, until| Absence { box_index, from, until };
        let suspended = life.suspended.periods(trace.until);
        let suspended = suspended.map(move |period| absence(period.from, period.until));
        let ended = life.ended_at().map(|at| absence(at, at));
        suspended.chain(ended).collect::<Vec<_>>()
    });
    lives.chain(schedule.troubled.lost.iter().copied()).collect()
}

/// Writes a line for each answered request on no bill, and what happened to the boxes and the store
/// if there are any.
fn write_losses(losses: &[Loss], schedule: &Schedule, path: &Path) -> Result<(), Error> {
    let line = |loss: &Loss| {
        let verdict = if loss.is_excused() { "excused" } else { "violation" };
        format!("{verdict}: {loss}\n")
    };
    let mut text: String = losses.iter().map(line).collect();
    if !losses.is_empty() {
        text.push_str(&schedule.fleet.trace.lines(schedule.started));
    }
    std::fs::write(path, text).context(FileSnafu { path })
}

/// Writes a line for each stream that broke, with its attempts.
fn write_streams(streams: &[Stream], origins: &Origins, path: &Path) -> Result<(), Error> {
    let lines = streams.iter().map(|stream| origins.describe(stream) + "\n");
    std::fs::write(path, lines.collect::<String>()).context(FileSnafu { path })
}

/// Folder for settings and logs, beside the daemon's binary.
pub fn folder_beside(daemon: &Path) -> PathBuf {
    daemon.parent().unwrap_or(Path::new(".")).join("soak")
}
