//! Winding up an incarnation that seems dead: seal its journal, resolve, fold, free.
//!
//! Any box may do any step at any time, and more than one may do it at once: every step is a
//! conditional update that changes nothing when it is repeated.

use std::sync::Arc;

use ledger::{Closing, Ended, Evidence, Incarnation, Journal, Ledger};
use objects::{Expect, Store, Write};

/// Conflicts after which a step is left for the next look.
const TRIES: u32 = 6;

/// An outcome found for an open record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finding {
    /// Number of the record.
    pub n: u64,
    /// Tokens charged.
    pub charged: u64,
    /// How the request ended.
    pub ended: Ended,
    /// What the finding rests on.
    pub evidence: Evidence,
}

/// What became of a seal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sealed {
    /// This call sealed it.
    Now(Journal),
    /// It was sealed or closed before.
    Before(Journal),
    /// There is no journal: nothing was ever recorded, or all is wound up.
    Missing,
    /// The platform did not say.
    Unknown,
}

/// Seals the journal of `name`; the first sealer stands.
pub async fn seal(store: &dyn Store, name: &Incarnation, by: &Incarnation) -> Sealed {
    for _ in 0..TRIES {
        let Ok(found) = store.get("journal", name.as_str()).await else { return Sealed::Unknown };
        let Some(object) = found else { return Sealed::Missing };
        let Ok(mut journal) = serde_json::from_str::<Journal>(&object.value) else {
            return Sealed::Unknown;
        };
        if !journal.seal(by) {
            return Sealed::Before(journal);
        }
        let expect = Expect::Version(object.version);
        let write = store.put("journal", name.as_str(), journal.to_json(), expect).await;
        if let Write::Landed(_) = write {
            return Sealed::Now(journal);
        }
    }
    Sealed::Unknown
}

/// Adds findings to a sealed journal; returns it as it stands after that, with how many were new.
pub async fn add_findings(
    store: &dyn Store,
    journal: Journal,
    findings: &[Finding],
) -> Option<(Journal, usize)> {
    if findings.is_empty() {
        return Some((journal, 0));
    }
    let name = journal.incarnation.clone();
    for _ in 0..TRIES {
        let object = store.get("journal", name.as_str()).await.ok()??;
        let mut journal: Journal = serde_json::from_str(&object.value).ok()?;
        let mut fresh = 0;
        for finding in findings {
            let Finding { n, charged, ended, evidence } = *finding;
            fresh += usize::from(journal.finish(n, charged, ended, evidence) == Ok(true));
        }
        if fresh == 0 {
            return Some((journal, 0));
        }
        let expect = Expect::Version(object.version);
        let write = store.put("journal", name.as_str(), journal.to_json(), expect).await;
        if let Write::Landed(_) = write {
            return Some((journal, fresh));
        }
    }
    None
}

/// Folds a sealed journal into one ledger and frees what its holder can no longer use.
///
/// `journal` must have been read after it was sealed. True once the ledger holds nothing for its
/// incarnation.
pub async fn close_grant(
    store: &dyn Store,
    budget: &Arc<str>,
    journal: &Journal,
    closing: Closing,
) -> bool {
    let holder = &journal.incarnation;
    for _ in 0..TRIES {
        let Ok(found) = store.get("ledger", budget).await else { return false };
        let Some(object) = found else { return true };
        let Ok(ledger) = serde_json::from_str::<Ledger>(&object.value) else { return false };
        let mut next = ledger.clone();
        let whole = next.fold(budget, journal).whole;
        let Some(_) = next.grants.get(holder) else { return whole };
        // What is not folded yet still needs its grant.
        if whole {
            next.close(budget, journal, closing);
        }
        let empty = whole && next.grants.get(holder).is_none_or(|grant| grant.total() == 0);
        if next == ledger {
            return empty;
        }
        let expect = Expect::Version(object.version);
        if let Write::Landed(_) = store.put("ledger", budget, next.to_json(), expect).await {
            return empty;
        }
    }
    false
}

/// Forgets the empty grant of an incarnation whose journal is gone.
pub async fn forget_grant(store: &dyn Store, budget: &Arc<str>, holder: &Incarnation) {
    for _ in 0..TRIES {
        let Ok(Some(object)) = store.get("ledger", budget).await else { return };
        let Ok(mut ledger) = serde_json::from_str::<Ledger>(&object.value) else { return };
        if !ledger.forget(holder) {
            return;
        }
        let expect = Expect::Version(object.version);
        if let Write::Landed(_) = store.put("ledger", budget, ledger.to_json(), expect).await {
            return;
        }
    }
}

/// Budgets in whose ledgers the incarnation of a journal may hold something.
pub fn budgets(journal: &Journal) -> Vec<Arc<str>> {
    let recorded = journal.records.iter().map(|record| record.budget.clone());
    let mut budgets: Vec<Arc<str>> = journal.drawn.iter().cloned().chain(recorded).collect();
    budgets.sort();
    budgets.dedup();
    budgets
}
