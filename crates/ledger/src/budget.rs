//! The shared object of one budget: what is paid, granted and spent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    Bill, Grant, Incarnation, Item, Journal, Page, Part, RangeSet, Record, Statement, Transfer,
};

/// Number of bills on one page.
pub const BILLS_PER_PAGE: usize = 200;
/// Number of billed keys that are remembered, so that a rerun is not billed twice.
const MAX_KEYS: usize = 4_000;
/// Most bills kept in a ledger; then a fold waits until pages of them are written. A value of the
/// store holds 1 MB.
const MAX_RECENT_BILLS: usize = 2_000;
/// Number of ended holders that are remembered.
const MAX_ENDED_HOLDERS: usize = 64;

/// Why a transition is not possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Fewer tokens than requested are left to grant.
    #[snafu(display("the budget lacks {missing} tokens"))]
    Exhausted { missing: u64 },
    /// The holder's journal is sealed, or the holder has ended.
    #[snafu(display("the grant of this incarnation is sealed or has ended"))]
    Sealed,
    /// More tokens than the grant holds: the caller violated an invariant.
    #[snafu(display("{tokens} tokens exceed what the grant holds"))]
    ExceedsGrant { tokens: u64 },
}

/// Tokens requested or returned in one write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Draw {
    /// Tokens requested for the online part.
    pub online: u64,
    /// Tokens requested for the offline part.
    pub offline: u64,
    /// Tokens of the online part that are returned, already debited from the account.
    pub return_online: u64,
    /// Tokens of the offline part that are returned, already debited from the account.
    pub return_offline: u64,
    /// Tokens that the holder lacks and could not draw.
    pub wanted: u64,
}

/// How a grant is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// The journal is sealed: the online part returns, except for what open online intents reserve.
    Sealed,
    /// An operator declared the box destroyed: the offline part returns, too.
    Destroyed,
}

/// Result of a fold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Folded {
    /// Number of outcomes folded.
    pub outcomes: usize,
    /// Whether the whole journal is folded now.
    pub whole: bool,
}

/// The ledger of one budget. All amounts in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Paid amount, as far as it is in force.
    pub paid: u64,
    /// Paid amount of the operator's resource; below `paid` while a reduction waits.
    pub paid_wanted: u64,
    /// Version of the operator's resource that was applied last.
    pub paid_version: u64,
    /// Spent by folded outcomes, by charges of holders, and with boxes that died.
    pub spent: u64,
    /// Part of `spent` that no customer is billed for: reruns of a billed request.
    pub absorbed: u64,
    /// Part of `spent` that boxes held when they died: it is unknown whether it was used.
    #[serde(default)]
    pub lost: u64,
    /// Part of `lost` for which no witness answered, as it had died, too.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unwitnessed: u64,
    /// Unspent grants by holder.
    pub grants: BTreeMap<Incarnation, Grant>,
    pub statement: Statement,
    /// Holders that ended their grants themselves, oldest first. Nothing of theirs can arrive any
    /// more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Incarnation>,
    /// Numbers of the counted transfers between boxes, by giver. Kept after the giver is gone, as
    /// the receiver may report a transfer later.
    #[serde(rename = "passed", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counted_transfers: BTreeMap<Incarnation, RangeSet>,
    /// Transfers applied from journals, while the giver or the receiver still has a grant.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub transfers: BTreeSet<Transfer>,
}

/// For fields that are omitted when zero.
fn is_zero(tokens: &u64) -> bool {
    *tokens == 0
}

impl Ledger {
    /// Tokens granted and not spent.
    pub fn granted(&self) -> u64 {
        self.grants.values().map(Grant::total).sum()
    }

    /// Tokens that no box holds.
    pub fn left(&self) -> u64 {
        self.paid.saturating_sub(self.spent + self.granted())
    }

    /// Tokens paid and not known to be spent, whoever holds them.
    pub fn unspent(&self) -> u64 {
        self.paid_wanted.saturating_sub(self.spent)
    }

    /// Whether no more is spent and granted than was paid.
    pub fn is_sound(&self) -> bool {
        self.spent + self.granted() <= self.paid
    }

    /// Applies the operator's paid amount, unless a newer version was applied already.
    ///
    /// An increase takes effect at once. A decrease stops at what is spent or granted, and goes on
    /// as grants return.
    pub fn apply_paid(&mut self, paid: u64, version: u64) -> bool {
        if version <= self.paid_version {
            return false;
        }
        self.paid_version = version;
        self.paid_wanted = paid;
        self.paid = self.paid.max(paid);
        self.lower_paid();
        true
    }

    fn lower_paid(&mut self) {
        let committed = self.spent + self.granted();
        self.paid = self.paid_wanted.max(committed.min(self.paid));
    }

    /// Grants tokens to `holder` and takes back those that it returns, as its write number `write`.
    pub fn draw(&mut self, holder: &Incarnation, draw: Draw, write: u64) -> Result<(), Error> {
        if self.ended.contains(holder) {
            return Err(Error::Sealed);
        }
        let mut grant = self.grants.get(holder).cloned().unwrap_or_default();
        let returned = draw.return_online + draw.return_offline;
        // The seal has freed these tokens already; returning them again would free those that open
        // intents reserve.
        if grant.sealed && draw.online + draw.offline + returned > 0 {
            return Err(Error::Sealed);
        }
        if draw.return_online > grant.online || draw.return_offline > grant.offline {
            return Err(Error::ExceedsGrant { tokens: returned });
        }
        let wanted = draw.online + draw.offline;
        let left = self.left() + returned;
        if wanted > left {
            return Err(Error::Exhausted { missing: wanted - left });
        }
        grant.online = grant.online + draw.online - draw.return_online;
        grant.offline = grant.offline + draw.offline - draw.return_offline;
        grant.write = write;
        grant.wanted = draw.wanted;
        self.grants.insert(holder.clone(), grant);
        self.lower_paid();
        Ok(())
    }

    /// Folds the outcomes of a journal that are newer than those folded before.
    ///
    /// Folding the same journal again changes nothing. Outcomes and transfers that depend on a
    /// transfer in another journal are left for a later fold.
    pub fn fold(&mut self, budget: &str, journal: &Journal) -> Folded {
        if self.ended.contains(&journal.incarnation) {
            return Folded { outcomes: 0, whole: true };
        }
        let transfers = journal.transfers.iter().filter(|(name, _)| &**name == budget);
        let applied = transfers.map(|(_, transfer)| self.apply_transfer(transfer));
        let waiting = applied.filter(Result::is_err).count();
        let folded = self.grants.get(&journal.incarnation).map_or(0, |grant| grant.folded);
        let fresh = journal.outcomes_after(budget, folded);
        let mut outcomes = 0;
        for (record, position) in &fresh {
            let full = self.statement.recent.len() >= MAX_RECENT_BILLS;
            if full || self.fold_one(&journal.incarnation, record, *position).is_err() {
                break;
            }
            outcomes += 1;
        }
        self.lower_paid();
        Folded { outcomes, whole: outcomes == fresh.len() && waiting == 0 }
    }

    fn fold_one(&mut self, by: &Incarnation, record: &Record, position: u64) -> Result<(), Error> {
        let charged = record.outcome.as_ref().map_or(0, |outcome| outcome.charged);
        let grant = self.grants.entry(by.clone()).or_default();
        let part = grant.part_mut(record.part);
        *part = part.checked_sub(charged).ok_or(Error::ExceedsGrant { tokens: charged })?;
        grant.folded = position;
        self.spent += charged;
        match Bill::of(by, record) {
            None => {}
            Some(bill) if self.statement.is_billed(&bill) => self.absorbed += charged,
            Some(bill) => {
                self.absorbed += charged - bill.tokens;
                self.statement.add(bill);
            }
        }
        Ok(())
    }

    /// Moves the offline tokens of a transfer in a journal from giver to receiver, once. Returns
    /// whether it did.
    pub fn apply_transfer(&mut self, transfer: &Transfer) -> Result<bool, Error> {
        if self.transfers.contains(transfer) {
            return Ok(false);
        }
        let giver = self.grants.entry(transfer.from.clone()).or_default();
        let rest = giver.offline.checked_sub(transfer.tokens);
        giver.offline = rest.ok_or(Error::ExceedsGrant { tokens: transfer.tokens })?;
        // Tokens for a holder that has ended go back to the budget.
        if !self.ended.contains(&transfer.to) {
            self.grants.entry(transfer.to.clone()).or_default().offline += transfer.tokens;
        }
        self.transfers.insert(transfer.clone());
        Ok(true)
    }

    /// Frees the tokens that the holder of `journal` can no longer use; returns how many.
    ///
    /// The journal must have been read after it was sealed, and folded into this ledger.
    pub fn close(&mut self, budget: &str, journal: &Journal, closing: Closing) -> u64 {
        let held = journal.held(budget, Part::Online);
        let held_offline = journal.held(budget, Part::Offline);
        if self.ended.contains(&journal.incarnation) {
            return 0;
        }
        let Some(grant) = self.grants.get_mut(&journal.incarnation) else { return 0 };
        let before = grant.total();
        grant.sealed = true;
        grant.online = grant.online.min(held);
        if closing == Closing::Destroyed {
            grant.offline = grant.offline.min(held_offline);
        }
        let freed = before - grant.total();
        self.lower_paid();
        freed
    }

    /// Ends the grant of a holder that stops: all of it returns, and nothing of it can be used
    /// later. Returns the tokens freed.
    ///
    /// Everything that the holder ever did must have been folded.
    pub fn end(&mut self, holder: &Incarnation) -> u64 {
        let freed = self.grants.remove(holder).map_or(0, |grant| grant.total());
        if self.ended.len() == MAX_ENDED_HOLDERS {
            self.ended.remove(0);
        }
        self.ended.push(holder.clone());
        self.lower_paid();
        freed
    }

    /// Moves tokens that `holder` charged from its offline part to `spent`, with the number of
    /// requests that they paid for. Returns the tokens that nothing covers.
    ///
    /// Tokens that its grant does not cover were counted as lost with an earlier holder, and are
    /// known to be used now. A box never charges more than that; if it does, they count as spent all
    /// the same, as they are used.
    pub fn charge(&mut self, holder: &Incarnation, tokens: u64, requests: u64) -> u64 {
        let held = self.grants.get_mut(holder);
        let covered = held.map_or(0, |grant| {
            let covered = tokens.min(grant.offline);
            grant.offline -= covered;
            covered
        });
        let found = (tokens - covered).min(self.lost);
        self.lost -= found;
        self.spent += tokens - found;
        self.statement.count += requests;
        self.statement.tokens += tokens;
        tokens - covered - found
    }

    /// Writes again what a settlement of `holder` reported and was granted. What its grant does not cover counts as spent
    /// all the same: another box may restore the part that it passed on later.
    pub(crate) fn restore(&mut self, holder: &Incarnation, item: &Item, granted: u64) {
        let grant = self.grants.entry(holder.clone()).or_default();
        let used = item.charged + item.lost + item.returned;
        grant.offline = (grant.offline + granted).saturating_sub(used);
        self.spent += item.charged + item.lost;
        self.lost += item.lost;
        self.statement.count += item.requests;
        self.statement.tokens += item.charged;
        self.lower_paid();
    }

    /// Counts tokens as spent that `holder` passed on to boxes that died.
    pub fn count_lost(&mut self, holder: &Incarnation, tokens: u64) {
        let Some(held) = self.grants.get_mut(holder) else { return };
        let lost = tokens.min(held.offline);
        held.offline -= lost;
        self.spent += lost;
        self.lost += lost;
    }

    /// Counts offline tokens that one box lent to another, once, whichever of them reports it.
    ///
    /// If `receiver_died`, the tokens are lost with it.
    pub fn count_transfer(
        &mut self,
        transfer: &Transfer,
        receiver_died: bool,
    ) -> Result<(), Error> {
        let exceeds_grant = Error::ExceedsGrant { tokens: transfer.tokens };
        if self
            .counted_transfers
            .get(&transfer.from)
            .is_some_and(|numbers| numbers.contains(transfer.n))
        {
            return Ok(());
        }
        match self.grants.get_mut(&transfer.from) {
            Some(giver) => {
                giver.offline = giver.offline.checked_sub(transfer.tokens).ok_or(exceeds_grant)?
            }
            // The giver died, and these tokens were written off with its grant.
            None => {
                self.lost = self.lost.checked_sub(transfer.tokens).ok_or(exceeds_grant)?;
                self.spent -= transfer.tokens;
            }
        }
        self.counted_transfers.entry(transfer.from.clone()).or_default().insert(transfer.n);
        match receiver_died {
            true => {
                self.spent += transfer.tokens;
                self.lost += transfer.tokens;
            }
            // The receiver ended without these tokens, so it never got them.
            false if self.ended.contains(&transfer.to) => {}
            false => {
                self.grants.entry(transfer.to.clone()).or_default().offline += transfer.tokens;
            }
        }
        Ok(())
    }

    /// Counts the grant of a dead holder as spent, except for `unused` tokens that it certainly
    /// did not use. Returns the tokens lost.
    pub fn write_off(&mut self, holder: &Incarnation, unused: u64) -> u64 {
        let held = self.grants.remove(holder).map_or(0, |grant| grant.total());
        let lost = held.saturating_sub(unused);
        self.spent += lost;
        self.lost += lost;
        self.lower_paid();
        lost
    }

    /// Forgets a grant that is empty and sealed.
    pub fn forget(&mut self, holder: &Incarnation) -> bool {
        let empty = self.grants.get(holder).is_some_and(|grant| grant.total() == 0 && grant.sealed);
        if empty {
            self.grants.remove(holder);
            let grants = &self.grants;
            let known = |who: &Incarnation| grants.contains_key(who);
            self.transfers.retain(|transfer| known(&transfer.from) || known(&transfer.to));
        }
        empty
    }

    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("ledgers always serialize")
    }

    /// Returns the full pages of bills that are to be written before they leave the ledger, oldest
    /// first.
    pub fn full_pages(&self) -> Vec<(u64, Page)> {
        let pages = self.statement.recent.chunks_exact(BILLS_PER_PAGE);
        let numbered = (self.statement.pages..).zip(pages);
        numbered.map(|(number, bills)| (number, Page { bills: bills.to_vec() })).collect()
    }

    /// Drops the bills of page `number`, which was written.
    pub fn drop_page(&mut self, number: u64) -> bool {
        let fits = self.statement.pages == number && self.statement.recent.len() >= BILLS_PER_PAGE;
        if fits {
            self.statement.recent.drain(..BILLS_PER_PAGE);
            self.statement.pages += 1;
        }
        fits
    }

    /// Tokens that holders other than `me` lack.
    pub fn wanted_by_others(&self, me: &Incarnation) -> u64 {
        let others = self.grants.iter().filter(|(holder, _)| *holder != me);
        others.map(|(_, grant)| grant.wanted).sum()
    }

    /// Offline tokens of sealed holders: stranded until they return or the box is declared
    /// destroyed.
    pub fn stranded(&self) -> BTreeMap<Incarnation, u64> {
        let sealed = self.grants.iter().filter(|(_, grant)| grant.sealed && grant.offline > 0);
        sealed.map(|(holder, grant)| (holder.clone(), grant.offline)).collect()
    }
}

impl Statement {
    fn is_billed(&self, bill: &Bill) -> bool {
        self.keys.contains(&key_hash(&bill.customer, &bill.key))
    }

    fn add(&mut self, bill: Bill) {
        self.count += 1;
        self.tokens += bill.tokens;
        if self.keys.len() >= MAX_KEYS {
            self.keys.drain(..MAX_KEYS / 4);
        }
        self.keys.push(key_hash(&bill.customer, &bill.key));
        self.recent.push(bill);
    }

    /// Whether a request of `customer` with `key` was billed lately.
    pub fn knows(&self, customer: &str, key: &str) -> bool {
        self.keys.contains(&key_hash(customer, key))
    }
}

fn key_hash(customer: &str, key: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(customer.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}

/// Name of a page of older bills.
pub fn page_name(budget: &str, number: u64) -> Arc<str> {
    format!("{budget}.{number:06}").into()
}
