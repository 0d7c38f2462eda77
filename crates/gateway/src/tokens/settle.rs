//! The task that settles this box's tokens with the book in the store.
//!
//! One settlement is in progress at a time. It is retried until it is known to have landed: a
//! refused write returns the current book, and a write whose answer was lost is resolved by its
//! number.

mod history;
mod leave;

use std::{sync::Arc, time::Duration};

use history::History;
use ledger::{
    BOOK, Book, Claim, Granted, Incarnation, Landed, Policy, Return, Settlement, Unused, Writer,
};
use objects::{Expect, Store};
use platform::{
    store::{Client, Put},
    version,
};
use snafu::Snafu;
use tokio::{sync::watch, time::Instant};

use crate::{
    fleet::peers::Peers,
    metrics::Metrics,
    outage::{Outage, Probe, Recovery},
    settings::{SETTLEMENT_BATCH_MS, Settings},
    tokens::{
        acquirer::Acquirer, bills::Bills, claims, forecast::Forecast, funds::Funds,
        participation::Participation, report, spacing, witness::Selector,
    },
};

/// Interval of the log lines on store calls and peer traffic.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// First delay after a failed call; doubles up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two calls while the store does not answer.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// A box that is not a keeper retires from the book once it has not passed on or requested tokens
/// for this long. Longer than a restart of a box, during which others take over for it.
const RETIRE_DELAY: Duration = Duration::from_secs(8);
/// Longest wait for the list of boxes before the first settlement; witnesses are looked up there.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Interval at which witnesses are asked that did not answer, or whose box was not known yet.
const COLLECT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_WITNESSES_ASKED: usize = 8;
/// Interval at which a box that waits for its first read looks whether it needs the book.
const FIRST_READ_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before the first grants are requested, during which the other boxes register.
const REGISTER_DELAY: Duration = Duration::from_millis(1_500);

/// Time after a return of the store from a copy in which nothing new is drawn: all boxes learn of it and write again what
/// they drew in the lost seconds. As long as a subscriber takes to notice that its watcher is gone and to find another
/// one.
const RESTORE_TIME: Duration = Duration::from_millis(2_000);

/// Why the book could not be read or written.
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

/// Dependencies of a [`Settler`].
pub struct Setup {
    pub store: Client,
    pub funds: Funds,
    pub peers: Peers,
    pub selector: Selector,
    pub acquirer: Acquirer,
    pub metrics: Metrics,
    /// Version of this box's entry in the store, once it is written.
    pub registered: watch::Receiver<Option<u64>>,
    pub bills: Bills,
    pub holder: Incarnation,
    /// When this box first reads the book, as a part of the time that the fleet takes; random.
    pub first_read_at: f64,
    pub settings: watch::Receiver<Arc<Settings>>,
}

/// Settles this box's tokens with the book.
pub struct Settler {
    setup: Setup,
    outage: Outage,
    recovery: Recovery,
    /// An outage ended: the next settlement follows without the usual delay. The settlement that
    /// ended the outage was planned before it, so only the next one reports what was used meanwhile
    /// and returns the surplus, which should happen before anything else fails.
    settle_at_once: bool,
    /// The book as last read or written, with its version; version 0 if there is none in the store.
    known: Option<(Book, u64)>,
    /// Era of the store in which the book was last seen; if it is missing later in this era, no new one is created.
    book_era: Option<u64>,
    forecast: Forecast,
    /// Number of the last write.
    write: u64,
    /// The settlement in progress. It must land even if this task is interrupted.
    pending: Option<Settlement>,
    /// Whether this box is listed as a writer in the book.
    is_listed: bool,
    /// Tokens that dead incarnations left unused, for the next settlement.
    collected: Vec<Unused>,
    last_asked: Option<Instant>,
    /// Settlements that landed lately.
    history: History,
    /// The newest era of the store in which this box used the book, and when it first did.
    era: Option<(u64, Instant)>,
    /// Notifies of further eras of the store.
    eras: watch::Receiver<Option<u64>>,
}

impl Settler {
    pub fn new(setup: Setup, recovery: Recovery) -> Settler {
        let eras = setup.store.eras();
        Settler {
            setup,
            outage: Outage::new("book", Probe::Lazy, recovery.clone()),
            recovery,
            settle_at_once: false,
            known: None,
            book_era: None,
            forecast: Forecast::open(Instant::now()),
            write: 0,
            pending: None,
            is_listed: false,
            collected: Vec::new(),
            last_asked: None,
            history: History::default(),
            era: None,
            eras,
        }
    }

    /// Settles as needed, for as long as the box runs.
    pub async fn run(&mut self) {
        let mut last_log = Instant::now();
        self.settle_first().await;
        self.wait(REGISTER_DELAY).await;
        loop {
            if self.uses_book() {
                self.settle(self.participation()).await;
            }
            if last_log.elapsed() >= LOG_INTERVAL {
                last_log = Instant::now();
                report::calls(&self.setup.store);
                report::traffic(&self.setup.peers);
            }
            let settings = self.setup.settings.borrow().clone();
            let spacing = Duration::from_millis(settings.money.spacing_ms);
            let settle = Duration::from_millis(settings.money.settle_ms);
            let began = Instant::now();
            tokio::time::sleep(Duration::from_millis(SETTLEMENT_BATCH_MS)).await;
            if std::mem::take(&mut self.settle_at_once) {
                continue;
            }
            while !self.setup.funds.is_urgent() && began.elapsed() < self.interval(spacing, settle)
            {
                if self.wait_for_era(spacing).await || self.collect().await {
                    break;
                }
            }
        }
    }

    /// Waits until requests want tokens, at most for `timeout`; returns whether the store came back from a copy
    /// meanwhile. The known book may be missing there.
    async fn wait_for_era(&mut self, timeout: Duration) -> bool {
        let mut eras = self.eras.clone();
        tokio::select! {
            () = self.wait(timeout) => false,
            Ok(()) = eras.changed() => {
                self.eras = eras;
                self.known = None;
                true
            }
        }
    }

    /// Asks the witnesses of dead incarnations for which the book has open claims: a keeper asks
    /// for all of them, another box for its own. Returns whether there is anything to settle.
    async fn collect(&mut self) -> bool {
        let is_keeper = self.setup.peers.is_keeper();
        let Some((book, _)) = &self.known else { return false };
        let is_own = |name: &Incarnation| name.box_name() == self.setup.holder.box_name();
        let due = self.last_asked.is_none_or(|at| at.elapsed() >= COLLECT_INTERVAL);
        let open = book.claims.iter().filter(|(name, _)| is_keeper || is_own(name));
        let open: Vec<(Incarnation, Claim)> = open
            .take(MAX_WITNESSES_ASKED)
            .map(|(name, claim)| (name.clone(), claim.clone()))
            .collect();
        if open.is_empty() || !due {
            return false;
        }
        self.last_asked = Some(Instant::now());
        let collected = claims::ask(&self.setup.peers, open).await;
        self.collected.extend(collected);
        !self.collected.is_empty()
    }

    /// Whether this box settles with the book: it is the keeper of its availability zone, holds
    /// tokens granted by the book, or has something to report.
    fn uses_book(&self) -> bool {
        let Setup { peers, funds, .. } = &self.setup;
        let collected = !self.collected.is_empty();
        self.is_listed
            || self.pending.is_some()
            || collected
            || peers.is_keeper()
            || funds.uses_book()
            || self.may_miss_settlements()
    }

    /// Whether the store has come back from a copy that may lack settlements of this box.
    fn may_miss_settlements(&self) -> bool {
        match &self.known {
            Some((book, _)) => self.history.missing_from(book) > 0,
            None => !self.history.is_empty(),
        }
    }

    /// Whether this box is to draw nothing yet, since others may not have written again what they drew.
    fn withholds(&mut self, era: u64, book: &Book) -> bool {
        let now = Instant::now();
        // The first book of a store is no copy, whatever its era.
        let is_from_copy = book.landed > 0 && (book.returned.era < era || book.returned.landed > 0);
        match self.era {
            Some((known, since)) if known == era => is_from_copy && now < since + RESTORE_TIME,
            _ => {
                self.era = Some((era, now));
                is_from_copy
            }
        }
    }

    /// Whether this box goes on drawing from the book or retires from it, as another box is the
    /// keeper now.
    fn participation(&self) -> Participation {
        let Setup { peers, funds, .. } = &self.setup;
        let drawn_lately = funds.since_last_draw().is_some_and(|ago| ago < RETIRE_DELAY);
        let retires = self.is_listed && !drawn_lately && !peers.is_keeper();
        funds.set_retiring(retires);
        if retires { Participation::Retiring } else { Participation::Active }
    }

    /// Interval to the next settlement that no request waits for.
    fn interval(&self, spacing: Duration, settle: Duration) -> Duration {
        match self.setup.funds.is_due() || self.setup.selector.is_due(&self.setup.peers) {
            true => spacing * spacing::interval_factor(self.writers()),
            false => settle,
        }
    }

    /// Number of boxes that write the book, as of the last read.
    fn writers(&self) -> usize {
        self.known.as_ref().map_or(0, |(book, _)| book.writers.len())
    }

    /// Settles for the earlier incarnations of this box, if the book lists any, with what their
    /// witnesses report.
    async fn settle_first(&mut self) {
        let mut registered = self.setup.registered.clone();
        let listed = registered.wait_for(Option::is_some);
        let _ = tokio::time::timeout(LIST_TIMEOUT, listed).await;
        self.wait_for_first_read().await;
        let mut delay = RETRY_DELAY;
        let book = loop {
            match self.read().await {
                Ok(known) => break self.known.insert(known).0.clone(),
                Err(fault) => self.wait_after_failure(&fault, &mut delay).await,
            }
        };
        if !book.knows_box_of(&self.setup.holder) {
            return;
        }
        self.collected =
            claims::ask(&self.setup.peers, book.earlier_claims(&self.setup.holder)).await;
        self.settle(Participation::Active).await;
    }

    /// Waits for this box's turn to read the book, or until it needs it.
    async fn wait_for_first_read(&mut self) {
        let delay = spacing::first_read_delay(self.setup.peers.boxes(), self.setup.first_read_at);
        let until = Instant::now() + delay;
        while Instant::now() < until && !self.uses_book() {
            tokio::time::sleep(FIRST_READ_CHECK_INTERVAL.min(until - Instant::now())).await;
        }
    }

    /// Returns this box's entry in the book for the next write, under a new number.
    fn writer(&mut self) -> Writer {
        self.write += 1;
        let Setup { peers, selector, .. } = &self.setup;
        let witness = selector.choose(peers, self.write);
        let witness_at = witness.as_ref().and_then(|witness| peers.address_of(&witness.by));
        Writer { write: self.write, peer: peers.address(), witness, witness_at }
    }

    async fn wait_after_failure(&mut self, fault: &Fault, delay: &mut Duration) {
        self.outage.record_failure(fault);
        self.forecast.record_failure(Instant::now());
        self.setup.funds.set_store_unreachable(true);
        // Ends the delay as soon as any task of this box reaches the store.
        let _ = tokio::time::timeout(*delay, self.recovery.recovered()).await;
        *delay = (*delay * 2).min(MAX_RETRY_DELAY);
    }

    async fn wait(&self, timeout: Duration) {
        if !self.setup.funds.is_urgent() {
            let _ = tokio::time::timeout(timeout, self.setup.funds.wanted()).await;
        }
    }

    /// Writes one settlement until it has landed. Cancel safe: the next call resumes it.
    async fn settle(&mut self, participation: Participation) {
        let settlement = match self.pending.take() {
            Some(pending) => pending,
            None => {
                let writer = self.writer();
                let earlier = std::mem::take(&mut self.collected);
                let plan = self.setup.funds.plan(&self.setup.holder, writer, participation);
                Settlement { unused_by_earlier: earlier, ..plan }
            }
        };
        self.pending = Some(settlement.clone());
        let mut delay = RETRY_DELAY;
        let (began, mut conflicts) = (Instant::now(), 0);
        let granted = loop {
            match self.attempt(&settlement).await {
                Ok(Some(granted)) => break granted,
                Ok(None) => conflicts += 1,
                Err(fault) => self.wait_after_failure(&fault, &mut delay).await,
            }
        };
        self.pending = None;
        self.setup.funds.set_store_unreachable(false);
        tracing::info!(
            event = "settlement_landed",
            write = settlement.writer.write,
            met = conflicts,
            took_ms = began.elapsed().as_millis() as u64,
            writers = self.writers(),
        );
        self.outage.record_success();
        let book = self.known.as_ref().map(|(book, _)| book);
        self.settle_at_once =
            book.is_some_and(|book| self.forecast.record_settlement(book, Instant::now()));
        self.is_listed = book.is_some_and(|book| book.writers.contains_key(&self.setup.holder));
        let claims = book.map_or(0, |book| book.claims.len());
        self.setup.metrics.claims.set(claims as i64);
        report::settled(&settlement, &granted);
        let uncovered = granted.iter().map(|granted| granted.uncovered_tokens).sum();
        self.setup.metrics.uncovered_tokens.inc_by(uncovered);
        self.setup.funds.landed(&settlement, granted);
        self.setup.selector.landed(&settlement.writer.witness, &self.setup.funds);
    }

    /// Makes one attempt; returns `None` if another box has changed the book meanwhile.
    async fn attempt(&mut self, settlement: &Settlement) -> Result<Option<Vec<Granted>>, Fault> {
        let (book, version) = match self.known.take() {
            Some(known) => known,
            None => self.read().await?,
        };
        if book.has_landed(settlement) {
            let granted = self.record_found(settlement, &book, version::era(version));
            self.known = Some((book, version));
            return Ok(Some(granted));
        }
        let mut next = book.clone();
        let era = if version == 0 { self.store_era() } else { version::era(version) };
        next.note_era(era);
        let restored = self.history.restore(&mut next);
        let withholds = self.withholds(era, &book);
        let settlement = &Settlement { withholds, ..settlement.clone() };
        self.forecast.report_outage(&mut next, Instant::now());
        let policy = self.policy();
        let granted = next.settle(settlement, policy);
        let expect = if version == 0 { Expect::Absent } else { Expect::Version(version) };
        match self.setup.store.replace(BOOK.0, BOOK.1, &next.to_json(), expect).await {
            Put::Landed(version) => {
                let era = version::era(version);
                let (settlement, returned) = (settlement.clone(), next.returned);
                let landed = Landed { settlement, granted, era, landed: next.landed };
                self.known = Some((next, version));
                self.book_era = Some(era);
                Ok(Some(self.record_landed(landed, returned, restored)))
            }
            Put::Refused(Some(object)) => {
                self.set_known(&object)?;
                Ok(None)
            }
            Put::Refused(None) => Err(Fault::Gone),
            // Not applied: the known book may still be current.
            Put::Failed(reason) => {
                self.known = Some((book, version));
                Err(Fault::Write { reason })
            }
            // The write may have landed or still do so, so the next attempt reads the book first.
            Put::Unknown(reason) => {
                let held = next.held_by(&settlement.holder);
                let write = settlement.writer.write;
                tracing::info!(event = "settlement_unanswered", write, version, held);
                Err(Fault::Write { reason })
            }
        }
    }

    /// Returns the policy that sizes grants now.
    fn policy(&self) -> Policy {
        let policy = self.setup.settings.borrow().policy();
        let policy = self.forecast.policy(policy, Instant::now());
        match self.setup.peers.is_keeper() {
            true => policy,
            false => policy.on_demand(),
        }
    }

    /// The newest known era of the store.
    fn store_era(&self) -> u64 {
        self.eras.borrow().unwrap_or_default()
    }

    /// Remembers a settlement that landed; returns what it granted.
    fn record_landed(&mut self, landed: Landed, returned: Return, restored: usize) -> Vec<Granted> {
        if restored > 0 {
            tracing::warn!(event = "settlements_written_again", era = landed.era, restored);
            self.history.restored(returned, landed.era, landed.landed);
        }
        let granted = landed.granted.clone();
        self.history.add(landed, Instant::now());
        granted
    }

    /// Remembers a settlement whose number a book shows, as that book shows it: any of the attempts to
    /// write it may be the one that landed, and they differ in what they granted. Returns what it granted.
    fn record_found(&mut self, settlement: &Settlement, book: &Book, era: u64) -> Vec<Granted> {
        let write = settlement.writer.write;
        let receipt = book.receipt(&settlement.holder, write);
        let granted = book.granted(settlement, self.policy());
        let tokens: u64 = granted.iter().map(|granted| granted.tokens).sum();
        let held = book.held_by(&settlement.holder);
        match receipt {
            // A box that left is no writer any more, and was granted nothing.
            _ if settlement.leaves => tracing::info!(event = "last_settlement_found", write),
            Some(_) => {
                tracing::info!(event = "settlement_found", write, held, granted = tokens);
            }
            // The book counts the tokens as granted to this box until that ends.
            None => tracing::error!(event = "settlement_without_receipt", write, held),
        }
        let landed = receipt.map_or(book.landed, |receipt| receipt.landed);
        // A book that shows this settlement shows all earlier ones, too.
        let restored = self.history.missing_from(book);
        let landed = Landed { settlement: settlement.clone(), granted, era, landed };
        self.record_landed(landed, book.returned, restored)
    }

    async fn read(&mut self) -> Result<(Book, u64), Fault> {
        let found = self.setup.store.get(BOOK.0, BOOK.1).await;
        match found.map_err(|source| Fault::Store { source })? {
            Some(object) => {
                self.set_known(&object)?;
                self.known.take().ok_or(Fault::Gone)
            }
            // A copy of the store may be older than the book.
            None if self.book_era == Some(self.store_era()) => Err(Fault::Gone),
            None => Ok((Book::default(), 0)),
        }
    }

    fn set_known(&mut self, object: &objects::Object) -> Result<(), Fault> {
        let book = serde_json::from_str(&object.value).map_err(|source| Fault::Book { source })?;
        self.known = Some((book, object.version));
        self.book_era = Some(version::era(object.version));
        Ok(())
    }
}
