//! Bills and the statement that they are folded into.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ended, Incarnation, Part, Record};

/// Kind of the objects that hold pages of bills.
pub const BILLS: &str = "bills";

/// What a bill rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The router that ran the request recorded its outcome.
    Recorded,
    /// Another box carried the record while the platform was away.
    Carried,
    /// The endpoint reported how the run ended.
    Reported,
    /// Nobody could tell; the declared rule was applied.
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
    /// Part of the grant it was paid from.
    pub part: Part,
    /// Tokens charged.
    pub tokens: u64,
    /// How the request ended.
    pub ended: Ended,
    /// What the bill rests on.
    pub evidence: Evidence,
}

impl Bill {
    /// The bill of a record, `None` while it has no outcome or if it never ran.
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

/// Older bills moved out of a ledger, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Bills in the order they were folded.
    pub bills: Vec<Bill>,
}

/// Totals of all bills, and the newest ones whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Number of bills ever folded.
    pub count: u64,
    /// Their tokens.
    pub tokens: u64,
    /// Pages of older bills written so far.
    pub pages: u64,
    /// Bills not yet on a page, oldest first.
    pub recent: Vec<Bill>,
    /// Hashes of the newest keys billed, oldest first, against billing a rerun twice.
    pub keys: Vec<u64>,
}
