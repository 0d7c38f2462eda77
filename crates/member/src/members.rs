//! Incarnations as seen through their member objects.

use std::{collections::BTreeMap, sync::Arc};

use ledger::Incarnation;
use serde::{Deserialize, Serialize};

/// State that an incarnation publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub incarnation: Incarnation,
    pub zone: Arc<str>,
    pub region: Arc<str>,
    /// Address for other boxes; empty if it serves none.
    #[serde(default)]
    pub peer: Arc<str>,
    /// Platform version up to which it has configuration in force.
    pub watched: u64,
    /// Heartbeat counter.
    pub beat: u64,
    /// Whether a planned stop has begun.
    #[serde(default)]
    pub stopping: bool,
}

impl Member {
    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a member always serializes")
    }
}

#[derive(Debug, Clone)]
struct Seen {
    member: Member,
    at: u64,
}

/// All incarnations known to one box. Times are milliseconds of its monotonic clock.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<Incarnation, Seen>,
}

impl Members {
    /// Records a member object that was read; only a changed one counts as a heartbeat.
    pub fn observe(&mut self, member: Member, now: u64) {
        let known = self.known.get_mut(&member.incarnation);
        match known {
            Some(seen) if seen.member == member => {}
            Some(seen) => *seen = Seen { member, at: now },
            None => drop(self.known.insert(member.incarnation.clone(), Seen { member, at: now })),
        }
    }

    /// Records another sign of life, such as a message from the incarnation.
    pub fn touch(&mut self, incarnation: &Incarnation, now: u64) {
        if let Some(seen) = self.known.get_mut(incarnation) {
            seen.at = now;
        }
    }

    /// Removes an incarnation whose member object was deleted.
    pub fn remove(&mut self, incarnation: &Incarnation) {
        self.known.remove(incarnation);
    }

    /// Restarts the silence of all members at `now`.
    ///
    /// For a box that was disconnected itself: it received no heartbeats, so their absence proves
    /// nothing.
    pub fn reset_silence(&mut self, now: u64) {
        for seen in self.known.values_mut() {
            seen.at = now;
        }
    }

    /// Incarnations other than `me` without a sign of life for `after` milliseconds.
    pub fn silent(&self, me: &Incarnation, now: u64, after: u64) -> Vec<Incarnation> {
        let silent = |(name, seen): &(&Incarnation, &Seen)| *name != me && seen.at + after <= now;
        self.known.iter().filter(silent).map(|(name, _)| name.clone()).collect()
    }

    /// Members with a sign of life within the last `after` milliseconds.
    pub fn live(&self, now: u64, after: u64) -> impl Iterator<Item = &Member> {
        let live = move |seen: &&Seen| seen.at + after > now;
        self.known.values().filter(live).map(|seen| &seen.member)
    }

    /// Number of live boxes, at least one.
    pub fn boxes(&self, now: u64, after: u64) -> u64 {
        let mut names: Vec<&str> =
            self.live(now, after).map(|member| member.incarnation.box_name()).collect();
        names.sort_unstable();
        names.dedup();
        names.len().max(1) as u64
    }

    /// Position of `me` among the live members for `key`; 0 is the owner.
    pub fn rank(&self, key: &str, me: &Incarnation, now: u64, after: u64) -> usize {
        let names = self.live(now, after).map(|member| member.incarnation.as_str());
        crate::rank(key, me.as_str(), names)
    }

    /// All members, live or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|seen| &seen.member)
    }
}
