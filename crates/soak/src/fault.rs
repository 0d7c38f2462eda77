//! Faults of one run, drawn from its seed.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Something that goes wrong, or is done by plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The store answers nothing.
    StoreDown,
    /// Each call of the store takes long.
    StoreSlow,
    /// The store carries writes out, some of them later, and does not answer.
    StoreLosesAnswers,
    /// Box and store do not reach each other.
    Cut { at: usize },
    /// Connections of a box to the store that are open carry nothing more, without a reset.
    Silence { at: usize },
    /// A process is killed.
    Kill { at: usize },
    /// All processes are killed at once.
    KillAll,
    /// A process stands still.
    Pause { at: usize },
    /// A process is stopped by plan.
    Stop { at: usize },
    /// A process is told to read its settings again.
    Reload { at: usize },
    /// An endpoint says that it leaves.
    Leave { endpoint: usize },
    /// The operator adds a route.
    Configure,
    /// The operator raises what customers paid.
    TopUp,
}

impl Kind {
    /// Boxes that may not hear of changes while it lasts: one or all; `None` for none.
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

/// A fault, and when it begins and ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fault {
    /// From the start of the load.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub lasts: Duration,
    /// What happens.
    pub kind: Kind,
}

/// Mean time between two faults.
const EACH: Duration = Duration::from_millis(900);
/// Shortest and longest time that a fault lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (200, 4_000);

/// The faults of a run, in their order. They come in series and overlap.
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
    // One endpoint leaves, early enough to be missed.
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
