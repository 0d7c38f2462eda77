//! Settlements with the book: when one is due, what it contains and what it granted.

use std::time::Duration;

use ledger::{Granted, Incarnation, Settlement, Writer};
use tokio::time::Instant;

use super::Funds;
use crate::tokens::{participation::Participation, wallet::Wallet};

impl Funds {
    /// Whether this box has something to report to the book or holds tokens granted by it.
    pub fn uses_book(&self) -> bool {
        self.0.state.lock().wallets.values().any(Wallet::uses_book)
    }

    /// Sets whether this box returns its tokens to the book. If so, none are promised to the
    /// witness any more.
    pub fn set_retiring(&self, retiring: bool) {
        self.0.state.lock().wallets.values_mut().for_each(|wallet| wallet.retiring = retiring);
        self.0.promise_due.notify_one();
    }

    /// Charges all open reservations in full, as this box is about to stop.
    pub fn abandon(&self) {
        self.0.state.lock().wallets.values_mut().for_each(Wallet::abandon);
    }

    /// Whether a request waits for tokens that a settlement may bring.
    pub fn is_urgent(&self) -> bool {
        let state = self.0.state.lock();
        state
            .wallets
            .values()
            .any(|wallet| wallet.waiting > 0 && !wallet.is_book_exhausted(wallet.waiting))
    }

    /// Whether a settlement is due because this box holds too few or too many tokens.
    pub fn is_due(&self) -> bool {
        let state = self.0.state.lock();
        state.wallets.values().any(Wallet::is_due)
    }

    /// Plans the next settlement. What it reports and returns is taken out of the wallets here, so
    /// it must land, however long that takes.
    pub fn plan(
        &self,
        holder: &Incarnation,
        writer: Writer,
        participation: Participation,
    ) -> Settlement {
        let now = Instant::now();
        let mut state = self.0.state.lock();
        let limited = state.wallets.iter_mut().filter(|(_, wallet)| wallet.paid.is_some());
        let items = limited.map(|(customer, wallet)| wallet.item(customer, participation, now));
        let (items, earlier) = (items.collect(), Vec::new());
        let (retires, leaves) =
            (participation == Participation::Retiring, participation == Participation::Leaving);
        Settlement {
            holder: holder.clone(),
            writer,
            items,
            unused_by_earlier: earlier,
            retires,
            withholds: false,
            leaves,
        }
    }

    /// Applies what a settlement that landed granted.
    pub fn landed(&self, settlement: &Settlement, granted: Vec<Granted>) {
        let mut state = self.0.state.lock();
        state.last_landed = Some(Instant::now());
        for item in &settlement.items {
            let of_customer = granted.iter().find(|granted| granted.customer == item.customer);
            let wallet = state.wallets.entry(item.customer.clone()).or_default();
            wallet.landed(item, &settlement.holder, of_customer);
        }
        drop(state);
        self.0.settled.send_modify(|count| *count += 1);
        self.0.promise_due.notify_one();
    }

    /// Returns the time since tokens were last passed on to another box, or requested from the
    /// book.
    pub fn since_last_draw(&self) -> Option<Duration> {
        self.0.state.lock().last_draw.map(|at| at.elapsed())
    }
}
