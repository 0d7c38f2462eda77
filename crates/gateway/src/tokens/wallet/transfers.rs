//! One customer's tokens between boxes: what keepers lend each other, and both sides of what they pass on.

use std::sync::Arc;

use ledger::{Demand, Incarnation, Part, Share, Supply, Transfer};
use tokio::time::Instant;

use super::{RESERVE_S, Wallet};

/// Seconds of use that a box gets from its keeper beyond what a request lacks, and keeps: enough
/// for most requests to find their tokens here, and little to be lost with the box.
const AHEAD_S: f64 = 1.5;

impl Wallet {
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
        self.account.add(Part::Offline, transfer.tokens);
        self.received += transfer.tokens;
        self.transfers.push(transfer);
    }

    /// What a keeper is told of this customer, and what is wanted of it for a request that waits;
    /// `None` where there is nothing to say. What is given back is out of the account then.
    pub fn demands(
        &mut self,
        customer: &Arc<str>,
        keeper: &Incarnation,
        worst: Option<u64>,
        now: Instant,
    ) -> Option<Demand> {
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
        says.then(|| Demand { customer: customer.clone(), share, need, least, ahead })
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
    pub fn return_all(&mut self, customer: &Arc<str>, keeper: &Incarnation) -> Option<Demand> {
        self.give_back(keeper, 0);
        let share = self.loans.share(keeper);
        let says = self.loans.has_news(keeper);
        says.then(|| Demand { customer: customer.clone(), share, need: 0, least: 0, ahead: 0 })
    }

    /// Whether a keeper is to be told something.
    pub fn has_news(&mut self, keeper: &Incarnation, now: Instant) -> bool {
        let idle = self.open() > 2 * self.rate.over(AHEAD_S, now);
        self.loans.has_news(keeper) || (idle && self.loans.share(keeper).outstanding() > 0)
    }

    /// A keeper answered what it was told.
    pub fn drawn(&mut self, keeper: &Incarnation, told: Share, given: &Supply) {
        let new = self.loans.receive(keeper, given.given);
        self.account.add(Part::Offline, new);
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
    pub fn receive_report(&mut self, from: &Incarnation, told: Share) -> bool {
        let Some(news) = self.passed.receive_report(from, told) else { return false };
        self.charged += news.used;
        self.requests += news.requests;
        self.account.add(Part::Offline, news.returned);
        true
    }

    /// As a keeper: passes tokens on if there are enough for one request, up to what all need that
    /// wait, and some for those after them.
    pub fn pass_on(&mut self, to: &Incarnation, told: &Demand, now: Instant) -> bool {
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
        self.passed.pass_on(to, tokens);
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
    pub fn given(&self, customer: &Arc<str>, to: &Incarnation, need: u64, now: Instant) -> Supply {
        let dry = self.is_dry(need) && self.are_others_dry(need, now);
        let used = self.granted.used + self.charged;
        Supply { customer: customer.clone(), given: self.passed.total(to), used, dry }
    }

    /// Tokens passed on as a keeper and not known to be used or given back.
    pub fn outstanding(&self) -> u64 {
        self.passed.outstanding()
    }
}
