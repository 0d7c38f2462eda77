//! One customer's part of a settlement with the book, and what it granted.

use std::sync::Arc;

use ledger::{Granted, Incarnation, Item, Observed, Part};
use tokio::time::Instant;

use super::Wallet;
use crate::tokens::participation::Participation;

/// A box requests more once it holds less than this share of its target.
const REFILL_FACTOR: f64 = 0.6;
/// A box settles in order to return tokens once it holds more than this multiple of its target.
const RETURN_FACTOR: f64 = 2.0;
/// Tokens beyond this multiple of the target are returned with any settlement, since they would be
/// lost if the box died.
const KEEP_FACTOR: f64 = 1.2;
/// Until use has been observed, a box expects requests as large as this fraction of what is
/// unspent, one of them for all boxes together.
const EXPECTED_REQUEST_DIVISOR: u64 = 64;

impl Wallet {
    /// Whether a settlement is due because this box holds too few or too many tokens.
    pub fn is_due(&self) -> bool {
        let (free, target) = (self.own() as f64, self.granted.target as f64);
        let low = free < target * REFILL_FACTOR && self.granted.left > 0;
        self.has_settled && (low || self.is_return_due())
    }

    fn is_return_due(&self) -> bool {
        self.own() as f64 > self.granted.target as f64 * RETURN_FACTOR + self.peak as f64
    }

    /// Whether this box holds more than a settlement should leave here.
    pub(super) fn has_surplus(&self) -> bool {
        self.own() as f64 > self.granted.target as f64 * KEEP_FACTOR
    }

    /// Returns this customer's item of the next settlement. What it reports and returns is taken
    /// out of the account here.
    pub fn item(
        &mut self,
        customer: &Arc<str>,
        participation: Participation,
        now: Instant,
    ) -> Item {
        if participation == Participation::Leaving {
            self.abandon();
        }
        let returned = self.surplus(participation);
        let returned = self.account.remove(Part::Offline, returned);
        let expected = self.granted.unspent.max(self.paid.map_or(0, |(paid, _)| paid))
            / EXPECTED_REQUEST_DIVISOR;
        Item {
            customer: customer.clone(),
            paid: self.paid,
            charged: std::mem::take(&mut self.charged),
            requests: std::mem::take(&mut self.requests),
            lost: std::mem::take(&mut self.lost),
            returned,
            free: self.own(),
            waiting: self.waiting,
            transfers: std::mem::take(&mut self.transfers),
            observed: Observed {
                rate: self.rate.per_second(now),
                largest: self.peak,
                peak: self.peak.max(expected),
                unspent: 0,
            },
        }
    }

    /// Free tokens to return now. Promised ones follow once the promise no longer keeps them.
    fn surplus(&self, participation: Participation) -> u64 {
        match participation {
            Participation::Leaving => self.own(),
            Participation::Retiring => self.disposable(),
            Participation::Active if !self.has_settled || !self.has_surplus() => 0,
            Participation::Active => self.disposable().min(self.own() - self.granted.target),
        }
    }

    /// Applies the result of a settlement with `item` that landed.
    pub fn landed(&mut self, item: &Item, holder: &Incarnation, granted: Option<&Granted>) {
        let to_me = item.transfers.iter().filter(|transfer| transfer.to == *holder);
        self.borrowed -= to_me.map(|transfer| transfer.tokens).sum::<u64>();
        self.paid_changed &= item.paid != self.paid;
        if let Some(granted) = granted {
            self.account.add(Part::Offline, granted.tokens);
            self.granted = granted.clone();
            self.has_settled = true;
        }
    }
}
