//! What a settlement with the book says of one customer, and what it brought.

use std::sync::Arc;

use ledger::{Granted, Incarnation, Item, Observed, Part};
use tokio::time::Instant;

use super::Wallet;
use crate::tokens::participation::Participation;

/// A box asks for more once it holds less than this share of its target.
const LOW: f64 = 0.6;
/// A box settles to give tokens back once it holds more than this multiple of its target.
const HIGH: f64 = 2.0;
/// What it holds beyond this multiple goes back with a settlement that is written anyway: it would be lost
/// with the box, and is no use to it.
const SPARE: f64 = 1.2;
/// Until use was observed, a box counts on requests as large as this fraction of what is unspent,
/// one of them for all boxes that draw.
const GUESS: u64 = 64;

impl Wallet {
    /// Whether a settlement would change much: tokens run low, or too many are held.
    pub fn is_due(&self) -> bool {
        let (free, target) = (self.own() as f64, self.granted.target as f64);
        let low = free < target * LOW && self.granted.left > 0;
        self.known && (low || self.has_surplus())
    }

    fn has_surplus(&self) -> bool {
        self.own() as f64 > self.granted.target as f64 * HIGH + self.peak as f64
    }

    /// Whether more is held than a settlement that is written anyway leaves here.
    pub(super) fn exceeds(&self) -> bool {
        self.own() as f64 > self.granted.target as f64 * SPARE
    }

    /// What the next settlement says of this customer. What it reports and returns is out of the
    /// account once planned.
    pub fn item(
        &mut self,
        customer: &Arc<str>,
        participation: Participation,
        now: Instant,
    ) -> Item {
        if participation == Participation::Leaving {
            self.give_up();
        }
        let returned = self.surplus(participation);
        let returned = self.account.take(Part::Offline, returned);
        let guess = self.granted.unspent.max(self.paid.map_or(0, |(paid, _)| paid)) / GUESS;
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
                peak: self.peak.max(guess),
                unspent: 0,
            },
        }
    }

    /// Free tokens to give back now; those that a promise keeps follow once they are not.
    fn surplus(&self, participation: Participation) -> u64 {
        match participation {
            Participation::Leaving => self.own(),
            Participation::Retiring => self.disposable(),
            Participation::Active if !self.known || !self.exceeds() => 0,
            Participation::Active => self.disposable().min(self.own() - self.granted.target),
        }
    }

    /// A settlement that told of `item` landed and brought something.
    pub fn landed(&mut self, item: &Item, holder: &Incarnation, brought: Option<&Granted>) {
        let to_me = item.transfers.iter().filter(|transfer| transfer.to == *holder);
        self.received -= to_me.map(|transfer| transfer.tokens).sum::<u64>();
        self.topped_up &= item.paid != self.paid;
        if let Some(granted) = brought {
            self.account.add(Part::Offline, granted.tokens);
            self.granted = granted.clone();
            self.known = true;
        }
    }
}
