//! All sessions of one box: the current one, and former ones that have not returned all tokens yet.

use std::{sync::Arc, time::Duration};

use config::Snapshot;
use ledger::{Incarnation, Record, Transfer};
use objects::Store;
use parking_lot::{Mutex, RwLock};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::Snafu;
use timeline::{EventKind, Log};
use tokio::sync::watch;

use crate::{Health, Hold, HoldError, IntentError, Options, Peers, ReserveError, Session};

/// Attempts for one request, each with a new session if the journal of the previous one is sealed.
const MAX_ATTEMPTS: u32 = 4;
/// Longest wait for tokens of a peer.
const BORROW_TIMEOUT: Duration = Duration::from_millis(300);

/// What all sessions of a box share.
#[derive(Clone)]
pub struct Setup {
    /// Name of the box.
    pub box_name: Arc<str>,
    /// Store of the platform.
    pub store: Arc<dyn Store>,
    /// Whether the platform is reachable.
    pub health: Health,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<Snapshot>>,
    /// Determines how many tokens the box aims to hold.
    pub options: Options,
    /// Minimum time between two journal writes.
    pub min_write_interval: Duration,
    /// Log of events.
    pub log: Log,
    /// Other boxes; `None` if the box works without them.
    pub peers: Option<Arc<dyn Peers>>,
}

/// Why a request gets no tokens. The request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// Not enough tokens are left in the budget.
    #[snafu(display("the budget has not enough tokens left for the maximum cost of the request"))]
    Exhausted,
    /// There is no accepted budget of this name.
    #[snafu(display("the budget of this API key does not exist"))]
    Missing,
    /// The platform is unreachable and the offline part is exhausted.
    #[snafu(display("the platform is unreachable and this box's offline tokens are exhausted"))]
    OfflineExhausted,
    /// Other boxes sealed the journals of this box repeatedly.
    #[snafu(display("this box was considered dead by others and is starting a new session"))]
    Replaced,
}

/// The sessions of one box.
pub struct Sessions {
    setup: Setup,
    current: RwLock<Session>,
    former: Mutex<Vec<Session>>,
    random: Mutex<ChaCha8Rng>,
}

impl Sessions {
    /// Opens the first session. `seed` must be different at each start, since the names of incarnations
    /// derive from it.
    pub fn open(setup: Setup, seed: u64) -> Sessions {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation::new(&setup.box_name, random.random());
        setup.log.set_incarnation(incarnation.as_str());
        let current = RwLock::new(Session::open(incarnation, &setup));
        Sessions { setup, current, former: Mutex::default(), random: Mutex::new(random) }
    }

    /// The session that new requests use.
    pub fn current(&self) -> Session {
        self.current.read().clone()
    }

    /// The incarnation of the current session.
    pub fn me(&self) -> Incarnation {
        self.current.read().incarnation().clone()
    }

    /// Sessions whose journals were sealed and that have not returned all tokens yet.
    pub fn former(&self) -> Vec<Session> {
        self.former.lock().clone()
    }

    /// Opens a session for a new incarnation if `sealed` is still the current one.
    pub fn renew(&self, sealed: &Incarnation) -> bool {
        let mut current = self.current.write();
        if current.incarnation() != sealed {
            return false;
        }
        let incarnation = Incarnation::new(&self.setup.box_name, self.random.lock().random());
        let old = std::mem::replace(&mut *current, Session::open(incarnation.clone(), &self.setup));
        self.former.lock().push(old);
        self.setup.log.set_incarnation(incarnation.as_str());
        self.setup.log.add(EventKind::Renewed { incarnation: incarnation.as_str().into() });
        true
    }

    /// Holds tokens for the maximum cost of a request: online if the platform answers within
    /// `timeout`, otherwise from the offline part.
    pub async fn hold(&self, record: Record, timeout: Duration) -> Result<Hold, Rejection> {
        let mut asked_peers = false;
        for _ in 0..MAX_ATTEMPTS {
            let session = self.current();
            if !self.setup.health.is_up() {
                return self.hold_offline(record).await;
            }
            match session.hold_online(record.clone(), timeout).await {
                Ok(hold) => return Ok(hold),
                Err(HoldError::Reserve(ReserveError::Exhausted)) if !asked_peers => {
                    asked_peers = true;
                    if !self.return_surplus(&record, timeout).await {
                        return Err(Rejection::Exhausted);
                    }
                }
                Err(HoldError::Reserve(ReserveError::Exhausted)) => {
                    return Err(Rejection::Exhausted);
                }
                Err(HoldError::Reserve(ReserveError::Missing)) => return Err(Rejection::Missing),
                Err(
                    HoldError::Reserve(ReserveError::Sealed)
                    | HoldError::Intent(IntentError::Sealed),
                ) => {
                    self.renew(session.incarnation());
                }
                Err(
                    HoldError::Reserve(ReserveError::Unreachable)
                    | HoldError::Intent(IntentError::InDoubt),
                ) => return self.hold_offline(record).await,
            }
        }
        Err(Rejection::Replaced)
    }

    /// Asks peers to return surplus tokens, before a budget counts as exhausted.
    async fn return_surplus(&self, record: &Record, timeout: Duration) -> bool {
        let Some(peers) = &self.setup.peers else { return false };
        let request = peers.return_surplus(&record.budget, record.reserved);
        tokio::time::timeout(timeout, request).await.unwrap_or(false)
    }

    /// Tries former sessions first, since their tokens have no other use.
    async fn hold_offline(&self, record: Record) -> Result<Hold, Rejection> {
        for session in self.former().into_iter().chain([self.current()]) {
            if let Some(hold) = session.hold_offline(record.clone()) {
                hold.replicate().await;
                return Ok(hold);
            }
        }
        self.borrow(record).await
    }

    /// Borrows offline tokens from a reachable peer.
    async fn borrow(&self, record: Record) -> Result<Hold, Rejection> {
        let session = self.current();
        let Some(peers) = &self.setup.peers else { return Err(Rejection::OfflineExhausted) };
        let _borrowing = session.funds.borrow();
        if session.recorder.is_sealed() {
            return Err(Rejection::OfflineExhausted);
        }
        let request = peers.lend(&record.budget, record.reserved, session.incarnation());
        let Ok(Some(transfer)) = tokio::time::timeout(BORROW_TIMEOUT, request).await else {
            return Err(Rejection::OfflineExhausted);
        };
        session.receive(&record.budget, transfer).await;
        let hold = session.hold_offline(record).ok_or(Rejection::OfflineExhausted)?;
        hold.replicate().await;
        Ok(hold)
    }

    /// Passes offline tokens on to another incarnation, if enough are free here.
    pub fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer> {
        self.current().lend(budget, tokens, to)
    }

    /// Maintains all budgets: folds outcomes, tops up and returns surplus. Returns the former
    /// incarnations that have returned everything.
    pub async fn maintain(&self) -> Vec<Incarnation> {
        let session = self.current();
        if session.recorder.is_sealed() {
            self.renew(session.incarnation());
        }
        let session = self.current();
        for budget in session.funds.budgets() {
            // Failures are retried in the next round.
            let _ = session.funds.maintain(&budget).await;
        }
        self.end_former().await
    }

    /// Hands in the outcomes and returns the tokens of former sessions that have no requests in progress.
    async fn end_former(&self) -> Vec<Incarnation> {
        let mut ended = Vec::new();
        for former in self.former() {
            // Debited first, so that no request gets tokens that are being returned.
            former.funds.debit_all();
            if former.funds.is_idle() && former.end_grants().await.is_ok() {
                ended.push(former.incarnation().clone());
            }
        }
        self.former.lock().retain(|session| !ended.contains(session.incarnation()));
        ended
    }

    /// Ends all sessions at a planned stop: folds outcomes, returns all tokens and closes the journal.
    /// Returns the incarnations that have returned everything.
    pub async fn leave(&self) -> Vec<Incarnation> {
        let session = self.current();
        session.funds.debit_all();
        session.recorder.flush().await;
        let mut ended = self.end_former().await;
        if session.recorder.close().await && session.end_grants().await.is_ok() {
            ended.push(session.incarnation().clone());
        }
        ended
    }

    /// Whether no session holds tokens for requests in progress.
    pub fn is_idle(&self) -> bool {
        let idle = |session: &Session| session.funds.is_idle();
        idle(&self.current()) && self.former().iter().all(idle)
    }
}
