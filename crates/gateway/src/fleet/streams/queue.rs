//! Origins that are to be sent to homes, at once or once others have to know them.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use tokio::{sync::watch, time::Instant};
use wire::{StreamKey, StreamOrigin, StreamRecord};

use super::memory::STREAM_TTL;

/// Origins that wait to be sent; the largest fleet begins as many streams in a second.
const MAX_QUEUED: usize = 4_096;
/// Origins of one service that are held back; a box begins as many streams in a minute or more.
const MAX_HELD: usize = 4_096;

/// Origins that wait to be sent.
#[derive(Default)]
pub struct Outbox {
    pub queued: Vec<Queued>,
    /// Origins that were dropped since the last batch was taken.
    pub dropped: u64,
    /// Set once all of them have been sent.
    pub is_sent: watch::Sender<bool>,
}

/// An origin to be sent.
#[derive(Clone)]
pub struct Queued {
    pub key: StreamKey,
    pub origin: StreamOrigin,
    pub began: Instant,
    /// Whether it is written to the store, too.
    pub is_stored: bool,
}

impl Queued {
    /// The record to send, with its age.
    pub fn record(&self) -> StreamRecord {
        let Queued { key, origin, began, .. } = self.clone();
        StreamRecord { key, origin, age_ms: began.elapsed().as_millis() as u64 }
    }
}

/// Origins that are held back, by service, oldest first, and whether homes were told already.
#[derive(Default)]
pub struct Held(HashMap<Arc<str>, VecDeque<(Queued, bool)>>);

impl Held {
    /// Holds an origin back; forgets those that nobody can take up any more.
    pub fn push(&mut self, queued: Queued, is_told: bool) {
        let held = self.0.entry(queued.origin.service.clone()).or_default();
        let is_expired = |(first, _): &(Queued, bool)| first.began.elapsed() >= STREAM_TTL;
        while held.len() >= MAX_HELD || held.front().is_some_and(is_expired) {
            held.pop_front();
        }
        held.push_back((queued, is_told));
    }

    /// Services of the origins.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.0.keys().cloned().collect()
    }

    /// Takes out the origins of a service.
    pub fn take(&mut self, service: &str) -> Vec<Queued> {
        let held = self.0.remove(service).unwrap_or_default();
        held.into_iter().map(|(queued, _)| queued).collect()
    }

    /// The origins of a service of which homes were not told, which counts as done.
    pub fn take_untold(&mut self, service: &str) -> Vec<Queued> {
        let held = self.0.get_mut(service).into_iter().flatten();
        let untold = held.filter(|(_, is_told)| !is_told);
        let tell = |(queued, is_told): &mut (Queued, bool)| {
            *is_told = true;
            queued.clone()
        };
        untold.map(tell).collect()
    }
}

impl Outbox {
    /// Queues an origin, if there is room.
    pub fn push(&mut self, queued: Queued) {
        match self.queued.len() < MAX_QUEUED {
            true => self.queued.push(queued),
            false => self.dropped += 1,
        }
    }
}
