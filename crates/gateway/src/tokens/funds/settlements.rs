//! Settlements with the book: when one is due, what it says, and what it brought.

use std::time::Duration;

use ledger::{Granted, Incarnation, Settlement, Writer};
use tokio::time::Instant;

use super::Funds;
use crate::tokens::{participation::Participation, wallet::Wallet};

impl Funds {
    /// Whether this box has something to settle with the book or holds anything of it.
    pub fn is_of_book(&self) -> bool {
        self.0.state.lock().wallets.values().any(Wallet::is_of_book)
    }

    /// Keeps nothing untouched any more: everything is to be given back.
    pub fn set_retiring(&self, retires: bool) {
        self.0.state.lock().wallets.values_mut().for_each(|wallet| wallet.retires = retires);
        self.0.promise_due.notify_one();
    }

    /// This box ends: what is under way counts as used.
    pub fn give_up(&self) {
        self.0.state.lock().wallets.values_mut().for_each(Wallet::give_up);
    }

    /// Whether a request waits for tokens that a settlement may bring.
    pub fn is_urgent(&self) -> bool {
        let state = self.0.state.lock();
        state.wallets.values().any(|wallet| wallet.waiting > 0 && !wallet.is_dry(wallet.waiting))
    }

    /// Whether a settlement would change much: tokens run low, or too many are held.
    pub fn is_due(&self) -> bool {
        let state = self.0.state.lock();
        state.wallets.values().any(Wallet::is_due)
    }

    /// The next settlement. What it reports and returns is out of the accounts once planned, so
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
        Settlement { holder: holder.clone(), writer, items, earlier, retires, leaves }
    }

    /// Takes over what a settlement that landed gave.
    pub fn landed(&self, settlement: &Settlement, granted: Vec<Granted>) {
        let mut state = self.0.state.lock();
        state.landed = Some(Instant::now());
        for item in &settlement.items {
            let brought = granted.iter().find(|granted| granted.customer == item.customer);
            let wallet = state.wallets.entry(item.customer.clone()).or_default();
            wallet.landed(item, &settlement.holder, brought);
        }
        drop(state);
        self.0.settled.send_modify(|count| *count += 1);
        self.0.promise_due.notify_one();
    }

    /// Time since tokens were last passed on to another box, or wanted of the book.
    pub fn drew_ago(&self) -> Option<Duration> {
        self.0.state.lock().drew.map(|at| at.elapsed())
    }
}
