//! The settlements of this box that landed lately, to be written again if the store comes back from an older copy.

use std::{collections::VecDeque, time::Duration};

use ledger::{Book, Landed, Return};
use tokio::time::Instant;

/// How long a settlement is remembered: far longer than a copy of the store is old.
const HISTORY_TIME: Duration = Duration::from_secs(60);
/// Maximum number of remembered settlements, some 2 MB.
const MAX_SETTLEMENTS: usize = 1_000;

/// Settlements that landed, oldest first.
#[derive(Debug, Default)]
pub struct History(VecDeque<(Instant, Landed)>);

impl History {
    /// Remembers a settlement that landed.
    pub fn add(&mut self, landed: Landed, now: Instant) {
        let is_old = |(at, _): &(Instant, Landed)| *at + HISTORY_TIME < now;
        while self.0.front().is_some_and(is_old) || self.0.len() >= MAX_SETTLEMENTS {
            self.0.pop_front();
        }
        self.0.push_back((now, landed));
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of the settlements that a book lacks.
    pub fn missing_from(&self, book: &Book) -> usize {
        self.0.iter().filter(|(_, landed)| landed.is_missing_after(book.returned)).count()
    }

    /// Writes again what a book lacks; returns the number of settlements.
    pub fn restore(&self, book: &mut Book) -> usize {
        let missing: Vec<&Landed> = self
            .0
            .iter()
            .map(|(_, landed)| landed)
            .filter(|landed| landed.is_missing_after(book.returned))
            .collect();
        missing.iter().for_each(|landed| book.restore(landed));
        missing.len()
    }

    /// Records that what was missing after a return is written again, with the settlement number `count` of the book.
    pub fn restored(&mut self, returned: Return, era: u64, count: u64) {
        let missing = self.0.iter_mut().filter(|(_, landed)| landed.is_missing_after(returned));
        missing.for_each(|(_, landed)| (landed.era, landed.landed) = (era, count));
    }
}
