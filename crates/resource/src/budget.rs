//! Prepaid budgets.

use std::sync::Arc;

use ledger::Prefer;
use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// Rule for a request of which nobody can tell how it ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnresolvedPolicy {
    /// Charge its worst case.
    #[default]
    ChargeReserved,
    /// Bill nothing; the tokens are spent all the same, since the request may have run.
    BillNothing,
}

/// What was paid, in total, and how the fleet treats it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Customer that it belongs to.
    pub customer: Arc<str>,
    /// All tokens ever paid for; a top-up raises it.
    pub paid: u64,
    /// Preference when the platform is out of reach.
    #[serde(default)]
    pub prefer: Prefer,
    /// Share held offline by the whole fleet, in thousandths of what is left; overrides `prefer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offline_share: Option<u64>,
    /// Rule for requests that nobody can account for.
    #[serde(default)]
    pub unresolved: UnresolvedPolicy,
}

/// Largest amount of tokens, so that sums cannot overflow.
const MOST_PAID: u64 = 1 << 50;

impl Budget {
    /// Values out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        if self.paid > MOST_PAID {
            found.push(Violation::new("paid", format!("at most {MOST_PAID} tokens")));
        }
        if self.offline_share.is_some_and(|share| share > 1_000) {
            found.push(Violation::new("offline_share", "between 0 and 1000 thousandths"));
        }
        if !is_name(&self.customer) {
            found.push(Violation::new("customer", "the name of a customer"));
        }
        found
    }

    /// Share that the fleet holds offline, in thousandths.
    pub fn share(&self) -> u64 {
        self.offline_share.unwrap_or_else(|| self.prefer.offline_share())
    }
}
