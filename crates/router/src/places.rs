//! Which engine runs a request with a key. Kept on the box that owns the key, so that a retry
//! received by another box can attach to the run.
//!
//! Only a hint: without it a retry on another box may run repeatable work again, which reserves
//! tokens of its own and is billed once. Requests that must not run twice never rely on it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use ledger::Incarnation;
use parking_lot::Mutex;
use wire::{Location, Place};

/// Most requests kept; the oldest are dropped first.
const MAX_PLACES: usize = 100_000;
/// Time that a box has between looking up a key and reporting its run, in milliseconds. After it,
/// another box may run the request.
const START_TIMEOUT_MS: u64 = 2_000;

type Id = (Arc<str>, Arc<str>);

enum Entry {
    /// This incarnation looked the key up and is about to run the request.
    Starting {
        by: Incarnation,
        at: u64,
    },
    Running(Place),
}

#[derive(Default)]
struct State {
    places: HashMap<Id, Entry>,
    order: VecDeque<Id>,
}

/// Runs by customer and key. Times in milliseconds.
#[derive(Default)]
pub struct Places(Mutex<State>);

impl Places {
    /// Records where a request runs.
    pub fn record(&self, customer: Arc<str>, key: Arc<str>, place: Place) {
        self.0.lock().put((customer, key), Entry::Running(place));
    }

    /// Where a request runs or ran; if nowhere, records that `by` is about to run it.
    pub fn find(
        &self,
        customer: &Arc<str>,
        key: &Arc<str>,
        by: &Incarnation,
        now: u64,
    ) -> Location {
        let mut state = self.0.lock();
        let id = (customer.clone(), key.clone());
        match state.places.get(&id) {
            Some(Entry::Running(place)) => return Location::Place(place.clone()),
            Some(Entry::Starting { by: other, at })
                if other != by && at + START_TIMEOUT_MS > now =>
            {
                return Location::Pending;
            }
            Some(Entry::Starting { .. }) | None => {}
        }
        state.put(id, Entry::Starting { by: by.clone(), at: now });
        Location::Nowhere
    }
}

impl State {
    fn put(&mut self, id: Id, entry: Entry) {
        if self.places.insert(id.clone(), entry).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_PLACES {
            let oldest = self.order.pop_front();
            oldest.and_then(|id| self.places.remove(&id));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_first_box_to_look_a_key_up_runs_it() {
        let places = Places::default();
        let (a, b) = (Incarnation::from("a.1"), Incarnation::from("b.1"));
        let find = |by, now| places.find(&"c".into(), &"k".into(), by, now);
        assert_eq!(find(&a, 0), Location::Nowhere);
        assert_eq!(find(&b, 10), Location::Pending);
        assert_eq!(find(&a, 20), Location::Nowhere);
        assert_eq!(
            find(&b, 20 + START_TIMEOUT_MS),
            Location::Nowhere,
            "the first box never reported its run"
        );
        let place = Place { by: b.clone(), endpoint: "e".into(), dispatch: "d".into() };
        places.record("c".into(), "k".into(), place.clone());
        assert_eq!(find(&a, 30), Location::Place(place));
    }
}
