//! Checks that a book and the bills of its budgets are consistent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::Serialize;

use crate::{Bill, Book, Claim, Grant, Incarnation};

/// One budget in an audit. All amounts in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Line {
    pub customer: Arc<str>,
    /// Paid, as far as it is in force.
    pub paid: u64,
    /// Certainly used.
    pub used: u64,
    /// Counted as spent because boxes died with them.
    pub lost: u64,
    /// Held by boxes.
    pub granted: u64,
    /// Held by no box.
    pub left: u64,
    /// Number of settled requests.
    pub requests: u64,
    /// Tokens settled for these requests.
    pub settled: u64,
    /// Number of billed requests. Bills of the last second are not written yet, and those whose
    /// holders all died before they wrote them are missing.
    pub billed_requests: u64,
    /// Tokens on bills.
    pub billed: u64,
}

/// An inconsistency.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// More was spent or granted than was paid.
    Overspent {
        customer: Arc<str>,
        /// Tokens beyond what was paid.
        by: u64,
    },
    /// A request has two bills.
    BilledTwice {
        customer: Arc<str>,
        /// Key of the request.
        key: Arc<str>,
    },
    /// Two bills of an incarnation have the same number.
    NumberTwice { by: Arc<str>, n: u64 },
}

/// Result of an audit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// One line for each budget.
    pub lines: Vec<Line>,
    /// Inconsistencies; empty if there are none.
    pub findings: Vec<Finding>,
    /// Open claims: tokens held by dead incarnations, of which it is unknown how many were unused.
    pub claims: Vec<OpenClaim>,
}

/// The tokens of a dead incarnation whose witness has not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OpenClaim {
    /// The dead incarnation.
    pub holder: Incarnation,
    /// The witness that knows how many of the tokens were unused.
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
