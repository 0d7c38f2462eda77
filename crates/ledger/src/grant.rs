//! Tokens given to one incarnation, as the ledger keeps them.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Part};

/// The unspent part of a budget that one incarnation holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Usable once an intent has landed, in tokens.
    pub online: u64,
    /// Usable without the platform, in tokens.
    pub offline: u64,
    /// Position of the newest outcome folded from the holder's journal.
    pub folded: u64,
    /// Number of the holder's newest write to this ledger that landed.
    pub write: u64,
    /// The holder's journal is sealed: no more draws.
    #[serde(default)]
    pub sealed: bool,
    /// Tokens a second that the holder used lately, by which what may be held is split.
    #[serde(default)]
    pub rate: u64,
    /// Free tokens the holder lacked at its last write, so that others return surplus.
    #[serde(default)]
    pub wanted: u64,
}

impl Grant {
    /// Tokens of both parts.
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
    /// Incarnation that gave, and debited itself first.
    pub from: Incarnation,
    /// Number the giver chose, unique for it.
    pub n: u64,
    /// Incarnation that received.
    pub to: Incarnation,
    /// Tokens passed on.
    pub tokens: u64,
}
