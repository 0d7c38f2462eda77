//! Endpoints that said that they leave, to this box or to another one.
//!
//! Nothing that an entry or another answer says takes the word back: the entry may stand in a store that is away, and an answer
//! may have been made before. An endpoint that changes its mind is lost to the boxes that heard it until it starts
//! again; requests to one that ends would be lost with it. The word holds also while the life is not listed, since its entry
//! may lapse and come back unchanged.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use balance::Departure;

use super::{Endpoints, State};

/// Lives of endpoints remembered that said that they leave, some 200 bytes each: ten times as many as a large deployment has.
const MOST_LEFT: usize = 4_096;
/// Time without an entry after which what a life of an endpoint said is forgotten, in milliseconds. Entries that lapsed come
/// back within seconds.
const FORGET_MS: u64 = 600_000;

/// Lives of endpoints that said that they leave.
#[derive(Debug, Default)]
pub struct Left(HashMap<Arc<str>, Known>);

#[derive(Debug)]
struct Known {
    /// Where it listened: one that is found elsewhere has started again.
    address: SocketAddr,
    departure: Departure,
    /// It said so to this box.
    in_answer: bool,
    /// When it was listed last.
    listed: u64,
}

impl Left {
    /// What this life of an endpoint, at this address, said.
    pub fn get(&self, instance: &str, address: SocketAddr) -> Option<Departure> {
        self.0.get(instance).filter(|known| known.address == address).map(|known| known.departure)
    }

    /// It says so; returns whether that is new. Where too many did, the one is forgotten that was not listed for longest.
    fn note(
        &mut self,
        instance: &Arc<str>,
        known: Known,
        is_listed: impl Fn(&Arc<str>) -> bool,
    ) -> bool {
        if self.get(instance, known.address).is_some() {
            return false;
        }
        if self.0.len() >= MOST_LEFT {
            let oldest =
                self.0.iter().min_by_key(|(instance, known)| (is_listed(instance), known.listed));
            let oldest = oldest.map(|(instance, _)| instance.clone());
            oldest.map(|instance| self.0.remove(&instance));
        }
        self.0.insert(instance.clone(), known);
        true
    }

    /// These lives are listed now; what was not for long is forgotten.
    pub fn keep(&mut self, is_listed: impl Fn(&Arc<str>) -> bool, now: u64) {
        self.0.retain(|instance, known| {
            if is_listed(instance) {
                known.listed = now;
            }
            now < known.listed + FORGET_MS
        });
    }
}

impl Endpoints {
    /// A life of an endpoint said to another box that it leaves, now or some time ago.
    pub fn receive_departure(&self, instance: &Arc<str>, address: SocketAddr, is_new: bool) {
        let now = self.now();
        let departure = if is_new { Departure::now(now) } else { Departure::elapsed(now) };
        self.state.lock().leave(instance, address, departure, false);
    }

    /// Listed lives of endpoints, with their addresses, that said to this box that they leave.
    pub fn own_departures(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let state = self.state.lock();
        let own = state.left.0.iter().filter(|(_, known)| known.in_answer);
        let listed = own.filter(|(instance, _)| state.found.contains_key(*instance));
        listed.map(|(instance, known)| (instance.clone(), known.address)).collect()
    }

    /// Whether a life of an endpoint is remembered to have said that it leaves.
    pub fn remembers_departure(&self, instance: &str) -> bool {
        self.state.lock().left.0.contains_key(instance)
    }
}

impl State {
    /// An endpoint says that it leaves; returns whether that is new.
    pub(super) fn leave(
        &mut self,
        instance: &Arc<str>,
        address: SocketAddr,
        departure: Departure,
        in_answer: bool,
    ) -> bool {
        let is_listed = |instance: &Arc<str>| self.found.contains_key(instance);
        let known = Known { address, departure, in_answer, listed: departure.since };
        let is_new = self.left.note(instance, known, is_listed);
        if is_new {
            let by = if in_answer { "answer" } else { "news" };
            tracing::info!(event = "endpoint_leaves", endpoint = &**instance, by);
            self.mark_leaving(departure.since);
        }
        is_new
    }
}
