//! Plays one day under one design, stream by stream.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::versions::{
    day::MEAN_LENGTH_S,
    design::{Design, Sent, Steady, Unknown},
    random::{between, mix, unit},
    tally::{Tally, Traffic},
    world::{Draws, SETTLED_S, VERSIONS, World},
};

/// Interval at which a box sends the origins of new streams.
pub const TICK_S: f64 = 0.02;
/// Boxes that are asked for an origin.
const ASKED: usize = 4;
/// Time after which a box that does not answer is taken for dead.
const ASK_TIMEOUT_S: f64 = 0.15;
/// Bounds of the time that a message takes, in seconds.
const MESSAGE_S: (f64, f64) = (0.001, 0.005);
/// Bounds of the time after which a caller comes back, in seconds.
const RETURN_S: (f64, f64) = (0.05, 0.5);
/// Bounds of a caller's pause after a refusal, in seconds.
const PAUSE_S: (f64, f64) = (0.1, 1.0);
/// Attempts to take a stream up: the first and three more.
const ATTEMPTS: u64 = 4;
/// Share of streams that break although box and endpoint live.
const BROKEN_SHARE: f64 = 0.005;

/// Time for which a stream counts as one from before the service was mixed.
const BEFORE_S: f64 = 60.0;
/// The same where running streams are told as well: twice the lag, a return and the pauses.
const JUST_BEFORE_S: f64 = 4.0;
/// Time until a box sees what any other box saw when a stream began.
const VIEW_WAIT_S: f64 = 1.0;

/// What a stream's key stands for in draws.
mod purpose {
    pub const LENGTH: u64 = 1;
    pub const VERSION: u64 = 2;
    pub const BREAKS: u64 = 3;
    pub const BREAK_TIME: u64 = 4;
    pub const BOX: u64 = 5;
    pub const ENDPOINT: u64 = 6;
    pub const RETURN: u64 = 7;
    pub const PAUSE: u64 = 8;
    pub const MESSAGE: u64 = 9;
}

struct Stream {
    key: u64,
    version: usize,
    /// Boxes that were told the origin, and when.
    told: Vec<(usize, f64)>,
    /// When it was in the store, if it was.
    stored: Option<f64>,
}

/// Where a stream runs.
struct Leg {
    member: usize,
    endpoint: usize,
    from: f64,
    until: f64,
}

struct Player<'a> {
    world: &'a World,
    design: Design,
    tally: Tally,
    traffic: Traffic,
}

/// Plays a day.
pub fn play(world: &World, design: Design, seed: u64) -> Tally {
    let traffic = Traffic::new(world.boxes.len(), world.seconds);
    let mut player = Player { world, design, tally: Tally::default(), traffic };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    for number in 0.. {
        at -= random.random_range(f64::EPSILON..1.0_f64).ln() / world.rate;
        if at >= world.seconds {
            break;
        }
        player.stream(mix(seed, number), at);
    }
    let mut tally = player.tally;
    player.traffic.count(TICK_S, &mut tally);
    tally.judge();
    tally
}

impl Player<'_> {
    fn stream(&mut self, key: u64, at: f64) {
        self.tally.new += 1;
        let Some(member) = self.world.any_box(at, mix(key, purpose::BOX)) else { return };
        let Some((version, endpoint)) = self.begin(key, member, at) else { return };
        self.tally.begun += 1;
        let length = -unit(key, purpose::LENGTH).ln() * MEAN_LENGTH_S;
        let mut stream = Stream { key, version, told: Vec::new(), stored: None };
        let mut leg = Leg { member, endpoint, from: at, until: at + length };
        for legs in 0.. {
            let broken = self.breaks(key, legs, &leg);
            self.tell(&mut stream, &leg, broken.unwrap_or(leg.until));
            let Some(broken) = broken else { return };
            self.tally.taken_up += 1;
            let rest = leg.until - broken;
            let Some((member, endpoint, from)) = self.take_up(&stream, legs, broken) else {
                return;
            };
            leg = Leg { member, endpoint, from, until: from + rest };
        }
    }

    /// Version and endpoint of a new stream.
    fn begin(&self, key: u64, member: usize, at: f64) -> Option<(usize, usize)> {
        let (directory, _) = self.world.seen(member, at);
        let wanted = match self.design {
            Design::Homes { unknown: Unknown::OfRecord { .. }, .. } => {
                Draws::of(key).version(&self.world.current(at).counts)
            }
            design if design.is_computed() => Draws::of(key).version(&directory.counts),
            _ => weighted(&directory.counts, unit(key, purpose::VERSION)),
        };
        let others = (0..VERSIONS).filter(|version| Some(*version) != wanted);
        let mut versions = wanted.into_iter().chain(others);
        versions.find_map(|version| Some((version, self.endpoint(key, version, member, at)?)))
    }

    /// An endpoint of a version, if the box sees one and one serves.
    fn endpoint(&self, key: u64, version: usize, member: usize, at: f64) -> Option<usize> {
        let (directory, _) = self.world.seen(member, at);
        let is_seen = directory.counts[version] > 0;
        let draw = mix(key, purpose::ENDPOINT + at.to_bits());
        is_seen.then(|| self.world.endpoint(version, member, at, draw)).flatten()
    }

    /// Time at which a stream breaks.
    fn breaks(&self, key: u64, legs: u64, leg: &Leg) -> Option<f64> {
        let away = self.world.boxes[leg.member].next_absence(leg.from);
        let ends = self.world.endpoints[leg.endpoint].ends;
        let breaks = legs == 0 && unit(key, purpose::BREAKS) < BROKEN_SHARE;
        let by_itself = between(key, purpose::BREAK_TIME, leg.from, leg.until);
        let first = away.min(ends).min(if breaks { by_itself } else { f64::INFINITY });
        (first < leg.until).then_some(first)
    }

    /// The caller comes back; returns where and when the stream goes on at its version.
    fn take_up(&mut self, stream: &Stream, legs: u64, broken: f64) -> Option<(usize, usize, f64)> {
        let draw = mix(stream.key, 1_000 + legs);
        let mut at = broken + between(draw, purpose::RETURN, RETURN_S.0, RETURN_S.1);
        for attempt in 0..ATTEMPTS {
            let draw = mix(draw, 50 + attempt);
            if attempt > 0 {
                at += between(draw, purpose::PAUSE, PAUSE_S.0, PAUSE_S.1);
            }
            let Some(member) = self.world.any_box(at, mix(draw, purpose::BOX)) else { continue };
            let (origin, known) = self.origin(stream, member, at, draw);
            at = known;
            let Some(version) = origin else { continue };
            let Some(endpoint) = self.endpoint(draw, version, member, at) else { continue };
            self.tally.went_on_while_served += u64::from(self.is_served(stream, at));
            if version != stream.version {
                self.tally.wrong += 1;
                return None;
            }
            self.tally.right += 1;
            return Some((member, endpoint, at));
        }
        match self.is_served(stream, at) {
            true => self.tally.refused_while_served += 1,
            false => self.tally.refused_otherwise += 1,
        }
        None
    }

    /// Whether two endpoints of the stream's version serve.
    fn is_served(&self, stream: &Stream, at: f64) -> bool {
        self.world.serving(stream.version, at) >= 2
    }

    /// The version that a box finds out, and when.
    fn origin(
        &mut self,
        stream: &Stream,
        member: usize,
        at: f64,
        draw: u64,
    ) -> (Option<usize>, f64) {
        let asked: Vec<usize> = match self.design {
            Design::Homes { .. } => {
                self.world.homes(stream.key, member, at).into_iter().take(ASKED).collect()
            }
            Design::AskAll => (0..self.world.boxes.len()).collect(),
            Design::Recomputed(_) | Design::Any => Vec::new(),
        };
        let (found, at) = self.ask(stream, member, &asked, at, draw);
        if found {
            return (Some(stream.version), at);
        }
        let waits = matches!(
            self.design,
            Design::Recomputed(Steady::Key { .. })
                | Design::Homes { unknown: Unknown::Recomputed { .. }, .. }
        );
        let at = if waits { at + VIEW_WAIT_S } else { at };
        if let Design::Homes { unknown: Unknown::Stored { store, .. }, .. } = self.design {
            let is_stored = stream.stored.is_some_and(|stored| stored <= at);
            if is_stored && store.answers(at) == at {
                return (Some(stream.version), at);
            }
        }
        (self.guess(stream.key, member, at), at)
    }

    /// Asks boxes at once; returns whether one knows, and the time of the answer that settles it.
    fn ask(
        &mut self,
        stream: &Stream,
        member: usize,
        asked: &[usize],
        at: f64,
        draw: u64,
    ) -> (bool, f64) {
        let mut last = at;
        let mut first_known = f64::INFINITY;
        for (n, home) in asked.iter().enumerate() {
            let delay = |way| between(mix(draw, way), n as u64, MESSAGE_S.0, MESSAGE_S.1);
            let (there, back) = if *home == member { (0.0, 0.0) } else { (delay(60), delay(61)) };
            let asks = at + there;
            let answers = self.world.boxes[*home].is_reached(asks);
            if *home != member {
                self.traffic.message(member, at);
            }
            if *home != member && answers {
                self.traffic.message(*home, asks);
                self.traffic.message(*home, asks);
                self.traffic.message(member, asks + back);
            }
            let answered = if answers { asks + back } else { at + ASK_TIMEOUT_S };
            last = last.max(answered);
            let mut told = stream.told.iter().filter(|(told, _)| told == home);
            if answers && told.any(|(_, learned)| self.world.boxes[*home].remembers(*learned, asks))
            {
                first_known = first_known.min(answered);
            }
        }
        (first_known.is_finite(), first_known.min(last))
    }

    /// Version without anybody's memory of the stream.
    fn guess(&self, key: u64, member: usize, at: f64) -> Option<usize> {
        let (directory, seen) = self.world.seen(member, at);
        let settled = directory.settled(seen);
        let started = self.world.boxes[member].started(at);
        let throughout =
            |views_s: u32| self.world.recomputed_throughout(key, member, at, f64::from(views_s));
        match self.design {
            Design::Homes { unknown, .. } => match unknown {
                Unknown::Refused => settled,
                // The record that proves it is in the store.
                Unknown::Stored { store, .. } => settled.filter(|_| store.answers(at) == at),
                Unknown::OfRecord { views_s, store } => {
                    let given = self.world.computed_throughout(key, at, f64::from(views_s));
                    given.filter(|_| store.answers(at) == at)
                }
                Unknown::RefusedSinceStart => settled.filter(|_| at - started >= SETTLED_S),
                Unknown::FirstLook => {
                    let is_first = started.is_finite() && directory.set_changed <= started;
                    settled.or(directory.only().filter(|_| is_first))
                }
                Unknown::Before => settled.or(directory.settled_before(seen, BEFORE_S)),
                Unknown::JustBefore => settled.or(directory.settled_before(seen, JUST_BEFORE_S)),
                Unknown::Recomputed { views_s } => settled.or_else(|| throughout(views_s)),
            },
            Design::AskAll => settled,
            Design::Recomputed(Steady::Nothing) => Draws::of(key).version(&directory.counts),
            Design::Recomputed(Steady::Key { views_s }) => throughout(views_s),
            Design::Recomputed(steady) => {
                let is_steady = directory.is_steady(seen, steady == Steady::Counts);
                Draws::of(key).version(&directory.counts).filter(|_| is_steady)
            }
            Design::Any => weighted(&directory.counts, unit(mix(key, at.to_bits()), 0)),
        }
    }

    /// Keeps a stream's origin where the design does.
    fn tell(&mut self, stream: &mut Stream, leg: &Leg, ends: f64) {
        match self.design {
            Design::Homes { copies, sent, unknown } => {
                let at = self.sending(sent, leg).filter(|at| *at < ends);
                if let (Some(at), Unknown::Stored { delay_ms, store }) = (at, unknown) {
                    let written = store.answers(at) + f64::from(delay_ms) / 1_000.0;
                    // The box that has it tries until the store answers.
                    if self.world.boxes[leg.member].remembers(at, written) {
                        stream.stored = Some(stream.stored.unwrap_or(written));
                    }
                }
                at.into_iter().for_each(|at| self.tell_homes(stream, leg.member, at, copies));
            }
            Design::AskAll => {
                stream.told.push((leg.member, leg.from));
                self.traffic.record(leg.member, leg.from);
            }
            Design::Recomputed(_) | Design::Any => {}
        }
    }

    /// Time at which a box wants to send the origin of a stream.
    fn sending(&self, sent: Sent, leg: &Leg) -> Option<f64> {
        let (directory, seen) = self.world.seen(leg.member, leg.from);
        let is_settled = directory.settled(seen).is_some();
        match sent {
            Sent::WhileMixed if is_settled => None,
            Sent::WhileMixedAndRunning if is_settled => {
                self.world.next_unsettled(leg.member, leg.from)
            }
            Sent::Always | Sent::WhileMixed | Sent::WhileMixedAndRunning => Some(leg.from),
        }
    }

    fn tell_homes(&mut self, stream: &mut Stream, member: usize, at: f64, copies: usize) {
        let tick = (at / TICK_S).ceil() as u32;
        let sent = f64::from(tick) * TICK_S;
        let sender = &self.world.boxes[member];
        let is_sent = sender.is_reached(sent) && sender.remembers(at, sent);
        let draw = mix(stream.key, purpose::MESSAGE + at.to_bits());
        let homes = self.world.homes(stream.key, member, sent).into_iter().take(copies);
        for (n, home) in homes.enumerate().filter(|(_, home)| *home == member || is_sent) {
            let delay = between(draw, n as u64, MESSAGE_S.0, MESSAGE_S.1);
            let arrives = if home == member { at } else { sent + delay };
            if home != member {
                self.traffic.batch(tick, member, home);
            }
            if self.world.boxes[home].is_reached(arrives) {
                stream.told.push((home, arrives));
                self.traffic.record(home, arrives);
            }
        }
    }
}

/// A version by the numbers of endpoints, for a uniform draw.
fn weighted(counts: &[u32; VERSIONS], draw: f64) -> Option<usize> {
    let mut left = draw * f64::from(counts.iter().sum::<u32>());
    (0..VERSIONS).find(|version| {
        left -= f64::from(counts[*version]);
        left < 0.0
    })
}
