//! Random faults of one run.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A failure or an operator's action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The store answers no calls.
    StoreDown,
    /// Calls of the store are slow.
    StoreSlow,
    /// The store drops the responses of some writes and applies these writes after a delay.
    StoreDropsResponses,
    /// Watches of the store hear of no changes while they wait.
    DeafWatches,
    /// The link between a box and the store carries no bytes.
    CutLink { box_index: usize },
    /// A box loses all endpoints: its connections to them are closed, and new ones hang.
    CutEndpoints { box_index: usize },
    /// Open connections from a box to the store stall without a reset; new ones work.
    StallConnections { box_index: usize },
    /// One daemon is killed.
    Kill { box_index: usize },
    /// All daemons are killed.
    KillAll,
    /// A daemon is suspended by SIGSTOP.
    Suspend { box_index: usize },
    /// A daemon is stopped by SIGTERM.
    Stop { box_index: usize },
    /// A daemon reloads its settings on SIGHUP.
    Reload { box_index: usize },
    /// An endpoint is no longer ready in its entry in the store.
    Leave { endpoint: usize },
    /// The entry of an endpoint that left is removed from the store.
    Remove { endpoint: usize },
    /// An endpoint of a release starts.
    Release { number: usize },
    /// An endpoint in trouble is suspended.
    SuspendEndpoint { endpoint: usize },
    /// An endpoint in trouble crashes; another one starts at its address, of the other service if it takes over.
    CrashEndpoint { endpoint: usize, takes_over: bool },
    /// What a box sends does not arrive at an endpoint in trouble.
    LoseRequests { endpoint: usize, box_index: usize },
    /// What an endpoint in trouble sends does not arrive at a box.
    LoseResponses { endpoint: usize, box_index: usize },
    /// The operator adds a route.
    Configure,
    /// The operator increases the tokens that customers have paid for.
    TopUp,
}

impl Kind {
    /// Boxes that may miss changes meanwhile: `Some(Some(box))`, `Some(None)` for all, or `None`.
    pub fn disturbed_boxes(self) -> Option<Option<usize>> {
        match self {
            Kind::StoreDown | Kind::StoreSlow | Kind::StoreDropsResponses | Kind::KillAll => {
                Some(None)
            }
            Kind::CutLink { box_index }
            | Kind::StallConnections { box_index }
            | Kind::Kill { box_index }
            | Kind::Suspend { box_index }
            | Kind::Stop { box_index } => Some(Some(box_index)),
            // Boxes must not rely on watches alone.
            Kind::DeafWatches
            | Kind::CutEndpoints { .. }
            | Kind::Reload { .. }
            | Kind::Leave { .. }
            | Kind::Remove { .. }
            | Kind::Release { .. }
            | Kind::SuspendEndpoint { .. }
            | Kind::CrashEndpoint { .. }
            | Kind::LoseRequests { .. }
            | Kind::LoseResponses { .. }
            | Kind::Configure
            | Kind::TopUp => None,
        }
    }
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Time since the start of the load.
    pub start: Duration,
    /// Ignored by kinds that take effect at once and need not be undone.
    pub duration: Duration,
    pub kind: Kind,
}

/// Stream of random numbers for cuts of boxes from endpoints.
const CUT_STREAM: u64 = 1;
/// Stream of random numbers for further ends of boxes.
const END_STREAM: u64 = 2;
/// Stream of random numbers for watches that are deaf.
const DEAF_STREAM: u64 = 3;
/// Mean time between the starts of two faults.
const MEAN_INTERVAL: Duration = Duration::from_millis(900);
/// Shortest and longest duration of a fault, in milliseconds.
const DURATION_MS: (u64, u64) = (200, 4_000);

/// Draws the faults of a run, ordered by start. They may overlap.
pub fn draw(
    random: &mut ChaCha8Rng,
    boxes: usize,
    endpoints: usize,
    length: Duration,
) -> Vec<Fault> {
    let count = (length.as_millis() / MEAN_INTERVAL.as_millis()) as usize;
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| {
            let start = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
            let duration = Duration::from_millis(random.random_range(DURATION_MS.0..DURATION_MS.1));
            Fault { start, duration, kind: kind(random, boxes) }
        })
        .collect();
    // One endpoint leaves in the first half, so that requests that reach it later are noticed.
    let start = Duration::from_millis(random.random_range(0..length.as_millis() as u64 / 2));
    let endpoint = random.random_range(0..endpoints);
    faults.push(Fault { start, duration: Duration::ZERO, kind: Kind::Leave { endpoint } });
    if random.random_bool(0.3) {
        let start = length * 3 / 4;
        faults.push(Fault { start, duration: Duration::from_millis(300), kind: Kind::KillAll });
    }
    faults.sort_by_key(|fault| fault.start);
    faults
}

/// Mean time between two cuts of a box from all endpoints.
const MEAN_CUT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Shortest and longest duration of such a cut, in milliseconds.
const CUT_MS: (u64, u64) = (500, 6_000);

/// Draws cuts of boxes from all endpoints, from a seed of their own: the other faults of a seed stay as they are. Cuts may
/// overlap, also so that all boxes are cut off.
pub fn draw_cuts(seed: u64, boxes: usize, length: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(CUT_STREAM);
    let count = length.as_millis() / MEAN_CUT_INTERVAL.as_millis();
    let cut = |_| {
        let start = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
        let duration = Duration::from_millis(random.random_range(CUT_MS.0..CUT_MS.1));
        let box_index = random.random_range(0..boxes);
        Fault { start, duration, kind: Kind::CutEndpoints { box_index } }
    };
    (0..count).map(cut).collect()
}

/// Mean time between two times in which watches are deaf.
const MEAN_DEAF_INTERVAL: Duration = Duration::from_millis(6_000);
/// Shortest and longest of these times, in milliseconds.
const DEAF_MS: (u64, u64) = (1_000, 8_000);

/// Draws times in which watches are deaf, from a seed of their own.
pub fn draw_deaf(seed: u64, length: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(DEAF_STREAM);
    let count = length.as_millis().div_ceil(MEAN_DEAF_INTERVAL.as_millis());
    let deaf = |_| {
        let start = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
        let duration = Duration::from_millis(random.random_range(DEAF_MS.0..DEAF_MS.1));
        Fault { start, duration, kind: Kind::DeafWatches }
    };
    (0..count).map(deaf).collect()
}

/// Mean time between two further ends of a box.
const MEAN_END_INTERVAL: Duration = Duration::from_millis(1_500);
/// Shortest and longest time until the box starts again, in milliseconds.
const END_MS: (u64, u64) = (200, 1_500);

/// Draws kills and planned stops of boxes, from a seed of their own, so that many meet a response that
/// is under way.
pub fn draw_ends(seed: u64, boxes: usize, length: Duration) -> Vec<Fault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(END_STREAM);
    let count = length.as_millis() / MEAN_END_INTERVAL.as_millis();
    let end = |_| {
        let start = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
        let duration = Duration::from_millis(random.random_range(END_MS.0..END_MS.1));
        let box_index = random.random_range(0..boxes);
        let kind = match random.random_bool(0.5) {
            true => Kind::Kill { box_index },
            false => Kind::Stop { box_index },
        };
        Fault { start, duration, kind }
    };
    (0..count).map(end).collect()
}

fn kind(random: &mut ChaCha8Rng, boxes: usize) -> Kind {
    let box_index = random.random_range(0..boxes);
    match random.random_range(0..14) {
        0 => Kind::StoreDown,
        1 => Kind::StoreSlow,
        2 => Kind::StoreDropsResponses,
        3 | 4 => Kind::CutLink { box_index },
        5 => Kind::StallConnections { box_index },
        6 | 7 => Kind::Kill { box_index },
        8 => Kind::Suspend { box_index },
        9 | 10 => Kind::Stop { box_index },
        11 => Kind::Reload { box_index },
        12 => Kind::TopUp,
        _ => Kind::Configure,
    }
}
