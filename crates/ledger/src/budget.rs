//! The fleet's object for one budget: what is paid, what is granted, what is spent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Bill, Grant, Incarnation, Journal, Page, Part, RangeSet, Record, Statement, Transfer};

/// Bills on one page.
pub const BILLS_PER_PAGE: usize = 200;
/// Keys remembered against billing a rerun twice.
const KEYS: usize = 4_000;
/// Bills kept in a ledger before a fold waits for pages: a value holds 1 MB.
const RECENT: usize = 2_000;
/// Holders remembered as ended.
const ENDED: usize = 64;

/// Why a transition is not possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Not that many tokens are left to grant.
    #[snafu(display("{missing} tokens more than the budget has left"))]
    Exhausted { missing: u64 },
    /// The holder's journal is sealed.
    #[snafu(display("the journal of this incarnation is sealed"))]
    Sealed,
    /// A charge above what its grant still holds: a broken invariant of the caller.
    #[snafu(display("a charge of {tokens} tokens does not fit its grant"))]
    Misfit { tokens: u64 },
}

/// Tokens wanted or returned in one write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Draw {
    /// Tokens more for the online part.
    pub online: u64,
    /// Tokens more for the offline part.
    pub offline: u64,
    /// Tokens of the online part given back, already taken out of the account.
    pub return_online: u64,
    /// Tokens of the offline part given back, already taken out of the account.
    pub return_offline: u64,
    /// Tokens the holder lacks and could not draw.
    pub wanted: u64,
}

/// How a grant ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// The journal is sealed: what open online intents hold stays, the rest of online returns.
    Sealed,
    /// An operator declared the box destroyed: the offline part returns too.
    Destroyed,
}

/// What a fold did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Folded {
    /// Outcomes folded.
    pub outcomes: usize,
    /// Whether everything in the journal is folded now.
    pub whole: bool,
}

/// The ledger of one budget. All amounts in tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Paid, as far as it is in force.
    pub paid: u64,
    /// What the operator's resource says, below `paid` while a reduction waits.
    pub paid_wanted: u64,
    /// Version of the operator's resource applied last.
    pub paid_version: u64,
    /// Spent by folded outcomes.
    pub spent: u64,
    /// Part of `spent` that no customer is billed for: reruns of a billed request.
    pub absorbed: u64,
    /// Part of `spent` that boxes held when they died: nobody knows whether it was used.
    #[serde(default)]
    pub lost: u64,
    /// Part of `lost` of which no witness knew anything: it died too.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unwitnessed: u64,
    /// Unspent grants by holder.
    pub grants: BTreeMap<Incarnation, Grant>,
    /// Bills.
    pub statement: Statement,
    /// Holders that ended by their own word lately, the oldest first: nothing of theirs can come.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Incarnation>,
    /// Numbers of the tokens passed on between boxes that are counted here, by giver. Kept also
    /// when the giver is gone: whoever received tokens may tell so later.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub passed: BTreeMap<Incarnation, RangeSet>,
    /// Transfers applied, while their giver or receiver still has a grant.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub transfers: BTreeSet<Transfer>,
}

/// For fields that most ledgers need not carry.
fn is_zero(tokens: &u64) -> bool {
    *tokens == 0
}

impl Ledger {
    /// Tokens granted and not spent.
    pub fn granted(&self) -> u64 {
        self.grants.values().map(Grant::total).sum()
    }

    /// Tokens that nobody holds.
    pub fn left(&self) -> u64 {
        self.paid.saturating_sub(self.spent + self.granted())
    }

    /// Whether the promise to the customer holds.
    pub fn is_sound(&self) -> bool {
        self.spent + self.granted() <= self.paid
    }

    /// Takes over what the operator paid, unless a newer version was applied already.
    ///
    /// An increase is in force at once. A decrease goes no lower than what is spent or granted,
    /// and further as grants return.
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

    /// Gives tokens to `holder` and takes back what it returns, as its write number `write`.
    pub fn draw(&mut self, holder: &Incarnation, draw: Draw, write: u64) -> Result<(), Error> {
        if self.ended.contains(holder) {
            return Err(Error::Sealed);
        }
        let mut grant = self.grants.get(holder).cloned().unwrap_or_default();
        let returned = draw.return_online + draw.return_offline;
        // What was free at the seal is freed already: returning it again would free what open
        // intents hold.
        if grant.sealed && draw.online + draw.offline + returned > 0 {
            return Err(Error::Sealed);
        }
        if draw.return_online > grant.online || draw.return_offline > grant.offline {
            return Err(Error::Misfit { tokens: returned });
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

    /// Folds the outcomes of a journal that are newer than what was folded from it.
    ///
    /// Folding the same journal again changes nothing. Transfers and outcomes may wait for a
    /// transfer that another journal holds: what does not fit yet is left for a later fold.
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
            let full = self.statement.recent.len() >= RECENT;
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
        *part = part.checked_sub(charged).ok_or(Error::Misfit { tokens: charged })?;
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

    /// Moves offline tokens from giver to receiver, once.
    pub fn apply_transfer(&mut self, transfer: &Transfer) -> Result<bool, Error> {
        if self.transfers.contains(transfer) {
            return Ok(false);
        }
        let giver = self.grants.entry(transfer.from.clone()).or_default();
        let rest = giver.offline.checked_sub(transfer.tokens);
        giver.offline = rest.ok_or(Error::Misfit { tokens: transfer.tokens })?;
        // What comes too late for a holder that ended is nobody's.
        if !self.ended.contains(&transfer.to) {
            self.grants.entry(transfer.to.clone()).or_default().offline += transfer.tokens;
        }
        self.transfers.insert(transfer.clone());
        Ok(true)
    }

    /// Frees what the holder of `journal` can no longer use; returns the tokens freed.
    ///
    /// Correct only with a journal read after it was sealed, and folded into this ledger.
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

    /// Ends a grant by its holder's own word: all of it returns, and nothing of it can come later.
    ///
    /// Correct only with everything folded that the holder ever did.
    pub fn end(&mut self, holder: &Incarnation) -> u64 {
        let freed = self.grants.remove(holder).map_or(0, |grant| grant.total());
        if self.ended.len() == ENDED {
            self.ended.remove(0);
        }
        self.ended.push(holder.clone());
        self.lower_paid();
        freed
    }

    /// Moves tokens that `holder` charged from its offline part to what is spent, with the number
    /// of requests that they paid for.
    ///
    /// A box never charges more than it was given, so what its grant here does not cover was
    /// counted as lost with an earlier holder, and is known to be used now.
    pub fn charge(&mut self, holder: &Incarnation, tokens: u64, requests: u64) {
        let held = self.grants.get_mut(holder);
        let covered = held.map_or(0, |grant| {
            let covered = tokens.min(grant.offline);
            grant.offline -= covered;
            covered
        });
        self.spent += covered;
        self.lost = self.lost.saturating_sub(tokens - covered);
        self.statement.count += requests;
        self.statement.tokens += tokens;
    }

    /// Counts tokens of `holder` as spent that it passed on to boxes which died with them.
    pub fn lose(&mut self, holder: &Incarnation, tokens: u64) {
        let Some(held) = self.grants.get_mut(holder) else { return };
        let lost = tokens.min(held.offline);
        held.offline -= lost;
        self.spent += lost;
        self.lost += lost;
    }

    /// Counts offline tokens that one box passed on to another, once, whichever of them tells.
    ///
    /// `gone` says that the receiver died: the tokens are lost with it then.
    pub fn pass_on(&mut self, transfer: &Transfer, gone: bool) -> Result<(), Error> {
        let misfit = Error::Misfit { tokens: transfer.tokens };
        if self.passed.get(&transfer.from).is_some_and(|numbers| numbers.contains(transfer.n)) {
            return Ok(());
        }
        match self.grants.get_mut(&transfer.from) {
            Some(giver) => {
                giver.offline = giver.offline.checked_sub(transfer.tokens).ok_or(misfit)?
            }
            // The giver died and all that it held was written off, these tokens among it.
            None => {
                self.lost = self.lost.checked_sub(transfer.tokens).ok_or(misfit)?;
                self.spent -= transfer.tokens;
            }
        }
        self.passed.entry(transfer.from.clone()).or_default().insert(transfer.n);
        match gone {
            true => {
                self.spent += transfer.tokens;
                self.lost += transfer.tokens;
            }
            // The receiver told all that it had when it ended: these never reached it.
            false if self.ended.contains(&transfer.to) => {}
            false => {
                self.grants.entry(transfer.to.clone()).or_default().offline += transfer.tokens;
            }
        }
        Ok(())
    }

    /// Counts what `holder` had as spent, but for `untouched` tokens that it certainly did not
    /// use: it died, and nobody knows what it used of the rest. Returns the tokens lost.
    pub fn write_off(&mut self, holder: &Incarnation, untouched: u64) -> u64 {
        let held = self.grants.remove(holder).map_or(0, |grant| grant.total());
        let lost = held.saturating_sub(untouched);
        self.spent += lost;
        self.lost += lost;
        self.lower_paid();
        lost
    }

    /// Forgets a grant that is empty and whose journal is gone.
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

    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("ledgers always serialize")
    }

    /// Full pages of bills to write before they leave the ledger, the oldest first.
    pub fn full_pages(&self) -> Vec<(u64, Page)> {
        let pages = self.statement.recent.chunks_exact(BILLS_PER_PAGE);
        let numbered = (self.statement.pages..).zip(pages);
        numbered.map(|(number, bills)| (number, Page { bills: bills.to_vec() })).collect()
    }

    /// Drops the bills of page `number`, which has been written.
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

    /// Offline tokens of sealed holders: stranded until they return or are declared destroyed.
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
        if self.keys.len() >= KEYS {
            self.keys.drain(..KEYS / 4);
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
