//! How long an outage of the store this box prepares for, by what it saw of the store.
//!
//! What a box holds serves its zone while the store is away, and is lost when all boxes die at once: no
//! witness is left to tell what was untouched. So a box holds little right after it found the store, since
//! what failed once fails again within seconds and boxes die most often then; it holds enough for an outage
//! once the store has answered for as long. For some time after one that the whole fleet saw, it holds nearly
//! all that is left if need be: what lies in the book then is out of reach when the store is away again.

use std::time::Duration;

use ledger::{Book, Policy};
use tokio::time::Instant;

/// Shortest outage that matters: requests wait through shorter ones.
const MATTERS: Duration = Duration::from_millis(1_000);
/// An outage is remembered for this long: what cuts a store off tends to come again within seconds.
const REMEMBERED: Duration = Duration::from_secs(30);

/// What a box saw of the store.
#[derive(Debug)]
pub struct Forecast {
    /// Since when the store has answered.
    in_touch_since: Instant,
    /// Since when it has not, if it does not.
    lost: Option<Lost>,
    /// Outages of the whole fleet that the book told of, and when this box read of the last one.
    seen: Option<(u64, Instant)>,
    /// Outages of the whole fleet that the book knew when this box read it first.
    known: Option<u64>,
    /// Settlements that had landed in the book when this box last saw it.
    landed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lost {
    since: Instant,
    /// Settlements that had landed in the book before.
    landed: u64,
}

impl Forecast {
    /// Nothing was seen yet.
    pub fn open(now: Instant) -> Forecast {
        Forecast { in_touch_since: now, lost: None, seen: None, known: None, landed: 0 }
    }

    /// A call failed.
    pub fn failed(&mut self, now: Instant) {
        self.lost.get_or_insert(Lost { since: now, landed: self.landed });
    }

    /// Time for which the store has not answered, if that matters.
    pub fn away(&self, now: Instant) -> Option<Duration> {
        let away = now.saturating_duration_since(self.lost?.since);
        (away >= MATTERS).then_some(away)
    }

    /// Tells the book of the outage that this settlement ends, if it ends one.
    pub fn report_outage(&self, book: &mut Book, now: Instant) {
        if let (Some(lost), Some(_)) = (self.lost, self.away(now)) {
            book.note_outage(lost.landed);
        }
    }

    /// A settlement landed, after which the book stands so. Says whether an outage ended with it.
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

    /// Sizing of what this box holds from now on.
    pub fn policy(&self, policy: Policy, now: Instant) -> Policy {
        let seen = self.seen.is_some_and(|(_, at)| now.saturating_duration_since(at) < REMEMBERED);
        let policy = if seen { policy.after_outage() } else { policy };
        let in_touch = match self.away(now) {
            // The settlement ends an outage.
            Some(_) => Duration::ZERO,
            None => now.saturating_duration_since(self.in_touch_since),
        };
        policy.reachable_for(in_touch.as_secs())
    }
}
