//! Carrying other boxes' records while the platform is out of reach.
//!
//! Peers that carry agree on nothing: they keep a record in memory and hand it in once its
//! journal is sealed, when the box that wrote it can no longer do so itself. Handing in again, or
//! beside the box itself, changes nothing.

use std::collections::BTreeMap;

use ledger::{Evidence, Incarnation, Journal, Record};
use parking_lot::Mutex;
use platform::{Expect, Store, Write};

/// Most records carried for others.
const MOST: usize = 50_000;
/// Conflicts after which a hand-in is left for later.
const TRIES: u32 = 6;

/// Boxes in reach that carry records.
#[async_trait::async_trait]
pub trait Carriers: Send + Sync {
    /// Gives a record to peers; returns how many took it.
    async fn carry(&self, by: &Incarnation, record: &Record) -> usize;
}

/// Records carried for other incarnations.
#[derive(Debug, Default)]
pub struct Carried(Mutex<BTreeMap<Incarnation, BTreeMap<u64, Record>>>);

impl Carried {
    /// Takes a record, or its outcome; false if too much is carried already.
    pub fn take(&self, by: Incarnation, record: Record) -> bool {
        let mut carried = self.0.lock();
        let total: usize = carried.values().map(BTreeMap::len).sum();
        let records = carried.entry(by).or_default();
        if total >= MOST && !records.contains_key(&record.n) {
            return false;
        }
        // An outcome replaces its intent; a late intent never replaces an outcome.
        let newer = records.get(&record.n).is_none_or(Record::is_open);
        if newer {
            records.insert(record.n, record);
        }
        true
    }

    /// Incarnations that records are carried for.
    pub fn whose(&self) -> Vec<Incarnation> {
        self.0.lock().keys().cloned().collect()
    }

    /// Records carried for one incarnation.
    pub fn of(&self, by: &Incarnation) -> Vec<Record> {
        self.0.lock().get(by).map(|records| records.values().cloned().collect()).unwrap_or_default()
    }

    /// Hands in what is carried for a sealed incarnation; true once nothing is left to hand in.
    pub async fn hand_in(&self, store: &dyn Store, by: &Incarnation) -> bool {
        let records = self.of(by);
        for _ in 0..TRIES {
            let Ok(found) = store.get("journal", by.as_str()).await else { return false };
            let Some(object) = found else {
                // All of it was wound up, by the box itself or with what another carried.
                self.0.lock().remove(by);
                return true;
            };
            let Ok(mut journal) = serde_json::from_str::<Journal>(&object.value) else {
                return false;
            };
            if journal.is_open() {
                return false;
            }
            let before = journal.clone();
            for record in &records {
                // What does not fit any more was folded before.
                let _ = journal.hand_in(record.clone(), Evidence::Carried);
            }
            if journal == before {
                self.done(by, &records);
                return true;
            }
            let expect = Expect::Version(object.version);
            let write = store.put("journal", by.as_str(), journal.to_json(), expect).await;
            if let Write::Landed(_) = write {
                self.done(by, &records);
                return true;
            }
        }
        false
    }

    fn done(&self, by: &Incarnation, handed: &[Record]) {
        let mut carried = self.0.lock();
        if let Some(records) = carried.get_mut(by) {
            for record in handed {
                if records.get(&record.n) == Some(record) {
                    records.remove(&record.n);
                }
            }
            if records.is_empty() {
                carried.remove(by);
            }
        }
    }
}
