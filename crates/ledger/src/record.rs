//! One request in a journal: the intent, and later its outcome.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Evidence, Part, Transfer};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// The caller got the whole answer.
    Answered,
    /// The request ran, but the answer broke off or the caller was gone.
    Broken,
    /// The outcome is unknown and the declared rule bills nothing; the tokens count as spent
    /// nevertheless.
    Waived,
    /// The request was never dispatched, or provably not received.
    NotRun,
}

/// The outcome of a record, with its place in the order of outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Position among the outcomes of this journal, starting at 1.
    pub position: u64,
    /// Tokens charged, at most the reserved ones.
    pub charged: u64,
    pub ended: Ended,
    /// The evidence for the outcome.
    pub evidence: Evidence,
}

/// The record of one request in a journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number assigned by the incarnation, never reused.
    pub n: u64,
    /// Budget that pays.
    pub budget: Arc<str>,
    /// Customer that sent the request.
    pub customer: Arc<str>,
    /// Request key, unique for the customer.
    pub key: Arc<str>,
    /// Part of the grant that the tokens come from.
    pub part: Part,
    /// Worst case of the request, in tokens.
    pub reserved: u64,
    /// Endpoint that the request goes to; it can be asked how the request ended.
    pub endpoint: Arc<str>,
    #[serde(default)]
    pub outcome: Option<Outcome>,
}

impl Record {
    /// Whether the request may still be running.
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }
}

/// An entry that must reach a journal even if the box that wrote it dies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An offline request, as an intent or with its outcome.
    Record(Record),
    /// Offline tokens of a budget that were received.
    Transfer(Arc<str>, Transfer),
}
