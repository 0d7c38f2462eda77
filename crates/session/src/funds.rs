//! Drawing from, returning to and folding into the ledgers.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use config::Snapshot;
use ledger::{Draw, Incarnation, Ledger, Observed, Part, Policy, Reservation, target};
use objects::{Expect, Resolution, Store, Write, resolve};
use parking_lot::Mutex;
use resource::Kind;
use snafu::Snafu;
use tokio::{sync::watch, time::Instant};

use crate::{
    Health, Recorder, Work,
    account::{Book, Entry, Pending},
    draw::{Free, surplus, wish},
};

/// Conflicts after which a ledger write gives up for now.
const TRIES: u32 = 12;
/// Longest wait for the journal before a ledger write.
const FLUSH: Duration = Duration::from_secs(2);
/// Age up to which a ledger that lacks tokens is believed without reading it again.
const SHORT_MEMORY: Duration = Duration::from_millis(200);

/// How a box sizes what it holds.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seconds of use the online part covers.
    pub online_horizon: u64,
    /// Seconds of use the offline part covers at most.
    pub offline_horizon: u64,
    /// Boxes that may hold a part, as this box believes.
    pub boxes: u64,
}

/// Why tokens could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Denial {
    /// The budget has not enough left.
    #[snafu(display("the budget has not enough tokens left"))]
    Exhausted,
    /// The ledger did not answer in time.
    #[snafu(display("the ledger did not answer in time"))]
    Unreachable,
    /// No such budget is accepted.
    #[snafu(display("the budget does not exist"))]
    Missing,
    /// Another incarnation sealed the journal.
    #[snafu(display("this incarnation's journal is sealed"))]
    Sealed,
}

/// Everything a session holds of all budgets.
pub struct Funds {
    recorder: Recorder,
    store: Arc<dyn Store>,
    health: Health,
    config: watch::Receiver<Arc<Snapshot>>,
    entries: Mutex<BTreeMap<Arc<str>, Arc<Entry>>>,
    options: Mutex<Options>,
    borrowing: AtomicUsize,
    log: timeline::Log,
}

/// While it lives, its session takes tokens from a peer and is not idle.
pub struct Borrowing<'a>(&'a AtomicUsize);

impl Drop for Borrowing<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

enum Purpose {
    /// A request waits for this many tokens.
    Need(u64),
    /// The regular fold, top-up and return.
    Keep,
    /// Others lack tokens now: return all but what one request here needs.
    Spare,
}

impl Funds {
    /// Funds of the recorder's incarnation.
    pub fn new(
        recorder: Recorder,
        store: Arc<dyn Store>,
        health: Health,
        config: watch::Receiver<Arc<Snapshot>>,
        options: Options,
        log: timeline::Log,
    ) -> Funds {
        let options = Mutex::new(options);
        let borrowing = AtomicUsize::new(0);
        Funds {
            recorder,
            store,
            health,
            config,
            entries: Mutex::default(),
            options,
            borrowing,
            log,
        }
    }

    fn me(&self) -> &Incarnation {
        self.recorder.incarnation()
    }

    pub(crate) fn entry(&self, budget: &Arc<str>) -> Arc<Entry> {
        let mut entries = self.entries.lock();
        let fresh = || Arc::new(Entry::new(budget.clone()));
        entries.entry(budget.clone()).or_insert_with(fresh).clone()
    }

    /// Budgets that this session has touched.
    pub fn budgets(&self) -> Vec<Arc<str>> {
        self.entries.lock().keys().cloned().collect()
    }

    /// Tokens given, charged and reserved of one part of one budget.
    pub fn tokens(&self, budget: &Arc<str>, part: Part) -> ledger::Tokens {
        self.entry(budget).account.lock().tokens(part)
    }

    /// The number of boxes that may hold a part.
    pub fn set_boxes(&self, boxes: u64) {
        self.options.lock().boxes = boxes;
    }

    /// Says that tokens of a peer are on their way to this session.
    pub fn borrow(&self) -> Borrowing<'_> {
        self.borrowing.fetch_add(1, Ordering::AcqRel);
        Borrowing(&self.borrowing)
    }

    /// Whether nothing is reserved in any budget, and nothing on its way here.
    pub fn is_idle(&self) -> bool {
        self.borrowing.load(Ordering::Acquire) == 0
            && self.entries.lock().values().all(|entry| entry.account.lock().is_idle())
    }

    /// Gets ready for requests of a budget that has not been used here yet.
    pub fn prepare(&self, budget: &Arc<str>, largest: u64) {
        self.entry(budget).usage.lock().expect(largest);
    }

    /// Takes offline tokens out for a peer: what it asks for, or a quarter of what is free if that
    /// is more. `None` if it cannot have what it asks for.
    pub fn take_offline(&self, budget: &Arc<str>, tokens: u64) -> Option<u64> {
        let entry = self.entry(budget);
        let mut account = entry.account.lock();
        let free = account.tokens(Part::Offline).free();
        let wished = tokens.max(free / 4);
        (free >= tokens && tokens > 0).then(|| account.remove(Part::Offline, wished))
    }

    /// Adds offline tokens that a peer passed on.
    pub fn give_offline(&self, budget: &Arc<str>, tokens: u64) {
        self.entry(budget).account.lock().add(Part::Offline, tokens);
    }

    /// Returns what this box can spare of a budget that others lack; true if anything returned.
    pub async fn return_surplus(&self, budget: &Arc<str>) -> bool {
        let entry = self.entry(budget);
        let before = entry.free(Part::Online) + entry.free(Part::Offline);
        let written = self.update(&entry, Purpose::Spare).await;
        let after = entry.free(Part::Online) + entry.free(Part::Offline);
        written.is_ok() && after < before
    }

    /// Takes all free tokens out of the accounts: nothing more is reserved from them.
    pub fn drain(&self) {
        for entry in self.entries.lock().values() {
            let mut account = entry.account.lock();
            account.remove(Part::Online, u64::MAX);
            account.remove(Part::Offline, u64::MAX);
        }
    }

    /// Reserves tokens of the offline part.
    pub fn reserve_offline(&self, budget: &Arc<str>, tokens: u64) -> Option<Reservation> {
        self.entry(budget).reserve(Part::Offline, tokens).ok()
    }

    /// Reserves tokens of the online part, drawing if it must.
    pub async fn reserve_online(
        self: &Arc<Self>,
        budget: &Arc<str>,
        tokens: u64,
        within: Duration,
    ) -> Result<Reservation, Denial> {
        let entry = self.entry(budget);
        let end = Instant::now() + within;
        for _ in 0..TRIES {
            if let Ok(reservation) = entry.reserve(Part::Online, tokens) {
                return Ok(reservation);
            }
            // The draw goes on when its waiter gives up: its answer must not be lost.
            let (funds, drawn) = (self.clone(), entry.clone());
            let draw =
                tokio::spawn(async move { funds.update(&drawn, Purpose::Need(tokens)).await });
            match tokio::time::timeout_at(end, draw).await {
                Ok(Ok(result)) => result?,
                Ok(Err(_)) | Err(_) => return Err(Denial::Unreachable),
            }
        }
        Err(Denial::Unreachable)
    }

    /// Folds, tops up and returns surplus of one budget.
    pub async fn maintain(&self, budget: &Arc<str>) -> Result<(), Denial> {
        self.update(&self.entry(budget), Purpose::Keep).await
    }

    async fn update(&self, entry: &Arc<Entry>, purpose: Purpose) -> Result<(), Denial> {
        let mut book = entry.book.lock().await;
        if let Purpose::Need(tokens) = purpose
            && entry.free(Part::Online) >= tokens
        {
            return Ok(());
        }
        self.settle_pending(entry, &mut book).await?;
        self.forget_shortage(&mut book, &purpose);
        self.list_drawn(entry, &mut book).await?;
        for attempt in 0..TRIES {
            if book.ledger.is_none() || self.is_stuck(entry, &book) {
                self.read(entry, &mut book).await?;
            }
            let planned = self.plan(entry, &book, &purpose).await;
            if planned.is_err() {
                // What was believed of the ledger may be too old to fit this box's journal.
                book.ledger = None;
            }
            let Some((next, draw)) = planned? else { return Ok(()) };
            match self.write(entry, &mut book, next, draw).await? {
                true if matches!(purpose, Purpose::Keep) && self.has_more(entry, &book) => {}
                true => return self.verdict(entry, &purpose),
                false => tokio::time::sleep(Duration::from_millis(u64::from(attempt) * 3)).await,
            }
        }
        Err(Denial::Unreachable)
    }

    fn verdict(&self, entry: &Entry, purpose: &Purpose) -> Result<(), Denial> {
        match purpose {
            Purpose::Need(tokens) if entry.free(Part::Online) < *tokens => Err(Denial::Exhausted),
            _ => Ok(()),
        }
    }

    /// Whether the ledger as it is believed is too old for all of the journal to be folded.
    fn is_stuck(&self, entry: &Entry, book: &Book) -> bool {
        let old = book.read_at.is_none_or(|at| at.elapsed() > SHORT_MEMORY);
        let believed = book.ledger.clone().filter(|_| old);
        let journal = self.recorder.journal();
        believed.is_some_and(|mut ledger| !ledger.fold(&entry.budget, &journal).whole)
    }

    /// A shortage may be over: it is believed only for a moment.
    fn forget_shortage(&self, book: &mut Book, purpose: &Purpose) {
        let Purpose::Need(tokens) = purpose else { return };
        let short = book.ledger.as_ref().is_some_and(|ledger| ledger.left() < *tokens);
        let old = book.read_at.is_none_or(|at| at.elapsed() > SHORT_MEMORY);
        if short && old {
            book.ledger = None;
        }
    }

    /// The journal names a budget before the ledger grants from it, so that whoever seals the
    /// journal knows where grants may be.
    async fn list_drawn(&self, entry: &Entry, book: &mut Book) -> Result<(), Denial> {
        if !book.listed {
            self.recorder.add(Work::Draw(entry.budget.clone()));
            if !self.recorder.flush_within(FLUSH).await {
                return Err(Denial::Unreachable);
            }
            book.listed = true;
        }
        match self.recorder.is_sealed() {
            true => Err(Denial::Sealed),
            false => Ok(()),
        }
    }

    async fn read(&self, entry: &Entry, book: &mut Book) -> Result<(), Denial> {
        let read = self.store.get("ledger", &entry.budget).await;
        let found = read.map_err(|_| {
            self.health.record_failure();
            Denial::Unreachable
        })?;
        self.health.record_success();
        book.read_at = Some(Instant::now());
        (book.version, book.ledger) = match found {
            None => (0, Some(Ledger::default())),
            Some(object) => {
                let ledger = serde_json::from_str(&object.value);
                (object.version, Some(ledger.map_err(|_| Denial::Unreachable)?))
            }
        };
        Ok(())
    }

    /// The ledger after this write, or `None` if there is nothing to write.
    async fn plan(
        &self,
        entry: &Arc<Entry>,
        book: &Book,
        purpose: &Purpose,
    ) -> Result<Option<(Ledger, Draw)>, Denial> {
        let snapshot = self.config.borrow().clone();
        let ledger = book.ledger.as_ref().expect("read before planning");
        let mut next = ledger.clone();
        let spec = snapshot.budgets.get(&entry.budget);
        if let Some(spec) = spec {
            next.apply_paid(spec.paid, snapshot.version(Kind::Budget, &entry.budget));
        }
        if spec.is_none() && book.version == 0 {
            return Err(Denial::Missing);
        }
        let journal = self.recorder.journal();
        next.fold(&entry.budget, &journal);
        self.write_pages(entry, ledger, &mut next).await;
        let share = spec.map_or(0, |spec| spec.effective_offline_share());
        let draw = self.draw(entry, &next, share, purpose).await;
        let known_short = next.grants.get(self.me()).is_some_and(|g| g.wanted == draw.wanted);
        if draw.wanted > 0 && known_short && next == *ledger {
            return Err(Denial::Exhausted);
        }
        if draw == Draw::default() && next == *ledger {
            return self.verdict(entry, purpose).map(|()| None);
        }
        match next.draw(self.me(), draw, book.writes + 1) {
            Ok(()) => Ok(Some((next, draw))),
            Err(error) => {
                self.undo(entry, draw);
                Err(match error {
                    ledger::Error::Sealed => Denial::Sealed,
                    ledger::Error::Exhausted { .. } | ledger::Error::Misfit { .. } => {
                        Denial::Unreachable
                    }
                })
            }
        }
    }

    async fn draw(&self, entry: &Entry, next: &Ledger, share: u64, purpose: &Purpose) -> Draw {
        let target = self.target(entry, next, share);
        let mut free =
            Free { online: entry.free(Part::Online), offline: entry.free(Part::Offline), need: 0 };
        let back = match purpose {
            Purpose::Need(tokens) => {
                free.need = *tokens;
                Draw::default()
            }
            Purpose::Keep => surplus(target, free, next.wanted_by_others(self.me())),
            Purpose::Spare => {
                let (rate, largest, _) = entry.usage.lock().read();
                let own = if rate > 0 { largest } else { 0 };
                let target = ledger::Target { online: own, offline: target.offline / 4 };
                surplus(target, free, 1)
            }
        };
        if back != Draw::default() {
            return self.take_back(entry, back).await;
        }
        match purpose {
            Purpose::Spare => Draw::default(),
            Purpose::Need(_) | Purpose::Keep => wish(next, target, free),
        }
    }

    /// Debits what is returned, then waits until the journal no longer holds it.
    async fn take_back(&self, entry: &Entry, back: Draw) -> Draw {
        let taken = {
            let mut account = entry.account.lock();
            Draw {
                return_online: account.remove(Part::Online, back.return_online),
                return_offline: account.remove(Part::Offline, back.return_offline),
                ..Draw::default()
            }
        };
        if self.recorder.flush_within(FLUSH).await {
            return taken;
        }
        self.undo(entry, taken);
        Draw::default()
    }

    fn target(&self, entry: &Entry, next: &Ledger, share: u64) -> ledger::Target {
        let (rate, largest, peak) = entry.usage.lock().read();
        let options = *self.options.lock();
        let policy = Policy {
            offline_share: share,
            online_horizon: options.online_horizon,
            offline_horizon: options.offline_horizon,
            boxes: options.boxes,
            scarcity_permille: 0,
        };
        let unspent = next.paid.saturating_sub(next.spent);
        target(policy, Observed { rate, largest, peak, unspent })
    }

    /// Moves full pages of bills out of the ledger.
    ///
    /// Only bills that have landed go on a page: their order is settled, so whoever writes the
    /// page writes the same one.
    async fn write_pages(&self, entry: &Entry, landed: &Ledger, next: &mut Ledger) {
        for (number, page) in landed.full_pages() {
            let name = ledger::page_name(&entry.budget, number);
            let text = serde_json::to_string(&page).expect("pages always serialize");
            match self.store.put("bills", &name, text, Expect::Absent).await {
                Write::Landed(_) | Write::Refused => drop(next.drop_page(number)),
                Write::Failed | Write::Unknown => return,
            }
        }
    }

    /// Whether another write would fold or page more.
    fn has_more(&self, entry: &Entry, book: &Book) -> bool {
        let Some(mut ledger) = book.ledger.clone() else { return false };
        let paged = ledger.statement.recent.len() >= ledger::BILLS_PER_PAGE;
        paged || ledger.fold(&entry.budget, &self.recorder.journal()).outcomes > 0
    }

    /// Writes the ledger; true if it landed, false if another write came first.
    async fn write(
        &self,
        entry: &Arc<Entry>,
        book: &mut Book,
        next: Ledger,
        draw: Draw,
    ) -> Result<bool, Denial> {
        let expect = if book.version == 0 { Expect::Absent } else { Expect::Version(book.version) };
        book.writes += 1;
        let write = self.store.put("ledger", &entry.budget, next.to_json(), expect).await;
        match write {
            Write::Landed(version) => {
                self.health.record_success();
                self.landed(entry, book, next, draw, version);
                Ok(true)
            }
            Write::Refused => {
                self.health.record_success();
                self.undo(entry, draw);
                book.ledger = None;
                Ok(false)
            }
            Write::Failed => {
                self.health.record_failure();
                self.undo(entry, draw);
                Err(Denial::Unreachable)
            }
            Write::Unknown => {
                self.health.record_failure();
                let expected = book.version;
                book.pending = Some(Pending { expected, next, draw, write: book.writes });
                self.settle_pending(entry, book).await?;
                Ok(false)
            }
        }
    }

    /// Finds out whether a write whose answer was lost has landed, sending it again if it still
    /// could.
    async fn settle_pending(&self, entry: &Arc<Entry>, book: &mut Book) -> Result<(), Denial> {
        for _ in 0..TRIES {
            let Some(pending) = book.pending.clone() else { return Ok(()) };
            self.read(entry, book).await?;
            let ledger = book.ledger.as_ref().expect("just read");
            let mine = ledger.grants.get(self.me());
            let marked = mine.is_some_and(|grant| grant.write >= pending.write);
            match resolve(pending.expected, book.version, marked) {
                Resolution::Landed => {
                    book.pending = None;
                    let (version, ledger) = (book.version, ledger.clone());
                    self.landed(entry, book, ledger, pending.draw, version);
                }
                Resolution::Lost => {
                    book.pending = None;
                    self.undo(entry, pending.draw);
                }
                Resolution::Open => {
                    let expect = match pending.expected {
                        0 => Expect::Absent,
                        version => Expect::Version(version),
                    };
                    let text = pending.next.to_json();
                    if let Write::Failed =
                        self.store.put("ledger", &entry.budget, text, expect).await
                    {
                        return Err(Denial::Unreachable);
                    }
                }
            }
        }
        match book.pending {
            None => Ok(()),
            Some(_) => Err(Denial::Unreachable),
        }
    }

    fn landed(&self, entry: &Arc<Entry>, book: &mut Book, next: Ledger, draw: Draw, version: u64) {
        {
            let mut account = entry.account.lock();
            account.add(Part::Online, draw.online);
            account.add(Part::Offline, draw.offline);
        }
        if let Some(grant) = next.grants.get(self.me()) {
            self.recorder.folded(&entry.budget, grant.folded);
        }
        let returned = draw.return_online + draw.return_offline;
        let (online, offline) = (draw.online, draw.offline);
        if online + offline + returned > 0 {
            let what = timeline::EventKind::Drawn { online, offline, returned };
            self.log.add_for_budget(&entry.budget, what);
        }
        (book.version, book.ledger) = (version, Some(next));
    }

    /// Tokens taken for a return that did not land are free again.
    fn undo(&self, entry: &Entry, draw: Draw) {
        let mut account = entry.account.lock();
        account.add(Part::Online, draw.return_online);
        account.add(Part::Offline, draw.return_offline);
    }

    /// Ends this session's grant of one budget by its own word: folds what is left, then returns
    /// the rest. Only correct once the journal is sealed or closed, nothing is reserved and the
    /// recorder is flushed.
    pub async fn surrender(&self, budget: &Arc<str>) -> Result<(), Denial> {
        let entry = self.entry(budget);
        let mut book = entry.book.lock().await;
        self.settle_pending(&entry, &mut book).await?;
        for _ in 0..TRIES {
            self.read(&entry, &mut book).await?;
            let ledger = book.ledger.as_ref().expect("just read");
            let mut next = ledger.clone();
            let journal = self.recorder.journal();
            if !next.fold(budget, &journal).whole {
                // It waits for a transfer that another journal holds.
                return Err(Denial::Unreachable);
            }
            if !next.grants.contains_key(self.me()) {
                return Ok(());
            }
            let position = next.grants.get(self.me()).map_or(0, |grant| grant.folded);
            let last = self.recorder.backlog() == 0;
            if last {
                next.end(self.me());
            }
            if !last && next == *ledger {
                return Err(Denial::Unreachable);
            }
            if self.write(&entry, &mut book, next, Draw::default()).await? {
                self.recorder.folded(budget, position);
                // Folding made room for hand-ins that still wait.
                return if last { Ok(()) } else { Err(Denial::Unreachable) };
            }
        }
        Err(Denial::Unreachable)
    }
}
