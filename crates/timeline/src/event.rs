//! Events of the timeline.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// What happened, with its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A process started as a new incarnation.
    Started,
    /// A graceful shutdown began.
    Stopping,
    /// A graceful shutdown ended: no requests are left and the journal is closed.
    Stopped,
    /// A request was read and its caller authenticated.
    Received,
    /// Tokens for its highest possible cost were reserved.
    Reserved { tokens: u64, offline: bool },
    /// Its record was written to the journal.
    Recorded,
    /// It was sent to an endpoint.
    Dispatched { endpoint: Arc<str> },
    /// Its caller received the complete answer.
    Answered { tokens: u64 },
    /// It was rejected and did not run.
    Refused { reason: Arc<str> },
    /// It was dispatched, but no complete answer arrived.
    Unknown { reason: Arc<str> },
    /// It was answered from a recorded outcome or joined a running request with the same key.
    Replayed,
    /// Tokens were drawn from or returned to a ledger.
    Drawn { online: u64, offline: u64, returned: u64 },
    /// Outcomes were merged into a statement as bills.
    Folded { bills: u64 },
    /// A journal was sealed: its incarnation can write no more to it.
    Sealed { incarnation: Arc<str> },
    /// This process found its own journal sealed and continues as a new incarnation.
    Renewed { incarnation: Arc<str> },
    /// An open record of a sealed journal was given an outcome.
    Resolved { incarnation: Arc<str>, tokens: u64 },
    /// Entries kept on behalf of another incarnation were written to its journal.
    HandedIn { incarnation: Arc<str> },
    /// Offline tokens were transferred to another incarnation.
    Transferred { to: Arc<str>, tokens: u64 },
    /// A version of a resource came into force in this process.
    Applied { object: Arc<str>, version: u64 },
    /// A resource failed validation.
    Invalid { object: Arc<str>, reason: Arc<str> },
    /// An endpoint gets no new requests.
    Leaving { endpoint: Arc<str> },
    /// An endpoint was ejected after failures.
    Ejected { endpoint: Arc<str> },
    /// The platform became unreachable.
    PlatformLost,
    /// The platform is reachable again.
    PlatformBack,
    /// A peer became unreachable.
    PeerLost { peer: Arc<str> },
    /// A peer is reachable again.
    PeerBack { peer: Arc<str> },
    /// An order was delivered to an endpoint.
    Ordered { endpoint: Arc<str>, version: u64 },
}

/// An event of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical time.
    pub at: Timestamp,
    /// Incarnation that recorded it.
    pub by: Arc<str>,
    /// Sequence number among the events of that process, from 1.
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
    /// Name of the box that recorded it.
    pub fn box_name(&self) -> &str {
        self.by.rsplit_once('.').map_or(&self.by, |(name, _)| name)
    }
}
