//! One incarnation of a box: its journal and what it holds of each budget.

use std::{sync::Arc, time::Duration};

use ledger::{Ended, Entry, Evidence, Incarnation, Part, Record, Reservation, Transfer};
use parking_lot::Mutex;

use crate::{Denial, Failure, Funds, Peers, Recorder, Setup, Work, account};

/// Longest wait for carriers before offline work is dispatched.
const CARRY: Duration = Duration::from_millis(50);

/// Budget and transfer of tokens that a peer lent.
type Borrowed = (Arc<str>, Transfer);

/// Handle on one session.
#[derive(Clone)]
pub struct Session {
    /// Its journal.
    pub recorder: Recorder,
    /// What it holds of each budget.
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

    /// Whose session this is.
    pub fn incarnation(&self) -> &Incarnation {
        self.recorder.incarnation()
    }

    /// Reserves the worst case online and records the intent; after this it may be dispatched.
    pub async fn hold_online(
        &self,
        mut record: Record,
        within: Duration,
    ) -> Result<Hold, HoldError> {
        let (budget, tokens) = (record.budget.clone(), record.reserved);
        let reserved = self.funds.reserve_online(&budget, tokens, within).await;
        let reservation = reserved.map_err(HoldError::Denied)?;
        record.n = self.recorder.number();
        record.part = Part::Online;
        let entry = self.funds.entry(&budget);
        let guard = Guard { entry: entry.clone(), reservation: Some(reservation) };
        self.recorder.intend(record.clone(), within).await.map_err(HoldError::Failed)?;
        Ok(Hold::new(self.clone(), entry, guard.keep(), record))
    }

    /// Reserves the worst case of the offline part; nothing is recorded before it ends.
    pub fn hold_offline(&self, mut record: Record) -> Option<Hold> {
        let budget = record.budget.clone();
        let reservation = self.funds.reserve_offline(&budget, record.reserved)?;
        record.n = self.recorder.number();
        record.part = Part::Offline;
        Some(Hold::new(self.clone(), self.funds.entry(&budget), reservation, record))
    }

    /// A transfer is carried before its tokens are spent, as offline work is before it runs.
    async fn carry_transfer(&self, budget: &Arc<str>, transfer: &Transfer) {
        if let Some(peers) = &self.peers {
            let entry = Entry::Transfer(budget.clone(), transfer.clone());
            let carrying = peers.replicate(self.incarnation(), &entry);
            let _ = tokio::time::timeout(CARRY, carrying).await;
        }
    }

    /// A record with the transfers that may have paid for it: whoever carries one carries all.
    fn entries(&self, record: &Record) -> Vec<Entry> {
        let borrowed = self.borrowed.lock();
        let paid = borrowed.iter().filter(|(budget, _)| *budget == record.budget);
        let transfers = paid.map(|(budget, t)| Entry::Transfer(budget.clone(), t.clone()));
        transfers.chain([Entry::Record(record.clone())]).collect()
    }

    fn carry_later(&self, record: &Record) {
        if let Some(peers) = self.peers.clone() {
            let (by, entries) = (self.incarnation().clone(), self.entries(record));
            tokio::spawn(async move {
                for entry in entries {
                    peers.replicate(&by, &entry).await;
                }
            });
        }
    }

    /// Passes offline tokens on to another incarnation: debited here first, recorded, then sent.
    /// A message that is lost strands them; it never doubles them.
    pub fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer> {
        let taken = self.funds.take_offline(budget, tokens)?;
        let n = self.recorder.number();
        let from = self.incarnation().clone();
        let transfer = Transfer { from, n, to: to.clone(), tokens: taken };
        self.recorder.add(Work::Transfer(budget.clone(), transfer.clone()));
        Some(transfer)
    }

    /// Takes over offline tokens that another incarnation passed on to this one.
    pub async fn receive(&self, budget: &Arc<str>, transfer: Transfer) {
        if transfer.to != *self.incarnation() {
            return;
        }
        let tokens = transfer.tokens;
        self.recorder.add(Work::Transfer(budget.clone(), transfer.clone()));
        self.borrowed.lock().push((budget.clone(), transfer.clone()));
        self.carry_transfer(budget, &transfer).await;
        self.funds.give_offline(budget, tokens);
    }

    /// Ends a sealed session by its own word, once none of its requests is under way.
    pub async fn surrender(&self) -> Result<(), Denial> {
        self.recorder.flush().await;
        let mut last = Ok(());
        for budget in self.funds.budgets() {
            last = last.and(self.funds.surrender(&budget).await);
        }
        last
    }
}

/// Why tokens could not be held online.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldError {
    /// No reservation.
    Denied(Denial),
    /// No intent.
    Failed(Failure),
}

/// Frees a reservation whose intent did not land, also when its waiter is dropped.
struct Guard {
    entry: Arc<account::Entry>,
    reservation: Option<Reservation>,
}

impl Guard {
    fn keep(mut self) -> Reservation {
        self.reservation.take().expect("kept once")
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.entry.settle(reservation, 0);
        }
    }
}

/// Tokens held for one request that may be dispatched.
///
/// Dropped without an outcome it says "not run", so whoever dispatches must finish it.
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

    /// Unique id of this attempt, sent to the endpoint.
    pub fn attempt_id(&self) -> String {
        format!("{}-{}", self.session.incarnation(), self.record.n)
    }

    /// Whether the tokens are of the offline part.
    pub fn is_offline(&self) -> bool {
        self.record.part == Part::Offline
    }

    /// Gives the record of offline work to carriers in reach, before it is dispatched. With none
    /// in reach the box alone remembers it.
    pub(crate) async fn replicate(&self) {
        if let Some(peers) = &self.session.peers {
            let entries = self.session.entries(&self.record);
            let by = self.session.incarnation();
            let carrying = async {
                for entry in &entries {
                    peers.replicate(by, entry).await;
                }
            };
            let _ = tokio::time::timeout(CARRY, carrying).await;
        }
    }

    /// Whether the journal is known to be sealed: then nothing more is dispatched from it.
    pub fn is_sealed(&self) -> bool {
        !self.is_offline() && self.session.recorder.is_sealed()
    }

    /// Ends the request; returns the tokens charged, at most those held.
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
                self.session.carry_later(&record);
                recorder.add(Work::HandIn(record, Evidence::Recorded));
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
