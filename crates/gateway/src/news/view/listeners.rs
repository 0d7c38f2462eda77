//! Answers to subscribers.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wire::{Listen, News};

use super::View;

/// Longest time that a subscriber may wait, in milliseconds: dead connections are noticed only by
/// silence.
const WAIT_MOST_MS: u64 = 5_000;

/// Whether an answer contains anything new for a subscriber.
fn is_new(news: &News, listen: &Listen) -> bool {
    news.whole
        || listen.since.is_none()
        || !news.changes.is_empty()
        || news.away_ms.is_some() != listen.away
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
    pub async fn news(&self, listen: &Listen) -> Option<News> {
        let until = Instant::now() + Duration::from_millis(listen.wait_ms.min(WAIT_MOST_MS));
        let mut heard = self.0.news.subscribe();
        self.0.state.lock().asked = Some(Instant::now());
        loop {
            heard.borrow_and_update();
            let found = self.news_now(listen);
            match found {
                None => {
                    self.0.wanted.notify_one();
                    return None;
                }
                Some(news) if is_new(&news, listen) => return Some(news),
                Some(_) => {}
            }
            if timeout_at(until, heard.changed()).await.is_err() {
                return self.news_now(listen);
            }
        }
    }

    fn news_now(&self, listen: &Listen) -> Option<News> {
        let state = self.0.state.lock();
        if !state.looks.is_whole() {
            return None;
        }
        let told = listen.since.map(|since| state.shelf.since(since));
        let (mut changes, whole) = told.unwrap_or_default();
        changes
            .retain(|change| &*change.kind != platform::CONFIG.0 || change.version > listen.config);
        Some(News {
            last: state.shelf.last(),
            whole,
            changes,
            endpoints_at: state.directory.at(),
            boxes_at: state.boxes_at,
            away_ms: state.away_since.map(|since| since.elapsed().as_millis() as u64),
        })
    }
}
