//! Replicas of other boxes' journal entries, for while the platform is unreachable.
//!
//! Replicas are kept in memory, without any agreement between peers. Once the journal of an
//! incarnation is sealed, so that it can no longer write its entries itself, its peers hand them in.
//! This is idempotent: several peers and the box itself may do it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use ledger::{Entry, Evidence, Incarnation, Journal, Ledger, Record, Transfer};
use objects::{Expect, Store, Write};
use parking_lot::Mutex;

/// Maximum number of entries kept for other incarnations.
const MAX_ENTRIES: usize = 50_000;
/// Write conflicts after which a hand-in is postponed.
const MAX_ATTEMPTS: u32 = 6;

/// Calls to the other boxes that are reachable.
#[async_trait::async_trait]
pub trait Peers: Send + Sync {
    /// Sends an entry of `owner`'s journal to peers, which keep replicas; returns how many accepted it.
    async fn replicate(&self, owner: &Incarnation, entry: &Entry) -> usize;

    /// Asks peers to return surplus tokens to the ledger; true if any did.
    async fn return_surplus(&self, budget: &Arc<str>, tokens: u64) -> bool;

    /// Asks peers for offline tokens; the lender debits its own account first.
    async fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer>;
}

/// Replicated entries of one incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Entries {
    records: BTreeMap<u64, Record>,
    transfers: BTreeSet<(Arc<str>, Transfer)>,
}

impl Entries {
    fn len(&self) -> usize {
        self.records.len() + self.transfers.len()
    }

    fn budgets(&self) -> BTreeSet<Arc<str>> {
        let recorded = self.records.values().map(|record| record.budget.clone());
        recorded.chain(self.transfers.iter().map(|(budget, _)| budget.clone())).collect()
    }

    fn insert(&mut self, entry: Entry) {
        match entry {
            // An outcome replaces its intent, but a late intent must not replace an outcome.
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
            // A record that the journal rejects has been folded already.
            let _ = journal.hand_in(record.clone(), Evidence::Carried);
        }
    }
}

/// Replicated journal entries of other incarnations.
#[derive(Debug, Default)]
pub struct Replicas(Mutex<BTreeMap<Incarnation, Entries>>);

impl Replicas {
    /// Stores an entry; false if the maximum is reached.
    pub fn insert(&self, owner: Incarnation, entry: Entry) -> bool {
        let mut replicas = self.0.lock();
        let total: usize = replicas.values().map(Entries::len).sum();
        if total >= MAX_ENTRIES {
            return false;
        }
        replicas.entry(owner).or_default().insert(entry);
        true
    }

    /// Incarnations of which there are entries.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.0.lock().keys().cloned().collect()
    }

    fn entries_of(&self, owner: &Incarnation) -> Entries {
        self.0.lock().get(owner).cloned().unwrap_or_default()
    }

    /// Hands in the entries of a sealed incarnation; true once none is left.
    ///
    /// An incarnation that never reached the platform has no journal. If it may have used tokens, a
    /// sealed journal is created for it.
    pub async fn hand_in(
        &self,
        store: &dyn Store,
        owner: &Incarnation,
        sealer: &Incarnation,
    ) -> bool {
        let entries = self.entries_of(owner);
        for _ in 0..MAX_ATTEMPTS {
            let Ok(found) = store.get("journal", owner.as_str()).await else { return false };
            let (expect, before) = match found {
                Some(object) => match serde_json::from_str::<Journal>(&object.value) {
                    Ok(journal) => (Expect::Version(object.version), journal),
                    Err(_) => return false,
                },
                None if may_have_spent(store, owner, &entries).await => {
                    (Expect::Absent, sealed_journal(owner, sealer, &entries))
                }
                None => return false,
            };
            if before.is_open() {
                return false;
            }
            let mut journal = before.clone();
            entries.add_to(&mut journal);
            let is_stored = journal == before || {
                let put = store.put("journal", owner.as_str(), journal.to_json(), expect);
                matches!(put.await, Write::Landed(_))
            };
            if is_stored {
                self.remove_handed_in(owner, &entries);
                return true;
            }
        }
        false
    }

    fn remove_handed_in(&self, owner: &Incarnation, handed_in: &Entries) {
        let mut replicas = self.0.lock();
        if let Some(entries) = replicas.get_mut(owner) {
            entries.records.retain(|n, record| handed_in.records.get(n) != Some(record));
            entries.transfers.retain(|transfer| !handed_in.transfers.contains(transfer));
            if entries.len() == 0 {
                replicas.remove(owner);
            }
        }
    }
}

/// Whether an incarnation without a journal may have spent tokens: peers lent it some, or it has a grant.
async fn may_have_spent(store: &dyn Store, owner: &Incarnation, entries: &Entries) -> bool {
    if entries.transfers.iter().any(|(_, transfer)| transfer.to == *owner) {
        return true;
    }
    for budget in entries.budgets() {
        let Ok(Some(object)) = store.get("ledger", &budget).await else { continue };
        let ledger = serde_json::from_str::<Ledger>(&object.value);
        if ledger.is_ok_and(|ledger| ledger.grants.contains_key(owner)) {
            return true;
        }
    }
    false
}

fn sealed_journal(owner: &Incarnation, sealer: &Incarnation, entries: &Entries) -> Journal {
    let mut journal = Journal::new(owner.clone());
    journal.drawn = entries.budgets();
    journal.seal(sealer);
    journal
}
