//! The task that sends this box's bills to the boxes that write them.

use std::{collections::HashMap, time::Duration};

use ledger::Incarnation;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use wire::Segment;

use super::Bills;
use crate::fleet::{
    bill_writers::BOXES_PER_WRITER,
    peers::{Peers, REPLICATE_TIMEOUT},
};

/// Interval between two messages to the writer in a small fleet.
const INTERVAL: Duration = Duration::from_millis(100);
/// The same for each box with the same writer, which should get a few hundred messages per second.
const INTERVAL_PER_BOX: Duration = Duration::from_millis(4);
/// Time after which no further writer is asked in a round: each that is silent takes a while, and the
/// author may have to write the bills itself.
const ROUND_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval while no writer reaches the store.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(300);
/// Boxes that hold each bill besides its author while no writer reaches the store.
const COPIES: usize = 2;
/// How long a box that did not take bills is not asked again.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long the answer of a writer tells where its log ends, and whether it reaches the store. Whoever
/// writes a bill in its place reads the log from there on.
const STATUS_TTL: Duration = Duration::from_secs(1);
/// Boxes that try at the same time to write bills that writers hold but cannot write: some box may
/// reach the store when no writer does. Bounded, since in an outage all boxes are in that position.
const OWN_ATTEMPTS: u64 = 8;

/// How far the bills of this box got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// A box that reaches the store has them, or this box writes them.
    Delivered,
    /// As many other boxes hold them, and none of the writers reaches the store.
    Held(usize),
}

/// What a writer last said.
#[derive(Debug, Clone, Copy)]
struct Status {
    /// First page of its log that may not exist yet.
    next_page: u64,
    reaches_store: bool,
    at: Instant,
}

/// Sends bills to their writers.
pub struct Replicator {
    bills: Bills,
    peers: Peers,
    statuses: HashMap<Incarnation, Status>,
    avoided: HashMap<Incarnation, Instant>,
    random: SmallRng,
}

impl Replicator {
    pub fn new(bills: Bills, peers: Peers, seed: u64) -> Replicator {
        let random = SmallRng::seed_from_u64(seed);
        let (statuses, avoided) = Default::default();
        Replicator { bills, peers, statuses, avoided, random }
    }

    /// Sends bills for as long as the box runs.
    pub async fn run(mut self) {
        let mut progress = Progress::Delivered;
        loop {
            self.bills.has_own().await;
            tokio::time::sleep(self.interval(progress)).await;
            if matches!(progress, Progress::Held(_)) {
                self.bills.assign_to_own_log();
            }
            progress = self.replicate().await;
            if let Progress::Held(holders) = progress {
                self.write_some(holders);
            }
        }
    }

    fn interval(&self, progress: Progress) -> Duration {
        let boxes = self.peers.boxes().min(BOXES_PER_WRITER as u64) as u32;
        match progress {
            Progress::Delivered => INTERVAL.max(INTERVAL_PER_BOX * boxes),
            Progress::Held(_) => OUTAGE_INTERVAL,
        }
    }

    /// Sends bills to the first writer that reaches the store, which may be this box, or to some that
    /// do not.
    async fn replicate(&mut self) -> Progress {
        let now = Instant::now();
        self.avoided.retain(|_, until| *until > now);
        self.statuses.retain(|_, status| now < status.at + STATUS_TTL);
        let mut holders = 0;
        for writer in self.peers.bill_writers() {
            if now.elapsed() > ROUND_TIMEOUT {
                break;
            }
            if writer == *self.peers.me() {
                if self.bills.reaches_store() {
                    self.bills.assign_to_own_log();
                    self.bills.set_delegating(false);
                    return Progress::Delivered;
                }
                continue;
            }
            if self.avoided.contains_key(&writer) {
                continue;
            }
            match self.send_to(&writer, holders < COPIES).await {
                Some(true) => {
                    self.bills.set_delegating(true);
                    return Progress::Delivered;
                }
                Some(false) => holders += 1,
                None => {
                    self.avoided.insert(writer, Instant::now() + RETRY_DELAY);
                }
            }
        }
        Progress::Held(holders)
    }

    /// Sends a writer the bills that it does not hold, if it reaches the store or is to hold them all
    /// the same. Returns whether it reaches the store, or `None` if it does not answer.
    async fn send_to(&mut self, writer: &Incarnation, is_holder: bool) -> Option<bool> {
        let status = match self.statuses.get(writer) {
            Some(status) => *status,
            None => self.ask(writer, Vec::new()).await?,
        };
        match status.reaches_store {
            // Only now: others may write the log of a box that does not reach the store, and it does
            // not know where it ends.
            true => self.bills.assign(writer, status.next_page),
            false if !is_holder => return Some(false),
            false => {}
        }
        let mut status = self.ask(writer, self.bills.missing_at(writer)).await?;
        loop {
            let missing = self.bills.missing_at(writer);
            if missing.is_empty() {
                return Some(status.reaches_store);
            }
            status = self.ask(writer, missing).await?;
        }
    }

    async fn ask(&mut self, writer: &Incarnation, segments: Vec<Segment>) -> Option<Status> {
        let replica = self.peers.replicate_bills(writer, &segments, REPLICATE_TIMEOUT).await;
        let Some(replica) = replica else {
            self.statuses.remove(writer);
            return None;
        };
        self.bills.confirm(writer, &segments, replica.unwritten);
        let reaches_store = !replica.is_store_unreachable;
        let status = Status { next_page: replica.next_page, reaches_store, at: Instant::now() };
        self.statuses.insert(writer.clone(), status);
        Some(status)
    }

    /// Takes the bills into the own log, from which others get copies, and lets this box write its
    /// bills itself: always if no other box holds them, or if it is not known to be without the store as
    /// well.
    fn write_some(&mut self, holders: usize) {
        self.bills.assign_to_own_log();
        let is_needed = holders == 0 || self.bills.reaches_store();
        let boxes = self.peers.boxes().max(1);
        let is_chosen = is_needed || self.random.random_range(0..boxes) < OWN_ATTEMPTS;
        self.bills.set_delegating(!is_chosen);
    }
}

impl Bills {
    /// Waits until bills of this box are not known to be written.
    async fn has_own(&self) {
        loop {
            let changed = self.0.to_send.notified();
            if self.0.state.lock().pending.has_own() {
                return;
            }
            changed.await;
        }
    }

    fn reaches_store(&self) -> bool {
        !self.0.state.lock().is_store_unreachable()
    }

    fn assign(&self, log: &Incarnation, page: u64) {
        self.0.state.lock().pending.assign(log, page);
    }

    fn assign_to_own_log(&self) {
        self.0.state.lock().pending.assign_to_own_log();
        self.0.to_write.notify_one();
    }

    fn missing_at(&self, holder: &Incarnation) -> Vec<Segment> {
        self.0.state.lock().pending.missing_at(holder)
    }

    fn confirm(&self, holder: &Incarnation, sent: &[Segment], unwritten: ledger::RangeSet) {
        self.0.state.lock().pending.confirm(holder, sent, unwritten);
        self.0.written.notify_waiters();
    }

    fn set_delegating(&self, is_delegating: bool) {
        self.0.state.lock().pending.set_delegating(is_delegating);
        self.0.to_write.notify_one();
    }
}
