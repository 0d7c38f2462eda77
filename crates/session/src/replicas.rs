//! Carrying other boxes' records while the platform is out of reach.
//!
//! Peers that carry agree on nothing: they keep a record in memory and hand it in once its
//! journal is sealed, when the box that wrote it can no longer do so itself. Handing in again, or
//! beside the box itself, changes nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use ledger::{Entry, Evidence, Incarnation, Journal, Ledger, Record, Transfer};
use objects::{Expect, Store, Write};
use parking_lot::Mutex;

/// Most records carried for others.
const MOST: usize = 50_000;
/// Conflicts after which a hand-in is left for later.
const TRIES: u32 = 6;

/// Other boxes in reach, as the money side needs them.
#[async_trait::async_trait]
pub trait Peers: Send + Sync {
    /// Gives an entry of the journal of `by` to peers that carry it; returns how many took it.
    async fn replicate(&self, by: &Incarnation, entry: &Entry) -> usize;

    /// Asks peers to return what they can spare to the ledger; true if any did.
    async fn return_surplus(&self, budget: &Arc<str>, tokens: u64) -> bool;

    /// Asks peers for offline tokens; the giver has debited itself already.
    async fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer>;
}

/// What is carried for one incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Load {
    records: BTreeMap<u64, Record>,
    transfers: BTreeSet<(Arc<str>, Transfer)>,
}

impl Load {
    fn len(&self) -> usize {
        self.records.len() + self.transfers.len()
    }

    fn budgets(&self) -> BTreeSet<Arc<str>> {
        let recorded = self.records.values().map(|record| record.budget.clone());
        recorded.chain(self.transfers.iter().map(|(budget, _)| budget.clone())).collect()
    }

    fn insert(&mut self, entry: Entry) {
        match entry {
            // An outcome replaces its intent; a late intent never replaces an outcome.
            Entry::Record(record) => {
                if self.records.get(&record.n).is_none_or(Record::is_open) {
                    self.records.insert(record.n, record);
                }
            }
            Entry::Transfer(budget, transfer) => drop(self.transfers.insert((budget, transfer))),
        }
    }

    fn add_to(&self, journal: &mut Journal) {
        for transfer in &self.transfers {
            if !journal.transfers.contains(transfer) {
                journal.transfers.push(transfer.clone());
            }
        }
        for record in self.records.values() {
            // What does not fit any more was folded before.
            let _ = journal.hand_in(record.clone(), Evidence::Carried);
        }
    }
}

/// Entries carried for other incarnations.
#[derive(Debug, Default)]
pub struct Replicas(Mutex<BTreeMap<Incarnation, Load>>);

impl Replicas {
    /// Takes an entry; false if too much is carried already.
    pub fn insert(&self, by: Incarnation, entry: Entry) -> bool {
        let mut carried = self.0.lock();
        let total: usize = carried.values().map(Load::len).sum();
        if total >= MOST {
            return false;
        }
        carried.entry(by).or_default().insert(entry);
        true
    }

    /// Incarnations that entries are carried for.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.0.lock().keys().cloned().collect()
    }

    fn of(&self, by: &Incarnation) -> Load {
        self.0.lock().get(by).cloned().unwrap_or_default()
    }

    /// Hands in what is carried for a sealed incarnation; true once nothing is left to hand in.
    ///
    /// An incarnation that never reached the platform has no journal. If peers lent it tokens its
    /// grants show that, and the journal is made for it, sealed from the start.
    pub async fn hand_in(&self, store: &dyn Store, by: &Incarnation, me: &Incarnation) -> bool {
        let load = self.of(by);
        for _ in 0..TRIES {
            let Ok(found) = store.get("journal", by.as_str()).await else { return false };
            let (expect, before) = match found {
                Some(object) => match serde_json::from_str::<Journal>(&object.value) {
                    Ok(journal) => (Expect::Version(object.version), journal),
                    Err(_) => return false,
                },
                None if holds_grant(store, by, &load).await => {
                    (Expect::Absent, posthumous(by, me, &load))
                }
                None => return false,
            };
            if before.is_open() {
                return false;
            }
            let mut journal = before.clone();
            load.add_to(&mut journal);
            let landed = journal == before || {
                let put = store.put("journal", by.as_str(), journal.to_json(), expect);
                matches!(put.await, Write::Landed(_))
            };
            if landed {
                self.done(by, &load);
                return true;
            }
        }
        false
    }

    fn done(&self, by: &Incarnation, handed: &Load) {
        let mut carried = self.0.lock();
        if let Some(load) = carried.get_mut(by) {
            load.records.retain(|n, record| handed.records.get(n) != Some(record));
            load.transfers.retain(|transfer| !handed.transfers.contains(transfer));
            if load.len() == 0 {
                carried.remove(by);
            }
        }
    }
}

/// Whether an incarnation without a journal may have spent anything.
async fn holds_grant(store: &dyn Store, by: &Incarnation, load: &Load) -> bool {
    if load.transfers.iter().any(|(_, transfer)| transfer.to == *by) {
        return true;
    }
    for budget in load.budgets() {
        let Ok(Some(object)) = store.get("ledger", &budget).await else { continue };
        let ledger = serde_json::from_str::<Ledger>(&object.value);
        if ledger.is_ok_and(|ledger| ledger.grants.contains_key(by)) {
            return true;
        }
    }
    false
}

fn posthumous(by: &Incarnation, me: &Incarnation, load: &Load) -> Journal {
    let mut journal = Journal::new(by.clone());
    journal.drawn = load.budgets();
    journal.seal(me);
    journal
}
