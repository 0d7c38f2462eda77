//! A book that came back from an older copy of the store: what landed since is written again by the boxes that wrote it.
//!
//! All settlements that land are counted in the book, so each box knows after which one its own landed. The first write
//! after a return notes the count of the copy. A box whose settlements came later restores them with its next write,
//! with the grants of then: the tokens are in its hands or spent. Until all boxes had the time for that, nothing new
//! is granted, as what the copy shows as left may be granted already.

use serde::{Deserialize, Serialize};

use crate::{Book, Granted, Ledger, Settlement};

/// The newest return of the store from a copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// How often the store had come back then.
    pub era: u64,
    /// Number of settlements that had landed, as the copy shows.
    pub landed: u64,
}

impl Return {
    pub(crate) fn is_none(&self) -> bool {
        *self == Return::default()
    }
}

/// A settlement of this box that landed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Landed {
    pub settlement: Settlement,
    pub granted: Vec<Granted>,
    /// Era of the store in which it landed.
    pub era: u64,
    /// Number of settlements that had landed, with this one.
    pub landed: u64,
}

impl Landed {
    /// Whether it is missing from the book since this return.
    pub fn is_missing_after(&self, returned: Return) -> bool {
        self.era < returned.era && self.landed > returned.landed
    }
}

impl Book {
    /// Notes the era of the store that shows this book.
    pub fn note_era(&mut self, era: u64) {
        if self.returned.era < era {
            self.returned = Return { era, landed: self.landed };
        }
    }

    /// Writes a settlement again that is missing from this book.
    pub fn restore(&mut self, Landed { settlement, granted, .. }: &Landed) {
        let holder = &settlement.holder;
        if !self.writers.contains_key(holder) {
            self.add_writer(holder, &settlement.writer);
        }
        settlement.unused_by_earlier.iter().for_each(|unused| self.close_claim(unused));
        for item in &settlement.items {
            let receivers_died: Vec<bool> =
                item.transfers.iter().map(|transfer| self.is_replaced(&transfer.to)).collect();
            let ledger: &mut Ledger = self.ledgers.entry(item.customer.clone()).or_default();
            if let Some((paid, version)) = item.paid {
                ledger.apply_paid(paid, version);
            }
            for (transfer, died) in item.transfers.iter().zip(receivers_died) {
                // A giver that has not restored its grant yet reports the transfer itself.
                let _ = ledger.count_transfer(transfer, died);
            }
            let of_customer = granted.iter().find(|granted| granted.customer == item.customer);
            ledger.restore(holder, item, of_customer.map_or(0, |granted| granted.tokens));
        }
    }
}
