//! Endpoints that announced to this box or another one that they are draining.
//!
//! The announcement is final for the instance. No entry or later response revokes it: the entry may be stale while the
//! store is unreachable, and a response may be older than the announcement. An endpoint that changes its mind gets no
//! requests until it restarts, as requests sent to one that exits would be lost. The announcement also holds while the
//! instance is not listed, since its entry may lapse and return unchanged.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use balance::Departure;

use super::{Endpoints, State};

/// Maximum number of draining instances remembered, some 200 bytes each; far more than a large deployment has.
const MAX_DEPARTURES: usize = 4_096;
/// Time in milliseconds without an entry after which a draining instance is forgotten; lapsed entries return within
/// seconds.
const DEPARTURE_TTL_MS: u64 = 600_000;

/// Endpoint instances that announced that they are draining.
#[derive(Debug, Default)]
pub struct Departures(HashMap<Arc<str>, Announced>);

#[derive(Debug)]
struct Announced {
    /// Its address; an instance of this name at another address has restarted.
    address: SocketAddr,
    departure: Departure,
    /// Announced to this box in a response.
    in_response: bool,
    /// When it was last listed.
    listed_at: u64,
}

impl Departures {
    /// The announcement of an instance at this address, which is only looked up if there is one.
    pub fn get(
        &self,
        instance: &str,
        address: impl FnOnce() -> Option<SocketAddr>,
    ) -> Option<Departure> {
        let announced = self.0.get(instance)?;
        (address() == Some(announced.address)).then_some(announced.departure)
    }

    /// Records an announcement; returns whether it is new. At capacity, evicts the instance that was last listed
    /// longest ago.
    fn insert(
        &mut self,
        instance: &Arc<str>,
        announced: Announced,
        is_listed: impl Fn(&Arc<str>) -> bool,
    ) -> bool {
        if self.get(instance, || Some(announced.address)).is_some() {
            return false;
        }
        if self.0.len() >= MAX_DEPARTURES {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(instance, announced)| (is_listed(instance), announced.listed_at));
            let oldest = oldest.map(|(instance, _)| instance.clone());
            oldest.map(|instance| self.0.remove(&instance));
        }
        self.0.insert(instance.clone(), announced);
        true
    }

    /// Refreshes listed instances and forgets those that have not been listed for [`DEPARTURE_TTL_MS`].
    pub fn refresh(&mut self, is_listed: impl Fn(&Arc<str>) -> bool, now: u64) {
        self.0.retain(|instance, announced| {
            if is_listed(instance) {
                announced.listed_at = now;
            }
            now < announced.listed_at + DEPARTURE_TTL_MS
        });
    }
}

impl Endpoints {
    /// Accepts the report of another box that an instance is draining; `is_new` if it began just now.
    pub fn receive_departure(&self, instance: &Arc<str>, address: SocketAddr, is_new: bool) {
        let now = self.now();
        let departure = if is_new { Departure::now(now) } else { Departure::elapsed(now) };
        self.state.lock().record_departure(instance, address, departure, false);
    }

    /// Listed instances that announced to this box that they are draining, with their addresses.
    pub fn own_departures(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let state = self.state.lock();
        let own = state.departures.0.iter().filter(|(_, announced)| announced.in_response);
        let listed = own.filter(|(instance, _)| state.listed.contains_key(*instance));
        listed.map(|(instance, announced)| (instance.clone(), announced.address)).collect()
    }

    /// Whether an instance is remembered as draining.
    pub fn remembers_departure(&self, instance: &str) -> bool {
        self.state.lock().departures.0.contains_key(instance)
    }
}

impl State {
    /// Marks an instance as draining; returns whether that is new.
    pub(super) fn record_departure(
        &mut self,
        instance: &Arc<str>,
        address: SocketAddr,
        departure: Departure,
        in_response: bool,
    ) -> bool {
        let is_listed = |instance: &Arc<str>| self.listed.contains_key(instance);
        let announced = Announced { address, departure, in_response, listed_at: departure.since };
        let is_new = self.departures.insert(instance, announced, is_listed);
        if is_new {
            let by = if in_response { "answer" } else { "news" };
            tracing::info!(event = "endpoint_leaves", endpoint = &**instance, by);
            self.mark_leaving(departure.since);
        }
        is_new
    }
}
