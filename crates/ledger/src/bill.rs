//! Bills, and the statement that they are folded into.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ended, Incarnation, Part, Record};

/// Kind of the objects that hold pages of bills.
pub const BILLS: &str = "bills";

/// The evidence for a bill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The router that ran the request recorded its outcome.
    Recorded,
    /// Another box kept the record while the platform was unreachable.
    Carried,
    /// The endpoint reported how the run ended.
    Reported,
    /// The outcome is unknown; the declared rule was applied.
    Ruled,
}

/// One billed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request key, unique for the customer.
    pub key: Arc<str>,
    /// Customer that is billed.
    pub customer: Arc<str>,
    /// Incarnation that ran the request.
    pub by: Incarnation,
    /// Number of the record in that incarnation's journal.
    pub n: u64,
    /// Part of the grant that paid for it.
    pub part: Part,
    pub tokens: u64,
    pub ended: Ended,
    pub evidence: Evidence,
}

impl Bill {
    /// Returns the bill of a record; `None` while it has no outcome, or if the request never ran.
    pub fn of(by: &Incarnation, record: &Record) -> Option<Bill> {
        let outcome = record.outcome.as_ref()?;
        if outcome.ended == Ended::NotRun {
            return None;
        }
        Some(Bill {
            key: record.key.clone(),
            customer: record.customer.clone(),
            by: by.clone(),
            n: record.n,
            part: record.part,
            tokens: if outcome.ended == Ended::Waived { 0 } else { outcome.charged },
            ended: outcome.ended,
            evidence: outcome.evidence,
        })
    }
}

/// Older bills that were moved out of a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Bills in the order in which they were folded.
    pub bills: Vec<Bill>,
}

/// Totals of all bills, and the newest bills themselves.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Number of bills ever folded.
    pub count: u64,
    /// Tokens of all bills ever folded.
    pub tokens: u64,
    /// Number of pages of older bills written so far.
    pub pages: u64,
    /// Bills that are not on a page yet, oldest first.
    pub recent: Vec<Bill>,
    /// Hashes of the newest billed keys, oldest first, so that a rerun is not billed twice.
    pub keys: Vec<u64>,
}
