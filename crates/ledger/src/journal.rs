//! The journal of one incarnation: intents before they run, outcomes afterwards.
//!
//! Requests are recorded before they are dispatched, so that whoever seals a journal sees every
//! online request that can ever run. A sealed journal takes no new intent; it still takes
//! outcomes, because those only release what it holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Ended, Evidence, Incarnation, Outcome, Part, RangeSet, Record, Transfer};

/// Whether a journal takes new intents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its incarnation may record intents.
    Open,
    /// Another incarnation ended it; only outcomes may be added.
    Sealed { by: Incarnation },
    /// Its own incarnation ended it after its last outcome.
    Closed,
}

/// Why a journal does not take something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// Sealed or closed: no new intent.
    #[snafu(display("the journal takes no new intents"))]
    Sealed,
    /// No open record of that number.
    #[snafu(display("the journal has no open record {n}"))]
    Missing { n: u64 },
    /// More charged than reserved.
    #[snafu(display("record {n} charges more than it reserved"))]
    Excess { n: u64 },
}

/// Journal of one incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Whose requests these are.
    pub incarnation: Incarnation,
    /// Whether it takes new intents.
    pub state: State,
    /// Position of the newest outcome.
    pub outcomes: u64,
    /// Budgets that the incarnation may hold a grant of; listed before it first draws.
    #[serde(default)]
    pub drawn: BTreeSet<Arc<str>>,
    /// Records that are open or not folded yet, by number.
    pub records: Vec<Record>,
    /// Numbers of records that were folded and dropped.
    #[serde(default)]
    pub dropped: RangeSet,
    /// Offline transfers given or received, with their budget, until folded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub transfers: Vec<(Arc<str>, Transfer)>,
}

impl Journal {
    /// An empty journal.
    pub fn new(incarnation: Incarnation) -> Journal {
        Journal {
            incarnation,
            state: State::Open,
            outcomes: 0,
            drawn: BTreeSet::new(),
            records: Vec::new(),
            dropped: RangeSet::default(),
            transfers: Vec::new(),
        }
    }

    /// Whether it takes new intents.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// The record numbered `n`, while the journal holds it.
    pub fn record(&self, n: u64) -> Option<&Record> {
        self.records.iter().find(|record| record.n == n)
    }

    /// Records an intent. Recording the same number again changes nothing.
    pub fn intend(&mut self, record: Record) -> Result<(), Refusal> {
        if self.record(record.n).is_some() || self.dropped.contains(record.n) {
            return Ok(());
        }
        match self.state {
            State::Open => self.records.push(record),
            State::Sealed { .. } | State::Closed => return Err(Refusal::Sealed),
        }
        Ok(())
    }

    /// Records an outcome, once; a second outcome of the same record changes nothing.
    pub fn finish(
        &mut self,
        n: u64,
        charged: u64,
        ended: Ended,
        evidence: Evidence,
    ) -> Result<bool, Refusal> {
        let position = self.outcomes + 1;
        let record = self.records.iter_mut().find(|record| record.n == n);
        let record = record.ok_or(Refusal::Missing { n })?;
        match &record.outcome {
            Some(_) => return Ok(false),
            None if charged > record.reserved => return Err(Refusal::Excess { n }),
            None => record.outcome = Some(Outcome { position, charged, ended, evidence }),
        }
        self.outcomes = position;
        Ok(true)
    }

    /// Adds offline work that no intent announced, with its outcome if there is one. Adding it
    /// again changes nothing.
    pub fn hand_in(&mut self, record: Record, evidence: Evidence) -> Result<bool, Refusal> {
        let (n, outcome) = (record.n, record.outcome.clone());
        let known = self.record(n).is_some();
        match (known, record.part) {
            (false, _) if self.dropped.contains(n) => return Ok(false),
            (false, Part::Offline) => self.records.push(Record { outcome: None, ..record }),
            (false, Part::Online) => return Err(Refusal::Missing { n }),
            (true, _) => {}
        }
        match outcome {
            Some(outcome) => self.finish(n, outcome.charged, outcome.ended, evidence),
            None => Ok(!known),
        }
    }

    /// Ends the journal for its incarnation. The first sealer stands.
    pub fn seal(&mut self, by: &Incarnation) -> bool {
        let open = self.is_open();
        if open {
            self.state = State::Sealed { by: by.clone() };
        }
        open
    }

    /// Its own incarnation ends it; possible once nothing is open.
    pub fn close(&mut self) -> bool {
        let done = self.is_open() && self.records.iter().all(|record| !record.is_open());
        if done {
            self.state = State::Closed;
        }
        done
    }

    /// JSON text for the platform.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("journals always serialize")
    }

    /// Open records of a sealed journal may still run or have run.
    pub fn open_records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| record.is_open())
    }

    /// Tokens that open records of a budget hold in one part.
    pub fn held(&self, budget: &str, part: Part) -> u64 {
        let open = self.open_records().filter(|r| &*r.budget == budget && r.part == part);
        open.map(|record| record.reserved).sum()
    }

    /// Outcomes of a budget after `position`, in order.
    pub fn outcomes_after(&self, budget: &str, position: u64) -> Vec<(&Record, u64)> {
        let of_budget = self.records.iter().filter(|record| &*record.budget == budget);
        let mut fresh: Vec<_> = of_budget
            .filter_map(|record| Some((record, record.outcome.as_ref()?.position)))
            .filter(|(_, at)| *at > position)
            .collect();
        fresh.sort_by_key(|(_, at)| *at);
        fresh
    }

    /// Drops records whose outcome their ledger has folded, given the positions folded.
    pub fn compact(&mut self, folded: &BTreeMap<Arc<str>, u64>) -> usize {
        let before = self.records.len();
        let is_folded = |record: &Record| {
            let up_to = folded.get(&record.budget).copied().unwrap_or(0);
            record.outcome.as_ref().is_some_and(|outcome| outcome.position <= up_to)
        };
        for record in self.records.iter().filter(|record| is_folded(record)) {
            self.dropped.insert(record.n);
        }
        self.records.retain(|record| !is_folded(record));
        before - self.records.len()
    }
}
