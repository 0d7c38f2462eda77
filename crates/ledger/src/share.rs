//! What a keeper passed to another box, and what became of it there.
//!
//! A keeper is a box that draws tokens from the book and passes them on to boxes near it, which
//! need not write there themselves. Both sides keep one [`Share`] for each pair of lives and each
//! customer, and every message tells its totals, never a difference: messages that are lost, late,
//! repeated or out of order change nothing but the moment at which a total is heard.
//!
//! What keeps a customer from overspending: the keeper takes tokens out of its own account before
//! it tells of them, and its grant in the book goes on to cover them until the other box told that
//! they were used (then they are charged) or given back (then they are the keeper's again). The
//! other box takes out of its account what it gives back, before it tells. So the tokens of a pair
//! are counted at least once at any time. What is never told stays granted to the keeper, or
//! counts as spent.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Totals of one customer's tokens between a keeper and another box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Passed on by the keeper.
    pub given: u64,
    /// Used by the box.
    pub used: u64,
    /// Given back by the box.
    pub returned: u64,
    /// Requests that the box charged.
    pub requests: u64,
}

/// What a keeper hears newly of a box.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Delta {
    /// Tokens used.
    pub used: u64,
    /// Tokens given back.
    pub returned: u64,
    /// Requests charged.
    pub requests: u64,
}

impl Share {
    /// Tokens that are neither used nor given back.
    pub fn outstanding(&self) -> u64 {
        self.given.saturating_sub(self.used + self.returned)
    }

    /// Marks up to `tokens` as used; returns how many were.
    pub fn spend(&mut self, tokens: u64) -> u64 {
        let spent = tokens.min(self.outstanding());
        self.used += spent;
        spent
    }

    /// The keeper hears the totals of the box; returns what is new.
    ///
    /// Totals that do not fit what was given are no word of this pair and change nothing.
    pub fn receive_report(&mut self, told: Share) -> Option<Delta> {
        let (used, returned) = (told.used.max(self.used), told.returned.max(self.returned));
        if used.checked_add(returned)? > self.given {
            return None;
        }
        let requests = told.requests.max(self.requests);
        let news = Delta {
            used: used - self.used,
            returned: returned - self.returned,
            requests: requests - self.requests,
        };
        (self.used, self.returned, self.requests) = (used, returned, requests);
        Some(news)
    }

    /// The box hears the keeper's total; returns what is newly given.
    pub fn receive(&mut self, given: u64) -> u64 {
        let new = given.saturating_sub(self.given);
        self.given += new;
        new
    }
}

/// What a box tells its keeper of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Customer whose budget it is.
    pub customer: Arc<str>,
    /// Totals as the box knows them.
    pub share: Share,
    /// Tokens that all requests lack which wait.
    pub need: u64,
    /// Tokens that one of them lacks: fewer are of no use.
    pub least: u64,
    /// Tokens that the requests after it will lack, if there are plenty.
    pub ahead: u64,
}

/// What a keeper answers of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Supply {
    /// Customer whose budget it is.
    pub customer: Arc<str>,
    /// Total of what was passed on.
    pub given: u64,
    /// Tokens that the customer is certain to have used, as the keeper knows.
    pub used: u64,
    /// Nobody in the keeper's reach has the tokens that were needed.
    pub dry: bool,
}
