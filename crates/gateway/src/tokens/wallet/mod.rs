//! One customer's tokens in this box.
//!
//! Of the free tokens, those that are `kept` stay untouched: this box promised so to its witness,
//! who can then say after its death that they were not used. They are freed by a later promise.
//!
//! Tokens come from two sides: granted by the book, or passed on by a keeper. What is used counts
//! on keepers' tokens first. Only a box's own tokens, those of the book, are kept, lent, passed on
//! or given back to the book.

mod transfers;
mod promises;
mod settlements;

use std::{sync::Arc, time::Duration};

use ledger::{Account, Granted, Part, Reservation, Transfer};
use tokio::time::Instant;

use crate::tokens::{
    rate::Rate,
    shares::{Loans, Passed},
};

/// Time for which other boxes that had nothing to spare are not asked again: they settle about as
/// often.
const DRY: Duration = Duration::from_millis(500);
/// Seconds of use that a box keeps when it is asked for tokens, and asks for beyond what one
/// request lacks.
const RESERVE_S: f64 = 1.0;

/// One customer's tokens in this box by what they are for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Parts {
    /// Free, granted by the book and promised to a witness.
    pub kept: u64,
    /// Free, granted by the book and promised to nobody.
    pub open: u64,
    /// Free, passed on by keepers.
    pub of_keepers: u64,
    /// Held for requests under way.
    pub reserved: u64,
    /// Used, and neither the book nor a keeper was told.
    pub unsettled: u64,
    /// Passed on to other boxes and not known to be used or given back.
    pub passed: u64,
}

impl Parts {
    /// What would be lost with this box if no witness answered for it.
    pub fn total(&self) -> u64 {
        let free = self.kept + self.open + self.of_keepers;
        free + self.reserved + self.unsettled + self.passed
    }
}

/// One customer's tokens in this box.
#[derive(Debug, Default)]
pub struct Wallet {
    account: Account,
    /// What the operator says is paid, with the version of the configuration.
    pub paid: Option<(u64, u64)>,
    /// Charged and not settled yet.
    charged: u64,
    requests: u64,
    /// Worst cases of requests that wait for tokens of the book.
    pub waiting: u64,
    /// Worst cases of requests that wait for tokens of a keeper.
    pub lacking: u64,
    rate: Rate,
    peak: u64,
    /// What the last settlement said.
    pub granted: Granted,
    known: bool,
    /// Tokens passed on or received and not planned into a settlement yet.
    transfers: Vec<Transfer>,
    /// Tokens received that no settlement which landed has told of.
    received: u64,
    /// Transfers given so far: the number of the next one.
    given: u64,
    /// Free tokens that stay untouched: the most that the witness may believe to be promised.
    kept: u64,
    /// Tokens that are wanted out of those kept.
    wanted: u64,
    /// More was paid since the last settlement than the book knew of then.
    topped_up: bool,
    /// Other boxes had too little for a request of this size: until then they are not asked for
    /// one as large.
    others_dry: Option<(Instant, u64)>,
    /// Passed on to this box by keepers.
    loans: Loans,
    /// Passed on by this box as a keeper.
    passed: Passed,
    /// Passed on and lost with boxes that died, not settled yet.
    lost: u64,
    /// What the customer is certain to have used, by the word of keepers.
    used_told: Option<u64>,
    /// This box gives back what it holds of the book.
    pub retires: bool,
    /// This box ends: what is under way counts as used already.
    given_up: bool,
    /// One request at a time asks other boxes for this customer.
    pub asking: Arc<tokio::sync::Mutex<()>>,
}

impl Wallet {
    /// The operator's word on what is paid.
    pub fn configure(&mut self, paid: Option<u64>, version: u64) {
        if self.paid.map(|(paid, _)| paid) != paid {
            (self.topped_up, self.others_dry) = (true, None);
        }
        self.paid = paid.map(|paid| (paid, version));
    }

    /// Tokens that are not held for a request.
    pub fn free(&self) -> u64 {
        self.account.free()
    }

    /// Free tokens that the book granted to this box.
    fn own(&self) -> u64 {
        self.free().saturating_sub(self.loans.outstanding())
    }

    /// Own tokens that may be lent or given back to the book.
    fn disposable(&self) -> u64 {
        self.own().saturating_sub(self.received + self.kept)
    }

    /// Whether this box has something to settle with the book or holds anything of it.
    pub fn is_of_book(&self) -> bool {
        let transfers = !self.transfers.is_empty() || self.received > 0;
        let unsettled = self.charged + self.lost > 0 || transfers;
        self.waiting > 0 || unsettled || self.own() > 0 || self.passed.outstanding() > 0
    }

    /// What is here by what it is for.
    pub fn parts(&self) -> Parts {
        let own = self.own();
        let kept = self.kept.min(own);
        Parts {
            kept,
            open: own - kept,
            of_keepers: self.free() - own,
            reserved: self.account.tokens(Part::Offline).reserved,
            unsettled: self.charged + self.loans.untold(),
            passed: self.passed.outstanding(),
        }
    }

    /// Free tokens that no promise keeps.
    pub fn open(&self) -> u64 {
        self.free().saturating_sub(self.kept)
    }

    /// Whether a promise keeps tokens from a request of this size.
    pub fn is_kept_from(&self, worst: u64) -> bool {
        self.kept > 0 && self.open() < worst
    }

    /// Holds the worst case of a request.
    pub fn reserve(&mut self, worst: u64, now: Instant) -> Option<Reservation> {
        self.peak = self.peak.max(worst);
        if self.open() < worst {
            return None;
        }
        let reservation = self.account.reserve(Part::Offline, worst).ok()?;
        self.rate.add(worst, now);
        Some(reservation)
    }

    /// A request ended; returns what it is charged.
    pub fn settle(&mut self, reservation: Reservation, charged: u64) -> u64 {
        let charged = self.account.settle(reservation, charged);
        if !self.given_up {
            self.spend(charged);
        }
        charged
    }

    /// Tokens are used: those of keepers first.
    fn spend(&mut self, tokens: u64) {
        let of_keepers = self.loans.spend(tokens);
        self.charged += tokens - of_keepers;
        self.requests += u64::from(tokens > 0 && of_keepers == 0);
    }

    /// This box ends: work that is given up may have used all that it held, and what was passed on
    /// can't come back.
    pub fn give_up(&mut self) {
        if !self.given_up {
            self.spend(self.account.tokens(Part::Offline).reserved);
            self.lost += self.passed.close_all();
            self.given_up = true;
        }
    }

    /// What a request of this size lacks, with a little for the ones after it.
    pub fn missing(&mut self, worst: u64, now: Instant) -> u64 {
        match worst.saturating_sub(self.open()) {
            0 => 0,
            missing => missing + self.rate.over(RESERVE_S, now),
        }
    }

    /// Whether the book, as the last settlement saw it, cannot bring this box up to `tokens`.
    ///
    /// Until the next regular settlement nothing is asked for then: of 1,020 settlements that were
    /// made all the same, 5 brought enough, and they were two thirds of all calls to the store.
    pub fn is_dry(&self, tokens: u64) -> bool {
        self.known && !self.topped_up && self.own() + self.granted.left < tokens
    }

    /// Whether other boxes had too little for a request of this size a moment ago.
    pub fn are_others_dry(&self, worst: u64, now: Instant) -> bool {
        self.others_dry.is_some_and(|(until, lacked)| until > now && worst >= lacked)
    }

    /// Other boxes had too little for a request of this size.
    pub fn note_others_dry(&mut self, worst: u64, now: Instant) {
        self.others_dry = Some((now + DRY, worst));
    }

    /// Whether what remains of the budget certainly cannot hold a request of this size.
    pub fn is_exhausted(&self, worst: u64) -> bool {
        let paid = self.paid.map_or(0, |(paid, _)| paid);
        let settled = self.known.then_some(self.granted.used + self.charged);
        let used = settled.max(self.used_told);
        used.is_some_and(|used| paid.saturating_sub(used) < worst)
    }
}
