//! Where requests with a key are run, kept at the key's home for whoever gets a retry.
//!
//! This is a hint: without it a retry at another box may run repeatable work again, which holds
//! tokens of its own and is billed once. Unrepeatable work never depends on it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use parking_lot::Mutex;
use wire::Place;

/// Requests remembered.
const MOST: usize = 100_000;

type Id = (Arc<str>, Arc<str>);

#[derive(Default)]
struct State {
    places: HashMap<Id, Place>,
    order: VecDeque<Id>,
}

/// Places by customer and key, the oldest forgotten first.
#[derive(Default)]
pub struct Places(Mutex<State>);

impl Places {
    /// Remembers where a request is run.
    pub fn note(&self, customer: Arc<str>, key: Arc<str>, place: Place) {
        let mut state = self.0.lock();
        let id = (customer, key);
        if state.places.insert(id.clone(), place).is_none() {
            state.order.push_back(id);
        }
        while state.order.len() > MOST {
            let oldest = state.order.pop_front();
            oldest.and_then(|id| state.places.remove(&id));
        }
    }

    /// Where a request is or was run, if it is known.
    pub fn find(&self, customer: &Arc<str>, key: &Arc<str>) -> Option<Place> {
        self.0.lock().places.get(&(customer.clone(), key.clone())).cloned()
    }
}
