//! Answers to subscribers.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wire::{Ages, Subscribe, SubscribeAged, Update, UpdateAged};

use super::View;
use crate::{freshness::Subject, sync::change_log::Part};

/// Longest time that a subscriber may wait, in milliseconds: dead connections are noticed only by
/// silence.
const MAX_WAIT_MS: u64 = 5_000;

/// How long a relay answers subscribers without an answer of its root: long enough to notice that the
/// root is gone and to read all of another one, since each subscriber that leaves reads all again.
/// With the search of a subscriber, it stays under the shortest bound on the age of state, 2 s.
const MAX_RELAY_SILENCE: Duration = Duration::from_millis(1_500);

/// What an answer to a subscriber may rest on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// What this box itself reads from the store.
    Store,
    /// That, or what a box that reads the store sent.
    StoreOrRoot,
}

/// Whether an answer contains anything new for a subscriber.
fn is_new(updates: &Update, request: &Subscribe) -> bool {
    updates.is_snapshot
        || request.since.is_none()
        || !updates.changes.is_empty()
        || updates.store_unreachable_ms.is_some() != request.is_store_unreachable
}

/// An answer to a subscriber.
#[derive(Debug)]
pub enum Answer {
    /// All updates that the subscriber does not know.
    All(Update),
    /// The first of them; the rest does not fit into the same message.
    Part(Update),
}

impl Answer {
    fn update(&self) -> &Update {
        match self {
            Answer::All(update) | Answer::Part(update) => update,
        }
    }
}

/// An answer with its age.
struct Found {
    answer: Answer,
    ages: Ages,
    /// Grows with each confirmation that subscribers wait for; 0 if there was none.
    confirmation: u64,
    /// When the ages were read, on the clock of [`Freshness`](crate::freshness::Freshness).
    at_ms: u64,
}

impl View {
    /// When another box asked for updates last.
    pub fn last_subscribed(&self) -> Option<Instant> {
        self.0.state.lock().last_subscribed
    }

    /// Sets whether this box relays updates that a root sent it just now.
    pub fn set_relaying(&self, is_relay: bool) {
        self.0.state.lock().relayed_at = is_relay.then(Instant::now);
    }

    /// Waits until another box asks for updates while this one does not watch the store.
    pub async fn watch_requested(&self) {
        self.0.watch_requested.notified().await;
    }

    /// Updates for a subscriber, with their ages; a later confirmation is an update too. `None`
    /// while this box neither watches the store nor relays.
    pub async fn aged_updates(&self, request: &SubscribeAged) -> Option<UpdateAged> {
        let received_ms = self.freshness().now_ms();
        let origin = match request.is_relay {
            true => Origin::Store,
            false => Origin::StoreOrRoot,
        };
        let found = self.updates_after(&request.subscribe, origin, request.confirmation).await?;
        let (update, is_complete) = match found.answer {
            Answer::All(update) => (update, true),
            Answer::Part(update) => (update, false),
        };
        let (ages, confirmation) = (found.ages, found.confirmation);
        let held_ms = found.at_ms - received_ms;
        Some(UpdateAged { update, is_complete, ages, held_ms, confirmation })
    }

    /// Updates for a subscriber: at once if there are any that it does not know, else when there
    /// are, or after its waiting time. `None` while this box neither watches the store nor relays.
    pub async fn updates(&self, request: &Subscribe, origin: Origin) -> Option<Answer> {
        let found = self.updates_after(request, origin, u64::MAX).await?;
        Some(found.answer)
    }

    /// The same for a subscriber that knows all confirmations up to this one.
    async fn updates_after(
        &self,
        request: &Subscribe,
        origin: Origin,
        confirmation: u64,
    ) -> Option<Found> {
        let until = Instant::now() + Duration::from_millis(request.wait_ms.min(MAX_WAIT_MS));
        let mut updated = self.0.updates.subscribe();
        self.0.state.lock().last_subscribed = Some(Instant::now());
        loop {
            updated.borrow_and_update();
            let Some(found) = self.find_updates(request, origin) else {
                self.0.watch_requested.notify_one();
                return None;
            };
            if is_new(found.answer.update(), request) || found.confirmation > confirmation {
                return Some(found);
            }
            if timeout_at(until, updated.changed()).await.is_err() {
                return self.find_updates(request, origin);
            }
        }
    }

    /// The updates now. Their ages are read first: what is confirmed meanwhile may be missing.
    fn find_updates(&self, request: &Subscribe, origin: Origin) -> Option<Found> {
        let freshness = self.freshness();
        let (at_ms, ages) = (freshness.now_ms(), freshness.ages());
        let waited_for = match origin {
            // Others hear of the other states with the next answer; for boxes on whose ages more
            // boxes rely, that adds up.
            Origin::StoreOrRoot => &[Subject::Endpoints][..],
            Origin::Store => &Subject::ALL,
        };
        // One more, so that 0 stands for none.
        let confirmation = waited_for
            .iter()
            .filter_map(|subject| freshness.confirmed_ms(*subject))
            .map(|confirmed_ms| confirmed_ms + 1)
            .sum();
        let answer = self.updates_now(request, origin)?;
        Some(Found { answer, ages, confirmation, at_ms })
    }

    fn updates_now(&self, request: &Subscribe, origin: Origin) -> Option<Answer> {
        let state = self.0.state.lock();
        let relays = state.relayed_at.is_some_and(|at| at.elapsed() < MAX_RELAY_SILENCE);
        let is_current = match origin {
            Origin::Store => state.loaded.is_complete(),
            Origin::StoreOrRoot => state.loaded.is_complete() || relays,
        };
        if !is_current {
            return None;
        }
        let wants = |change: &wire::Change| {
            &*change.kind != platform::CONFIG.0 || change.version > request.config
        };
        let part = match request.since {
            Some(since) => state.change_log.part_since(since, wants),
            None => Part {
                changes: Vec::new(),
                is_snapshot: false,
                last: state.change_log.last(),
                is_complete: true,
            },
        };
        let update = Update {
            last: part.last,
            is_snapshot: part.is_snapshot,
            changes: part.changes,
            endpoints_at: state.directory.at(),
            boxes_at: state.boxes_at,
            store_unreachable_ms: state
                .unreachable_since
                .map(|since| since.elapsed().as_millis() as u64),
        };
        Some(if part.is_complete { Answer::All(update) } else { Answer::Part(update) })
    }
}
