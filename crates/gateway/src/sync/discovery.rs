//! Discovery of boxes: each box keeps one object in the store with its address.
//!
//! A box writes its object once per start and then reads those of others, one page of them: if all
//! boxes of a large fleet start together, each cannot read all others from one store. The rest comes
//! from the watchers that these few know. It reads from replicas, which may be out of date: that is
//! cheap, and an outdated list costs only a request to a box that is gone. Later changes come with
//! the other updates. If a newer incarnation of a box answers in place of an earlier one, that alone
//! updates the list without a read.

use std::time::Duration;

use objects::{Expect, Object};
use platform::store::{Client, Put};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::watch;

use crate::{
    fleet::{
        entry::{BOXES, Entry},
        peers::Peers,
    },
    outage::{Outage, Probe, Recovery},
    sync::{
        view::{View, read_box},
        watcher,
    },
};

/// Time over which requests for a new list are collected into one read.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Interval between two reads until a replica shows the own entry, and so those of boxes that
/// started together.
const READ_INTERVAL: Duration = Duration::from_millis(700);
/// Pages of a read, of some 500 boxes each. Boxes of a large fleet read the same ones, so that they
/// first turn to the same few boxes.
const MAX_PAGES: usize = 1;
/// Longest additional pause after a read that got no answer.
const MAX_BACKOFF: Duration = Duration::from_millis(1_400);
/// Maximum number of these reads: replicas are at most some seconds behind.
const MAX_READS: usize = 8;

/// Registers this box and reads the entries of the others.
pub struct Discovery {
    store: Client,
    own_entry: Entry,
    peers: Peers,
    view: View,
    outage: Outage,
    /// Version of the own entry, set once it is written and the others were read.
    registered: watch::Sender<Option<u64>>,
    random: SmallRng,
}

impl Discovery {
    pub fn new(
        store: Client,
        own_entry: Entry,
        peers: Peers,
        view: View,
        recovery: Recovery,
        seed: u64,
    ) -> Discovery {
        let outage = Outage::new("boxes", Probe::Lazy, recovery);
        let (registered, random) = (watch::channel(None).0, SmallRng::seed_from_u64(seed));
        Discovery { store, own_entry, peers, view, outage, registered, random }
    }

    /// The version of the own entry, which is needed to remove it.
    pub fn registered(&self) -> watch::Receiver<Option<u64>> {
        self.registered.subscribe()
    }

    /// Registers this box, then reads the list again whenever something shows that it is out of
    /// date.
    pub async fn run(mut self) {
        // Learns of the boxes that already run before the first request comes.
        self.read().await;
        let mut eras = self.store.eras();
        let version = self.register().await;
        let mut greeted = Vec::new();
        for _ in 0..MAX_READS {
            let is_shown = self.read().await.is_some_and(|at| at >= version);
            self.peers.greet(&self.own_entry, version, &mut greeted);
            if is_shown {
                break;
            }
            tokio::time::sleep(READ_INTERVAL + self.backoff()).await;
        }
        self.registered.send_replace(Some(version));
        loop {
            tokio::select! {
                () = self.peers.stale_list() => {
                    // One read serves all requests made in the meantime.
                    tokio::time::sleep(BATCH_DELAY).await;
                    self.read().await;
                }
                // The own entry may be missing from the copy.
                Ok(()) = eras.changed() => {
                    let version = self.register().await;
                    self.registered.send_replace(Some(version));
                }
            }
        }
    }

    /// Writes the own entry and returns its version.
    async fn register(&mut self) -> u64 {
        let value = serde_json::to_string(&self.own_entry).expect("entries always serialize");
        let name = self.own_entry.incarnation.box_name().to_owned();
        // If the replica showed the entry of an earlier incarnation, one call is enough.
        let earlier = self.view.box_version(&name);
        let mut expect = earlier.map_or(Expect::Absent, Expect::Version);
        loop {
            match self.store.replace(BOXES, &name, &value, expect).await {
                Put::Landed(version) => {
                    self.outage.record_success();
                    tracing::info!(event = "box_registered", name, version);
                    return version;
                }
                // Written already: an answer was lost, or a copy of the store has it.
                Put::Refused(Some(object)) if self.is_own(&object) => return object.version,
                Put::Refused(Some(object)) => expect = Expect::Version(object.version),
                Put::Refused(None) => expect = Expect::Absent,
                Put::Failed(reason) | Put::Unknown(reason) => {
                    self.outage.record_failure(&reason);
                    self.outage.pause().await;
                }
            }
        }
    }

    /// Whether an object is the entry of this incarnation, as it is now.
    fn is_own(&self, object: &Object) -> bool {
        read_box(&object.name, &object.value).is_some_and(|entry| entry == self.own_entry)
    }

    /// Additional pause after a read without an answer, at random: the store's link may be full of the
    /// lists for other boxes that start.
    fn backoff(&mut self) -> Duration {
        match self.outage.since() {
            Some(_) => MAX_BACKOFF.mul_f64(self.random.random()),
            None => Duration::ZERO,
        }
    }

    /// Reads a replica; returns the store version that it shows.
    async fn read(&mut self) -> Option<u64> {
        match self.store.list_stale_pages(BOXES, MAX_PAGES).await {
            Ok(list) => {
                self.outage.record_success();
                let entries = watcher::entries(&list.objects);
                match list.is_complete {
                    true => self.view.load_boxes(entries, list.version),
                    false => self.view.add_boxes(entries),
                }
                Some(list.version)
            }
            Err(error) => {
                self.outage.record_failure(&error);
                None
            }
        }
    }
}
