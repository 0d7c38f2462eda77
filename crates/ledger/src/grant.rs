//! Tokens granted to one incarnation, as the ledger records them.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Part};

/// The unspent part of a budget that one incarnation holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Usable after an intent has landed, in tokens.
    pub online: u64,
    /// Usable without the platform, in tokens.
    pub offline: u64,
    /// Position of the newest outcome folded from the holder's journal.
    pub folded: u64,
    /// Number of the holder's newest write to this ledger that landed.
    pub write: u64,
    /// The holder's journal is sealed, so it can draw no more.
    #[serde(default)]
    pub sealed: bool,
    /// Tokens per second that the holder used lately; grants are split in proportion to it.
    #[serde(default)]
    pub rate: u64,
    /// Free tokens that the holder lacked at its last write, so that others return their surplus.
    #[serde(default)]
    pub wanted: u64,
}

impl Grant {
    pub fn total(&self) -> u64 {
        self.online + self.offline
    }

    pub(crate) fn part_mut(&mut self, part: Part) -> &mut u64 {
        match part {
            Part::Online => &mut self.online,
            Part::Offline => &mut self.offline,
        }
    }
}

/// Offline tokens passed from one incarnation to another without the platform.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Transfer {
    /// Incarnation that gave the tokens, and debited itself first.
    pub from: Incarnation,
    /// Number assigned by the giver, unique for it.
    pub n: u64,
    /// Incarnation that receives the tokens.
    pub to: Incarnation,
    pub tokens: u64,
}
