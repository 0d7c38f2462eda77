//! One request in a journal: the intent, and later its outcome.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Evidence, Part, Transfer};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// The caller got its whole answer.
    Answered,
    /// It ran, but the answer broke off or nobody was left to take it.
    Broken,
    /// Nobody can tell, and the declared rule bills nothing; its tokens are spent all the same.
    Waived,
    /// It was never dispatched, or provably not received.
    NotRun,
}

/// Outcome of a record, with its place in the order of outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Position among the outcomes of this journal, from 1.
    pub position: u64,
    /// Tokens charged, at most those reserved.
    pub charged: u64,
    /// How the request ended.
    pub ended: Ended,
    /// What the outcome rests on.
    pub evidence: Evidence,
}

/// The record of one request in a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number given by the incarnation, never used again.
    pub n: u64,
    /// Budget that pays.
    pub budget: Arc<str>,
    /// Customer that asked.
    pub customer: Arc<str>,
    /// Request key, unique for the customer.
    pub key: Arc<str>,
    /// Part of the grant the tokens come from.
    pub part: Part,
    /// Worst case held, in tokens.
    pub reserved: u64,
    /// Endpoint the request goes to, for asking how it ended.
    pub endpoint: Arc<str>,
    /// Outcome, once known.
    #[serde(default)]
    pub outcome: Option<Outcome>,
}

impl Record {
    /// Whether the request may still be running.
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }
}

/// Something that must reach a journal whatever happens to the box that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Offline work, as an intent or with its outcome.
    Record(Record),
    /// Offline tokens received, of a budget.
    Transfer(Arc<str>, Transfer),
}
