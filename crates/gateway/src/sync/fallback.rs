//! When a box reads the store itself although others are to do that for it.
//!
//! A store that is busy answers late, so all that the fleet knows of it grows old. If each box then read
//! the store itself, that would keep it busy: a list of all endpoints has megabytes. So the
//! watchers and those on standby read it at once, and other boxes only much later, one after the
//! other, in proportion to what they would read, and only from a store that answers a probe soon. One
//! that gave a read up waits longer for the next one.

use std::time::Duration;

/// Time for each box of the fleet over which boxes begin to read the store, if that is little.
const SPREAD: Duration = Duration::from_millis(25);
/// What they read together in a second at most: a third of a link of 1 Gbit/s.
const BYTES_PER_S: f64 = 40_000_000.0;
/// A busy store answers nobody sooner if more boxes read it. Many times the latency of an idle one.
const MAX_LATENCY: Duration = Duration::from_millis(100);
/// Longest time in which boxes on standby begin to watch and read all, once they are asked.
const MAX_STANDBY_LOAD_TIME: Duration = Duration::from_millis(600);
/// Longest time that a box waits besides if its watchers reach the store, as a part of the largest age of
/// what boxes know: the watchers read it again themselves.
const MAX_PATIENCE: f64 = 4.0;
/// How much narrower the store's link may be: a fleet that reads little waits little.
const LINK_MARGIN: f64 = 150.0;
/// Each read that was given up doubles the delay of the next one, this many times at most.
const MAX_DOUBLINGS: u32 = 6;
/// Time between two probes of the store, and its part that grows with the fleet: 400 probes a second
/// from all boxes at most, each a cheap read.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
const PROBE_SPREAD: Duration = Duration::from_micros(2_500);

/// Whose job it is to read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A watcher, or a box on standby.
    Designated,
    /// A box that takes the place of one, as none of these answers.
    Successor,
    Other,
}

/// What decides when one box reads the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fallback {
    /// Boxes of the fleet.
    pub boxes: u64,
    /// Bytes that it would read.
    pub bytes: usize,
    pub role: Role,
    /// Its place among the others, as a part of the time that the fleet takes; random.
    pub turn: f64,
    /// Reads that it gave up, one after the other.
    pub vain_reads: u32,
}

impl Fallback {
    /// How much later than a designated box it reads the store, if that does not answer its watchers.
    pub fn delay(&self) -> Duration {
        match self.role {
            Role::Designated | Role::Successor => Duration::ZERO,
            Role::Other => {
                let load_time = MAX_STANDBY_LOAD_TIME.min(self.read_time().mul_f64(LINK_MARGIN));
                let spread = SPREAD.mul_f64(self.boxes as f64).max(self.read_time());
                (load_time + spread.mul_f64(self.turn)) * self.factor()
            }
        }
    }

    /// Time in which all boxes together read the store.
    fn read_time(&self) -> Duration {
        Duration::from_secs_f64(self.boxes as f64 * self.bytes as f64 / BYTES_PER_S)
    }

    /// The same if the store answers its watchers, and what they know is too old all the same.
    pub fn delay_if_outdated(&self, max_age: Duration) -> Duration {
        match self.role {
            Role::Designated | Role::Successor => Duration::ZERO,
            Role::Other => {
                let patience = self.read_time().mul_f64(LINK_MARGIN);
                max_age.mul_f64(MAX_PATIENCE).min(patience) * self.factor() + self.delay()
            }
        }
    }

    fn factor(&self) -> u32 {
        1 << self.vain_reads.min(MAX_DOUBLINGS)
    }

    /// Whether it may read a store that answered its probe within `latency`.
    pub fn allows(&self, latency: Duration) -> bool {
        self.role == Role::Designated || latency <= MAX_LATENCY
    }

    /// Time until it probes the store again.
    pub fn probe_interval(&self) -> Duration {
        probe_interval(self.boxes)
    }
}

/// Time between two probes of one box of a fleet.
pub fn probe_interval(boxes: u64) -> Duration {
    PROBE_INTERVAL.max(PROBE_SPREAD.mul_f64(boxes as f64))
}
