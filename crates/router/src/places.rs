//! Where requests with a key are run, kept at the key's home for whoever gets a retry.
//!
//! This is a hint: without it a retry at another box may run repeatable work again, which holds
//! tokens of its own and is billed once. Unrepeatable work never depends on it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use ledger::Incarnation;
use parking_lot::Mutex;
use wire::{Location, Place};

/// Requests remembered.
const MOST: usize = 100_000;
/// Time that a box has from asking to telling where it runs a request, in milliseconds.
const SOON_MS: u64 = 2_000;

type Id = (Arc<str>, Arc<str>);

enum Known {
    /// This incarnation asked and is about to run it.
    Soon {
        by: Incarnation,
        at: u64,
    },
    At(Place),
}

#[derive(Default)]
struct State {
    places: HashMap<Id, Known>,
    order: VecDeque<Id>,
}

/// Places by customer and key, the oldest forgotten first. Times in milliseconds.
#[derive(Default)]
pub struct Places(Mutex<State>);

impl Places {
    /// Remembers where a request is run.
    pub fn note(&self, customer: Arc<str>, key: Arc<str>, place: Place) {
        self.0.lock().put((customer, key), Known::At(place));
    }

    /// Where a request is or was run; if nowhere, `by` is remembered as about to run it.
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
            Some(Known::At(place)) => return Location::Place(place.clone()),
            Some(Known::Soon { by: other, at }) if other != by && at + SOON_MS > now => {
                return Location::Soon;
            }
            Some(Known::Soon { .. }) | None => {}
        }
        state.put(id, Known::Soon { by: by.clone(), at: now });
        Location::Nowhere
    }
}

impl State {
    fn put(&mut self, id: Id, known: Known) {
        if self.places.insert(id.clone(), known).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > MOST {
            let oldest = self.order.pop_front();
            oldest.and_then(|id| self.places.remove(&id));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_asker_runs_and_the_others_wait_for_it() {
        let places = Places::default();
        let (a, b) = (Incarnation::from("a.1"), Incarnation::from("b.1"));
        let find = |by, now| places.find(&"c".into(), &"k".into(), by, now);
        assert_eq!(find(&a, 0), Location::Nowhere);
        assert_eq!(find(&b, 10), Location::Soon);
        assert_eq!(find(&a, 20), Location::Nowhere);
        assert_eq!(find(&b, 20 + SOON_MS), Location::Nowhere, "the first one never told");
        let place = Place { by: b.clone(), endpoint: "e".into(), dispatch: "d".into() };
        places.note("c".into(), "k".into(), place.clone());
        assert_eq!(find(&a, 30), Location::Place(place));
    }
}
