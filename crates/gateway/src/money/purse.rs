//! One customer's tokens in this box.
//!
//! Of the free tokens, those that are `kept` stay untouched: this box promised so to its witness,
//! who can then say after its death that they were not used. They are freed by a later promise.
//!
//! Tokens come from two sides: granted by the book, or passed on by a keeper. What is used counts
//! on keepers' tokens first. Only a box's own tokens, those of the book, are kept, lent, passed on
//! or given back to the book.

use std::{cmp::Ordering, sync::Arc, time::Duration};

use ledger::{
    Account, Given, Granted, Incarnation, Item, Observed, Part, Reservation, Share, Told, Transfer,
};
use tokio::time::Instant;

use crate::money::ends::Ends;
use crate::money::{
    rate::Rate,
    shares::{Loans, Passed},
};

/// A box asks for more once it holds less than this share of its target.
const LOW: f64 = 0.6;
/// A box settles to give tokens back once it holds more than this multiple of its target.
const HIGH: f64 = 2.0;
/// What it holds beyond this multiple goes back with a settlement that is written anyway: it would be lost
/// with the box, and is no use to it.
const SPARE: f64 = 1.2;
/// Time for which other boxes that had nothing to spare are not asked again: they settle about as
/// often.
const DRY: Duration = Duration::from_millis(500);
/// Seconds of use that a box keeps when it is asked for tokens, and asks for beyond what one
/// request lacks.
const RESERVE_S: f64 = 1.0;
/// Until use was observed, a box counts on requests as large as this fraction of what is unspent,
/// one of them for all boxes that draw.
const GUESS: u64 = 64;
/// Seconds of use that a box leaves out of a promise, so that most requests need not wait for a
/// new one: it is lost with the box, and 3% of a budget is what may be lost.
const OPEN_S: f64 = 1.5;
/// A new promise is due once less than this many seconds of use are not kept.
const OPEN_LOW_S: f64 = 0.5;

/// Seconds of use that a box gets from its keeper beyond what a request lacks, and keeps: enough
/// for most requests to find their tokens here, and little to be lost with the box.
const AHEAD_S: f64 = 1.5;

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
pub struct Purse {
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

impl Purse {
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
        self.free().saturating_sub(self.loans.rest())
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
        let spare = self.own().saturating_sub(reserve.max(self.received + self.kept));
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
    fn exceeds(&self) -> bool {
        self.own() as f64 > self.granted.target as f64 * SPARE
    }

    /// What the next settlement says of this customer. What it reports and returns is out of the
    /// account once planned.
    pub fn item(&mut self, customer: &Arc<str>, ends: Ends, now: Instant) -> Item {
        if ends == Ends::Leaves {
            self.give_up();
        }
        let returned = self.surplus(ends);
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
    fn surplus(&self, ends: Ends) -> u64 {
        match ends {
            Ends::Leaves => self.own(),
            Ends::Retires => self.disposable(),
            Ends::Not if !self.known || !self.exceeds() => 0,
            Ends::Not => self.disposable().min(self.own() - self.granted.target),
        }
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
            Ordering::Greater => wanted || self.exceeds() || self.retires,
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
        self.kept = self.own().saturating_sub(self.received);
        self.kept
    }

    fn keepable(&mut self, now: Instant) -> u64 {
        let open = self.rate.over(OPEN_S, now) + self.wanted;
        if self.retires {
            return 0;
        }
        let keepable = self.own().saturating_sub(self.received + open);
        match self.exceeds() {
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

    /// What a keeper is told of this customer, and what is wanted of it for a request that waits;
    /// `None` where there is nothing to say. What is given back is out of the account then.
    pub fn tell(
        &mut self,
        customer: &Arc<str>,
        keeper: &Incarnation,
        worst: Option<u64>,
        now: Instant,
    ) -> Option<Told> {
        let ahead = self.rate.over(AHEAD_S, now);
        let lacks = |tokens: u64| tokens.saturating_sub(self.open());
        let least = worst.map_or(0, lacks);
        // One question is for all that wait: of a box with 200 requests a second for one customer,
        // most would wait too long if each asked in turn.
        let need = worst.map_or(0, |worst| lacks(worst.max(self.lacking)));
        if worst.is_none() {
            self.give_back(keeper, ahead);
        }
        let says = need > 0 || self.loans.has_news(keeper);
        let share = self.loans.share(keeper);
        says.then(|| Told { customer: customer.clone(), share, need, least, ahead })
    }

    /// Gives tokens back to a keeper beyond twice what is kept of them: otherwise what requests
    /// did not use would lie in every box.
    fn give_back(&mut self, keeper: &Incarnation, keep: u64) {
        let free = self.open();
        if free > 2 * keep {
            let returned = self.loans.give_back(keeper, free - keep);
            let taken = self.account.take(Part::Offline, returned);
            debug_assert_eq!(taken, returned, "what keepers passed on and is not used is free");
        }
    }

    /// Gives everything back to a keeper that is not held for a request.
    pub fn return_all(&mut self, customer: &Arc<str>, keeper: &Incarnation) -> Option<Told> {
        self.give_back(keeper, 0);
        let share = self.loans.share(keeper);
        let says = self.loans.has_news(keeper);
        says.then(|| Told { customer: customer.clone(), share, need: 0, least: 0, ahead: 0 })
    }

    /// Whether a keeper is to be told something.
    pub fn has_news(&mut self, keeper: &Incarnation, now: Instant) -> bool {
        let idle = self.open() > 2 * self.rate.over(AHEAD_S, now);
        self.loans.has_news(keeper) || (idle && self.loans.share(keeper).rest() > 0)
    }

    /// A keeper answered what it was told.
    pub fn drawn(&mut self, keeper: &Incarnation, told: Share, given: &Given) {
        let new = self.loans.receive(keeper, given.given);
        self.account.give(Part::Offline, new);
        self.loans.heard(keeper, told);
        self.used_told = self.used_told.max(Some(given.used));
    }

    /// Keepers that passed something on.
    pub fn keepers(&self) -> impl Iterator<Item = &Incarnation> {
        self.loans.keepers()
    }

    /// As a keeper: a later life of a box is here, so that its earlier ones are dead.
    pub fn close_earlier(&mut self, than: &Incarnation) {
        self.lost += self.passed.close_earlier(than);
    }

    /// As a keeper: another box tells what became of its tokens. Says whether it was believed.
    pub fn hear(&mut self, from: &Incarnation, told: Share) -> bool {
        let Some(news) = self.passed.hear(from, told) else { return false };
        self.charged += news.used;
        self.requests += news.requests;
        self.account.give(Part::Offline, news.returned);
        true
    }

    /// As a keeper: passes tokens on if there are enough for one request, up to what all need that
    /// wait, and some for those after them.
    pub fn give(&mut self, to: &Incarnation, told: &Told, now: Instant) -> bool {
        let under_way = self.passed.total(to).saturating_sub(told.share.given);
        let least = told.least.saturating_sub(under_way);
        // Tokens that were lent to this box are passed on, too: the book counts them with the
        // lender until either side tells, and never with the box that gets them here.
        let spare = self.own().saturating_sub(self.kept);
        if spare < least || self.passed.is_closed(to) || self.given_up {
            return false;
        }
        let need = told.need.saturating_sub(under_way).min(spare);
        let ahead = if need > 0 { self.ahead(told.ahead, spare - need, now) } else { 0 };
        let tokens = self.account.take(Part::Offline, need + ahead);
        self.passed.give(to, tokens);
        self.rate.add(tokens, now);
        self.peak = self.peak.max(least);
        true
    }

    /// Part of what a box wants ahead that it gets: half of what is here is for others, and where
    /// that does not last for all, each gets its part by use. With equal parts for 18 boxes, one
    /// that had nine tenths of a customer's requests got four of them ahead.
    fn ahead(&mut self, wanted: u64, spare: u64, now: Instant) -> u64 {
        let all = self.rate.over(AHEAD_S, now).max(wanted);
        match all {
            0 => 0,
            all => {
                wanted.min((u128::from(wanted) * u128::from(spare) / 2 / u128::from(all)) as u64)
            }
        }
    }

    /// As a keeper: what a box that asked is answered.
    pub fn given(&self, customer: &Arc<str>, to: &Incarnation, need: u64, now: Instant) -> Given {
        let dry = self.is_dry(need) && self.are_others_dry(need, now);
        let used = self.granted.used + self.charged;
        Given { customer: customer.clone(), given: self.passed.total(to), used, dry }
    }

    /// Tokens passed on as a keeper and not known to be used or given back.
    pub fn outstanding(&self) -> u64 {
        self.passed.outstanding()
    }
}
