//! How long an outage of the store this box prepares for, judged by what it has observed.
//!
//! The tokens that a box holds serve its zone while the store is unreachable. They are lost if all
//! boxes die at once, as no witness is left that knows which of them were unused. Failures tend to
//! come in series, so a box holds little right after it has reached the store again, and more the
//! longer the store answers. After an outage that the whole fleet observed, it holds nearly all
//! that is left of a budget if needed, since tokens in the book are out of reach in the next
//! outage.

use std::time::Duration;

use ledger::{Book, Policy};
use tokio::time::Instant;

/// Shortest outage that counts. Requests wait through shorter ones.
const MIN_OUTAGE: Duration = Duration::from_millis(1_000);
/// Time for which an outage makes another one likely: what cuts a store off tends to come again
/// within seconds.
const OUTAGE_MEMORY: Duration = Duration::from_secs(30);

/// What this box has observed of the store.
#[derive(Debug)]
pub struct Forecast {
    /// When the store began to answer.
    reachable_since: Instant,
    /// The outage in progress, if any.
    ongoing: Option<Ongoing>,
    /// Number of fleet-wide outages at the last increase, and when this box read of it.
    last_outage: Option<(u64, Instant)>,
    /// Number of fleet-wide outages when this box first read the book.
    initial_count: Option<u64>,
    /// Number of settlements in the book when this box last saw it.
    landed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Ongoing {
    since: Instant,
    /// Number of settlements in the book before the outage.
    landed: u64,
}

impl Forecast {
    pub fn open(now: Instant) -> Forecast {
        Forecast {
            reachable_since: now,
            ongoing: None,
            last_outage: None,
            initial_count: None,
            landed: 0,
        }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.ongoing.get_or_insert(Ongoing { since: now, landed: self.landed });
    }

    /// Returns for how long the store has not answered, if that is long enough to count.
    pub fn unreachable_for(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.ongoing?.since);
        (elapsed >= MIN_OUTAGE).then_some(elapsed)
    }

    /// Records the outage in the book that this settlement ends, if any.
    pub fn report_outage(&self, book: &mut Book, now: Instant) {
        if let (Some(ongoing), Some(_)) = (self.ongoing, self.unreachable_for(now)) {
            book.note_outage(ongoing.landed);
        }
    }

    /// Records a settlement that landed, and the resulting book. Returns whether it ended an
    /// outage.
    pub fn record_settlement(&mut self, book: &Book, now: Instant) -> bool {
        let ended = self.unreachable_for(now).is_some();
        self.ongoing = None;
        self.landed = book.landed;
        if ended {
            self.reachable_since = now;
        }
        let initial_count = *self.initial_count.get_or_insert(book.outages.count);
        if book.outages.count > self.last_outage.map_or(initial_count, |(count, _)| count) {
            self.last_outage = Some((book.outages.count, now));
        }
        ended
    }

    /// Returns the policy that sizes what this box holds.
    pub fn policy(&self, policy: Policy, now: Instant) -> Policy {
        let recent = self
            .last_outage
            .is_some_and(|(_, at)| now.saturating_duration_since(at) < OUTAGE_MEMORY);
        let policy = if recent { policy.after_outage() } else { policy };
        let reachable = match self.unreachable_for(now) {
            // This settlement ends the outage.
            Some(_) => Duration::ZERO,
            None => now.saturating_duration_since(self.reachable_since),
        };
        policy.reachable_for(reachable)
    }
}
