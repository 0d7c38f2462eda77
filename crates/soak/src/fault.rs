//! Random faults of one run.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A failure or an operator's action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The store answers no calls.
    StoreDown,
    /// Calls of the store are slow.
    StoreSlow,
    /// The store drops the responses of some writes and applies these writes after a delay.
    StoreLosesAnswers,
    /// The link between a box and the store carries no bytes.
    Cut { at: usize },
    /// Open connections from a box to the store stall without a reset; new ones work.
    Silence { at: usize },
    /// One daemon is killed.
    Kill { at: usize },
    /// All daemons are killed.
    KillAll,
    /// A daemon is suspended by SIGSTOP.
    Pause { at: usize },
    /// A daemon is stopped by SIGTERM.
    Stop { at: usize },
    /// A daemon reloads its settings on SIGHUP.
    Reload { at: usize },
    /// An endpoint is no longer ready in its entry in the store.
    Leave { endpoint: usize },
    /// The operator adds a route.
    Configure,
    /// The operator increases the tokens that customers have paid for.
    TopUp,
}

impl Kind {
    /// Boxes that may miss changes meanwhile: `Some(Some(box))`, `Some(None)` for all, or `None`.
    pub fn disturbs(self) -> Option<Option<usize>> {
        match self {
            Kind::StoreDown | Kind::StoreSlow | Kind::StoreLosesAnswers | Kind::KillAll => {
                Some(None)
            }
            Kind::Cut { at }
            | Kind::Silence { at }
            | Kind::Kill { at }
            | Kind::Pause { at }
            | Kind::Stop { at } => Some(Some(at)),
            Kind::Reload { .. } | Kind::Leave { .. } | Kind::Configure | Kind::TopUp => None,
        }
    }
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// Time since the start of the load.
    pub at: Duration,
    /// Ignored by kinds that take effect at once and need not be undone.
    pub lasts: Duration,
    pub kind: Kind,
}

/// Mean time between the starts of two faults.
const EACH: Duration = Duration::from_millis(900);
/// Shortest and longest duration of a fault, in milliseconds.
const LASTS_MS: (u64, u64) = (200, 4_000);

/// Draws the faults of a run, ordered by start. They may overlap.
pub fn draw(
    random: &mut ChaCha8Rng,
    boxes: usize,
    endpoints: usize,
    length: Duration,
) -> Vec<Fault> {
    let count = (length.as_millis() / EACH.as_millis()) as usize;
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| {
            let at = Duration::from_millis(random.random_range(0..length.as_millis() as u64));
            let lasts = Duration::from_millis(random.random_range(LASTS_MS.0..LASTS_MS.1));
            Fault { at, lasts, kind: kind(random, boxes) }
        })
        .collect();
    // One endpoint leaves in the first half, so that requests that reach it later are noticed.
    let at = Duration::from_millis(random.random_range(0..length.as_millis() as u64 / 2));
    let endpoint = random.random_range(0..endpoints);
    faults.push(Fault { at, lasts: Duration::ZERO, kind: Kind::Leave { endpoint } });
    if random.random_bool(0.3) {
        let at = length * 3 / 4;
        faults.push(Fault { at, lasts: Duration::from_millis(300), kind: Kind::KillAll });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn kind(random: &mut ChaCha8Rng, boxes: usize) -> Kind {
    let at = random.random_range(0..boxes);
    match random.random_range(0..14) {
        0 => Kind::StoreDown,
        1 => Kind::StoreSlow,
        2 => Kind::StoreLosesAnswers,
        3 | 4 => Kind::Cut { at },
        5 => Kind::Silence { at },
        6 | 7 => Kind::Kill { at },
        8 => Kind::Pause { at },
        9 | 10 => Kind::Stop { at },
        11 => Kind::Reload { at },
        12 => Kind::TopUp,
        _ => Kind::Configure,
    }
}
