//! How much of a budget a box should hold, online and offline.
//!
//! The online part follows the rate of use over a short horizon. It is reclaimed exactly when its
//! holder dies, so the only reason to hold more is to save ledger writes. The offline part serves
//! requests during a partition and is stranded by a crash; its size is the operator's choice.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an operator prefers while the platform is unreachable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Prefer {
    /// Hold much offline: few refusals during a partition, but more tokens stranded by a crash.
    Serve,
    /// Hold little offline.
    #[default]
    Balance,
    /// Hold next to nothing offline: refuse requests rather than strand tokens.
    Conserve,
}

impl Prefer {
    /// Part of the rest of a budget that the whole fleet holds offline, in thousandths.
    pub fn offline_share(self) -> u64 {
        match self {
            Prefer::Serve => 400,
            Prefer::Balance => 70,
            Prefer::Conserve => 10,
        }
    }
}

/// Bounds on what a box holds of one budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Part of the rest of a budget that the whole fleet holds offline, in thousandths.
    pub offline_share: u64,
    /// Seconds of use that the online part covers.
    pub online_horizon: u64,
    /// Time of use that the offline part covers at most.
    pub offline_horizon: Duration,
    /// Number of boxes that may hold a part.
    pub boxes: u64,
    /// Part of the paid amount, in thousandths, below which the offline part shrinks with what is
    /// unspent.
    pub scarcity_permille: u64,
    /// Part of what is unspent, in thousandths, that all boxes hold by their use.
    pub use_permille: u64,
}

/// Offline part after an outage, in thousandths. Nearly all: what is held is also bounded by
/// seconds of use, and tokens in the book are out of reach in the next outage.
const SHARE_PERMILLE_AFTER_OUTAGE: u64 = 950;
/// Part of the paid amount, in thousandths, below which the offline part shrinks after an outage.
/// Low, so that only the last tokens are not hoarded.
const SCARCITY_PERMILLE_AFTER_OUTAGE: u64 = 100;
/// Part of what is unspent that all boxes hold by their use after an outage, in thousandths.
const USE_PERMILLE_AFTER_OUTAGE: u64 = 1_000;

/// Time of use that a box holds right after the platform has become reachable again: that of a few
/// writes, as what a box was just granted is lost if all boxes die now.
const MIN_HORIZON: Duration = Duration::from_millis(250);

impl Policy {
    /// Tokens used within the offline horizon.
    pub fn offline_use(self, rate: u64) -> u64 {
        (u128::from(rate) * self.offline_horizon.as_millis() / 1_000) as u64
    }

    /// Reduces an amount in the first second after an outage.
    pub fn soon_after_outage(self, tokens: u64) -> u64 {
        let part = self.offline_horizon.min(Duration::from_secs(1));
        (u128::from(tokens) * part.as_millis() / 1_000) as u64
    }

    /// Returns the policy after a recent outage, which makes another one likely.
    pub fn after_outage(self) -> Policy {
        Policy {
            offline_share: self.offline_share.max(SHARE_PERMILLE_AFTER_OUTAGE),
            scarcity_permille: self.scarcity_permille.min(SCARCITY_PERMILLE_AFTER_OUTAGE),
            use_permille: self.use_permille.max(USE_PERMILLE_AFTER_OUTAGE),
            ..self
        }
    }

    /// Returns the policy of a box that draws only the tokens that its requests wait for, while the
    /// keeper of its zone holds those for an outage. Boxes that take over for a keeper during an
    /// outage would otherwise go on to hold a share of their own, which nobody uses.
    pub fn on_demand(self) -> Policy {
        Policy { offline_share: 0, ..self }
    }

    /// Returns the policy of a box that has reached the platform for this time: it holds tokens for
    /// an outage of the same length, up to the horizon.
    ///
    /// Failures come in series, so a box is most likely to die shortly after an outage, and with it
    /// all tokens that it was just granted. Over 54 days, most with a loss of all boxes, refusals fell
    /// from 11.6% to 11.5% of what was owed, against the whole horizon at once.
    pub fn reachable_for(self, time: Duration) -> Policy {
        Policy { offline_horizon: self.offline_horizon.min(time + MIN_HORIZON), ..self }
    }
}

/// What a box has observed of one budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observed {
    /// Tokens per second that requests reserved or charged lately.
    pub rate: u64,
    /// Largest worst case of one request lately, in tokens.
    pub largest: u64,
    /// Largest worst case of one request ever, in tokens.
    pub peak: u64,
    /// Tokens paid and not spent, whoever holds them.
    pub unspent: u64,
}

/// Tokens that a box should hold free.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Target {
    pub online: u64,
    pub offline: u64,
}

/// Sizes both parts by what was observed.
///
/// Both shrink with the rest of a budget, so that no box hoards the last tokens.
pub fn target(policy: Policy, observed: Observed) -> Target {
    let boxes = policy.boxes.max(1);
    let even_share = observed.unspent / (boxes * 2);
    let wanted_online = observed.rate * policy.online_horizon;
    let online = wanted_online.max(observed.largest * 4).min(even_share);
    let share = observed.unspent * policy.offline_share / 1_000 / boxes;
    let wanted_offline = policy.offline_use(observed.rate).max(observed.peak * 8);
    Target { online, offline: share.min(wanted_offline) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn offline_parts_of_all_boxes_stay_within_the_share() {
        for (prefer, boxes) in [(Prefer::Serve, 3), (Prefer::Balance, 8), (Prefer::Conserve, 390)] {
            let policy = Policy {
                offline_share: prefer.offline_share(),
                online_horizon: 10,
                offline_horizon: Duration::from_secs(7_200),
                boxes,
                scarcity_permille: 0,
                use_permille: 1_000,
            };
            let observed =
                Observed { rate: 1_000_000, largest: 5_000, peak: 5_000, unspent: 1_000_000 };
            let held = target(policy, observed).offline * boxes;
            assert!(held <= 1_000 * prefer.offline_share(), "{prefer:?} holds {held}");
        }
    }

    #[test]
    fn the_last_tokens_are_not_hoarded() {
        let policy = Policy {
            offline_share: 0,
            online_horizon: 10,
            offline_horizon: Duration::from_secs(7_200),
            boxes: 8,
            scarcity_permille: 0,
            use_permille: 1_000,
        };
        let observed = Observed { rate: 100, largest: 500, peak: 500, unspent: 800 };
        assert_eq!(target(policy, observed).online, 50);
    }
}
