//! The fleet's object for one budget: what is paid, what is granted, what is spent.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Bill, Grant, Incarnation, Journal, Page, Part, Record, Statement, Transfer};

/// Bills on one page.
pub const PAGE_BILLS: usize = 200;
/// Keys remembered against billing a rerun twice.
const KEYS: usize = 4_000;

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
    /// The holder itself says that it uses nothing any more.
    Own,
    /// An operator declared the box destroyed: the offline part returns too.
    Destroyed,
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
    /// Unspent grants by holder.
    pub grants: BTreeMap<Incarnation, Grant>,
    /// Bills.
    pub statement: Statement,
    /// Transfers applied, while their giver or receiver still has a grant.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub transfers: BTreeSet<Transfer>,
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
        let mut grant = self.grants.get(holder).cloned().unwrap_or_default();
        if grant.sealed && draw.online + draw.offline > 0 {
            return Err(Error::Sealed);
        }
        let returned = draw.return_online + draw.return_offline;
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
    /// Returns how many. Folding the same journal again changes nothing.
    pub fn fold(&mut self, budget: &str, journal: &Journal) -> Result<usize, Error> {
        for transfer in journal.transfers.iter().filter(|t| &*t.0 == budget) {
            self.apply_transfer(&transfer.1)?;
        }
        let folded = self.grants.get(&journal.incarnation).map_or(0, |grant| grant.folded);
        let fresh = journal.outcomes_after(budget, folded);
        for (record, position) in &fresh {
            self.fold_one(&journal.incarnation, record, *position)?;
        }
        self.lower_paid();
        Ok(fresh.len())
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
        self.grants.entry(transfer.to.clone()).or_default().offline += transfer.tokens;
        self.transfers.insert(transfer.clone());
        Ok(true)
    }

    /// Frees what the holder of `journal` can no longer use; returns the tokens freed.
    ///
    /// Correct only with a journal read after it was sealed, and folded into this ledger.
    pub fn close(&mut self, budget: &str, journal: &Journal, closing: Closing) -> u64 {
        let held = journal.held(budget, Part::Online);
        let held_offline = journal.held(budget, Part::Offline);
        let Some(grant) = self.grants.get_mut(&journal.incarnation) else { return 0 };
        let before = grant.total();
        grant.sealed = true;
        grant.online = grant.online.min(held);
        if closing != Closing::Sealed {
            grant.offline = grant.offline.min(held_offline);
        }
        let freed = before - grant.total();
        self.lower_paid();
        freed
    }

    /// Forgets a grant that is empty and whose journal has ended.
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

    /// The next page of bills to write before it leaves the ledger, if one is full.
    pub fn full_page(&self) -> Option<(u64, Page)> {
        let bills = self.statement.recent.get(..PAGE_BILLS)?;
        Some((self.statement.pages, Page { bills: bills.to_vec() }))
    }

    /// Drops the bills of page `number`, which has been written.
    pub fn drop_page(&mut self, number: u64) -> bool {
        let fits = self.statement.pages == number && self.statement.recent.len() >= PAGE_BILLS;
        if fits {
            self.statement.recent.drain(..PAGE_BILLS);
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
