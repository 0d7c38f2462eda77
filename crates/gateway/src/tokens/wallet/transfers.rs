//! One customer's tokens between boxes: tokens that keepers lend each other, and both sides of what
//! a keeper passes on.

use std::sync::Arc;

use ledger::{Demand, Incarnation, Part, Share, Supply, Transfer};
use tokio::time::Instant;

use super::{RESERVE_S, Wallet};

/// Seconds of use that a box requests from its keeper beyond what a request lacks, and keeps in
/// reserve. Enough for most requests to find their tokens here, while little is lost if the box
/// dies.
const AHEAD_S: f64 = 1.5;

impl Wallet {
    /// Lends up to `wanted` tokens to another box.
    ///
    /// Only tokens that the book has granted to this box and that are not promised are lent.
    /// Whichever side reports the transfer first, this box's grant covers it, even if the box has
    /// died since.
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

    /// Adds tokens that another box lent.
    pub fn receive(&mut self, transfer: Transfer) {
        self.account.add(Part::Offline, transfer.tokens);
        self.received += transfer.tokens;
        self.transfers.push(transfer);
    }

    /// Returns the report that is due to a keeper for this customer, with the tokens that a waiting
    /// request needs; `None` if there is nothing to report. Tokens that it returns are taken out of
    /// the account here.
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
        // One question covers all waiting requests. If each asked in turn, most of them would time
        // out on a busy box.
        let need = worst.map_or(0, |worst| lacks(worst.max(self.lacking)));
        if worst.is_none() {
            self.give_back(keeper, ahead);
        }
        let says = need > 0 || self.loans.has_news(keeper);
        let share = self.loans.share(keeper);
        says.then(|| Demand { customer: customer.clone(), share, need, least, ahead })
    }

    /// Returns tokens to a keeper if more than twice `keep` are free, and leaves `keep` of them.
    /// Otherwise every box would accumulate tokens that its requests did not use.
    fn give_back(&mut self, keeper: &Incarnation, keep: u64) {
        let free = self.open();
        if free > 2 * keep {
            let returned = self.loans.give_back(keeper, free - keep);
            let taken = self.account.take(Part::Offline, returned);
            debug_assert_eq!(taken, returned, "unused tokens of keepers are free");
        }
    }

    /// Returns all tokens of a keeper that are not reserved.
    pub fn return_all(&mut self, customer: &Arc<str>, keeper: &Incarnation) -> Option<Demand> {
        self.give_back(keeper, 0);
        let share = self.loans.share(keeper);
        let says = self.loans.has_news(keeper);
        says.then(|| Demand { customer: customer.clone(), share, need: 0, least: 0, ahead: 0 })
    }

    /// Whether a report to a keeper is due.
    pub fn has_news(&mut self, keeper: &Incarnation, now: Instant) -> bool {
        let idle = self.open() > 2 * self.rate.over(AHEAD_S, now);
        self.loans.has_news(keeper) || (idle && self.loans.share(keeper).outstanding() > 0)
    }

    /// Applies a keeper's answer to a report.
    pub fn drawn(&mut self, keeper: &Incarnation, told: Share, given: &Supply) {
        let new = self.loans.receive(keeper, given.given);
        self.account.add(Part::Offline, new);
        self.loans.heard(keeper, told);
        self.used_told = self.used_told.max(Some(given.used));
    }

    /// Returns the keepers that have passed tokens on to this box.
    pub fn keepers(&self) -> impl Iterator<Item = &Incarnation> {
        self.loans.keepers()
    }

    /// On a keeper: closes the accounts of earlier incarnations of a box, which are dead since a
    /// later one is running.
    pub fn close_earlier(&mut self, than: &Incarnation) {
        self.lost += self.passed.close_earlier(than);
    }

    /// On a keeper: applies another box's report. Returns whether it was accepted.
    pub fn receive_report(&mut self, from: &Incarnation, told: Share) -> bool {
        let Some(news) = self.passed.receive_report(from, told) else { return false };
        self.charged += news.used;
        self.requests += news.requests;
        self.account.add(Part::Offline, news.returned);
        true
    }

    /// On a keeper: passes tokens on if they are enough for one request, up to the needs of all
    /// waiting requests and some for later ones. Returns whether it did.
    pub fn pass_on(&mut self, to: &Incarnation, told: &Demand, now: Instant) -> bool {
        let under_way = self.passed.total(to).saturating_sub(told.share.given);
        let least = told.least.saturating_sub(under_way);
        // Borrowed tokens may be passed on as well: the book counts them with the lender until one
        // side reports the transfer, and never with the box that gets them here.
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

    /// Returns how much of what a box requests ahead it gets. Half of the spare tokens is for other
    /// boxes; if the rest does not last for all, it is split by use, since equal parts would starve
    /// the busiest box.
    fn ahead(&mut self, wanted: u64, spare: u64, now: Instant) -> u64 {
        let all = self.rate.over(AHEAD_S, now).max(wanted);
        match all {
            0 => 0,
            all => {
                wanted.min((u128::from(wanted) * u128::from(spare) / 2 / u128::from(all)) as u64)
            }
        }
    }

    /// On a keeper: returns the answer to another box's report.
    pub fn given(&self, customer: &Arc<str>, to: &Incarnation, need: u64, now: Instant) -> Supply {
        let dry = self.is_dry(need) && self.are_others_dry(need, now);
        let used = self.granted.used + self.charged;
        Supply { customer: customer.clone(), given: self.passed.total(to), used, dry }
    }

    /// Tokens passed on as a keeper, and not reported as used or returned.
    pub fn outstanding(&self) -> u64 {
        self.passed.outstanding()
    }
}
