//! Prepaid budgets.

use std::sync::Arc;

use ledger::Prefer;
use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// How a request whose outcome is unknown is billed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnresolvedPolicy {
    /// Bills the tokens that were reserved for it.
    #[default]
    ChargeReserved,
    /// Bills nothing; the tokens count as spent, because the request may have run.
    BillNothing,
}

/// Prepaid tokens of a customer and the policies for spending them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Customer that paid.
    pub customer: Arc<str>,
    /// Total of all tokens ever paid for; a top-up raises it.
    pub paid: u64,
    /// Whether to serve or to conserve tokens while the platform is unreachable.
    #[serde(default)]
    pub prefer: Prefer,
    /// Tokens that the whole fleet holds offline, in thousandths of what is left; overrides `prefer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offline_share: Option<u64>,
    /// Billing of requests whose outcome is unknown.
    #[serde(default)]
    pub unresolved: UnresolvedPolicy,
}

/// Largest `paid`; keeps sums of tokens from overflowing.
const MAX_PAID_TOKENS: u64 = 1 << 50;

impl Budget {
    /// Returns the values that are out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        if self.paid > MAX_PAID_TOKENS {
            violations.push(Violation::new("paid", format!("at most {MAX_PAID_TOKENS} tokens")));
        }
        if self.offline_share.is_some_and(|share| share > 1_000) {
            violations.push(Violation::new("offline_share", "between 0 and 1000 thousandths"));
        }
        if !is_name(&self.customer) {
            violations.push(Violation::new("customer", "the name of a customer"));
        }
        violations
    }

    /// Tokens that the whole fleet holds offline, in thousandths of what is left.
    pub fn effective_offline_share(&self) -> u64 {
        self.offline_share.unwrap_or_else(|| self.prefer.offline_share())
    }
}
