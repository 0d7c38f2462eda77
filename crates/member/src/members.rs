//! Incarnations as seen through their member objects.

use std::{collections::BTreeMap, sync::Arc};

use ledger::Incarnation;
use serde::{Deserialize, Serialize};

/// What an incarnation says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Region.
    pub region: Arc<str>,
    /// Address for other boxes, empty if it takes no peers.
    #[serde(default)]
    pub peer: Arc<str>,
    /// Platform version up to which it has configuration in force.
    pub watched: u64,
    /// Grows with every sign of life.
    pub beat: u64,
    /// It is being stopped by plan.
    #[serde(default)]
    pub stopping: bool,
}

impl Member {
    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("members always serialize")
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
    /// A member object was read, newly or again.
    pub fn observe(&mut self, member: Member, now: u64) {
        let known = self.known.get_mut(&member.incarnation);
        match known {
            Some(seen) if seen.member == member => {}
            Some(seen) => *seen = Seen { member, at: now },
            None => drop(self.known.insert(member.incarnation.clone(), Seen { member, at: now })),
        }
    }

    /// An incarnation was heard of in another way, such as by a peer's frame.
    pub fn touch(&mut self, incarnation: &Incarnation, now: u64) {
        if let Some(seen) = self.known.get_mut(incarnation) {
            seen.at = now;
        }
    }

    /// A member object was deleted.
    pub fn remove(&mut self, incarnation: &Incarnation) {
        self.known.remove(incarnation);
    }

    /// This box was out of touch: nobody's silence before `now` means anything.
    ///
    /// The paper has the same rule: a replica that could not reach the store takes nobody for
    /// gone, and the absence of others counts again from when its own lease is current.
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

    /// Members with a sign of life within `after` milliseconds.
    pub fn live(&self, now: u64, after: u64) -> impl Iterator<Item = &Member> {
        let live = move |seen: &&Seen| seen.at + after > now;
        self.known.values().filter(live).map(|seen| &seen.member)
    }

    /// Number of boxes that live, at least one.
    pub fn boxes(&self, now: u64, after: u64) -> u64 {
        let mut names: Vec<&str> =
            self.live(now, after).map(|member| member.incarnation.box_name()).collect();
        names.sort_unstable();
        names.dedup();
        names.len().max(1) as u64
    }

    /// Position of `me` among the live members for `key`; 0 is the home.
    pub fn rank(&self, key: &str, me: &Incarnation, now: u64, after: u64) -> usize {
        let names = self.live(now, after).map(|member| member.incarnation.as_str());
        crate::rank(key, me.as_str(), names)
    }

    /// All members, live or not.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|seen| &seen.member)
    }
}
