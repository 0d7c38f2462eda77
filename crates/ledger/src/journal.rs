//! The journal of one incarnation: intents before requests run, outcomes afterwards.
//!
//! Requests are recorded before they are dispatched, so that whoever seals a journal sees every
//! online request that can ever run. A sealed journal accepts no new intents, but still accepts
//! outcomes, as those only release tokens that it holds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{Ended, Evidence, Incarnation, Outcome, Part, RangeSet, Record, Transfer};

/// Whether a journal accepts new intents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Its incarnation may record intents.
    Open,
    /// Sealed by another incarnation; only outcomes may be added.
    Sealed { by: Incarnation },
    /// Closed by its own incarnation after its last outcome.
    Closed,
}

/// Why a journal rejects an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The journal is sealed or closed.
    #[snafu(display("the journal accepts no new intents"))]
    Sealed,
    /// There is no open record with this number.
    #[snafu(display("the journal has no open record {n}"))]
    Missing { n: u64 },
    /// The charge exceeds the reservation.
    #[snafu(display("record {n} charges more than it reserved"))]
    Excess { n: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// Incarnation whose requests are recorded here.
    pub incarnation: Incarnation,
    /// Whether it accepts new intents.
    pub state: State,
    /// Position of the newest outcome.
    pub outcomes: u64,
    /// Budgets of which the incarnation may hold a grant. A budget is listed before the first draw.
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
    /// Returns an empty journal.
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

    /// Whether it accepts new intents.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns the record numbered `n`, if it was not dropped.
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

    /// Records an outcome. A second outcome of the same record changes nothing.
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

    /// Adds an offline record without a previous intent, with its outcome if there is one. Adding
    /// it again changes nothing.
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

    /// Seals the journal. Only the first seal takes effect.
    pub fn seal(&mut self, by: &Incarnation) -> bool {
        let open = self.is_open();
        if open {
            self.state = State::Sealed { by: by.clone() };
        }
        open
    }

    /// Closes the journal for its own incarnation, which is possible once no record is open.
    pub fn close(&mut self) -> bool {
        let done = self.is_open() && self.records.iter().all(|record| !record.is_open());
        if done {
            self.state = State::Closed;
        }
        done
    }

    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("journals always serialize")
    }

    /// Records without an outcome. After a seal, these may still be running or have run.
    pub fn open_records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| record.is_open())
    }

    /// Tokens that open records of a budget reserve in one part.
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

    /// Drops the records whose outcome was folded into their ledger, given the folded position of
    /// each budget. Returns how many were dropped.
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
