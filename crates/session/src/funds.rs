//! Tokens of a session: drawing from the ledgers, returning to them, and folding outcomes into them.

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
    Health, Operation, Recorder,
    account::{CachedLedger, Entry, Pending},
    draw::{Free, surplus, top_up},
};

/// Attempts of a ledger write before it is given up for now.
const MAX_ATTEMPTS: u32 = 12;
/// Longest wait for journal writes before a ledger write.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Age from which a cached ledger is read again if it shows a shortage or cannot take the whole journal.
const CACHED_LEDGER_TTL: Duration = Duration::from_millis(200);

/// Determines how many tokens a box aims to hold.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seconds of usage that the online part covers.
    pub online_horizon: u64,
    /// Seconds of usage that the offline part covers at most.
    pub offline_horizon: u64,
    /// Number of boxes that may hold tokens, as known to this box.
    pub boxes: u64,
}

/// Why tokens could not be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// Not enough tokens are left in the budget.
    #[snafu(display("the budget has not enough tokens left"))]
    Exhausted,
    /// The ledger did not answer in time.
    #[snafu(display("the ledger did not answer in time"))]
    Unreachable,
    /// There is no accepted budget of this name.
    #[snafu(display("the budget does not exist"))]
    Missing,
    /// The journal was sealed by another incarnation.
    #[snafu(display("this incarnation's journal is sealed"))]
    Sealed,
}

/// The tokens that a session holds of all budgets.
pub struct Funds {
    recorder: Recorder,
    store: Arc<dyn Store>,
    health: Health,
    config: watch::Receiver<Arc<Snapshot>>,
    entries: Mutex<BTreeMap<Arc<str>, Arc<Entry>>>,
    options: Mutex<Options>,
    incoming_transfers: AtomicUsize,
    log: timeline::Log,
}

/// Guard of a transfer from a peer; the receiving session is not idle until this is dropped.
pub struct Borrowing<'a>(&'a AtomicUsize);

impl Drop for Borrowing<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

enum Purpose {
    /// Draw this many tokens for a waiting request.
    Need(u64),
    /// Regular maintenance: fold outcomes, top up and return surplus.
    Maintain,
    /// Others lack tokens: return all but what one request here needs.
    ReturnSurplus,
}

impl Funds {
    /// Creates the funds of the recorder's incarnation.
    pub fn new(
        recorder: Recorder,
        store: Arc<dyn Store>,
        health: Health,
        config: watch::Receiver<Arc<Snapshot>>,
        options: Options,
        log: timeline::Log,
    ) -> Funds {
        let options = Mutex::new(options);
        let incoming_transfers = AtomicUsize::new(0);
        Funds {
            recorder,
            store,
            health,
            config,
            entries: Mutex::default(),
            options,
            incoming_transfers,
            log,
        }
    }

    fn incarnation(&self) -> &Incarnation {
        self.recorder.incarnation()
    }

    pub(crate) fn entry(&self, budget: &Arc<str>) -> Arc<Entry> {
        let mut entries = self.entries.lock();
        let new_entry = || Arc::new(Entry::new(budget.clone()));
        entries.entry(budget.clone()).or_insert_with(new_entry).clone()
    }

    /// Budgets that this session has used.
    pub fn budgets(&self) -> Vec<Arc<str>> {
        self.entries.lock().keys().cloned().collect()
    }

    /// Tokens given, charged and reserved in one part of a budget.
    pub fn tokens(&self, budget: &Arc<str>, part: Part) -> ledger::Tokens {
        self.entry(budget).account.lock().tokens(part)
    }

    /// Sets the number of boxes that may hold tokens.
    pub fn set_boxes(&self, boxes: u64) {
        self.options.lock().boxes = boxes;
    }

    /// Marks the start of a transfer from a peer to this session.
    pub fn borrow(&self) -> Borrowing<'_> {
        self.incoming_transfers.fetch_add(1, Ordering::AcqRel);
        Borrowing(&self.incoming_transfers)
    }

    /// Whether no tokens are reserved in any budget, and none are being transferred here.
    pub fn is_idle(&self) -> bool {
        self.incoming_transfers.load(Ordering::Acquire) == 0
            && self.entries.lock().values().all(|entry| entry.account.lock().is_idle())
    }

    /// Prepares for requests of up to `largest` tokens in a budget that has not been used here yet.
    pub fn prepare(&self, budget: &Arc<str>, largest: u64) {
        self.entry(budget).usage.lock().prepare(largest);
    }

    /// Debits offline tokens for a peer: the requested number, or a quarter of the free ones if that
    /// is more. `None` if fewer are free than requested.
    pub fn debit_offline(&self, budget: &Arc<str>, tokens: u64) -> Option<u64> {
        let entry = self.entry(budget);
        let mut account = entry.account.lock();
        let free = account.tokens(Part::Offline).free();
        let amount = tokens.max(free / 4);
        (free >= tokens && tokens > 0).then(|| account.remove(Part::Offline, amount))
    }

    /// Credits offline tokens that a peer passed on.
    pub fn credit_offline(&self, budget: &Arc<str>, tokens: u64) {
        self.entry(budget).account.lock().add(Part::Offline, tokens);
    }

    /// Returns surplus tokens of a budget that other boxes lack; true if any were returned.
    pub async fn return_surplus(&self, budget: &Arc<str>) -> bool {
        let entry = self.entry(budget);
        let before = entry.free(Part::Online) + entry.free(Part::Offline);
        let written = self.update(&entry, Purpose::ReturnSurplus).await;
        let after = entry.free(Part::Online) + entry.free(Part::Offline);
        written.is_ok() && after < before
    }

    /// Debits all free tokens, so that no more can be reserved.
    pub fn debit_all(&self) {
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

    /// Reserves tokens of the online part, drawing from the ledger if needed.
    pub async fn reserve_online(
        self: &Arc<Self>,
        budget: &Arc<str>,
        tokens: u64,
        timeout: Duration,
    ) -> Result<Reservation, ReserveError> {
        let entry = self.entry(budget);
        let end = Instant::now() + timeout;
        for _ in 0..MAX_ATTEMPTS {
            if let Ok(reservation) = entry.reserve(Part::Online, tokens) {
                return Ok(reservation);
            }
            // Spawned, so that the result of the draw is processed even if the caller stops waiting.
            let (funds, drawn) = (self.clone(), entry.clone());
            let draw =
                tokio::spawn(async move { funds.update(&drawn, Purpose::Need(tokens)).await });
            match tokio::time::timeout_at(end, draw).await {
                Ok(Ok(result)) => result?,
                Ok(Err(_)) | Err(_) => return Err(ReserveError::Unreachable),
            }
        }
        Err(ReserveError::Unreachable)
    }

    /// Maintains one budget: folds outcomes, tops up and returns surplus.
    pub async fn maintain(&self, budget: &Arc<str>) -> Result<(), ReserveError> {
        self.update(&self.entry(budget), Purpose::Maintain).await
    }

    /// Folds outcomes into the ledger of a budget, and draws or returns tokens as `purpose` requires.
    async fn update(&self, entry: &Arc<Entry>, purpose: Purpose) -> Result<(), ReserveError> {
        let mut cached = entry.cached.lock().await;
        if let Purpose::Need(tokens) = purpose
            && entry.free(Part::Online) >= tokens
        {
            return Ok(());
        }
        self.resolve_pending(entry, &mut cached).await?;
        self.drop_old_shortage(&mut cached, &purpose);
        self.list_in_journal(entry, &mut cached).await?;
        for attempt in 0..MAX_ATTEMPTS {
            if cached.ledger.is_none() || self.is_too_old(entry, &cached) {
                self.read(entry, &mut cached).await?;
            }
            let planned = self.plan(entry, &cached, &purpose).await;
            if planned.is_err() {
                // The cached ledger may be too old for this box's journal.
                cached.ledger = None;
            }
            let Some((next, draw)) = planned? else { return Ok(()) };
            match self.write(entry, &mut cached, next, draw).await? {
                true if matches!(purpose, Purpose::Maintain) && self.has_more(entry, &cached) => {}
                true => return self.check_need(entry, &purpose),
                false => tokio::time::sleep(Duration::from_millis(u64::from(attempt) * 3)).await,
            }
        }
        Err(ReserveError::Unreachable)
    }

    fn check_need(&self, entry: &Entry, purpose: &Purpose) -> Result<(), ReserveError> {
        match purpose {
            Purpose::Need(tokens) if entry.free(Part::Online) < *tokens => {
                Err(ReserveError::Exhausted)
            }
            _ => Ok(()),
        }
    }

    /// Whether the cached ledger is too old to fold the whole journal into it.
    fn is_too_old(&self, entry: &Entry, cached: &CachedLedger) -> bool {
        let old = cached.read_at.is_none_or(|at| at.elapsed() > CACHED_LEDGER_TTL);
        let stale = cached.ledger.clone().filter(|_| old);
        let journal = self.recorder.journal();
        stale.is_some_and(|mut ledger| !ledger.fold(&entry.budget, &journal).whole)
    }

    /// Drops a cached ledger that shows a shortage, if it is old: the shortage may be over.
    fn drop_old_shortage(&self, cached: &mut CachedLedger, purpose: &Purpose) {
        let Purpose::Need(tokens) = purpose else { return };
        let short = cached.ledger.as_ref().is_some_and(|ledger| ledger.left() < *tokens);
        let old = cached.read_at.is_none_or(|at| at.elapsed() > CACHED_LEDGER_TTL);
        if short && old {
            cached.ledger = None;
        }
    }

    /// Lists a budget in the journal before drawing from its ledger, so that whoever seals the journal
    /// knows which ledgers may have grants.
    async fn list_in_journal(
        &self,
        entry: &Entry,
        cached: &mut CachedLedger,
    ) -> Result<(), ReserveError> {
        if !cached.listed {
            self.recorder.add(Operation::Draw(entry.budget.clone()));
            if !self.recorder.flush_within(FLUSH_TIMEOUT).await {
                return Err(ReserveError::Unreachable);
            }
            cached.listed = true;
        }
        match self.recorder.is_sealed() {
            true => Err(ReserveError::Sealed),
            false => Ok(()),
        }
    }

    async fn read(&self, entry: &Entry, cached: &mut CachedLedger) -> Result<(), ReserveError> {
        let read = self.store.get("ledger", &entry.budget).await;
        let found = read.map_err(|_| {
            self.health.record_failure();
            ReserveError::Unreachable
        })?;
        self.health.record_success();
        cached.read_at = Some(Instant::now());
        (cached.version, cached.ledger) = match found {
            None => (0, Some(Ledger::default())),
            Some(object) => {
                let ledger = serde_json::from_str(&object.value);
                (object.version, Some(ledger.map_err(|_| ReserveError::Unreachable)?))
            }
        };
        Ok(())
    }

    /// Computes the ledger to write and its draw; `None` if there is nothing to write.
    async fn plan(
        &self,
        entry: &Arc<Entry>,
        cached: &CachedLedger,
        purpose: &Purpose,
    ) -> Result<Option<(Ledger, Draw)>, ReserveError> {
        let snapshot = self.config.borrow().clone();
        let ledger = cached.ledger.as_ref().expect("read before planning");
        let mut next = ledger.clone();
        let spec = snapshot.budgets.get(&entry.budget);
        if let Some(spec) = spec {
            next.apply_paid(spec.paid, snapshot.version(Kind::Budget, &entry.budget));
        }
        if spec.is_none() && cached.version == 0 {
            return Err(ReserveError::Missing);
        }
        let journal = self.recorder.journal();
        next.fold(&entry.budget, &journal);
        self.write_pages(entry, ledger, &mut next).await;
        let share = spec.map_or(0, |spec| spec.effective_offline_share());
        let draw = self.plan_draw(entry, &next, share, purpose).await;
        let is_requested =
            next.grants.get(self.incarnation()).is_some_and(|g| g.wanted == draw.wanted);
        if draw.wanted > 0 && is_requested && next == *ledger {
            return Err(ReserveError::Exhausted);
        }
        if draw == Draw::default() && next == *ledger {
            return self.check_need(entry, purpose).map(|()| None);
        }
        match next.draw(self.incarnation(), draw, cached.writes + 1) {
            Ok(()) => Ok(Some((next, draw))),
            Err(error) => {
                self.credit_returns(entry, draw);
                Err(match error {
                    ledger::Error::Sealed => ReserveError::Sealed,
                    ledger::Error::Exhausted { .. } | ledger::Error::ExceedsGrant { .. } => {
                        ReserveError::Unreachable
                    }
                })
            }
        }
    }

    /// Tokens to draw or return in the next write. Tokens to return have already been debited.
    async fn plan_draw(&self, entry: &Entry, next: &Ledger, share: u64, purpose: &Purpose) -> Draw {
        let target = self.target(entry, next, share);
        let mut free =
            Free { online: entry.free(Part::Online), offline: entry.free(Part::Offline), need: 0 };
        let returns = match purpose {
            Purpose::Need(tokens) => {
                free.need = *tokens;
                Draw::default()
            }
            Purpose::Maintain => surplus(target, free, next.wanted_by_others(self.incarnation())),
            Purpose::ReturnSurplus => {
                let (rate, largest, _) = entry.usage.lock().read();
                let own = if rate > 0 { largest } else { 0 };
                let target = ledger::Target { online: own, offline: target.offline / 4 };
                surplus(target, free, 1)
            }
        };
        if returns != Draw::default() {
            return self.debit_returns(entry, returns).await;
        }
        match purpose {
            Purpose::ReturnSurplus => Draw::default(),
            Purpose::Need(_) | Purpose::Maintain => top_up(next, target, free),
        }
    }

    /// Debits tokens to be returned, then waits until the queued journal writes are done. If they take too
    /// long, nothing is returned.
    async fn debit_returns(&self, entry: &Entry, returns: Draw) -> Draw {
        let debited = {
            let mut account = entry.account.lock();
            Draw {
                return_online: account.remove(Part::Online, returns.return_online),
                return_offline: account.remove(Part::Offline, returns.return_offline),
                ..Draw::default()
            }
        };
        if self.recorder.flush_within(FLUSH_TIMEOUT).await {
            return debited;
        }
        self.credit_returns(entry, debited);
        Draw::default()
    }

    fn target(&self, entry: &Entry, next: &Ledger, share: u64) -> ledger::Target {
        let (rate, largest, peak) = entry.usage.lock().read();
        let options = *self.options.lock();
        let policy = Policy {
            offline_share: share,
            online_horizon: options.online_horizon,
            offline_horizon: Duration::from_secs(options.offline_horizon),
            boxes: options.boxes,
            scarcity_permille: 0,
            use_permille: 1_000,
        };
        let unspent = next.paid.saturating_sub(next.spent);
        target(policy, Observed { rate, largest, peak, unspent })
    }

    /// Moves full pages of bills out of the ledger.
    ///
    /// Only bills of a ledger version that is stored go on a page: their order is final, so all
    /// writers of a page write the same bills.
    async fn write_pages(&self, entry: &Entry, stored: &Ledger, next: &mut Ledger) {
        for (number, page) in stored.full_pages() {
            let name = ledger::page_name(&entry.budget, number);
            let text = serde_json::to_string(&page).expect("pages always serialize");
            match self.store.put("bills", &name, text, Expect::Absent).await {
                Write::Landed(_) | Write::Refused => drop(next.drop_page(number)),
                Write::Failed | Write::Unknown => return,
            }
        }
    }

    /// Whether another write would fold more outcomes or write another page.
    fn has_more(&self, entry: &Entry, cached: &CachedLedger) -> bool {
        let Some(mut ledger) = cached.ledger.clone() else { return false };
        let paged = ledger.statement.recent.len() >= ledger::BILLS_PER_PAGE;
        paged || ledger.fold(&entry.budget, &self.recorder.journal()).outcomes > 0
    }

    /// Writes the ledger; true if the write took effect, false if another one came first.
    async fn write(
        &self,
        entry: &Arc<Entry>,
        cached: &mut CachedLedger,
        next: Ledger,
        draw: Draw,
    ) -> Result<bool, ReserveError> {
        let expect =
            if cached.version == 0 { Expect::Absent } else { Expect::Version(cached.version) };
        cached.writes += 1;
        let write = self.store.put("ledger", &entry.budget, next.to_json(), expect).await;
        match write {
            Write::Landed(version) => {
                self.health.record_success();
                self.commit(entry, cached, next, draw, version);
                Ok(true)
            }
            Write::Refused => {
                self.health.record_success();
                self.credit_returns(entry, draw);
                cached.ledger = None;
                Ok(false)
            }
            Write::Failed => {
                self.health.record_failure();
                self.credit_returns(entry, draw);
                Err(ReserveError::Unreachable)
            }
            Write::Unknown => {
                self.health.record_failure();
                let expected = cached.version;
                cached.pending = Some(Pending { expected, next, draw, write: cached.writes });
                self.resolve_pending(entry, cached).await?;
                Ok(false)
            }
        }
    }

    /// Determines whether a write with unknown outcome took effect, repeating it while it still may.
    async fn resolve_pending(
        &self,
        entry: &Arc<Entry>,
        cached: &mut CachedLedger,
    ) -> Result<(), ReserveError> {
        for _ in 0..MAX_ATTEMPTS {
            let Some(pending) = cached.pending.clone() else { return Ok(()) };
            self.read(entry, cached).await?;
            let ledger = cached.ledger.as_ref().expect("just read");
            let own_grant = ledger.grants.get(self.incarnation());
            let took_effect = own_grant.is_some_and(|grant| grant.write >= pending.write);
            match resolve(pending.expected, cached.version, took_effect) {
                Resolution::Landed => {
                    cached.pending = None;
                    let (version, ledger) = (cached.version, ledger.clone());
                    self.commit(entry, cached, ledger, pending.draw, version);
                }
                Resolution::Lost => {
                    cached.pending = None;
                    self.credit_returns(entry, pending.draw);
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
                        return Err(ReserveError::Unreachable);
                    }
                }
            }
        }
        match cached.pending {
            None => Ok(()),
            Some(_) => Err(ReserveError::Unreachable),
        }
    }

    /// Applies a ledger write that took effect to the account, the recorder and the cached ledger.
    fn commit(
        &self,
        entry: &Arc<Entry>,
        cached: &mut CachedLedger,
        next: Ledger,
        draw: Draw,
        version: u64,
    ) {
        {
            let mut account = entry.account.lock();
            account.add(Part::Online, draw.online);
            account.add(Part::Offline, draw.offline);
        }
        if let Some(grant) = next.grants.get(self.incarnation()) {
            self.recorder.mark_folded(&entry.budget, grant.folded);
        }
        let returned = draw.return_online + draw.return_offline;
        let (online, offline) = (draw.online, draw.offline);
        if online + offline + returned > 0 {
            let what = timeline::EventKind::Drawn { online, offline, returned };
            self.log.add_for_budget(&entry.budget, what);
        }
        (cached.version, cached.ledger) = (version, Some(next));
    }

    /// Credits the tokens again that were debited for a return which did not take effect.
    fn credit_returns(&self, entry: &Entry, draw: Draw) {
        let mut account = entry.account.lock();
        account.add(Part::Online, draw.return_online);
        account.add(Part::Offline, draw.return_offline);
    }

    /// Ends this session's own grant of one budget: folds the remaining outcomes, then returns the
    /// remaining tokens. Only correct once the journal is sealed or closed, nothing is reserved and
    /// the recorder is flushed.
    pub async fn end_grant(&self, budget: &Arc<str>) -> Result<(), ReserveError> {
        let entry = self.entry(budget);
        let mut cached = entry.cached.lock().await;
        self.resolve_pending(&entry, &mut cached).await?;
        for _ in 0..MAX_ATTEMPTS {
            self.read(&entry, &mut cached).await?;
            let ledger = cached.ledger.as_ref().expect("just read");
            let mut next = ledger.clone();
            let journal = self.recorder.journal();
            if !next.fold(budget, &journal).whole {
                // A transfer that another journal records has to be folded first.
                return Err(ReserveError::Unreachable);
            }
            if !next.grants.contains_key(self.incarnation()) {
                return Ok(());
            }
            let position = next.grants.get(self.incarnation()).map_or(0, |grant| grant.folded);
            let last = self.recorder.backlog() == 0;
            if last {
                next.end(self.incarnation());
            }
            if !last && next == *ledger {
                return Err(ReserveError::Unreachable);
            }
            if self.write(&entry, &mut cached, next, Draw::default()).await? {
                self.recorder.mark_folded(budget, position);
                // Folding made room in the journal for hand-ins that are still queued.
                return if last { Ok(()) } else { Err(ReserveError::Unreachable) };
            }
        }
        Err(ReserveError::Unreachable)
    }
}
