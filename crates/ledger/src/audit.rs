//! Proof that a book and the bills of its budgets fit together.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::Serialize;

use crate::{Bill, Book, Claim, Grant, Incarnation};

/// One budget, as an audit sees it. All amounts in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Customer whose budget it is.
    pub customer: Arc<str>,
    /// Paid, as far as it is in force.
    pub paid: u64,
    /// Used for certain.
    pub used: u64,
    /// Counted as spent because boxes died with them.
    pub lost: u64,
    /// Held by boxes.
    pub granted: u64,
    /// Held by nobody.
    pub left: u64,
    /// Requests settled.
    pub requests: u64,
    /// Tokens settled for them.
    pub settled: u64,
    /// Requests on bills: those of the last seconds are not written yet, and those that a box had
    /// not written when it died are missing.
    pub billed_requests: u64,
    /// Tokens on bills.
    pub billed: u64,
}

/// What does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// More is spent or held than was paid.
    Overspent {
        /// Customer whose budget it is.
        customer: Arc<str>,
        /// By how many tokens.
        by: u64,
    },
    /// A request stands on two bills.
    BilledTwice {
        /// Customer that is billed.
        customer: Arc<str>,
        /// Key of the request.
        key: Arc<str>,
    },
    /// A bill number was given twice by the same box.
    NumberTwice {
        /// The incarnation.
        by: Arc<str>,
        /// The number.
        n: u64,
    },
}

/// Result of an audit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// One for each budget.
    pub lines: Vec<Line>,
    /// What does not fit; empty if all is well.
    pub findings: Vec<Finding>,
    /// What lives that ended held, of which it is open how much was untouched.
    pub claims: Vec<OpenClaim>,
}

/// What a life that ended held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OpenClaim {
    /// The life.
    pub holder: Incarnation,
    /// Who knows what it left untouched.
    pub witness: Incarnation,
    /// Tokens of all customers.
    pub tokens: u64,
}

impl OpenClaim {
    fn of(book: &Book, holder: &Incarnation, claim: &Claim) -> OpenClaim {
        let grants = book.ledgers.values().filter_map(|ledger| ledger.grants.get(holder));
        let tokens = grants.map(Grant::total).sum();
        OpenClaim { holder: holder.clone(), witness: claim.witness.by.clone(), tokens }
    }
}

/// Compares a book with all bills that were written.
pub fn audit(book: &Book, bills: &[Bill]) -> Audit {
    let claims = book.claims.iter().map(|(holder, claim)| OpenClaim::of(book, holder, claim));
    let mut audit = Audit { claims: claims.collect(), ..Audit::default() };
    let mut billed: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let (mut keys, mut numbers) = (BTreeSet::new(), BTreeSet::new());
    for bill in bills {
        let of = billed.entry(&bill.customer).or_default();
        *of = (of.0 + 1, of.1 + bill.tokens);
        if !keys.insert((&bill.customer, &bill.key)) {
            let (customer, key) = (bill.customer.clone(), bill.key.clone());
            audit.findings.push(Finding::BilledTwice { customer, key });
        }
        if !numbers.insert((bill.by.as_str(), bill.n)) {
            let (by, n) = (bill.by.as_str().into(), bill.n);
            audit.findings.push(Finding::NumberTwice { by, n });
        }
    }
    for (customer, ledger) in &book.ledgers {
        let (billed_requests, billed) = billed.get(&**customer).copied().unwrap_or_default();
        let granted = ledger.granted();
        audit.lines.push(Line {
            customer: customer.clone(),
            paid: ledger.paid,
            used: ledger.spent - ledger.lost,
            lost: ledger.lost,
            granted,
            left: ledger.left(),
            requests: ledger.statement.count,
            settled: ledger.statement.tokens,
            billed_requests,
            billed,
        });
        let by = (ledger.spent + granted).saturating_sub(ledger.paid);
        if by > 0 {
            audit.findings.push(Finding::Overspent { customer: customer.clone(), by });
        }
    }
    audit
}
