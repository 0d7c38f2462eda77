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
        let reserve = self.rate.used_in(RESERVE_S, now);
        let spare = self.own().saturating_sub(reserve.max(self.borrowed + self.promised));
        let tokens = self.account.remove(Part::Offline, wanted.min(spare));
        if tokens == 0 {
            return None;
        }
        self.last_transfer += 1;
        let transfer =
            Transfer { from: from.clone(), n: self.last_transfer, to: to.clone(), tokens };
        self.transfers.push(transfer.clone());
        Some(transfer)
    }

    /// Adds tokens that another box lent.
    pub fn receive(&mut self, transfer: Transfer) {
        self.account.add(Part::Offline, transfer.tokens);
        self.borrowed += transfer.tokens;
        self.transfers.push(transfer);
    }

    /// Returns the demand to send to a keeper for this customer, with the tokens that a waiting
    /// request needs; `None` if there is nothing to report. Tokens that it returns are taken out of
    /// the account here.
    pub fn demand(
        &mut self,
        customer: &Arc<str>,
        keeper: &Incarnation,
        worst: Option<u64>,
        now: Instant,
    ) -> Option<Demand> {
        let ahead = self.rate.used_in(AHEAD_S, now);
        let lacks = |tokens: u64| tokens.saturating_sub(self.unpromised());
        let least = worst.map_or(0, lacks);
        // One demand covers all waiting requests. If each asked in turn, most of them would time
        // out on a busy box.
        let need = worst.map_or(0, |worst| lacks(worst.max(self.waiting_for_keeper)));
        if worst.is_none() {
            self.return_surplus(keeper, ahead);
        }
        let due = need > 0 || self.keeper_shares.has_unreported(keeper);
        let share = self.keeper_shares.share(keeper);
        due.then(|| Demand { customer: customer.clone(), share, need, least, ahead })
    }

    /// Returns tokens to a keeper if more than twice `keep` are free, and leaves `keep` of them.
    /// Otherwise every box would accumulate tokens that its requests did not use.
    fn return_surplus(&mut self, keeper: &Incarnation, keep: u64) {
        let free = self.unpromised();
        if free > 2 * keep {
            let returned = self.keeper_shares.return_tokens(keeper, free - keep);
            let taken = self.account.remove(Part::Offline, returned);
            debug_assert_eq!(taken, returned, "unused tokens of keepers are free");
        }
    }

    /// Returns all tokens of a keeper that are not reserved.
    pub fn return_all(&mut self, customer: &Arc<str>, keeper: &Incarnation) -> Option<Demand> {
        self.return_surplus(keeper, 0);
        let share = self.keeper_shares.share(keeper);
        let due = self.keeper_shares.has_unreported(keeper);
        due.then(|| Demand { customer: customer.clone(), share, need: 0, least: 0, ahead: 0 })
    }

    /// Whether used or idle tokens are to be reported to a keeper.
    pub fn has_unreported(&mut self, keeper: &Incarnation, now: Instant) -> bool {
        let idle = self.unpromised() > 2 * self.rate.used_in(AHEAD_S, now);
        self.keeper_shares.has_unreported(keeper)
            || (idle && self.keeper_shares.share(keeper).outstanding() > 0)
    }

    /// Applies a keeper's answer to a demand with the `reported` totals.
    pub fn receive_supply(&mut self, keeper: &Incarnation, reported: Share, supply: &Supply) {
        let new = self.keeper_shares.receive(keeper, supply.passed_on);
        self.account.add(Part::Offline, new);
        self.keeper_shares.acknowledge(keeper, reported);
        self.reported_used = self.reported_used.max(Some(supply.used));
    }

    /// Returns the keepers that have passed tokens on to this box.
    pub fn keepers(&self) -> impl Iterator<Item = &Incarnation> {
        self.keeper_shares.keepers()
    }

    /// On a keeper: closes the accounts of earlier incarnations of a box, which are dead since a
    /// later one is running.
    pub fn close_earlier(&mut self, than: &Incarnation) {
        self.lost += self.box_shares.close_earlier(than);
    }

    /// On a keeper: applies the totals that another box reports. Returns whether they were
    /// accepted.
    pub fn receive_report(&mut self, from: &Incarnation, reported: Share) -> bool {
        let Some(delta) = self.box_shares.receive_report(from, reported) else { return false };
        self.charged += delta.used;
        self.requests += delta.requests;
        self.account.add(Part::Offline, delta.returned);
        true
    }

    /// On a keeper: passes tokens on if they are enough for one request, up to the needs of all
    /// waiting requests and some for later ones. Returns whether it did.
    pub fn pass_on(&mut self, to: &Incarnation, demand: &Demand, now: Instant) -> bool {
        let in_transit = self.box_shares.total(to).saturating_sub(demand.share.passed_on);
        let least = demand.least.saturating_sub(in_transit);
        // Borrowed tokens may be passed on as well: the book counts them with the lender until one
        // side reports the transfer, and never with the box that gets them here.
        let spare = self.own().saturating_sub(self.promised);
        if spare < least
            || self.exceeds_ration(demand.least)
            || self.box_shares.is_closed(to)
            || self.abandoned
        {
            return false;
        }
        let need = demand.need.saturating_sub(in_transit).min(spare);
        let ahead = if need > 0 { self.ahead(demand.ahead, spare - need, now) } else { 0 };
        let tokens = self.account.remove(Part::Offline, need + ahead);
        self.box_shares.pass_on(to, tokens);
        self.rate.add(tokens, now);
        self.peak = self.peak.max(least);
        true
    }

    /// On a keeper: counts a demand that it could not meet like use. Otherwise it would hold nothing
    /// for the customer when the caller comes back, since only what was passed on shows its use.
    pub fn count_unmet(&mut self, demand: &Demand, now: Instant) {
        if !self.is_book_exhausted(demand.least) {
            self.rate.add(demand.least, now);
            self.peak = self.peak.max(demand.least);
        }
    }

    /// Returns how much of what a box requests ahead it gets. Half of the spare tokens is for other
    /// boxes; if the rest does not last for all, it is split by use, since equal parts would starve
    /// the busiest box: of 18 boxes one had nine tenths of a customer's requests.
    fn ahead(&mut self, wanted: u64, spare: u64, now: Instant) -> u64 {
        let all = self.rate.used_in(AHEAD_S, now).max(wanted);
        match all {
            0 => 0,
            all => {
                wanted.min((u128::from(wanted) * u128::from(spare) / 2 / u128::from(all)) as u64)
            }
        }
    }

    /// On a keeper: returns the answer to another box's demand.
    pub fn supply(&self, customer: &Arc<str>, to: &Incarnation, need: u64, now: Instant) -> Supply {
        let exhausted = self.exceeds_ration(need)
            || self.is_book_exhausted(need) && self.are_others_exhausted(need, now);
        let used = self.granted.used + self.charged;
        Supply { customer: customer.clone(), passed_on: self.box_shares.total(to), used, exhausted }
    }

    /// Tokens passed on as a keeper, and not reported as used or returned.
    pub fn outstanding(&self) -> u64 {
        self.box_shares.outstanding()
    }
}
