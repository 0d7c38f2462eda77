//! Recovery of an incarnation that seems dead: seals its journal, resolves open records, folds the
//! outcomes and frees its grants.
//!
//! Any box may take any step at any time, also concurrently with others: each step is an idempotent
//! conditional update.

use std::sync::Arc;

use ledger::{Closing, Ended, Evidence, Incarnation, Journal, Ledger};
use objects::{Expect, Store, Write};

/// Write conflicts after which a step is left for the next round.
const MAX_ATTEMPTS: u32 = 6;

/// An outcome found for an open record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finding {
    /// Number of the open record.
    pub n: u64,
    /// Tokens charged.
    pub charged: u64,
    /// How the request ended.
    pub ended: Ended,
    /// How the outcome is known.
    pub evidence: Evidence,
}

/// Result of sealing a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sealed {
    /// This call sealed it.
    Now(Journal),
    /// It had been sealed or closed already.
    Before(Journal),
    /// There is no journal: nothing was ever recorded, or the recovery is complete.
    Missing,
    /// The platform was unreachable, the journal is malformed, or there were too many conflicts.
    Unknown,
}

/// Seals the journal of `name`; if several boxes do, the first seal counts.
pub async fn seal(store: &dyn Store, name: &Incarnation, by: &Incarnation) -> Sealed {
    for _ in 0..MAX_ATTEMPTS {
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

/// Adds findings to a sealed journal; returns the journal, and how many findings were new.
pub async fn add_findings(
    store: &dyn Store,
    journal: Journal,
    findings: &[Finding],
) -> Option<(Journal, usize)> {
    if findings.is_empty() {
        return Some((journal, 0));
    }
    let name = journal.incarnation.clone();
    for _ in 0..MAX_ATTEMPTS {
        let object = store.get("journal", name.as_str()).await.ok()??;
        let mut journal: Journal = serde_json::from_str(&object.value).ok()?;
        let mut new_findings = 0;
        for finding in findings {
            let Finding { n, charged, ended, evidence } = *finding;
            new_findings += usize::from(journal.finish(n, charged, ended, evidence) == Ok(true));
        }
        if new_findings == 0 {
            return Some((journal, 0));
        }
        let expect = Expect::Version(object.version);
        let write = store.put("journal", name.as_str(), journal.to_json(), expect).await;
        if let Write::Landed(_) = write {
            return Some((journal, new_findings));
        }
    }
    None
}

/// Folds a sealed journal into one ledger and frees the tokens that its incarnation can no longer use.
///
/// `journal` must have been read after it was sealed. Returns whether the ledger holds nothing more
/// for the incarnation.
pub async fn close_grant(
    store: &dyn Store,
    budget: &Arc<str>,
    journal: &Journal,
    closing: Closing,
) -> bool {
    let holder = &journal.incarnation;
    for _ in 0..MAX_ATTEMPTS {
        let Ok(found) = store.get("ledger", budget).await else { return false };
        let Some(object) = found else { return true };
        let Ok(ledger) = serde_json::from_str::<Ledger>(&object.value) else { return false };
        let mut next = ledger.clone();
        let whole = next.fold(budget, journal).whole;
        let Some(_) = next.grants.get(holder) else { return whole };
        // Outcomes that are not folded yet still need the grant.
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

/// Removes the empty grant of an incarnation whose journal has been deleted.
pub async fn forget_grant(store: &dyn Store, budget: &Arc<str>, holder: &Incarnation) {
    for _ in 0..MAX_ATTEMPTS {
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

/// Budgets in whose ledgers the incarnation of a journal may have a grant.
pub fn budgets(journal: &Journal) -> Vec<Arc<str>> {
    let recorded = journal.records.iter().map(|record| record.budget.clone());
    let mut budgets: Vec<Arc<str>> = journal.drawn.iter().cloned().chain(recorded).collect();
    budgets.sort();
    budgets.dedup();
    budgets
}
