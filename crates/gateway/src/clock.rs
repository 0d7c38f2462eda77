//! Time, also that for which the box was suspended.
//!
//! The steady clock, by which all timers run, stands still while a box is suspended. Whatever a caller, an
//! endpoint or another box relies on goes by the time that passed for them: how long a request has, how old
//! news is, for how long something counts. Those ages are taken from here.
//!
//! [`Watchdog`] notices that the box did not run for a while, suspended or held up in another way. What it knows
//! is old then, and connections may be dead without a sign of it, so that everything is read anew; requests
//! wait for that, a moment at most.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

/// Time between two looks whether the box runs.
const BEAT: Duration = Duration::from_millis(250);
/// Time without a beat after which what is known counts as old: four beats, so that a busy box that is late
/// by some of them reads nothing anew. Half of the shortest bound on news, 2 s on small deployments.
const HELD_UP: Duration = Duration::from_millis(1_000);
/// Longest wait of a request for news after the box was held up: a read of a store that is slow. Without it a
/// box that slept through a drain sends to an endpoint that left.
const FRESH_WITHIN: Duration = Duration::from_millis(400);

/// Says for how long the box was suspended.
#[derive(Debug, Clone)]
pub struct Clock(Source);

#[derive(Debug, Clone)]
enum Source {
    System,
    /// Milliseconds, set by a test.
    ByHand(Arc<AtomicU64>),
}

impl Clock {
    /// The clocks of the system.
    pub fn system() -> Clock {
        Clock(Source::System)
    }

    /// A box that is suspended only when [`Clock::suspend`] says so.
    pub fn manual() -> Clock {
        Clock(Source::ByHand(Arc::default()))
    }

    /// The box was suspended for so long, if this is a clock by hand.
    pub fn suspend(&self, time: Duration) {
        match &self.0 {
            Source::System => {}
            Source::ByHand(ms) => {
                ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
            }
        }
    }

    /// Time for which the box was suspended so far.
    fn suspended(&self) -> Duration {
        match &self.0 {
            Source::System => {
                let steady = duration(clock_gettime(ClockId::Monotonic));
                duration(clock_gettime(ClockId::Boottime)).saturating_sub(steady)
            }
            Source::ByHand(ms) => Duration::from_millis(ms.load(Ordering::Relaxed)),
        }
    }

    /// This moment.
    pub fn now(&self) -> Moment {
        Moment { clock: self.clone(), at: Instant::now(), suspended: self.suspended() }
    }
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec.try_into().unwrap_or(0), time.tv_nsec.try_into().unwrap_or(0))
}

/// A moment, from which time is counted whether the box runs or not.
#[derive(Debug, Clone)]
pub struct Moment {
    clock: Clock,
    at: Instant,
    suspended: Duration,
}

impl Moment {
    /// The same moment of the steady clock.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Time since then.
    pub fn elapsed(&self) -> Duration {
        self.at.elapsed() + self.suspended()
    }

    /// Time since then for which the box was suspended.
    pub fn suspended(&self) -> Duration {
        self.clock.suspended().saturating_sub(self.suspended)
    }
}

/// A part of what a box knows that must not be old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dataset {
    /// The configuration.
    Config,
    /// Which endpoints take work.
    Endpoints,
}

/// Notices that the box did not run for a while.
#[derive(Debug, Clone)]
pub struct Watchdog(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    last: Mutex<Moment>,
    state: watch::Sender<State>,
    forget: Forget,
}

/// Closes connections that may be dead, before anything is read anew.
struct Forget(Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for Forget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Forget")
    }
}

#[derive(Debug, Default)]
struct State {
    /// Times that the box was held up.
    suspensions: u64,
    /// Which of them each part was read anew after.
    config: u64,
    endpoints: u64,
    /// Until when requests wait for that.
    until: Option<Instant>,
}

impl State {
    fn is_fresh(&self) -> bool {
        self.config == self.suspensions && self.endpoints == self.suspensions
    }
}

impl Watchdog {
    /// The box runs. `forget` closes connections that may be dead once it was held up.
    pub fn open(clock: Clock, forget: impl Fn() + Send + Sync + 'static) -> Watchdog {
        let last = Mutex::new(clock.now());
        let (state, forget) = (watch::channel(State::default()).0, Forget(Box::new(forget)));
        Watchdog(Arc::new(Shared { clock, last, state, forget }))
    }

    /// Looks for as long as the box runs.
    pub async fn run(self) {
        loop {
            sleep(BEAT).await;
            self.beat();
        }
    }

    fn beat(&self) {
        let now = self.0.clock.now();
        let before = std::mem::replace(&mut *self.0.last.lock(), now);
        let (gap, suspended) = (before.elapsed(), before.suspended());
        if gap <= HELD_UP {
            return;
        }
        let (gap_ms, suspended_ms) = (gap.as_millis() as u64, suspended.as_millis() as u64);
        tracing::warn!(event = "held_up", gap_ms, suspended_ms);
        (self.0.forget.0)();
        self.0.state.send_modify(|state| {
            state.suspensions += 1;
            state.until = Some(Instant::now() + FRESH_WITHIN);
        });
    }

    /// How often the box was held up so far: what was asked for before the last time may be old.
    pub fn suspensions(&self) -> u64 {
        self.beat();
        self.0.state.borrow().suspensions
    }

    /// Waits until the box was held up once more than `suspensions`.
    pub async fn next_suspension(&self, suspensions: u64) {
        // The sender lives as long as `self`.
        let _ = self.0.state.subscribe().wait_for(|state| state.suspensions > suspensions).await;
    }

    /// A part was read, by a call that began when the box had been held up so often.
    pub fn read(&self, part: Dataset, suspensions: u64) {
        self.0.state.send_if_modified(|state| {
            let of = match part {
                Dataset::Config => &mut state.config,
                Dataset::Endpoints => &mut state.endpoints,
            };
            let is_news = *of < suspensions;
            *of = suspensions.max(*of);
            is_news
        });
    }

    /// Waits until what is known was read since the box was held up last, for a moment at most.
    pub async fn wait_until_fresh(&self) {
        self.beat();
        let mut state = self.0.state.subscribe();
        let until = state.borrow().until;
        let Some(until) = until.filter(|until| *until > Instant::now()) else { return };
        // Old news are better than none.
        let _ = timeout_at(until, state.wait_for(State::is_fresh)).await;
    }
}
