//! What goes wrong with a request at an endpoint in trouble.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Shortest and longest work on a plain call, in milliseconds.
const PLAIN_MS: (u64, u64) = (5, 60);
/// Shortest and longest work on a call of an engine, in milliseconds.
const ENGINE_MS: (u64, u64) = (40, 900);
/// How much longer the work takes that comes late.
const LATE_FACTOR: u32 = 6;
/// Shortest and longest time after a response until it is sent once more, in milliseconds.
const COPY_DELAY_MS: (u64, u64) = (0, 80);

/// How the work on a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a response of success.
    Answer,
    /// With a response of failure.
    Fail,
    /// With a 503 that does not say whether it ran.
    Mute,
    /// With a reset in place of the response.
    Reset,
    /// The connection is reset midway, and the work goes on.
    ResetMidway,
    /// The connection is closed midway, and the work goes on.
    CloseMidway,
    /// No response ever comes.
    Silence,
}

/// What is sent after a response where the next one is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Copy {
    /// Time after the response.
    pub delay: Duration,
    /// Whether it has the id of the response.
    pub has_id: bool,
}

/// What an endpoint does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conduct {
    /// Whether it refuses the request without running it.
    pub refuses: bool,
    pub work: Duration,
    pub end: End,
    /// Whether the work goes on when the connection closes.
    pub outlasts_close: bool,
    /// Whether the response, or the refusal, comes once more.
    pub copy: Option<Copy>,
}

impl Conduct {
    /// Draws what happens to a request.
    pub fn draw(random: &mut ChaCha8Rng, is_engine: bool) -> Conduct {
        let (min, max) = if is_engine { ENGINE_MS } else { PLAIN_MS };
        let work = Duration::from_millis(random.random_range(min..max));
        let (work, end) = match random.random_range(0..100) {
            0..4 => (work, End::Fail),
            4..6 => (work, End::Mute),
            6..9 => (work, End::Reset),
            9..12 => (work, End::ResetMidway),
            12..15 => (work, End::CloseMidway),
            15..17 => (work, End::Silence),
            17..20 => (work * LATE_FACTOR, End::Answer),
            _ => (work, End::Answer),
        };
        let copy = random.random_bool(0.15).then(|| Copy {
            delay: Duration::from_millis(random.random_range(COPY_DELAY_MS.0..COPY_DELAY_MS.1)),
            has_id: random.random_bool(0.7),
        });
        let (refuses, outlasts_close) = (random.random_bool(0.12), random.random_bool(0.25));
        Conduct { refuses, work, end, outlasts_close, copy }
    }

    /// The same without what the protocol rules out: a promise for what ran, and responses without an id.
    pub fn kept_to_protocol(self) -> Conduct {
        let end = if self.end == End::Mute { End::Fail } else { self.end };
        let copy = self.copy.map(|copy| Copy { has_id: true, ..copy });
        Conduct { end, copy, ..self }
    }
}
