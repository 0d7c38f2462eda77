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
const MATTERS: Duration = Duration::from_millis(1_000);
/// Time for which an outage makes another one likely.
const REMEMBERED: Duration = Duration::from_secs(30);

/// What this box has observed of the store.
#[derive(Debug)]
pub struct Forecast {
    /// When the store began to answer.
    in_touch_since: Instant,
    /// The outage in progress, if any.
    lost: Option<Lost>,
    /// Number of fleet-wide outages at the last increase, and when this box read of it.
    seen: Option<(u64, Instant)>,
    /// Number of fleet-wide outages when this box first read the book.
    known: Option<u64>,
    /// Number of settlements in the book when this box last saw it.
    landed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lost {
    since: Instant,
    /// Number of settlements in the book before the outage.
    landed: u64,
}

impl Forecast {
    pub fn open(now: Instant) -> Forecast {
        Forecast { in_touch_since: now, lost: None, seen: None, known: None, landed: 0 }
    }

    /// Records a failed call.
    pub fn failed(&mut self, now: Instant) {
        self.lost.get_or_insert(Lost { since: now, landed: self.landed });
    }

    /// Returns for how long the store has not answered, if that is long enough to count.
    pub fn away(&self, now: Instant) -> Option<Duration> {
        let away = now.saturating_duration_since(self.lost?.since);
        (away >= MATTERS).then_some(away)
    }

    /// Records the outage in the book that this settlement ends, if any.
    pub fn report_outage(&self, book: &mut Book, now: Instant) {
        if let (Some(lost), Some(_)) = (self.lost, self.away(now)) {
            book.note_outage(lost.landed);
        }
    }

    /// Records a settlement that landed, and the resulting book. Returns whether it ended an
    /// outage.
    pub fn landed(&mut self, book: &Book, now: Instant) -> bool {
        let ended = self.away(now).is_some();
        self.lost = None;
        self.landed = book.landed;
        if ended {
            self.in_touch_since = now;
        }
        let known = *self.known.get_or_insert(book.outages.count);
        if book.outages.count > self.seen.map_or(known, |(count, _)| count) {
            self.seen = Some((book.outages.count, now));
        }
        ended
    }

    /// Returns the policy that sizes what this box holds.
    pub fn policy(&self, policy: Policy, now: Instant) -> Policy {
        let seen = self.seen.is_some_and(|(_, at)| now.saturating_duration_since(at) < REMEMBERED);
        let policy = if seen { policy.after_outage() } else { policy };
        let in_touch = match self.away(now) {
            // This settlement ends the outage.
            Some(_) => Duration::ZERO,
            None => now.saturating_duration_since(self.in_touch_since),
        };
        policy.reachable_for(in_touch.as_secs())
    }
}
