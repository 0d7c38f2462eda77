//! Typed events.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process started as a new incarnation.
    Started,
    /// A planned stop began.
    Stopping,
    /// The last request ended and the journal closed.
    Stopped,
    /// A request was read and its caller known.
    Received,
    /// Its worst case was reserved, in tokens.
    Reserved { tokens: u64, offline: bool },
    /// Its intent landed in the journal.
    Recorded,
    /// It was sent to an endpoint.
    Dispatched { endpoint: Arc<str> },
    /// Its caller got the whole answer.
    Answered { tokens: u64 },
    /// It was refused and did not run.
    Refused { reason: Arc<str> },
    /// It was dispatched, but no whole answer came.
    Unknown { reason: Arc<str> },
    /// It was answered from a recorded outcome or joined to a running request.
    Replayed,
    /// Tokens were drawn from or returned to a ledger.
    Drawn { online: u64, offline: u64, returned: u64 },
    /// Outcomes were folded into a statement.
    Folded { bills: u64 },
    /// A journal was sealed.
    Sealed { incarnation: Arc<str> },
    /// This process found its own journal sealed and went on as another incarnation.
    Renewed { incarnation: Arc<str> },
    /// An open record of a sealed journal got an outcome.
    Resolved { incarnation: Arc<str>, tokens: u64 },
    /// Entries carried for another incarnation reached its journal.
    HandedIn { incarnation: Arc<str> },
    /// Offline tokens went to another incarnation.
    Transferred { to: Arc<str>, tokens: u64 },
    /// A version of a resource is in force here.
    Applied { object: Arc<str>, version: u64 },
    /// A resource was not accepted.
    Invalid { object: Arc<str>, reason: Arc<str> },
    /// An endpoint gets no new work.
    Leaving { endpoint: Arc<str> },
    /// An endpoint is passed over after failures.
    Ejected { endpoint: Arc<str> },
    /// The platform stopped answering.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
    /// A peer stopped answering.
    PeerLost { peer: Arc<str> },
    /// A peer answers again.
    PeerBack { peer: Arc<str> },
    /// An order reached an endpoint.
    Ordered { endpoint: Arc<str>, version: u64 },
}

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical time.
    pub at: Timestamp,
    /// Incarnation that saw it.
    pub by: Arc<str>,
    /// Number among that process's events, from 1.
    pub seq: u64,
    /// What happened.
    pub what: EventKind,
    /// Request it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Arc<str>>,
    /// Budget it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget: Option<Arc<str>>,
}

impl Event {
    /// The name of the box.
    pub fn box_name(&self) -> &str {
        self.by.rsplit_once('.').map_or(&self.by, |(name, _)| name)
    }
}
