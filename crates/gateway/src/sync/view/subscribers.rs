//! Answers to subscribers.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wire::{Subscribe, Update};

use super::View;

/// Longest time that a subscriber may wait, in milliseconds: dead connections are noticed only by
/// silence.
const WAIT_MOST_MS: u64 = 5_000;

/// Whether an answer contains anything new for a subscriber.
fn is_new(updates: &Update, listen: &Subscribe) -> bool {
    updates.whole
        || listen.since.is_none()
        || !updates.changes.is_empty()
        || updates.away_ms.is_some() != listen.away
}

impl View {
    /// When another box asked for updates last.
    pub fn asked(&self) -> Option<Instant> {
        self.0.state.lock().asked
    }

    /// Waits until another box asks for updates while this one does not watch the store.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// Updates for a subscriber: at once if there are any that it does not know, else when there
    /// are, or after its waiting time. `None` while this box does not watch the store itself.
    pub async fn updates(&self, listen: &Subscribe) -> Option<Update> {
        let until = Instant::now() + Duration::from_millis(listen.wait_ms.min(WAIT_MOST_MS));
        let mut heard = self.0.updates.subscribe();
        self.0.state.lock().asked = Some(Instant::now());
        loop {
            heard.borrow_and_update();
            let found = self.news_now(listen);
            match found {
                None => {
                    self.0.wanted.notify_one();
                    return None;
                }
                Some(updates) if is_new(&updates, listen) => return Some(updates),
                Some(_) => {}
            }
            if timeout_at(until, heard.changed()).await.is_err() {
                return self.news_now(listen);
            }
        }
    }

    fn news_now(&self, listen: &Subscribe) -> Option<Update> {
        let state = self.0.state.lock();
        if !state.watches.is_whole() {
            return None;
        }
        let told = listen.since.map(|since| state.change_log.since(since));
        let (mut changes, whole) = told.unwrap_or_default();
        changes
            .retain(|change| &*change.kind != platform::CONFIG.0 || change.version > listen.config);
        Some(Update {
            last: state.change_log.last(),
            whole,
            changes,
            endpoints_at: state.directory.at(),
            boxes_at: state.boxes_at,
            away_ms: state.away_since.map(|since| since.elapsed().as_millis() as u64),
        })
    }
}
