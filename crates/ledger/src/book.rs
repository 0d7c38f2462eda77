//! The ledgers of many budgets in one object, written by all boxes in turn.
//!
//! A box that needs no intents (a request id there is one try) settles all its budgets by one
//! conditional update: what it charged since its last one, what it gives back, and what it would
//! like to hold. [`Book::settle`] grants from what is really left, so a stale view in the box can
//! only ask too much or too little.
//!
//! A grant can be spent with no word from the platform, so of what a box held when it died nobody knows how
//! much was used, but for what its witness knows to be untouched. As soon as a later life of it writes, the
//! earlier one can write no more, and a [`Claim`] stands for what it held until the witness has answered
//! whoever asked, or is dead itself. Written off before that, 12.8% of all that customers had paid was lost
//! in a play of 21 boxes in which one of them died whose next life did not know its witness yet, and 4.4% is
//! with claims (by the book).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{Draw, Incarnation, Ledger, Observed, Policy, Transfer, Untouched, Witness};

/// Part of what all boxes may hold that is split evenly, in thousandths: a box that a customer's
/// next requests come to first has some.
const EVEN: u64 = 300;

/// Settlements that a box makes at most while all boxes return after an outage: a few in a row, one of
/// them planned before it.
const SETTLE_AT_RETURN: u64 = 4;

/// How much less boxes hold for each part of what is paid that was lost with boxes of which no witness was left:
/// with a twentieth of it lost, half. Where all boxes died once they are likely to again, and the losses add up,
/// whereas what was not held in an outage can be used after it.
const CAUTION: u64 = 20;

/// Claims that stay open: more boxes than that do not die before somebody was asked of one. What the
/// others held counts as spent.
const MOST_CLAIMS: usize = 128;

/// Kind and name of the object that holds the book.
pub const BOOK: (&str, &str) = ("books", "main");

/// Ledgers of several budgets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// One for each customer.
    #[serde(default)]
    pub ledgers: BTreeMap<Arc<str>, Ledger>,
    /// Boxes that write here.
    #[serde(default)]
    pub writers: BTreeMap<Incarnation, Writer>,
    /// Settlements that have landed.
    #[serde(default)]
    pub landed: u64,
    /// Outages of the store that all boxes saw.
    #[serde(default)]
    pub outages: Outages,
    /// Writers that hold nothing ahead of need: none of what the others may hold is theirs.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub idle: BTreeSet<Incarnation>,
    /// Lives that ended, of which it is open what they left untouched.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub claims: BTreeMap<Incarnation, Claim>,
}

/// Outages of the store that all boxes saw, by which they size what they hold. No right to spend rests on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outages {
    /// So many.
    pub count: u64,
    /// Settlements that had landed when the last one was noted first.
    pub landed: u64,
}

/// What a life that ended held: it stays granted until its witness told, and can be used by nobody.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who knows what of it was untouched.
    pub witness: Witness,
    /// Where the witness answers.
    pub at: Option<SocketAddr>,
}

/// A box that writes here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Number of its newest write.
    pub write: u64,
    /// Where other boxes ask it for tokens.
    pub peer: Option<SocketAddr>,
    /// Who knows what it keeps untouched.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witness: Option<Witness>,
    /// Where that one answers, for a later life that knows no other box yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub witness_at: Option<SocketAddr>,
}

impl Writer {
    /// What stands for what this life held once it ended, if anybody knows of it.
    fn claim(&self) -> Option<Claim> {
        let witness = self.witness.clone()?;
        Some(Claim { witness, at: self.witness_at })
    }
}

/// What a box settles of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Item {
    /// Customer whose budget it is.
    pub customer: Arc<str>,
    /// What the operator says is paid, with the version that says so.
    pub paid: Option<(u64, u64)>,
    /// Tokens charged since the last settlement that landed.
    pub charged: u64,
    /// Requests charged since then.
    pub requests: u64,
    /// Tokens passed on to boxes that died with them: nobody knows what was used of them.
    pub lost: u64,
    /// Free tokens given back, already taken out of the box's account.
    pub returned: u64,
    /// Free tokens that the box still holds.
    pub free: u64,
    /// Worst cases of requests that wait because the free tokens are not enough.
    pub waiting: u64,
    /// Tokens passed on to or received from other boxes since the last settlement that landed.
    pub transfers: Vec<Transfer>,
    /// Use as the box saw it; what is unspent is filled in from the ledger.
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
    /// Who writes.
    pub holder: Incarnation,
    /// Its write number, by which a lost answer is resolved, and its address.
    pub writer: Writer,
    /// Budgets.
    pub items: Vec<Item>,
    /// What lives that ended left untouched, by the word of their witnesses.
    pub earlier: Vec<Untouched>,
    /// The box draws no more, and gives back what it can. Once it has nothing to say and holds
    /// nothing, it stands in the book no longer: the book stays as small as the number of boxes
    /// that draw.
    pub retires: bool,
    /// The box ends by plan: its grants end too, and nothing of them can come later.
    pub leaves: bool,
}

impl Settlement {
    /// Whether it changes nothing, so that it may be carried out any number of times.
    fn is_empty(&self) -> bool {
        let says = |item: &Item| {
            item.charged + item.lost + item.returned + item.waiting > 0
                || !item.transfers.is_empty()
        };
        self.earlier.is_empty() && !self.items.iter().any(says)
    }
}

/// What a box learns of one budget by a write.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Granted {
    /// Customer whose budget it is.
    pub customer: Arc<str>,
    /// Tokens granted.
    pub tokens: u64,
    /// What a box should hold free now, as the ledger stands.
    pub target: u64,
    /// Tokens paid and not known to be spent, whoever holds them.
    pub unspent: u64,
    /// Tokens that nobody holds.
    pub left: u64,
    /// Tokens that the customer is certain to have used.
    pub used: u64,
    /// Tokens that count as spent because boxes died with them.
    pub lost: u64,
    /// Transfers that were not counted, since their giver never had the tokens: a broken rule.
    pub misfits: usize,
}

impl Book {
    /// Boxes that hold tokens ahead of need.
    pub fn boxes(&self) -> u64 {
        let draw = self.writers.keys().filter(|name| !self.idle.contains(*name));
        let names: BTreeSet<&str> = draw.map(Incarnation::box_name).collect();
        names.len() as u64
    }

    /// A box that had not reached the store does again; before that, so many settlements had landed. It was an
    /// outage of the store unless others went on to settle meanwhile.
    pub fn note_outage(&mut self, landed_before: u64) {
        let return_all = SETTLE_AT_RETURN * self.boxes().max(1);
        if self.landed.saturating_sub(landed_before) > return_all {
            return;
        }
        let Outages { count, landed } = &mut self.outages;
        let is_same = *count > 0 && self.landed.saturating_sub(*landed) <= return_all;
        if !is_same {
            (*count, *landed) = (*count + 1, self.landed);
        }
    }

    /// Whether write number `write` of `holder` is in.
    pub fn has(&self, holder: &Incarnation, write: u64) -> bool {
        self.writers.get(holder).is_some_and(|writer| writer.write >= write)
    }

    /// Carries a settlement out and says what it gave, budget by budget.
    pub fn settle(&mut self, settlement: &Settlement, policy: Policy) -> Vec<Granted> {
        let holder = &settlement.holder;
        let first = self.writers.insert(holder.clone(), settlement.writer.clone()).is_none();
        if first {
            self.open_claims(holder);
        }
        match is_idle(settlement, policy) {
            true => self.idle.insert(holder.clone()),
            false => self.idle.remove(holder),
        };
        self.landed += 1;
        settlement.earlier.iter().for_each(|untouched| self.close_claim(untouched));
        let policy = Policy { boxes: self.boxes(), ..policy };
        let mut granted = Vec::with_capacity(settlement.items.len());
        for item in &settlement.items {
            let gone: Vec<bool> =
                item.transfers.iter().map(|transfer| self.is_replaced(&transfer.to)).collect();
            let ledger = self.ledgers.entry(item.customer.clone()).or_default();
            let passed = item.transfers.iter().zip(gone);
            let passed = passed.map(|(transfer, gone)| ledger.pass_on(transfer, gone));
            let misfits = passed.filter(Result::is_err).count();
            let settled = settle_item(ledger, settlement, item, policy, first);
            granted.push(Granted { misfits, ..settled });
        }
        if settlement.leaves {
            self.writers.remove(holder);
        }
        if settlement.retires && settlement.is_empty() {
            self.forget(holder);
        }
        let Book { idle, writers, .. } = self;
        idle.retain(|name| writers.contains_key(name));
        granted
    }

    /// Forgets a box that holds nothing, if that is so.
    fn forget(&mut self, holder: &Incarnation) {
        if !self.holds(holder) {
            for ledger in self.ledgers.values_mut() {
                ledger.grants.remove(holder);
            }
            self.writers.remove(holder);
        }
    }

    /// Whether the box of `holder` lives on as another incarnation.
    fn is_replaced(&self, holder: &Incarnation) -> bool {
        let newer = |name: &Incarnation| name != holder && name.box_name() == holder.box_name();
        !self.writers.contains_key(holder) && self.writers.keys().any(newer)
    }

    /// Whether an earlier life of the box of `holder` stands here.
    pub fn knows_box_of(&self, holder: &Incarnation) -> bool {
        self.writers.keys().chain(self.claims.keys()).any(|name| is_earlier(name, holder))
    }

    /// What the witnesses of earlier lives of the box of `holder` are to be asked: of those that still stand
    /// as writers, and of those on whom claims are open.
    pub fn earlier(&self, holder: &Incarnation) -> Vec<(Incarnation, Claim)> {
        let lives = self.writers.iter().filter(|(name, _)| is_earlier(name, holder));
        let asked = lives.filter_map(|(name, writer)| Some((name.clone(), writer.claim()?)));
        let open = self.claims.iter().filter(|(name, _)| is_earlier(name, holder));
        asked.chain(open.map(|(name, claim)| (name.clone(), claim.clone()))).collect()
    }

    /// Earlier lives of the box of `holder` write no more: from now on a claim stands for what each held.
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
        while self.claims.len() > MOST_CLAIMS {
            let Some((name, _)) = self.claims.pop_first() else { return };
            self.write_off(&name, &BTreeMap::new());
        }
    }

    fn open_claim(&mut self, name: Incarnation, claim: Claim) {
        for ledger in self.ledgers.values_mut() {
            if let Some(grant) = ledger.grants.get_mut(&name) {
                // It uses nothing any more: its part is the others'.
                grant.rate = 0;
            }
        }
        self.claims.insert(name, claim);
    }

    /// The witness of a life that ended told what of it was untouched: that is free again, the rest counts as
    /// spent. Believed once, and only from the witness that the claim names.
    fn close_claim(&mut self, untouched: &Untouched) {
        let claim = self.claims.get(&untouched.holder);
        if claim.is_some_and(|claim| claim.witness == untouched.witness) {
            self.claims.remove(&untouched.holder);
            self.write_off(&untouched.holder, &untouched.tokens);
        }
    }

    fn write_off(&mut self, name: &Incarnation, untouched: &BTreeMap<Arc<str>, u64>) {
        for (customer, ledger) in &mut self.ledgers {
            let tokens = untouched.get(customer).copied().unwrap_or_default();
            let lost = ledger.write_off(name, tokens);
            if untouched.is_empty() {
                ledger.unwitnessed += lost;
            }
        }
    }

    fn holds(&self, name: &Incarnation) -> bool {
        let holds = |ledger: &Ledger| ledger.grants.get(name).is_some_and(|g| g.total() > 0);
        self.ledgers.values().any(holds)
    }

    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("books always serialize")
    }
}

/// Whether `name` is another life of the box of `holder`: a box has one life at a time.
fn is_earlier(name: &Incarnation, holder: &Incarnation) -> bool {
    name != holder && name.box_name() == holder.box_name()
}

/// Whether the box of a settlement holds nothing ahead of need.
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
    ledger.charge(holder, item.charged, item.requests);
    ledger.lose(holder, item.lost);
    let unspent = ledger.paid_wanted.saturating_sub(ledger.spent);
    let part = portion(ledger, holder, item, policy);
    let target = target(unspent, ledger.paid_wanted, part, item.observed, policy);
    let target = cautious(target, ledger);
    let left = (ledger.left() + item.returned).min(unspent);
    // What cannot pay for the waiting requests stays for smaller ones, wherever they come.
    let need = item.need();
    let waiting = if need <= left { item.waiting } else { 0 };
    // Before the others are known, a box takes only what waiting requests lack.
    let target_now = if first { 0 } else { target };
    let ahead =
        if waiting > 0 { ahead(left - waiting.min(left), item.observed, policy) } else { 0 };
    let wish = (target_now.max(ahead) + waiting).saturating_sub(item.free);
    let draws = !settlement.leaves && !settlement.retires;
    let tokens = if draws { wish.min(left) } else { 0 };
    let draw = Draw { offline: tokens, return_offline: item.returned, ..Draw::default() };
    let drawn = ledger.draw(holder, draw, settlement.writer.write).is_ok();
    if let Some(grant) = ledger.grants.get_mut(holder) {
        // The part of an idle box is the others'.
        grant.rate = if is_idle(settlement, policy) { 0 } else { item.observed.rate };
    }
    if settlement.leaves {
        ledger.end(holder);
    }
    Granted {
        customer: item.customer.clone(),
        tokens: if drawn { tokens } else { 0 },
        target,
        unspent,
        left: ledger.left().min(unspent),
        used: ledger.spent - ledger.lost,
        lost: ledger.lost,
        misfits: 0,
    }
}

/// What a box should hold free: enough for an outage as long as the policy says, and its part of
/// one large request, since boxes lend to each other, but no more than its part of what is unspent.
/// With a large request in each of seven boxes, all of them held twice as much of small budgets.
/// What a budget has little of, a box holds little of: tokens that were not used in an outage can
/// be used after it, those that a box held when it died cannot.
fn target(unspent: u64, paid: u64, portion: u64, observed: Observed, policy: Policy) -> u64 {
    let scarcity_permille = (paid * policy.scarcity_permille / 1_000).max(1);
    let part = unspent * portion / 1_000 * unspent.min(scarcity_permille) / scarcity_permille;
    let large = observed.peak / policy.boxes.max(1);
    part.min(observed.rate * policy.offline_horizon + large)
}

/// The same where boxes died with tokens before.
fn cautious(target: u64, ledger: &Ledger) -> u64 {
    let paid = u128::from(ledger.paid_wanted.max(1));
    let lost = u128::from(CAUTION) * u128::from(ledger.unwitnessed);
    (u128::from(target) * paid / (paid + lost)) as u64
}

/// Seconds of use that a settlement brings which requests wait for, whatever a box should hold: the
/// ones after them would each wait for another settlement.
const AHEAD_S: u64 = 1;

/// What to grant ahead to a box whose requests wait: its use for a moment, but no more than half of
/// its even part of what nobody holds. Of the last eighth of a budget each request was granted by a
/// settlement of its own before, 88 in a second, and each landed after two that were void.
fn ahead(left: u64, observed: Observed, policy: Policy) -> u64 {
    (observed.rate * AHEAD_S).min(left / (2 * policy.boxes.max(1)))
}

/// A box's part, in thousandths, of what is unspent: some of what all boxes may hold is split
/// evenly, the rest by use.
fn portion(ledger: &Ledger, holder: &Incarnation, item: &Item, policy: Policy) -> u64 {
    let others = ledger.grants.iter().filter(|(name, _)| *name != holder);
    let used: u64 = others.map(|(_, grant)| grant.rate).sum::<u64>() + item.observed.rate;
    let even = policy.offline_share / policy.boxes.max(1);
    match used {
        0 => even,
        used => {
            (even * EVEN + policy.offline_share * item.observed.rate / used * (1_000 - EVEN))
                / 1_000
        }
    }
}
