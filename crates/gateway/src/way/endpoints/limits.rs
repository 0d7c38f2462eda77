//! Rate limits that endpoints name for all boxes together, as known to this box.

use std::{sync::Arc, time::Duration};

use balance::{Limit, Pool, Said};

use super::Endpoints;

impl Endpoints {
    /// The latest report of an endpoint's rate limit, which may be that it has none any more; `None` if the endpoint
    /// is unknown or never named a limit.
    pub fn said(&self, life: &Arc<str>) -> Option<wire::Limited> {
        let now = self.now();
        let state = self.state.lock();
        let said = state.services.values().find_map(|pool| pool.get(life))?.said()?;
        let (asked_ms, heard_ms) = (now.saturating_sub(said.asked), now.saturating_sub(said.heard));
        Some(wire::Limited { endpoint: life.clone(), limit: said.limit, asked_ms, heard_ms })
    }

    /// Accepts the report of another box of an endpoint's rate limit.
    pub fn hear_said(&self, said: &wire::Limited, by: &str) {
        let now = self.now();
        let (asked, heard) = (said.asked_ms, said.heard_ms);
        let (asked, heard) = (now.saturating_sub(asked), now.saturating_sub(heard));
        let mut state = self.state.lock();
        let mut pools = state.services.values_mut();
        let known = pools.find_map(|pool| pool.get_mut(&said.endpoint));
        if known.is_some_and(|known| known.hear(Said { limit: said.limit, asked, heard })) {
            log_limit(&said.endpoint, said.limit, by);
        }
    }

    /// Skips an endpoint for this time, as this box gets no permit for it.
    pub fn close(&self, service: &str, life: &str, time: Duration) {
        let now = self.now();
        let mut state = self.state.lock();
        let pool = state.services.get_mut(service);
        if let Some(endpoint) = pool.and_then(|pool| pool.get_mut(life)) {
            endpoint.close(time.as_millis() as u64, now);
        }
    }

    /// Number of boxes that share the rate limits; `None` until the fleet is known.
    pub fn boxes(&self) -> Option<usize> {
        self.state.lock().fleet.as_ref().map(|fleet| fleet.others.len() + 1)
    }

    /// Whether an endpoint instance is listed as accepting requests.
    pub fn has(&self, life: &str) -> bool {
        self.state.lock().found.contains_key(life)
    }

    /// Rate limits by endpoint instance, in requests per second.
    pub fn limits(&self) -> Vec<(Arc<str>, f64)> {
        let state = self.state.lock();
        let endpoints = state.services.values().flat_map(Pool::endpoints);
        let named = endpoints.filter_map(|e| Some((e.name.clone(), e.limit()?.as_per_s())));
        named.collect()
    }
}

pub(super) fn log_limit(life: &str, limit: Option<Limit>, by: &str) {
    let per_s = limit.map(Limit::as_per_s);
    tracing::info!(event = "endpoint_limit", endpoint = life, per_s, by);
}
