//! One customer's tokens on this box.
//!
//! Tokens are granted by the book or passed on by a keeper. A keeper's tokens are spent first. Only
//! a box's own tokens, those granted by the book, are promised, lent, passed on or returned to the
//! book.
//!
//! Some of the free tokens are promised to the witness, which can then confirm after this box's
//! death that they were not used. Only a later promise makes them available to requests.

mod promises;
mod settlements;
mod transfers;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use ledger::{Account, Granted, Incarnation, Part, Reservation, Transfer};
use tokio::time::Instant;

use crate::tokens::{
    rate::Rate,
    shares::{BoxShares, KeeperShares},
};

/// Time for which other boxes are not asked again after they had too few tokens; about the interval
/// of their settlements.
const EXHAUSTED_TTL: Duration = Duration::from_millis(500);
/// Time for which a keeper that had too few tokens and no store is asked last. About the time in
/// which a settlement after an outage brings new ones.
const STORELESS_TTL: Duration = Duration::from_millis(1_000);
/// Seconds of use that a box keeps back when it lends, and asks for beyond what one request lacks.
const RESERVE_S: f64 = 1.0;

/// Largest part of the rest of a rationed budget that one request takes, as a divisor: eight requests
/// of a size are served at least before that size is refused.
const RATION_DIVISOR: u64 = 8;

/// One customer's tokens on this box, by what they are used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Breakdown {
    /// Free, granted by the book and promised to the witness.
    pub promised: u64,
    /// Free, granted by the book and not promised.
    pub unpromised: u64,
    /// Free, passed on by keepers.
    pub of_keepers: u64,
    /// Reserved for requests in progress.
    pub reserved: u64,
    /// Used, and not yet reported to the book or a keeper.
    pub unsettled: u64,
    /// Passed on to other boxes, and not reported as used or returned.
    pub outstanding: u64,
}

impl Breakdown {
    /// Tokens that are lost if this box and its witness die.
    pub fn total(&self) -> u64 {
        let free = self.promised + self.unpromised + self.of_keepers;
        free + self.reserved + self.unsettled + self.outstanding
    }
}

/// One customer's tokens on this box.
#[derive(Debug, Default)]
pub struct Wallet {
    account: Account,
    /// Paid amount, with the version of the configuration that sets it.
    pub paid: Option<(u64, u64)>,
    /// Tokens charged and not planned into a settlement yet.
    charged: u64,
    /// Requests charged and not planned into a settlement yet.
    requests: u64,
    /// Sum of the worst cases of requests that wait for tokens from the book.
    pub waiting: u64,
    /// Sum of the worst cases of requests that wait for tokens from a keeper.
    pub waiting_for_keeper: u64,
    rate: Rate,
    /// Largest worst case of one request so far.
    peak: u64,
    /// Result of the last settlement.
    pub granted: Granted,
    has_settled: bool,
    /// Tokens lent or borrowed, and not planned into a settlement yet.
    transfers: Vec<Transfer>,
    /// Borrowed tokens that no settlement has reported yet.
    borrowed: u64,
    /// Number of the last transfer to another box.
    last_transfer: u64,
    /// Promised free tokens: the highest amount that the witness may have on record.
    promised: u64,
    /// Promised tokens that requests need, to be left out of the next promise.
    needed_promised: u64,
    /// The paid amount has changed since the last settlement.
    paid_changed: bool,
    /// Until this time other boxes are not asked for this many tokens or more, as they had too few.
    others_exhausted: Option<(Instant, u64)>,
    /// Keepers that had too few tokens and no store: until when they are asked last, and for how many
    /// tokens.
    storeless: BTreeMap<Incarnation, (Instant, u64)>,
    /// Tokens that keepers passed on to this box.
    keeper_shares: KeeperShares,
    /// Tokens that this box passed on as a keeper.
    box_shares: BoxShares,
    /// Tokens passed on to boxes that died, not settled yet.
    lost: u64,
    /// Tokens that the customer has certainly used, as reported by keepers.
    reported_used: Option<u64>,
    /// This box returns its tokens to the book.
    pub retiring: bool,
    /// This box is about to stop: all open reservations are charged already.
    abandoned: bool,
    /// Lets one request at a time ask other boxes for this customer's tokens.
    pub ask_lock: Arc<tokio::sync::Mutex<()>>,
}

impl Wallet {
    /// Applies the paid amount of the configuration.
    pub fn configure(&mut self, paid: Option<u64>, version: u64) {
        if self.paid.map(|(paid, _)| paid) != paid {
            (self.paid_changed, self.others_exhausted) = (true, None);
        }
        self.paid = paid.map(|paid| (paid, version));
    }

    /// Tokens that are not reserved for a request.
    pub fn free(&self) -> u64 {
        self.account.free()
    }

    /// Free tokens that the book granted to this box.
    fn own(&self) -> u64 {
        self.free().saturating_sub(self.keeper_shares.outstanding())
    }

    /// Own tokens that may be returned to the book.
    fn disposable(&self) -> u64 {
        self.own().saturating_sub(self.borrowed + self.promised)
    }

    /// Whether this box has something to report to the book or holds tokens granted by it.
    pub fn uses_book(&self) -> bool {
        let transfers = !self.transfers.is_empty() || self.borrowed > 0;
        let unsettled = self.charged + self.lost > 0 || transfers;
        self.waiting > 0 || unsettled || self.own() > 0 || self.box_shares.outstanding() > 0
    }

    /// Returns the tokens by what they are used for.
    pub fn breakdown(&self) -> Breakdown {
        let own = self.own();
        let promised = self.promised.min(own);
        Breakdown {
            promised,
            unpromised: own - promised,
            of_keepers: self.free() - own,
            reserved: self.account.tokens(Part::Offline).reserved,
            unsettled: self.charged + self.keeper_shares.unreported(),
            outstanding: self.box_shares.outstanding(),
        }
    }

    /// Free tokens that are not promised.
    pub fn unpromised(&self) -> u64 {
        self.free().saturating_sub(self.promised)
    }

    /// Whether a promise keeps tokens from a request of this size.
    pub fn is_promise_blocking(&self, worst: u64) -> bool {
        self.promised > 0 && self.unpromised() < worst
    }

    /// Reserves the worst case of a request.
    pub fn reserve(&mut self, worst: u64, now: Instant) -> Option<Reservation> {
        self.peak = self.peak.max(worst);
        if self.unpromised() < worst || self.exceeds_ration(worst) {
            return None;
        }
        let reservation = self.account.reserve(Part::Offline, worst).ok()?;
        self.rate.add(worst, now);
        Some(reservation)
    }

    /// Ends a reservation; returns what is charged.
    pub fn settle(&mut self, reservation: Reservation, charged: u64) -> u64 {
        let charged = self.account.settle(reservation, charged);
        if !self.abandoned {
            self.spend(charged);
        }
        charged
    }

    /// Counts tokens as used, those of keepers first. A request that a keeper's tokens paid for,
    /// even in part, is reported to the keeper and not to the book.
    fn spend(&mut self, tokens: u64) {
        let of_keepers = self.keeper_shares.spend(tokens);
        self.charged += tokens - of_keepers;
        self.requests += u64::from(tokens > 0 && of_keepers == 0);
    }

    /// Charges all open reservations in full, before a planned stop. Tokens that were passed on
    /// cannot return any more and count as lost.
    pub fn abandon(&mut self) {
        if !self.abandoned {
            self.spend(self.account.tokens(Part::Offline).reserved);
            self.lost += self.box_shares.close_all();
            self.abandoned = true;
        }
    }

    /// Returns how many tokens a request of this size lacks, with some for the requests after it.
    pub fn missing(&mut self, worst: u64, now: Instant) -> u64 {
        match worst.saturating_sub(self.unpromised()) {
            0 => 0,
            missing => missing + self.rate.used_in(RESERVE_S, now),
        }
    }

    /// Whether the book could not bring this box up to `tokens` as of the last settlement. If so,
    /// requests wait for no extra settlement, which would load the store and rarely bring enough: of
    /// 1,020 that were made all the same, 5 did, and they were two thirds of all calls.
    pub fn is_book_exhausted(&self, tokens: u64) -> bool {
        self.has_settled && !self.paid_changed && self.own() + self.granted.left < tokens
    }

    /// Whether other boxes recently had too few tokens for a request of this size.
    pub fn are_others_exhausted(&self, worst: u64, now: Instant) -> bool {
        self.others_exhausted.is_some_and(|(until, lacked)| until > now && worst >= lacked)
    }

    /// Records that other boxes had too few tokens for a request of this size.
    pub fn note_others_exhausted(&mut self, worst: u64, now: Instant) {
        self.others_exhausted = Some((now + EXHAUSTED_TTL, worst));
    }

    /// Whether a keeper recently had too few tokens for a request of this size, and no store.
    pub fn is_storeless(&self, keeper: &Incarnation, worst: u64, now: Instant) -> bool {
        let noted = self.storeless.get(keeper);
        noted.is_some_and(|(until, lacked)| *until > now && worst >= *lacked)
    }

    /// Records that a keeper had too few tokens for a request of this size, and no store.
    pub fn note_storeless(&mut self, keeper: &Incarnation, worst: u64, now: Instant) {
        self.storeless.retain(|_, (until, _)| *until > now);
        self.storeless.insert(keeper.clone(), (now + STORELESS_TTL, worst));
    }

    /// Whether the budget is rationed, and a request of this size takes too much of its rest.
    ///
    /// If boxes that died without a witness held more than is left, callers are refused tokens that
    /// the customer paid for, whatever is done. Fewer are refused if no request takes the tokens of
    /// many. Other budgets are not rationed: there a small request that finds nothing left is refused
    /// rightly, but a large one that is refused before it is not.
    pub fn exceeds_ration(&self, worst: u64) -> bool {
        let Granted { unspent, unwitnessed, .. } = self.granted;
        let rationed = self.has_settled && !self.paid_changed && unwitnessed > unspent;
        rationed && worst > unspent / RATION_DIVISOR
    }

    /// Whether the rest of the budget certainly does not cover a request of this size.
    pub fn is_exhausted(&self, worst: u64) -> bool {
        let paid = self.paid.map_or(0, |(paid, _)| paid);
        let settled = self.has_settled.then_some(self.granted.used + self.charged);
        let used = settled.max(self.reported_used);
        used.is_some_and(|used| paid.saturating_sub(used) < worst)
    }
}
