//! The task that settles this box's accounts with the book in the store.
//!
//! One settlement is under way at a time. It is written until it is known to have landed: a
//! refusal brings the book as it stands, and a lost answer is resolved by the writer's number.

use std::{sync::Arc, time::Duration};

use ledger::{BOOK, Book, Claim, Granted, Incarnation, Policy, Settlement, Untouched, Writer};
use objects::{Expect, Store};
use platform::store::{Client, Put};
use snafu::Snafu;
use tokio::{sync::watch, time::Instant};

use crate::{
    fleet::{entry, peers::Peers},
    metrics::Metrics,
    outage::{Outage, Probe, Recovery},
    settings::{SETTLEMENT_BATCH_MS, Settings},
    tokens::{
        acquirer::Acquirer, bills::Bills, claims, forecast::Forecast, funds::Funds,
        participation::Participation, report, spacing, witness::Selector,
    },
};

/// Time between two log lines on the calls of the store.
const TELL: Duration = Duration::from_secs(10);
/// First pause after a call that failed; doubles up to [`PAUSE_MOST`].
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two calls while the store does not answer.
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// A box that is no keeper, and was not asked for so long, draws no more from the book: longer than
/// it takes to start a box again, which is when others stand in for it.
const RETIRE: Duration = Duration::from_secs(8);
/// Time for the store to take the last settlement before other boxes are asked to help: longer than a
/// slow call of it.
const HAND_OVER: Duration = Duration::from_millis(600);
/// Longest wait for the list of boxes before the first settlement: witnesses are found by it.
const LISTED: Duration = Duration::from_millis(2_000);
/// Time between two questions to witnesses that did not answer, or whose box was not known yet.
const COLLECT_EVERY: Duration = Duration::from_millis(500);
/// Witnesses asked at once.
const MOST_ASKED: usize = 8;
/// Time until the first grants are asked for: the other boxes register meanwhile.
const REGISTER: Duration = Duration::from_millis(1_500);

/// What is wrong with the book.
#[derive(Debug, Snafu)]
enum Fault {
    #[snafu(display("{source}"))]
    Store { source: objects::Error },
    #[snafu(display("the book cannot be read: {source}"))]
    Book { source: serde_json::Error },
    #[snafu(display("the book is gone from the store"))]
    Gone,
    #[snafu(display("the write failed: {reason}"))]
    Write { reason: String },
}

/// What a settler works with.
pub struct Setup {
    pub store: Client,
    pub funds: Funds,
    pub peers: Peers,
    pub selector: Selector,
    pub acquirer: Acquirer,
    pub metrics: Metrics,
    /// Version of the box's entry in the store, once it is written.
    pub registered: watch::Receiver<Option<u64>>,
    pub bills: Bills,
    /// This start of the box.
    pub holder: Incarnation,
    /// The settings in force.
    pub settings: watch::Receiver<Arc<Settings>>,
}

/// Settles accounts with the book.
pub struct Settler {
    setup: Setup,
    outage: Outage,
    recovery: Recovery,
    /// An outage ended: the next settlement comes without the usual time before it. The one that ended it was
    /// planned before, and only by its answer does the box know how little to hold now. The next one tells what
    /// was used meanwhile and gives back what is too much, before something else fails.
    at_once: bool,
    /// The book as it was last read or written, with its version; 0 where there is none.
    known: Option<(Book, u64)>,
    /// Whether a book was ever seen: it is not made anew then.
    seen: bool,
    forecast: Forecast,
    write: u64,
    /// The settlement under way: it must land, also when this task was interrupted.
    pending: Option<Settlement>,
    /// What the newest write of it would grant, in case its answer is lost.
    last: Option<Vec<Granted>>,
    /// Whether this box stands in the book.
    stands: bool,
    /// What lives that ended left untouched, for the next settlement.
    collected: Vec<Untouched>,
    /// When witnesses were last asked.
    asked: Option<Instant>,
}

impl Settler {
    /// Nothing is read yet.
    pub fn new(setup: Setup, recovery: Recovery) -> Settler {
        Settler {
            setup,
            outage: Outage::new("book", Probe::Lazy, recovery.clone()),
            recovery,
            at_once: false,
            known: None,
            seen: false,
            forecast: Forecast::open(Instant::now()),
            write: 0,
            pending: None,
            last: None,
            stands: false,
            collected: Vec::new(),
            asked: None,
        }
    }

    /// Settles as need arises, for as long as the box runs.
    pub async fn run(&mut self) {
        let mut told = Instant::now();
        self.settle_first().await;
        self.wait(REGISTER).await;
        loop {
            if self.is_of_book() {
                self.settle(self.participation()).await;
            }
            self.setup.bills.write(&self.setup.store, false).await;
            if told.elapsed() >= TELL {
                told = Instant::now();
                report::calls(&self.setup.store);
                report::traffic(&self.setup.peers);
            }
            let settings = self.setup.settings.borrow().clone();
            let spacing = Duration::from_millis(settings.money.spacing_ms);
            let settle = Duration::from_millis(settings.money.settle_ms);
            let began = Instant::now();
            tokio::time::sleep(Duration::from_millis(SETTLEMENT_BATCH_MS)).await;
            if std::mem::take(&mut self.at_once) {
                continue;
            }
            while !self.setup.funds.is_urgent() && began.elapsed() < self.pause(spacing, settle) {
                self.wait(spacing).await;
                if self.collect().await {
                    break;
                }
            }
        }
    }

    /// Asks the witnesses of lives that ended, if claims on those are open: a box for its own earlier lives,
    /// keepers for all. Says whether anything came of it.
    async fn collect(&mut self) -> bool {
        let is_keeper = self.setup.peers.is_keeper();
        let Some((book, _)) = &self.known else { return false };
        let mine = |name: &Incarnation| name.box_name() == self.setup.holder.box_name();
        let due = self.asked.is_none_or(|at| at.elapsed() >= COLLECT_EVERY);
        let open = book.claims.iter().filter(|(name, _)| is_keeper || mine(name));
        let open: Vec<(Incarnation, Claim)> =
            open.take(MOST_ASKED).map(|(name, claim)| (name.clone(), claim.clone())).collect();
        if open.is_empty() || !due {
            return false;
        }
        self.asked = Some(Instant::now());
        let collected = claims::ask(&self.setup.peers, open).await;
        self.collected.extend(collected);
        !self.collected.is_empty()
    }

    /// Whether this box draws from the book: it is the keeper of its availability zone, holds
    /// something of the book, or has something to settle.
    fn is_of_book(&self) -> bool {
        let Setup { peers, funds, .. } = &self.setup;
        let collected = !self.collected.is_empty();
        self.stands
            || self.pending.is_some()
            || collected
            || peers.is_keeper()
            || funds.is_of_book()
    }

    /// Whether another box keeps the tokens now.
    fn participation(&self) -> Participation {
        let Setup { peers, funds, .. } = &self.setup;
        let drew = funds.drew_ago().is_some_and(|ago| ago < RETIRE);
        let retires = self.stands && !drew && !peers.is_keeper();
        funds.set_retiring(retires);
        if retires { Participation::Retiring } else { Participation::Active }
    }

    /// Time of the next settlement that no request waits for, after the last one.
    fn pause(&self, spacing: Duration, settle: Duration) -> Duration {
        match self.setup.funds.is_due() || self.setup.selector.is_due(&self.setup.peers) {
            true => spacing * spacing::interval_factor(self.writers()),
            false => settle,
        }
    }

    /// Boxes that write the book, as it was last seen.
    fn writers(&self) -> usize {
        self.known.as_ref().map_or(0, |(book, _)| book.writers.len())
    }

    /// The first settlement of a box whose earlier lives stand in the book, with what witnesses
    /// know of them.
    async fn settle_first(&mut self) {
        let mut registered = self.setup.registered.clone();
        let listed = registered.wait_for(Option::is_some);
        let _ = tokio::time::timeout(LISTED, listed).await;
        let mut pause = PAUSE;
        let book = loop {
            match self.read().await {
                Ok(known) => break self.known.insert(known).0.clone(),
                Err(fault) => self.failed(&fault, &mut pause).await,
            }
        };
        if !book.knows_box_of(&self.setup.holder) {
            return;
        }
        self.collected = claims::ask(&self.setup.peers, book.earlier(&self.setup.holder)).await;
        self.settle(Participation::Active).await;
    }

    fn writer(&mut self) -> Writer {
        self.write += 1;
        let Setup { peers, selector, .. } = &self.setup;
        let witness = selector.choose(peers, self.write);
        let witness_at = witness.as_ref().and_then(|witness| peers.address_of(&witness.by));
        Writer { write: self.write, peer: peers.address(), witness, witness_at }
    }

    async fn failed(&mut self, fault: &Fault, pause: &mut Duration) {
        self.outage.failed(fault);
        self.forecast.failed(Instant::now());
        self.setup.funds.set_store_unreachable(true);
        // Whichever task of this box finds the store first ends the pause.
        let _ = tokio::time::timeout(*pause, self.recovery.recovered()).await;
        *pause = (*pause * 2).min(PAUSE_MOST);
    }

    async fn wait(&self, pause: Duration) {
        if !self.setup.funds.is_urgent() {
            let _ = tokio::time::timeout(pause, self.setup.funds.wanted()).await;
        }
    }

    /// Writes one settlement until it has landed. May be interrupted: the next call goes on.
    async fn settle(&mut self, participation: Participation) {
        let settlement = match self.pending.take() {
            Some(pending) => pending,
            None => {
                let writer = self.writer();
                let earlier = std::mem::take(&mut self.collected);
                let plan = self.setup.funds.plan(&self.setup.holder, writer, participation);
                Settlement { earlier, ..plan }
            }
        };
        self.pending = Some(settlement.clone());
        let mut pause = PAUSE;
        let (began, mut met) = (Instant::now(), 0);
        let granted = loop {
            match self.attempt(&settlement).await {
                Ok(Some(granted)) => break granted,
                Ok(None) => met += 1,
                Err(fault) => self.failed(&fault, &mut pause).await,
            }
        };
        self.pending = None;
        self.setup.funds.set_store_unreachable(false);
        tracing::info!(
            event = "settlement_landed",
            write = settlement.writer.write,
            met,
            took_ms = began.elapsed().as_millis() as u64,
            writers = self.writers(),
        );
        self.outage.answered();
        let book = self.known.as_ref().map(|(book, _)| book);
        self.at_once = book.is_some_and(|book| self.forecast.landed(book, Instant::now()));
        self.stands = book.is_some_and(|book| book.writers.contains_key(&self.setup.holder));
        let claims = book.map_or(0, |book| book.claims.len());
        self.setup.metrics.claims.set(claims as i64);
        report::settled(&settlement, &granted);
        self.setup.funds.landed(&settlement, granted);
        self.setup.selector.landed(&settlement.writer.witness, &self.setup.funds);
    }

    /// One call; `None` where the book had changed meanwhile.
    async fn attempt(&mut self, settlement: &Settlement) -> Result<Option<Vec<Granted>>, Fault> {
        let (book, version) = match self.known.take() {
            Some(known) => known,
            None => self.read().await?,
        };
        if book.has(&settlement.holder, settlement.writer.write) {
            self.known = Some((book, version));
            return Ok(Some(self.last.take().unwrap_or_default()));
        }
        let mut next = book.clone();
        self.forecast.report_outage(&mut next, Instant::now());
        let policy = self.policy();
        let granted = next.settle(settlement, policy);
        self.last = Some(granted.clone());
        let expect = if version == 0 { Expect::Absent } else { Expect::Version(version) };
        match self.setup.store.replace(BOOK.0, BOOK.1, &next.to_json(), expect).await {
            Put::Landed(version) => {
                self.known = Some((next, version));
                self.seen = true;
                Ok(Some(granted))
            }
            Put::Refused(Some(object)) => {
                self.take_over(&object)?;
                Ok(None)
            }
            Put::Refused(None) => Err(Fault::Gone),
            // Not carried out: the book may stand as it did.
            Put::Failed(reason) => {
                self.known = Some((book, version));
                Err(Fault::Write { reason })
            }
            // Read back first: it may have landed.
            Put::Unknown(reason) => Err(Fault::Write { reason }),
        }
    }

    /// Sizing of grants now.
    fn policy(&self) -> Policy {
        let policy = self.setup.settings.borrow().policy();
        let policy = self.forecast.policy(policy, Instant::now());
        match self.setup.peers.is_keeper() {
            true => policy,
            false => policy.on_demand(),
        }
    }

    async fn read(&mut self) -> Result<(Book, u64), Fault> {
        let found = self.setup.store.get(BOOK.0, BOOK.1).await;
        match found.map_err(|source| Fault::Store { source })? {
            Some(object) => {
                self.take_over(&object)?;
                self.known.take().ok_or(Fault::Gone)
            }
            None if self.seen => Err(Fault::Gone),
            None => Ok((Book::default(), 0)),
        }
    }

    fn take_over(&mut self, object: &objects::Object) -> Result<(), Fault> {
        let book = serde_json::from_str(&object.value).map_err(|source| Fault::Book { source })?;
        self.known = Some((book, object.version));
        self.seen = true;
        Ok(())
    }

    /// Gives everything back by plan, until `until` at the latest.
    ///
    /// Whatever the store does not take soon goes to other boxes: the witness knows that nothing
    /// more is used, and pages of bills are written by another box.
    pub async fn leave(&mut self, until: Instant) {
        let began = Instant::now();
        let Setup { selector, funds, peers, acquirer, .. } = &self.setup;
        acquirer.leave().await;
        selector.promise_all(funds, peers).await;
        let soon = until.min(Instant::now() + HAND_OVER);
        let mut done = tokio::time::timeout_at(soon, self.leave_book()).await.is_ok();
        if !done {
            self.hand_over().await;
            done = tokio::time::timeout_at(until, self.leave_book()).await.is_ok();
        }
        tracing::info!(
            event = "funds_returned",
            done,
            bills_waiting = self.setup.bills.waiting(),
            took_ms = began.elapsed().as_millis() as u64
        );
    }

    /// Writes all that is left to write. May be interrupted: the next call goes on.
    async fn leave_book(&mut self) {
        self.setup.bills.write(&self.setup.store, true).await;
        if self.pending.is_some() {
            self.settle(Participation::Active).await;
        }
        if self.is_of_book() {
            self.settle(Participation::Leaving).await;
        }
        let mut pause = PAUSE;
        while self.setup.bills.waiting() > 0 {
            self.setup.bills.write(&self.setup.store, true).await;
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MOST);
        }
        let version = *self.setup.registered.borrow();
        if let Some(version) = version {
            entry::remove(&self.setup.store, &self.setup.holder, version).await;
        }
    }

    async fn hand_over(&self) {
        let pages = self.setup.bills.hand_over();
        if pages.is_empty() {
            return;
        }
        let count = pages.len();
        let took = self.setup.peers.hand_over_bills(&pages).await;
        if took.is_empty() {
            tracing::warn!(event = "bills_not_handed_over", count);
            self.setup.bills.take_over(pages);
            return;
        }
        let to: Vec<&str> = took.iter().map(Incarnation::as_str).collect();
        tracing::info!(event = "bills_handed_over", to = to.join(","), count);
    }
}
