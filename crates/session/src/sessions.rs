//! All sessions of one box: the current one, and former ones that still owe something.

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

use crate::{Denial, Failure, Health, Hold, HoldError, Options, Peers, Session};

/// Sessions tried for one request when the box finds its journal sealed.
const TRIES: u32 = 4;
/// Longest wait for a peer's tokens.
const BORROW: Duration = Duration::from_millis(300);

/// What all sessions of a box have in common.
#[derive(Clone)]
pub struct Setup {
    /// Name of the box.
    pub box_name: Arc<str>,
    /// The platform.
    pub store: Arc<dyn Store>,
    /// Whether the platform answers.
    pub health: Health,
    /// Configuration in force.
    pub config: watch::Receiver<Arc<Snapshot>>,
    /// How parts are sized.
    pub options: Options,
    /// Least time between two journal writes.
    pub min_write_interval: Duration,
    /// The time line.
    pub log: Log,
    /// Other boxes in reach, if it takes peers.
    pub peers: Option<Arc<dyn Peers>>,
}

/// Why a request gets no tokens. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// The budget has not enough left.
    #[snafu(display("the budget has not enough tokens left for the worst case"))]
    Exhausted,
    /// No such budget is accepted.
    #[snafu(display("the budget of this key does not exist"))]
    Missing,
    /// The platform is out of reach and the offline part is used up.
    #[snafu(display("the platform is out of reach and this box's offline part is used up"))]
    OfflineExhausted,
    /// The box was taken for gone again and again.
    #[snafu(display("this box was taken for gone and is starting anew"))]
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
    /// Opens the first session; `seed` must be fresh, since it names the incarnations.
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

    /// Sessions whose journals were sealed and that still owe something.
    pub fn former(&self) -> Vec<Session> {
        self.former.lock().clone()
    }

    /// Goes on as a new incarnation if `sealed` is still the current one.
    pub fn renew(&self, sealed: &Incarnation) -> bool {
        let mut current = self.current.write();
        if current.incarnation() != sealed {
            return false;
        }
        let fresh = Incarnation::new(&self.setup.box_name, self.random.lock().random());
        let old = std::mem::replace(&mut *current, Session::open(fresh.clone(), &self.setup));
        self.former.lock().push(old);
        self.setup.log.set_incarnation(fresh.as_str());
        self.setup.log.add(EventKind::Renewed { incarnation: fresh.as_str().into() });
        true
    }

    /// Holds the worst case of a request: online if the platform answers within `patience`,
    /// otherwise from the offline part.
    pub async fn hold(&self, record: Record, patience: Duration) -> Result<Hold, Rejection> {
        let mut asked = false;
        for _ in 0..TRIES {
            let session = self.current();
            if !self.setup.health.is_up() {
                return self.hold_offline(record).await;
            }
            match session.hold_online(record.clone(), patience).await {
                Ok(hold) => return Ok(hold),
                Err(HoldError::Denied(Denial::Exhausted)) if !asked => {
                    asked = true;
                    if !self.return_surplus(&record, patience).await {
                        return Err(Rejection::Exhausted);
                    }
                }
                Err(HoldError::Denied(Denial::Exhausted)) => return Err(Rejection::Exhausted),
                Err(HoldError::Denied(Denial::Missing)) => return Err(Rejection::Missing),
                Err(HoldError::Denied(Denial::Sealed) | HoldError::Failed(Failure::Sealed)) => {
                    self.renew(session.incarnation());
                }
                Err(
                    HoldError::Denied(Denial::Unreachable) | HoldError::Failed(Failure::InDoubt),
                ) => return self.hold_offline(record).await,
            }
        }
        Err(Rejection::Replaced)
    }

    /// Peers return what they can spare, before a budget counts as exhausted.
    async fn return_surplus(&self, record: &Record, patience: Duration) -> bool {
        let Some(peers) = &self.setup.peers else { return false };
        let asking = peers.return_surplus(&record.budget, record.reserved);
        tokio::time::timeout(patience, asking).await.unwrap_or(false)
    }

    /// Former sessions come first: what they hold is of no other use.
    async fn hold_offline(&self, record: Record) -> Result<Hold, Rejection> {
        for session in self.former().into_iter().chain([self.current()]) {
            if let Some(hold) = session.hold_offline(record.clone()) {
                hold.replicate().await;
                return Ok(hold);
            }
        }
        self.borrow(record).await
    }

    /// Offline tokens of a peer in reach.
    async fn borrow(&self, record: Record) -> Result<Hold, Rejection> {
        let session = self.current();
        let Some(peers) = &self.setup.peers else { return Err(Rejection::OfflineExhausted) };
        let _borrowing = session.funds.borrow();
        if session.recorder.is_sealed() {
            return Err(Rejection::OfflineExhausted);
        }
        let asking = peers.lend(&record.budget, record.reserved, session.incarnation());
        let Ok(Some(transfer)) = tokio::time::timeout(BORROW, asking).await else {
            return Err(Rejection::OfflineExhausted);
        };
        session.receive(&record.budget, transfer).await;
        let hold = session.hold_offline(record).ok_or(Rejection::OfflineExhausted)?;
        hold.replicate().await;
        Ok(hold)
    }

    /// Passes offline tokens on to another incarnation, if this box can spare them.
    pub fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer> {
        self.current().lend(budget, tokens, to)
    }

    /// Folds, tops up and returns for every budget; returns former incarnations that owe nothing
    /// any more.
    pub async fn maintain(&self) -> Vec<Incarnation> {
        let session = self.current();
        if session.recorder.is_sealed() {
            self.renew(session.incarnation());
        }
        let session = self.current();
        for budget in session.funds.budgets() {
            // What fails now is tried again at the next turn.
            let _ = session.funds.maintain(&budget).await;
        }
        self.settle_former().await
    }

    /// Hands in and returns what sealed sessions still owe, once nothing of theirs is under way.
    async fn settle_former(&self) -> Vec<Incarnation> {
        let mut settled = Vec::new();
        for former in self.former() {
            // Debited first, so that no request gets tokens that are being returned.
            former.funds.drain();
            if former.funds.is_idle() && former.surrender().await.is_ok() {
                settled.push(former.incarnation().clone());
            }
        }
        self.former.lock().retain(|session| !settled.contains(session.incarnation()));
        settled
    }

    /// The end of a planned stop: folds, returns all tokens and closes the journal. Returns the
    /// incarnations that owe nothing any more.
    pub async fn leave(&self) -> Vec<Incarnation> {
        let session = self.current();
        session.funds.drain();
        session.recorder.flush().await;
        let mut settled = self.settle_former().await;
        if session.recorder.close().await && session.surrender().await.is_ok() {
            settled.push(session.incarnation().clone());
        }
        settled
    }

    /// Whether no session holds tokens for work under way.
    pub fn is_idle(&self) -> bool {
        let idle = |session: &Session| session.funds.is_idle();
        idle(&self.current()) && self.former().iter().all(idle)
    }
}
