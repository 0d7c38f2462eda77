//! One incarnation of a box: its journal and the tokens that it holds of each budget.

use std::{sync::Arc, time::Duration};

use ledger::{Ended, Entry, Evidence, Incarnation, Part, Record, Reservation, Transfer};
use parking_lot::Mutex;

use crate::{Funds, IntentError, Operation, Peers, Recorder, ReserveError, Setup, account};

/// Longest wait for replicas before an offline request is dispatched.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(50);

/// A transfer from a peer, and its budget.
type Borrowed = (Arc<str>, Transfer);

/// Handle to one session.
#[derive(Clone)]
pub struct Session {
    /// Writer of its journal.
    pub recorder: Recorder,
    /// Tokens that it holds of each budget.
    pub funds: Arc<Funds>,
    peers: Option<Arc<dyn Peers>>,
    borrowed: Arc<Mutex<Vec<Borrowed>>>,
}

impl Session {
    /// Opens a session for a new incarnation.
    pub fn open(incarnation: Incarnation, setup: &Setup) -> Session {
        let Setup { store, health, config, options, min_write_interval, log, peers, .. } =
            setup.clone();
        let recorder =
            Recorder::spawn(incarnation, store.clone(), health.clone(), min_write_interval);
        let funds = Funds::new(recorder.clone(), store, health, config, options, log);
        Session { recorder, funds: Arc::new(funds), peers, borrowed: Arc::default() }
    }

    /// The incarnation of this session.
    pub fn incarnation(&self) -> &Incarnation {
        self.recorder.incarnation()
    }

    /// Reserves the maximum cost of a request online and records the intent. The request may be
    /// dispatched once this succeeds.
    pub async fn hold_online(
        &self,
        mut record: Record,
        timeout: Duration,
    ) -> Result<Hold, HoldError> {
        let (budget, tokens) = (record.budget.clone(), record.reserved);
        let reserved = self.funds.reserve_online(&budget, tokens, timeout).await;
        let reservation = reserved.map_err(HoldError::Reserve)?;
        record.n = self.recorder.number();
        record.part = Part::Online;
        let entry = self.funds.entry(&budget);
        let guard = ReservationGuard { entry: entry.clone(), reservation: Some(reservation) };
        self.recorder.intend(record.clone(), timeout).await.map_err(HoldError::Intent)?;
        Ok(Hold::new(self.clone(), entry, guard.into_reservation(), record))
    }

    /// Reserves the maximum cost of a request in the offline part. Nothing is recorded before it ends.
    pub fn hold_offline(&self, mut record: Record) -> Option<Hold> {
        let budget = record.budget.clone();
        let reservation = self.funds.reserve_offline(&budget, record.reserved)?;
        record.n = self.recorder.number();
        record.part = Part::Offline;
        Some(Hold::new(self.clone(), self.funds.entry(&budget), reservation, record))
    }

    /// Replicates a transfer; done before its tokens are used.
    async fn replicate_transfer(&self, budget: &Arc<str>, transfer: &Transfer) {
        if let Some(peers) = &self.peers {
            let entry = Entry::Transfer(budget.clone(), transfer.clone());
            let replication = peers.replicate(self.incarnation(), &entry);
            let _ = tokio::time::timeout(REPLICATION_TIMEOUT, replication).await;
        }
    }

    /// A record with the transfers that may have paid for it. They are replicated together, since a record
    /// cannot be folded without its transfers.
    fn with_transfers(&self, record: &Record) -> Vec<Entry> {
        let borrowed = self.borrowed.lock();
        let of_budget = borrowed.iter().filter(|(budget, _)| *budget == record.budget);
        let transfers = of_budget.map(|(budget, t)| Entry::Transfer(budget.clone(), t.clone()));
        transfers.chain([Entry::Record(record.clone())]).collect()
    }

    fn spawn_replication(&self, record: &Record) {
        if let Some(peers) = self.peers.clone() {
            let (owner, entries) = (self.incarnation().clone(), self.with_transfers(record));
            tokio::spawn(async move {
                for entry in entries {
                    peers.replicate(&owner, &entry).await;
                }
            });
        }
    }

    /// Passes offline tokens on to another incarnation: debits them, then queues the transfer for the
    /// journal. If the message is lost, nobody can use the tokens, but they are never used twice.
    pub fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer> {
        let debited = self.funds.debit_offline(budget, tokens)?;
        let n = self.recorder.number();
        let from = self.incarnation().clone();
        let transfer = Transfer { from, n, to: to.clone(), tokens: debited };
        self.recorder.add(Operation::Transfer(budget.clone(), transfer.clone()));
        Some(transfer)
    }

    /// Accepts offline tokens that another incarnation passed on to this one.
    pub async fn receive(&self, budget: &Arc<str>, transfer: Transfer) {
        if transfer.to != *self.incarnation() {
            return;
        }
        let tokens = transfer.tokens;
        self.recorder.add(Operation::Transfer(budget.clone(), transfer.clone()));
        self.borrowed.lock().push((budget.clone(), transfer.clone()));
        self.replicate_transfer(budget, &transfer).await;
        self.funds.credit_offline(budget, tokens);
    }

    /// Ends the grants of a sealed or closed session that has no requests in progress.
    pub async fn end_grants(&self) -> Result<(), ReserveError> {
        self.recorder.flush().await;
        let mut result = Ok(());
        for budget in self.funds.budgets() {
            result = result.and(self.funds.end_grant(&budget).await);
        }
        result
    }
}

/// Why a request could not be admitted online.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldError {
    /// The tokens could not be reserved.
    Reserve(ReserveError),
    /// The intent was not recorded.
    Intent(IntentError),
}

/// Releases a reservation whose intent was not recorded, also if the waiting future is cancelled.
struct ReservationGuard {
    entry: Arc<account::Entry>,
    reservation: Option<Reservation>,
}

impl ReservationGuard {
    fn into_reservation(mut self) -> Reservation {
        self.reservation.take().expect("the reservation is held until the guard is consumed")
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.entry.settle(reservation, 0);
        }
    }
}

/// Tokens held for one request that may be dispatched.
///
/// If it is dropped, the request counts as not run, so [`Hold::finish`] must be called after a dispatch.
pub struct Hold {
    session: Session,
    entry: Arc<account::Entry>,
    reservation: Option<Reservation>,
    record: Record,
}

impl Hold {
    fn new(
        session: Session,
        entry: Arc<account::Entry>,
        reservation: Reservation,
        record: Record,
    ) -> Hold {
        Hold { session, entry, reservation: Some(reservation), record }
    }

    /// The record of this request.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Unique id of this attempt, which is sent to the endpoint.
    pub fn attempt_id(&self) -> String {
        format!("{}-{}", self.session.incarnation(), self.record.n)
    }

    /// Whether the tokens belong to the offline part.
    pub fn is_offline(&self) -> bool {
        self.record.part == Part::Offline
    }

    /// Replicates the record of an offline request to reachable peers, before it is dispatched. If there
    /// are none, only this box knows of it.
    pub(crate) async fn replicate(&self) {
        if let Some(peers) = &self.session.peers {
            let entries = self.session.with_transfers(&self.record);
            let owner = self.session.incarnation();
            let replication = async {
                for entry in &entries {
                    peers.replicate(owner, entry).await;
                }
            };
            let _ = tokio::time::timeout(REPLICATION_TIMEOUT, replication).await;
        }
    }

    /// Whether the journal is known to be sealed, so that the request must not be dispatched.
    pub fn is_sealed(&self) -> bool {
        !self.is_offline() && self.session.recorder.is_sealed()
    }

    /// Ends the request; returns the charged tokens, which are at most those held.
    pub fn finish(mut self, charged: u64, ended: Ended) -> u64 {
        self.end(charged, ended)
    }

    fn end(&mut self, charged: u64, ended: Ended) -> u64 {
        let Some(reservation) = self.reservation.take() else { return 0 };
        let charged = self.entry.settle(reservation, charged);
        let recorder = &self.session.recorder;
        match self.record.part {
            Part::Online => recorder.finish(self.record.n, charged, ended),
            Part::Offline => {
                let outcome =
                    ledger::Outcome { position: 0, charged, ended, evidence: Evidence::Recorded };
                let record = Record { outcome: Some(outcome), ..self.record.clone() };
                self.session.spawn_replication(&record);
                recorder.add(Operation::HandIn(record, Evidence::Recorded));
            }
        }
        charged
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.end(0, Ended::NotRun);
    }
}
