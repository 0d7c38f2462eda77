//! Time that includes suspension of the box.
//!
//! The monotonic clock, which drives all timers, stops while a box is suspended. Request deadlines,
//! ages of updates and expiry times go by real time, as callers, endpoints and other boxes see it;
//! they are measured with [`Moment`].
//!
//! [`Watchdog`] detects that the box was suspended or did not run for a while. What it knows may
//! then be stale and its connections dead, so it closes its connections and reads all state again.
//! Requests wait for that for a short time.

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

/// Interval between checks that the box runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a check after which the box counts as suspended. Four intervals, so that a busy box
/// does not count as suspended, and half of the shortest bound on the age of state, which is 2 s on
/// small deployments.
const SUSPENDED_AFTER: Duration = Duration::from_millis(1_000);
/// Longest time that a request waits for state to be read again after a suspension; covers a read
/// of a slow store. Without the wait, a box that was suspended during a drain sends requests to
/// endpoints that have left.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// Source of time that knows how long the box was suspended.
#[derive(Debug, Clone)]
pub struct Clock(Source);

#[derive(Debug, Clone)]
enum Source {
    System,
    /// Milliseconds of suspension, set by a test.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// The system's clocks.
    pub fn system() -> Clock {
        Clock(Source::System)
    }

    /// A clock on which the box is suspended only by [`Clock::suspend`].
    pub fn manual() -> Clock {
        Clock(Source::Manual(Arc::default()))
    }

    /// Simulates a suspension on a manual clock; does nothing on the system's.
    pub fn suspend(&self, time: Duration) {
        match &self.0 {
            Source::System => {}
            Source::Manual(ms) => {
                ms.fetch_add(time.as_millis() as u64, Ordering::Relaxed);
            }
        }
    }

    /// Total time that the box was suspended.
    fn suspended(&self) -> Duration {
        match &self.0 {
            Source::System => {
                let monotonic = duration(clock_gettime(ClockId::Monotonic));
                duration(clock_gettime(ClockId::Boottime)).saturating_sub(monotonic)
            }
            Source::Manual(ms) => Duration::from_millis(ms.load(Ordering::Relaxed)),
        }
    }

    /// The current moment.
    pub fn now(&self) -> Moment {
        Moment { clock: self.clone(), at: Instant::now(), suspended: self.suspended() }
    }
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec.try_into().unwrap_or(0), time.tv_nsec.try_into().unwrap_or(0))
}

/// A moment in time whose age includes suspension.
#[derive(Debug, Clone)]
pub struct Moment {
    clock: Clock,
    at: Instant,
    suspended: Duration,
}

impl Moment {
    /// The same moment on the monotonic clock.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Time since this moment, including suspension.
    pub fn elapsed(&self) -> Duration {
        self.at.elapsed() + self.suspended()
    }

    /// Time since this moment that the box was suspended.
    pub fn suspended(&self) -> Duration {
        self.clock.suspended().saturating_sub(self.suspended)
    }
}

/// State that must be read again after a suspension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dataset {
    /// The configuration.
    Config,
    /// The list of endpoints.
    Endpoints,
}

/// Detects that the box was suspended or did not run for a while.
#[derive(Debug, Clone)]
pub struct Watchdog(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    last_check: Mutex<Moment>,
    state: watch::Sender<State>,
    close_connections: CloseConnections,
}

/// Closes connections that may be dead, before state is read again.
struct CloseConnections(Box<dyn Fn() + Send + Sync>);

impl fmt::Debug for CloseConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Forget")
    }
}

#[derive(Debug, Default)]
struct State {
    /// Number of suspensions so far.
    suspensions: u64,
    /// Number of suspensions when the last read of each dataset began.
    config: u64,
    endpoints: u64,
    /// Until when requests wait for state to be read again.
    deadline: Option<Instant>,
}

impl State {
    fn is_fresh(&self) -> bool {
        self.config == self.suspensions && self.endpoints == self.suspensions
    }
}

impl Watchdog {
    /// Creates a watchdog that calls `close_connections` after each suspension, for connections that
    /// may be dead.
    pub fn open(clock: Clock, close_connections: impl Fn() + Send + Sync + 'static) -> Watchdog {
        let last_check = Mutex::new(clock.now());
        let (state, close_connections) =
            (watch::channel(State::default()).0, CloseConnections(Box::new(close_connections)));
        Watchdog(Arc::new(Shared { clock, last_check, state, close_connections }))
    }

    /// Checks periodically for as long as the box runs.
    pub async fn run(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.check();
        }
    }

    fn check(&self) {
        let now = self.0.clock.now();
        let previous = std::mem::replace(&mut *self.0.last_check.lock(), now);
        let (gap, suspended) = (previous.elapsed(), previous.suspended());
        if gap <= SUSPENDED_AFTER {
            return;
        }
        let (gap_ms, suspended_ms) = (gap.as_millis() as u64, suspended.as_millis() as u64);
        tracing::warn!(event = "held_up", gap_ms, suspended_ms);
        (self.0.close_connections.0)();
        self.0.state.send_modify(|state| {
            state.suspensions += 1;
            state.deadline = Some(Instant::now() + REFRESH_TIMEOUT);
        });
    }

    /// Number of suspensions so far. What was requested before the last one may be stale.
    pub fn suspensions(&self) -> u64 {
        self.check();
        self.0.state.borrow().suspensions
    }

    /// Waits for a suspension after the first `suspensions` ones.
    pub async fn next_suspension(&self, suspensions: u64) {
        // Cannot fail: `self` holds the sender.
        let _ = self.0.state.subscribe().wait_for(|state| state.suspensions > suspensions).await;
    }

    /// Records a read that began after this many suspensions.
    pub fn mark_read(&self, dataset: Dataset, suspensions: u64) {
        self.0.state.send_if_modified(|state| {
            let last_read = match dataset {
                Dataset::Config => &mut state.config,
                Dataset::Endpoints => &mut state.endpoints,
            };
            let is_newer = *last_read < suspensions;
            *last_read = suspensions.max(*last_read);
            is_newer
        });
    }

    /// Waits until all state was read after the last suspension; gives up after a short time.
    pub async fn wait_until_fresh(&self) {
        self.check();
        let mut state = self.0.state.subscribe();
        let deadline = state.borrow().deadline;
        let Some(deadline) = deadline.filter(|deadline| *deadline > Instant::now()) else { return };
        // On a timeout the request goes on with stale state.
        let _ = timeout_at(deadline, state.wait_for(State::is_fresh)).await;
    }
}
