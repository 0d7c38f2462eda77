//! The ledgers of many budgets in one object, which all boxes write in turn.
//!
//! A box settles all its budgets by one conditional update, without a journal: what it charged
//! since the last one, what it returns, and what it would like to hold. [`Book::settle`] grants
//! from what is really left, so a box with a stale view can only request too much or too little.
//!
//! A box spends its grant without contacting the platform, so when it dies, nobody knows how much
//! of the grant was used, except for what its witness has on record. As soon as a later incarnation
//! of the box writes, the earlier one can write no more. A [`Claim`] then keeps its grant open
//! until the witness answers or is dead, too. Writing the grant off at once would lose the unused
//! part whenever the new incarnation cannot reach the witness yet.
//!
//! A write whose answer was lost is made again, on another state of the book or under another policy,
//! and any of the attempts may land. So the book says itself what a write was granted, by a [`Receipt`];
//! what a box meant to write says nothing.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{Draw, Incarnation, Ledger, Observed, Policy, Transfer, Unused, Witness, copy::Return};

/// Part of what all boxes may hold that is split evenly, in thousandths. Thus a box that is the
/// first to get a customer's requests has some tokens.
const EVEN_SHARE_PERMILLE: u64 = 300;

/// Most settlements per box that land while all boxes return after an outage: each box makes a few
/// in a row, one of them planned before the outage. If more have landed, the store was reachable.
const MAX_SETTLEMENTS_AT_RETURN: u64 = 4;

/// Weight of unwitnessed losses: with 1/20 of the paid amount lost, boxes hold half as much. Where
/// all boxes died once they are likely to die again, and losses add up, whereas tokens that were
/// not held in an outage can still be used after it.
const LOSS_WEIGHT: u64 = 20;

/// Most open claims: no more boxes than that die before somebody was asked of one of them. What is
/// held under further ones counts as spent.
const MAX_CLAIMS: usize = 128;

/// Kind and name of the object that holds the book.
pub const BOOK: (&str, &str) = ("books", "main");

/// The ledgers of several budgets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// One ledger for each customer.
    #[serde(default)]
    pub ledgers: BTreeMap<Arc<str>, Ledger>,
    /// Incarnations that write the book.
    #[serde(default)]
    pub writers: BTreeMap<Incarnation, Writer>,
    /// What the newest write of each of them was granted.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub receipts: BTreeMap<Incarnation, Receipt>,
    /// Number of settlements that have landed.
    #[serde(default)]
    pub landed: u64,
    #[serde(default)]
    pub outages: Outages,
    /// Writers that hold no tokens ahead of need, and are left out when the rest is split.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub idle: BTreeSet<Incarnation>,
    /// The newest return of the store from an older copy.
    #[serde(default, skip_serializing_if = "Return::is_none")]
    pub returned: Return,
    /// Dead incarnations of which it is unknown how many tokens they left unused.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub claims: BTreeMap<Incarnation, Claim>,
}

/// Outages of the store that the whole fleet observed. They only affect how much boxes hold, not
/// what they may spend.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outages {
    /// Number of outages.
    pub count: u64,
    /// Number of settlements that had landed when the last outage was noted.
    pub landed: u64,
}

/// The grant of a dead incarnation. It stays granted until the witness has answered, and nobody can
/// use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The witness that knows how many of the tokens were unused.
    pub witness: Witness,
    /// Address of the witness.
    pub at: Option<SocketAddr>,
}

/// A box that writes the book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Number of its newest write.
    pub write: u64,
    /// Address at which other boxes ask it for tokens.
    pub peer: Option<SocketAddr>,
    /// The witness to which it promises tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witness: Option<Witness>,
    /// Address of the witness, for a later incarnation that knows no other box yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witness_at: Option<SocketAddr>,
}

/// What a write was granted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of settlements that had landed, with this one.
    pub landed: u64,
    /// Tokens, by customer; customers without any are left out.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub granted: BTreeMap<Arc<str>, u64>,
}

impl Writer {
    /// Returns the claim that replaces this writer once the incarnation is dead, if it has a
    /// witness.
    fn claim(&self) -> Option<Claim> {
        let witness = self.witness.clone()?;
        Some(Claim { witness, at: self.witness_at })
    }
}

/// What a box settles of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Item {
    pub customer: Arc<str>,
    /// Paid amount of the configuration, with its version.
    pub paid: Option<(u64, u64)>,
    /// Tokens charged since the last settlement that landed.
    pub charged: u64,
    /// Requests charged since the last settlement that landed.
    pub requests: u64,
    /// Tokens passed on to boxes that died; it is unknown how many of them were used.
    pub lost: u64,
    /// Free tokens returned, already debited from the box's account.
    pub returned: u64,
    /// Free tokens that the box still holds.
    pub free: u64,
    /// Sum of the worst cases of requests that wait for tokens.
    pub waiting: u64,
    /// Tokens lent to or borrowed from other boxes since the last settlement that landed.
    pub transfers: Vec<Transfer>,
    /// Use as observed by the box; what is unspent is taken from the ledger.
    pub observed: Observed,
}

impl Item {
    /// Tokens that the waiting requests lack.
    pub fn need(&self) -> u64 {
        self.waiting.saturating_sub(self.free)
    }
}

/// One write of a box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// The incarnation that writes.
    pub holder: Incarnation,
    /// The number of the write, by which a lost answer is resolved, and the addresses of the box
    /// and its witness.
    pub writer: Writer,
    pub items: Vec<Item>,
    /// Tokens that dead incarnations left unused, as reported by their witnesses.
    pub unused_by_earlier: Vec<Unused>,
    /// The box draws no more, and returns what it can. Once it has nothing to report and holds
    /// nothing, it is removed, so that the book only lists boxes that draw.
    pub retires: bool,
    /// The box draws nothing, as the store came back from a copy that may lack grants of others.
    pub withholds: bool,
    /// The box is about to stop: its grants end, too, and nothing of them can be used later.
    pub leaves: bool,
}

impl Settlement {
    /// Whether it changes nothing, so that it may be repeated.
    fn is_empty(&self) -> bool {
        let has_effect = |item: &Item| {
            item.charged + item.lost + item.returned + item.waiting > 0
                || !item.transfers.is_empty()
        };
        self.unused_by_earlier.is_empty() && !self.items.iter().any(has_effect)
    }
}

/// What a box learns about one budget from a write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Granted {
    pub customer: Arc<str>,
    /// Tokens granted.
    pub tokens: u64,
    /// Free tokens that a box should hold now.
    pub target: u64,
    /// Tokens paid and not known to be spent, whoever holds them.
    pub unspent: u64,
    /// Tokens that no box holds.
    pub left: u64,
    /// Tokens that the customer has certainly used.
    pub used: u64,
    /// Tokens that count as spent because boxes died with them.
    pub lost: u64,
    /// Part of `lost` that boxes without a witness held when they died.
    pub unwitnessed: u64,
    /// Number of transfers that were not counted because the giver never had the tokens: a violated
    /// invariant.
    pub uncovered_transfers: usize,
    /// Tokens charged that neither the grant nor a loss covers: a violated invariant. They count as spent.
    pub uncovered_tokens: u64,
}

impl Receipt {
    fn of(landed: u64, granted: &[Granted]) -> Receipt {
        let granted = granted.iter().filter(|granted| granted.tokens > 0);
        let granted = granted.map(|granted| (granted.customer.clone(), granted.tokens)).collect();
        Receipt { landed, granted }
    }
}

impl Granted {
    /// What a ledger shows to a box that gets no tokens.
    fn of(ledger: &Ledger, item: &Item, target: u64) -> Granted {
        let unspent = ledger.unspent();
        Granted {
            customer: item.customer.clone(),
            tokens: 0,
            target,
            unspent,
            left: ledger.left().min(unspent),
            used: ledger.spent - ledger.lost,
            lost: ledger.lost,
            unwitnessed: ledger.unwitnessed,
            uncovered_transfers: 0,
            uncovered_tokens: 0,
        }
    }
}

impl Book {
    /// Number of boxes that hold tokens ahead of need.
    pub fn boxes(&self) -> u64 {
        let drawing = self.writers.keys().filter(|name| !self.idle.contains(*name));
        let names: BTreeSet<&str> = drawing.map(Incarnation::box_name).collect();
        names.len() as u64
    }

    /// Notes that a box reaches the store again, where `landed_before` settlements had landed
    /// before. This counts as a fleet-wide outage unless other boxes went on to settle meanwhile,
    /// and only once for all boxes that return.
    pub fn note_outage(&mut self, landed_before: u64) {
        let max_settlements = MAX_SETTLEMENTS_AT_RETURN * self.boxes().max(1);
        if self.landed.saturating_sub(landed_before) > max_settlements {
            return;
        }
        let Outages { count, landed } = &mut self.outages;
        let is_same = *count > 0 && self.landed.saturating_sub(*landed) <= max_settlements;
        if !is_same {
            (*count, *landed) = (*count + 1, self.landed);
        }
    }

    /// Whether a settlement has landed. The last one of a box leaves its mark in the ledgers, since the
    /// box is no writer any more.
    pub fn has_landed(&self, settlement: &Settlement) -> bool {
        let Settlement { holder, writer, leaves, .. } = settlement;
        let has_ended = || self.ledgers.values().any(|ledger| ledger.ended.contains(holder));
        let newest = self.writers.get(holder);
        newest.is_some_and(|newest| newest.write >= writer.write) || (*leaves && has_ended())
    }

    /// Applies a settlement; returns what it granted of each budget.
    pub fn settle(&mut self, settlement: &Settlement, policy: Policy) -> Vec<Granted> {
        let holder = &settlement.holder;
        let first = self.add_writer(holder, &settlement.writer);
        match is_idle(settlement, policy) {
            true => self.idle.insert(holder.clone()),
            false => self.idle.remove(holder),
        };
        self.landed += 1;
        settlement.unused_by_earlier.iter().for_each(|unused| self.close_claim(unused));
        let policy = Policy { boxes: self.boxes(), ..policy };
        let mut granted = Vec::with_capacity(settlement.items.len());
        for item in &settlement.items {
            let receivers_died: Vec<bool> =
                item.transfers.iter().map(|transfer| self.is_replaced(&transfer.to)).collect();
            let ledger = self.ledgers.entry(item.customer.clone()).or_default();
            let counted = item.transfers.iter().zip(receivers_died);
            let counted = counted.map(|(transfer, died)| ledger.count_transfer(transfer, died));
            let uncovered_transfers = counted.filter(Result::is_err).count();
            let settled = settle_item(ledger, settlement, item, policy, first);
            granted.push(Granted { uncovered_transfers, ..settled });
        }
        self.receipts.insert(holder.clone(), Receipt::of(self.landed, &granted));
        if settlement.leaves {
            self.writers.remove(holder);
        }
        if settlement.retires && settlement.is_empty() {
            self.forget(holder);
        }
        let Book { idle, writers, receipts, .. } = self;
        idle.retain(|name| writers.contains_key(name));
        receipts.retain(|name, _| writers.contains_key(name));
        granted
    }

    /// What a settlement that has landed was granted, whichever attempt to write it did. Nothing if the
    /// book has no receipt of it any more: a box of an older version, which writes none, has written the book since.
    pub fn granted(&self, settlement: &Settlement, policy: Policy) -> Vec<Granted> {
        let policy = Policy { boxes: self.boxes(), ..policy };
        let receipt = self.receipt(&settlement.holder, settlement.writer.write);
        let granted = |item: &Item| {
            let ledger = self.ledgers.get(&item.customer)?;
            let receipt = receipt.and_then(|receipt| receipt.granted.get(&item.customer));
            let tokens = receipt.copied().unwrap_or_default();
            let target = item_target(ledger, &settlement.holder, item, policy);
            Some(Granted { tokens, ..Granted::of(ledger, item, target) })
        };
        settlement.items.iter().filter_map(granted).collect()
    }

    /// The receipt of write number `write` of `holder`, if that is its newest one.
    pub fn receipt(&self, holder: &Incarnation, write: u64) -> Option<&Receipt> {
        let is_newest = self.writers.get(holder).is_some_and(|writer| writer.write == write);
        self.receipts.get(holder).filter(|_| is_newest)
    }

    /// Lists a box as a writer, in place of earlier incarnations of it; returns whether it was not listed.
    pub(crate) fn add_writer(&mut self, holder: &Incarnation, writer: &Writer) -> bool {
        let first = self.writers.insert(holder.clone(), writer.clone()).is_none();
        if first {
            self.open_claims(holder);
        }
        first
    }

    /// Removes a box if it holds nothing.
    fn forget(&mut self, holder: &Incarnation) {
        if !self.holds(holder) {
            for ledger in self.ledgers.values_mut() {
                ledger.grants.remove(holder);
            }
            self.writers.remove(holder);
        }
    }

    /// Whether a newer incarnation of the box of `holder` writes here.
    pub(crate) fn is_replaced(&self, holder: &Incarnation) -> bool {
        let newer = |name: &Incarnation| name != holder && name.box_name() == holder.box_name();
        !self.writers.contains_key(holder) && self.writers.keys().any(newer)
    }

    /// Whether an earlier incarnation of the box of `holder` is listed here.
    pub fn knows_box_of(&self, holder: &Incarnation) -> bool {
        self.writers.keys().chain(self.claims.keys()).any(|name| is_earlier(name, holder))
    }

    /// Whether the tokens of `holder` can only come back through the witness `by`.
    pub fn relies_on(&self, by: &Incarnation, holder: &Incarnation) -> bool {
        let claimed = self.claims.get(holder).map(|claim| &claim.witness);
        let writer = self.writers.get(holder).and_then(|writer| writer.witness.as_ref());
        claimed.or(writer).is_some_and(|witness| witness.by == *by)
    }

    /// Returns the earlier incarnations of the box of `holder` whose witnesses are to be asked:
    /// those that are still listed as writers, and those with open claims.
    pub fn earlier_claims(&self, holder: &Incarnation) -> Vec<(Incarnation, Claim)> {
        let writers = self.writers.iter().filter(|(name, _)| is_earlier(name, holder));
        let asked = writers.filter_map(|(name, writer)| Some((name.clone(), writer.claim()?)));
        let open = self.claims.iter().filter(|(name, _)| is_earlier(name, holder));
        asked.chain(open.map(|(name, claim)| (name.clone(), claim.clone()))).collect()
    }

    /// Replaces the earlier incarnations of the box of `holder` by claims, as they can write no
    /// more.
    fn open_claims(&mut self, holder: &Incarnation) {
        let grants = self.ledgers.values().flat_map(|ledger| ledger.grants.keys());
        let known = grants.chain(self.writers.keys());
        let ended: BTreeSet<Incarnation> = known
            .filter(|name| is_earlier(name, holder) && !self.claims.contains_key(*name))
            .cloned()
            .collect();
        for name in ended {
            let claim = self.writers.remove(&name).and_then(|writer| writer.claim());
            match claim {
                Some(claim) if self.holds(&name) => self.open_claim(name, claim),
                _ => self.write_off(&name, &BTreeMap::new()),
            }
        }
        while self.claims.len() > MAX_CLAIMS {
            let Some((name, _)) = self.claims.pop_first() else { return };
            self.write_off(&name, &BTreeMap::new());
        }
    }

    fn open_claim(&mut self, name: Incarnation, claim: Claim) {
        for ledger in self.ledgers.values_mut() {
            if let Some(grant) = ledger.grants.get_mut(&name) {
                // It spends no more, so its share goes to the other boxes.
                grant.rate = 0;
            }
        }
        self.claims.insert(name, claim);
    }

    /// Closes a claim by the answer of its witness: unused tokens are free again, the rest counts
    /// as spent. Ignored if the claim is closed already or names another witness.
    pub(crate) fn close_claim(&mut self, unused: &Unused) {
        let claim = self.claims.get(&unused.holder);
        if claim.is_some_and(|claim| claim.witness == unused.witness) {
            self.claims.remove(&unused.holder);
            self.write_off(&unused.holder, &unused.tokens);
        }
    }

    fn write_off(&mut self, name: &Incarnation, unused: &BTreeMap<Arc<str>, u64>) {
        for (customer, ledger) in &mut self.ledgers {
            let tokens = unused.get(customer).copied().unwrap_or_default();
            let lost = ledger.write_off(name, tokens);
            if unused.is_empty() {
                ledger.unwitnessed += lost;
            }
        }
    }

    fn holds(&self, name: &Incarnation) -> bool {
        self.held_by(name) > 0
    }

    /// Tokens of all budgets that a box holds, as far as the book knows.
    pub fn held_by(&self, name: &Incarnation) -> u64 {
        let held = |ledger: &Ledger| ledger.grants.get(name).map_or(0, |grant| grant.total());
        self.ledgers.values().map(held).sum()
    }

    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("books always serialize")
    }
}

/// Whether `name` is another incarnation of the box of `holder`, and thus an earlier one: only one
/// runs at a time.
fn is_earlier(name: &Incarnation, holder: &Incarnation) -> bool {
    name != holder && name.box_name() == holder.box_name()
}

/// Whether the box of a settlement holds no tokens ahead of need.
fn is_idle(settlement: &Settlement, policy: Policy) -> bool {
    settlement.retires || policy.offline_share == 0
}

fn settle_item(
    ledger: &mut Ledger,
    settlement: &Settlement,
    item: &Item,
    policy: Policy,
    first: bool,
) -> Granted {
    let holder = &settlement.holder;
    if let Some((paid, version)) = item.paid {
        ledger.apply_paid(paid, version);
    }
    let uncovered_tokens = ledger.charge(holder, item.charged, item.requests);
    ledger.count_lost(holder, item.lost);
    let target = item_target(ledger, holder, item, policy);
    let unspent = ledger.unspent();
    let left = (ledger.left() + item.returned).min(unspent);
    // If the rest does not cover the waiting requests, it is left for smaller ones on any box.
    let need = item.need();
    let waiting = if need <= left { item.waiting } else { 0 };
    // Until the other boxes are known, a box gets only what its waiting requests lack.
    let target_now = if first { 0 } else { target };
    let ahead =
        if waiting > 0 { ahead(left - waiting.min(left), item.observed, policy) } else { 0 };
    let wanted = (target_now.max(ahead) + waiting).saturating_sub(item.free);
    let draws = !settlement.leaves && !settlement.retires && !settlement.withholds;
    let tokens = if draws { wanted.min(left) } else { 0 };
    let draw = Draw { offline: tokens, return_offline: item.returned, ..Draw::default() };
    let drawn = ledger.draw(holder, draw, settlement.writer.write).is_ok();
    if let Some(grant) = ledger.grants.get_mut(holder) {
        // An idle box leaves its share to the others.
        grant.rate = if is_idle(settlement, policy) { 0 } else { item.observed.rate };
    }
    if settlement.leaves {
        ledger.end(holder);
    }
    let tokens = if drawn { tokens } else { 0 };
    Granted { tokens, uncovered_tokens, ..Granted::of(ledger, item, target) }
}

/// Returns the tokens of one budget that a box should hold free, after its charges were counted.
fn item_target(ledger: &Ledger, holder: &Incarnation, item: &Item, policy: Policy) -> u64 {
    let unspent = ledger.unspent();
    let fleet_rate = fleet_rate(ledger, holder, item);
    let share = share_permille(fleet_rate, item.observed.rate, policy);
    let by_use = by_use(unspent, fleet_rate, item.observed.rate, policy);
    let target = target(unspent, ledger.paid_wanted, share, by_use, item.observed, policy);
    reduce_after_losses(target, ledger)
}

/// Returns the tokens that a box should hold free: enough for an outage of the length in the
/// policy, and its share of one large request, as boxes lend to each other. Limited to its share of
/// what is unspent, and less than that if little of the budget is left: tokens that were not used
/// in an outage can be used after it, but those that a box held when it died cannot.
fn target(
    unspent: u64,
    paid: u64,
    share_permille: u64,
    by_use: u64,
    observed: Observed,
    policy: Policy,
) -> u64 {
    let scarcity_limit = (paid * policy.scarcity_permille / 1_000).max(1);
    let share = unspent * share_permille / 1_000 * unspent.min(scarcity_limit) / scarcity_limit;
    let large = policy.soon_after_outage(observed.peak / policy.boxes.max(1));
    share.min(by_use + large)
}

/// Shortest outage that a box holds tokens for while the platform is reachable, however soon the
/// budget ends, in seconds of use.
const MIN_USE_S: u64 = 3;

/// Returns the tokens that a box holds for its use in an outage. If the budget ends soon, most of
/// it is left in the book: what boxes held when all of them died is missing at once then.
fn by_use(unspent: u64, fleet_rate: u64, rate: u64, policy: Policy) -> u64 {
    let part = u128::from(unspent) * u128::from(policy.use_permille) / 1_000;
    let part_by_use = (part * u128::from(rate) / u128::from(fleet_rate.max(1))) as u64;
    policy.offline_use(rate).min(part_by_use.max(rate * MIN_USE_S))
}

/// Reduces a target if boxes have died with tokens of the budget and no witness was left.
fn reduce_after_losses(target: u64, ledger: &Ledger) -> u64 {
    let paid = u128::from(ledger.paid_wanted.max(1));
    let lost = u128::from(LOSS_WEIGHT) * u128::from(ledger.unwitnessed);
    (u128::from(target) * paid / (paid + lost)) as u64
}

/// Seconds of use that a settlement for waiting requests grants in addition, whatever the target: the
/// requests after them would each wait for another settlement.
const AHEAD_S: u64 = 1;

/// Returns the tokens to grant ahead to a box whose requests wait: [`AHEAD_S`] seconds of use, but
/// at most half of its even share of what no box holds. Without it, each request near the end of a
/// budget needs a settlement of its own, and most of these writes conflict: in the last eighth of one
/// there were 88 a second, each after two that met another.
fn ahead(left: u64, observed: Observed, policy: Policy) -> u64 {
    (observed.rate * AHEAD_S).min(left / (2 * policy.boxes.max(1)))
}

/// Returns a box's share of what is unspent, in thousandths. Part of what all boxes may hold is
/// split evenly, the rest by use.
fn share_permille(fleet_rate: u64, rate: u64, policy: Policy) -> u64 {
    let even = policy.offline_share / policy.boxes.max(1);
    match fleet_rate {
        0 => even,
        fleet_rate => {
            (even * EVEN_SHARE_PERMILLE
                + policy.offline_share * rate / fleet_rate * (1_000 - EVEN_SHARE_PERMILLE))
                / 1_000
        }
    }
}

/// Tokens per second that all boxes use.
fn fleet_rate(ledger: &Ledger, holder: &Incarnation, item: &Item) -> u64 {
    let others = ledger.grants.iter().filter(|(name, _)| *name != holder);
    others.map(|(_, grant)| grant.rate).sum::<u64>() + item.observed.rate
}
