//! Totals of what a keeper passed on to another box, and of what that box did with it.
//!
//! A keeper is a box that draws tokens from the book and passes them on to the boxes near it, which
//! then need not write the book. Both sides keep one [`Share`] for each pair of incarnations and
//! each customer. Every message carries totals, never a difference, so lost, late, repeated and
//! reordered messages only delay when a total becomes known.
//!
//! Overspending is impossible because each token is counted at least once. The keeper debits its
//! own account before it reports a total, and its grant in the book covers the tokens until the
//! other box has reported them as used (then they are charged) or returned (then they are the
//! keeper's again). The other box debits its account before it reports tokens as returned. Tokens
//! that are never reported stay granted to the keeper, or count as spent.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Totals of one customer's tokens between a keeper and another box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Passed on by the keeper.
    #[serde(rename = "given")]
    pub passed_on: u64,
    /// Used by the box.
    pub used: u64,
    /// Returned by the box.
    pub returned: u64,
    /// Requests that the box charged.
    pub requests: u64,
}

/// What a report of a box changes for its keeper.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Delta {
    /// Tokens used.
    pub used: u64,
    /// Tokens returned.
    pub returned: u64,
    /// Requests charged.
    pub requests: u64,
}

impl Share {
    /// Tokens that are neither used nor returned.
    pub fn outstanding(&self) -> u64 {
        self.passed_on.saturating_sub(self.used + self.returned)
    }

    /// Counts up to `tokens` as used; returns how many were.
    pub fn spend(&mut self, tokens: u64) -> u64 {
        let spent = tokens.min(self.outstanding());
        self.used += spent;
        spent
    }

    /// On the keeper: applies the totals that the box reports; returns what changed.
    ///
    /// Totals that exceed what was passed on can't belong to this pair, and change nothing.
    pub fn receive_report(&mut self, report: Share) -> Option<Delta> {
        let (used, returned) = (report.used.max(self.used), report.returned.max(self.returned));
        if used.checked_add(returned)? > self.passed_on {
            return None;
        }
        let requests = report.requests.max(self.requests);
        let delta = Delta {
            used: used - self.used,
            returned: returned - self.returned,
            requests: requests - self.requests,
        };
        (self.used, self.returned, self.requests) = (used, returned, requests);
        Some(delta)
    }

    /// On the box: applies the total that the keeper reports; returns the tokens that are new.
    pub fn receive(&mut self, passed_on: u64) -> u64 {
        let new = passed_on.saturating_sub(self.passed_on);
        self.passed_on += new;
        new
    }
}

/// What a box sends to its keeper for one customer: the totals, and the tokens that it needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    pub customer: Arc<str>,
    /// Totals as the box knows them.
    pub share: Share,
    /// Tokens that all waiting requests lack.
    pub need: u64,
    /// Tokens that one waiting request lacks; fewer are of no use.
    pub least: u64,
    /// Tokens requested for later requests, if there are enough.
    pub ahead: u64,
}

/// A keeper's answer to a [`Demand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Supply {
    pub customer: Arc<str>,
    /// Total of the tokens passed on.
    #[serde(rename = "given")]
    pub passed_on: u64,
    /// Tokens that the customer has certainly used, as known to the keeper.
    pub used: u64,
    /// Neither the keeper nor any box that it reaches has the tokens needed.
    #[serde(rename = "dry")]
    pub exhausted: bool,
}
