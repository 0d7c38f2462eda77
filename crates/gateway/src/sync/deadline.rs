//! When a box reads the store itself, whatever its search for another source is at.
//!
//! A search asks boxes, each of which may be silent for as long as its request has. So the bound on the
//! age of what a box knows is not kept by the search but beside it: a [`Deadline`] looks at the age alone,
//! and ends the search. It comes at once for watchers, for boxes on standby and, where all of them are
//! silent, for those that take their place; for others it leaves them the time to read the store first
//! (see `fallback`).

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use rand::{Rng, rngs::SmallRng};
use tokio::time::{Instant, sleep};

use crate::{
    fleet::{entry::BOXES, peers::Peers},
    freshness::Freshness,
    sync::{
        fallback::{Fallback, Role},
        setup::Setup,
    },
};

/// Timeout of a probe of the store: twice the latency of a slow one.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which it is looked whether the deadline has come nearer: the watchers fall silent one after
/// the other.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a search has in any case: a box that slept, or watched the store for others, hears of a source
/// within one request.
const MIN_SEARCH_TIME: Duration = Duration::from_millis(300);
/// Longest time until the ages are looked at again; less than the shortest age at which a box reads the
/// store. A box that has just started knows none yet.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The time at which this box reads the store itself.
pub struct Deadline {
    setup: Setup,
    peers: Peers,
    /// Place of this box among the others, as a part of the time that the fleet takes; random.
    turn: f64,
    /// Reads of the store that it gave up, one after the other.
    vain_reads: u32,
    /// Whether the ages are left to a watcher: the store does not answer this box either, or has just
    /// answered the watcher again.
    is_left_to_watcher: AtomicBool,
}

impl Deadline {
    /// Opens the deadline of a search that begins now.
    pub fn open(setup: Setup, peers: Peers, turn: f64, vain_reads: u32) -> Deadline {
        Deadline { setup, peers, turn, vain_reads, is_left_to_watcher: AtomicBool::new(false) }
    }

    /// Sets whether the ages are left to a watcher.
    pub fn leave_to_watcher(&self, is_left: bool) {
        self.is_left_to_watcher.store(is_left, Ordering::Relaxed);
    }

    /// Waits until this box is to read the store, which answers it then.
    pub async fn passed(&self, random: SmallRng) {
        let due_in = || match self.is_left_to_watcher.load(Ordering::Relaxed) {
            true => CHECK_INTERVAL,
            false => due_in(self.setup.view.freshness(), || self.fallback()),
        };
        read_due(due_in, || self.fallback(), || self.store_latency(), random).await;
    }

    /// How soon the store answers this box; `None` if it does not.
    pub async fn store_latency(&self) -> Option<Duration> {
        let Setup { store, name, .. } = &self.setup;
        let began = Instant::now();
        store.ping(BOXES, name, PROBE_TIMEOUT).await.ok().map(|()| began.elapsed())
    }

    /// When this box reads the store itself.
    pub fn fallback(&self) -> Fallback {
        let (me, watchers) = (self.peers.me(), self.peers.watchers());
        let role = match watchers.all().any(|watcher| watcher == me) {
            true => Role::Designated,
            false if self.peers.is_successor() => Role::Successor,
            false => Role::Other,
        };
        Fallback {
            boxes: self.peers.boxes(),
            bytes: self.setup.view.known_bytes(),
            role,
            turn: self.turn,
            vain_reads: self.vain_reads,
        }
    }
}

/// Time until a box reads the store itself, or until that may have come nearer; zero if it does now.
pub fn due_in(freshness: &Freshness, fallback: impl FnOnce() -> Fallback) -> Duration {
    match freshness.fallback_due_in(Duration::ZERO) {
        due_in if !due_in.is_zero() => due_in.min(MAX_CHECK_INTERVAL),
        _ => {
            let delay = fallback().delay_if_outdated(freshness.bounds().max_age);
            freshness.fallback_due_in(delay).min(CHECK_INTERVAL)
        }
    }
}

/// Waits until a box is to read the store. `probe` gives the latency of the store, if that answers.
pub async fn read_due<Probing: Future<Output = Option<Duration>>>(
    due_in: impl Fn() -> Duration,
    fallback: impl Fn() -> Fallback,
    probe: impl Fn() -> Probing,
    mut random: SmallRng,
) {
    let mut was_unreachable = false;
    sleep(MIN_SEARCH_TIME).await;
    loop {
        let due_in = due_in();
        if !due_in.is_zero() {
            sleep(due_in).await;
            continue;
        }
        let pause = fallback().probe_interval().mul_f64(1.0 + random.random::<f64>() / 2.0);
        match probe().await {
            // After an outage of the store the boxes read it one after the other.
            Some(_) if was_unreachable => {
                was_unreachable = false;
                sleep(fallback().delay()).await;
            }
            Some(latency) if fallback().allows(latency) => return,
            Some(_) => sleep(pause).await,
            None => {
                was_unreachable = true;
                sleep(pause).await;
            }
        }
    }
}
