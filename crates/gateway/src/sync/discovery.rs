//! The boxes of the fleet, each of which keeps one object in the store that says where it is.
//!
//! A box writes its object once a start and reads those of all others then, from copies of the store
//! that may be old: reading those is cheap, and a list that is old costs a question to a box that is
//! gone. From then on it hears of others with the rest of the news. A later life of a box that answers
//! in place of an earlier one is news that needs no read at all.

use std::time::Duration;

use objects::Expect;
use platform::store::{Client, Put};
use tokio::sync::watch;

use crate::{
    fleet::{
        entry::{BOXES, Entry},
        peers::Peers,
    },
    outage::{Outage, Probe, Recovery},
    sync::{view::View, watcher},
};

/// Time for which questions for a new list are gathered.
const GATHER: Duration = Duration::from_millis(200);
/// Time between two reads until a copy shows the own entry, and so those of boxes that started together.
const TOGETHER: Duration = Duration::from_millis(700);
/// Reads until then at most: copies are some seconds old at worst.
const READS: usize = 8;

/// Keeps the own entry and reads those of the others.
pub struct Discovery {
    store: Client,
    me: Entry,
    peers: Peers,
    view: View,
    outage: Outage,
    /// Version of the own entry, once it is written and those of others were read.
    registered: watch::Sender<Option<u64>>,
}

impl Discovery {
    /// Nothing is written or read yet.
    pub fn new(
        store: Client,
        me: Entry,
        peers: Peers,
        view: View,
        recovery: Recovery,
    ) -> Discovery {
        let outage = Outage::new("boxes", Probe::Lazy, recovery);
        Discovery { store, me, peers, view, outage, registered: watch::channel(None).0 }
    }

    /// The version of the own entry, by which it is removed.
    pub fn registered(&self) -> watch::Receiver<Option<u64>> {
        self.registered.subscribe()
    }

    /// Makes the boxes known to each other, and reads again where something shows that what is known
    /// is old, for as long as this one runs.
    pub async fn run(mut self) {
        // Of those that run already, before the first request comes.
        self.read().await;
        let version = self.register().await;
        let mut greeted = Vec::new();
        for _ in 0..READS {
            let is_shown = self.read().await.is_some_and(|at| at >= version);
            self.peers.greet(&self.me, version, &mut greeted);
            if is_shown {
                break;
            }
            tokio::time::sleep(TOGETHER).await;
        }
        self.registered.send_replace(Some(version));
        loop {
            self.peers.unknown().await;
            // One read answers all that is asked meanwhile.
            tokio::time::sleep(GATHER).await;
            self.read().await;
        }
    }

    /// Writes the own entry and returns its version.
    async fn register(&mut self) -> u64 {
        let value = serde_json::to_string(&self.me).expect("entries always serialize");
        let name = self.me.incarnation.box_name().to_owned();
        // An earlier life's entry, as a copy showed it: one call instead of two.
        let earlier = self.view.box_version(&name);
        let mut expect = earlier.map_or(Expect::Absent, Expect::Version);
        loop {
            match self.store.replace(BOXES, &name, &value, expect).await {
                Put::Landed(version) => {
                    self.outage.answered();
                    tracing::info!(event = "box_registered", name, version);
                    return version;
                }
                // An earlier life's, or this one's if an answer was lost: written over.
                Put::Refused(Some(object)) => expect = Expect::Version(object.version),
                Put::Refused(None) => expect = Expect::Absent,
                Put::Failed(reason) | Put::Unknown(reason) => {
                    self.outage.failed(&reason);
                    self.outage.pause().await;
                }
            }
        }
    }

    /// Reads a copy; returns the version of the store that it shows.
    async fn read(&mut self) -> Option<u64> {
        match self.store.list_stale(BOXES).await {
            Ok(list) => {
                self.outage.answered();
                self.view.boxes_read(watcher::entries(&list.objects), list.version);
                Some(list.version)
            }
            Err(error) => {
                self.outage.failed(&error);
                None
            }
        }
    }
}
