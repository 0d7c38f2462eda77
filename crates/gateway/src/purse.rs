//! One customer's tokens in this box.
//!
//! Of the free tokens, those that are `kept` stay untouched: this box promised so to its witness,
//! who can then say after its death that they were not used. They are freed by a later promise.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use ledger::{Account, Granted, Incarnation, Item, Observed, Part, Reservation, Transfer};
use tokio::time::Instant;

use crate::rate::Rate;

/// A box asks for more once it holds less than this share of its target.
const LOW: f64 = 0.6;
/// A box gives tokens back once it holds more than this multiple of its target.
const HIGH: f64 = 2.0;
/// Time for which other boxes that had nothing to spare are not asked again: they settle about as
/// often.
const DRY: Duration = Duration::from_millis(500);
/// Seconds of use that a box keeps when it is asked for tokens, and asks for beyond what one
/// request lacks.
const RESERVE_S: f64 = 1.0;
/// Until use was observed, a box counts on requests as large as this fraction of what is unspent,
/// split over the boxes.
const GUESS: u64 = 64;
/// Seconds of use that a box leaves out of a promise, so that most requests need not wait for a
/// new one: it is lost with the box, and 3% of a budget is what may be lost.
const OPEN_S: f64 = 1.5;
/// A new promise is due once less than this many seconds of use are not kept.
const OPEN_LOW_S: f64 = 0.5;

/// One customer's tokens in this box.
#[derive(Debug, Default)]
pub struct Purse {
    account: Account,
    /// What the operator says is paid, with the version of the configuration.
    pub paid: Option<(u64, u64)>,
    /// Charged and not settled yet.
    charged: u64,
    requests: u64,
    /// Worst cases of requests that wait for tokens.
    pub waiting: u64,
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
    /// Other boxes had nothing to spare: they are not asked before then.
    others_dry_until: Option<Instant>,
    /// One request at a time asks other boxes for this customer.
    pub asking: Arc<tokio::sync::Mutex<()>>,
}

impl Purse {
    /// The operator's word on what is paid.
    pub fn configure(&mut self, paid: Option<u64>, version: u64) {
        if self.paid.map(|(paid, _)| paid) != paid {
            (self.topped_up, self.others_dry_until) = (true, None);
        }
        self.paid = paid.map(|paid| (paid, version));
    }

    /// Tokens that are not held for a request.
    pub fn free(&self) -> u64 {
        self.account.free()
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
        self.charged += charged;
        self.requests += u64::from(charged > 0);
        charged
    }

    /// Passes up to `wanted` tokens on.
    ///
    /// Only tokens that the book knows to be here and that no promise keeps are passed on: whoever
    /// tells of it first, the grant of this box covers it, also when it is dead by then.
    pub fn lend(
        &mut self,
        wanted: u64,
        from: &Incarnation,
        to: &Incarnation,
        now: Instant,
    ) -> Option<Transfer> {
        let reserve = self.rate.over(RESERVE_S, now);
        let spare = self.free().saturating_sub(reserve.max(self.received + self.kept));
        let tokens = self.account.take(Part::Offline, wanted.min(spare));
        if tokens == 0 {
            return None;
        }
        self.given += 1;
        let transfer = Transfer { from: from.clone(), n: self.given, to: to.clone(), tokens };
        self.transfers.push(transfer.clone());
        Some(transfer)
    }

    /// Takes over tokens that another box passed on.
    pub fn receive(&mut self, transfer: Transfer) {
        self.account.give(Part::Offline, transfer.tokens);
        self.received += transfer.tokens;
        self.transfers.push(transfer);
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
        self.known && !self.topped_up && self.free() + self.granted.left < tokens
    }

    /// Whether other boxes had nothing to spare a moment ago.
    pub fn are_others_dry(&self, now: Instant) -> bool {
        self.others_dry_until.is_some_and(|until| until > now)
    }

    /// Other boxes had nothing to spare.
    pub fn note_others_dry(&mut self, now: Instant) {
        self.others_dry_until = Some(now + DRY);
    }

    /// Whether what remains of the budget certainly cannot hold a request of this size.
    pub fn is_exhausted(&self, worst: u64) -> bool {
        let paid = self.paid.map_or(0, |(paid, _)| paid);
        self.known && paid.saturating_sub(self.granted.used + self.charged) < worst
    }

    /// Whether a settlement would change much: tokens run low, or too many are held.
    pub fn is_due(&self) -> bool {
        let (free, target) = (self.free() as f64, self.granted.target as f64);
        let low = free < target * LOW && self.granted.left > 0;
        self.known && (low || self.has_surplus())
    }

    fn has_surplus(&self) -> bool {
        self.free() as f64 > self.granted.target as f64 * HIGH + self.peak as f64
    }

    /// What the next settlement says of this customer. What it reports and returns is out of the
    /// account once planned.
    pub fn item(&mut self, customer: &Arc<str>, boxes: u64, leaves: bool, now: Instant) -> Item {
        if leaves {
            // Work that is given up may have used all that it held.
            self.charged += self.account.tokens(Part::Offline).reserved;
        }
        let returned = self.surplus(leaves);
        let returned = self.account.take(Part::Offline, returned);
        let guess = self.granted.unspent.max(self.paid.map_or(0, |(paid, _)| paid)) / GUESS / boxes;
        Item {
            customer: customer.clone(),
            paid: self.paid,
            charged: std::mem::take(&mut self.charged),
            requests: std::mem::take(&mut self.requests),
            returned,
            free: self.free(),
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
    fn surplus(&self, leaves: bool) -> u64 {
        if leaves {
            return self.free();
        }
        if !self.known || !self.has_surplus() {
            return 0;
        }
        let open = self.free().saturating_sub(self.received + self.kept);
        open.min(self.free() - self.granted.target)
    }

    /// A settlement that told of `item` landed and brought something.
    pub fn landed(&mut self, item: &Item, holder: &Incarnation, brought: Option<&Granted>) {
        let to_me = item.transfers.iter().filter(|transfer| transfer.to == *holder);
        self.received -= to_me.map(|transfer| transfer.tokens).sum::<u64>();
        self.topped_up &= item.paid != self.paid;
        if let Some(granted) = brought {
            self.account.give(Part::Offline, granted.tokens);
            self.granted = granted.clone();
            self.known = true;
        }
    }

    /// Tokens are wanted out of those kept.
    pub fn want(&mut self, tokens: u64) {
        self.wanted += tokens;
    }

    /// Whether a new promise would free tokens that are wanted, or keep many more.
    pub fn is_promise_due(&mut self, now: Instant) -> bool {
        let open = self.open();
        let wanted = self.wanted > 0 || open < self.rate.over(OPEN_LOW_S, now);
        let keepable = self.keepable(now);
        match self.kept.cmp(&keepable) {
            Ordering::Less => keepable > self.kept + self.rate.over(OPEN_S, now),
            Ordering::Equal => false,
            Ordering::Greater => wanted || self.has_surplus(),
        }
    }

    /// Tokens to keep from now on. Until the witness has taken the promise, the one before it
    /// counts as well.
    pub fn promise(&mut self, now: Instant) -> u64 {
        let keeps = self.keepable(now);
        self.wanted = 0;
        self.kept = self.kept.max(keeps);
        keeps
    }

    /// Tokens to keep from now on, as no more requests come: all that are free.
    pub fn promise_all(&mut self) -> u64 {
        self.kept = self.free().saturating_sub(self.received);
        self.kept
    }

    fn keepable(&mut self, now: Instant) -> u64 {
        let open = self.rate.over(OPEN_S, now) + self.wanted;
        let keepable = self.free().saturating_sub(self.received + open);
        match self.has_surplus() {
            // The rest is given back.
            true => keepable.min(self.granted.target),
            false => keepable,
        }
    }

    /// The witness took this promise, or there is none any more.
    pub fn keep(&mut self, tokens: u64) {
        self.kept = tokens;
    }

    /// Tokens that a promise keeps.
    pub fn kept(&self) -> u64 {
        self.kept
    }
}
