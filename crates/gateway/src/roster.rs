//! The boxes of the fleet, each of which keeps one object in the store that says where it is.
//!
//! A box writes its object once a start and reads those of all others, soon after the start and
//! then from time to time, from copies of the store that may be old: reading those is cheap, and a
//! list that is old costs a question to a box that is gone. A later life of a box that answers in
//! place of an earlier one is news that needs no read at all.

use std::time::Duration;

use ledger::Incarnation;
use objects::{Expect, Object, Store};
use platform::store::{Client, Put};
use tokio::sync::watch;

use crate::{
    entry::Entry,
    outage::{Contact, Outage, Probe},
    peers::Peers,
};

/// Kind of the objects, named by box.
const BOXES: &str = "boxes";
/// Time for which questions for a new list are gathered.
const GATHER: Duration = Duration::from_millis(200);
/// Time after the own entry was written until the list is read again: boxes that start together
/// do so within 0.3 s.
const TOGETHER: Duration = Duration::from_millis(700);
/// Time between two reads: as long as copies may be old. With 80 boxes, 20 cheap reads a second.
const EVERY: Duration = Duration::from_secs(4);

/// How new a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// As the store has it.
    Newest,
    /// A copy, some seconds old at worst, at a tenth of the price.
    Any,
}

/// Keeps the own entry and reads those of the others.
pub struct Roster {
    store: Client,
    me: Entry,
    peers: Peers,
    outage: Outage,
    /// Version of the own entry, once it is written and those of others were read.
    written: watch::Sender<Option<u64>>,
}

impl Roster {
    /// Nothing is written or read yet.
    pub fn new(store: Client, me: Entry, peers: Peers, contact: Contact) -> Roster {
        let outage = Outage::new("boxes", Probe::Later, contact);
        Roster { store, me, peers, outage, written: watch::channel(None).0 }
    }

    /// The version of the own entry, by which it is removed.
    pub fn written(&self) -> watch::Receiver<Option<u64>> {
        self.written.subscribe()
    }

    /// Follows the boxes for as long as this one runs.
    pub async fn run(mut self) {
        let version = self.register().await;
        self.read(Freshness::Newest).await;
        self.written.send_replace(Some(version));
        tokio::time::sleep(TOGETHER).await;
        self.read(Freshness::Newest).await;
        loop {
            let asked = tokio::time::timeout(EVERY, self.peers.unknown()).await.is_ok();
            if asked {
                // One read answers all that is asked meanwhile.
                tokio::time::sleep(GATHER).await;
            }
            self.read(Freshness::Any).await;
        }
    }

    /// Writes the own entry and returns its version.
    async fn register(&mut self) -> u64 {
        let value = serde_json::to_string(&self.me).expect("entries always serialize");
        let name = self.me.incarnation.box_name().to_owned();
        let mut expect = Expect::Absent;
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

    async fn read(&mut self, freshness: Freshness) {
        let list = match freshness {
            Freshness::Newest => self.store.all(BOXES).await,
            Freshness::Any => self.store.all_maybe_old(BOXES).await,
        };
        match list {
            Ok(list) => {
                self.outage.answered();
                let entries = list.objects.iter();
                let entries =
                    entries.filter_map(|object| Some((read_entry(object)?, object.version)));
                self.peers.update(entries.collect(), list.version);
            }
            Err(error) => self.outage.failed(&error),
        }
    }
}

/// Removes the entry of a box that ends by plan.
pub async fn remove(store: &Client, me: &Incarnation, version: u64) {
    let removed = store.delete(BOXES, me.box_name(), version).await;
    tracing::info!(event = "box_removed", outcome = ?removed);
}

fn read_entry(object: &Object) -> Option<Entry> {
    let read = serde_json::from_str(&object.value);
    read.inspect_err(|error| {
        tracing::error!(event = "entry_unreadable", name = &*object.name, %error);
    })
    .ok()
}
