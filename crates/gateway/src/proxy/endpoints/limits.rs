//! What endpoints say that they take from all boxes together, as one box knows it.

use std::{sync::Arc, time::Duration};

use balance::{Limit, LimitSignal, Pool};

use super::Endpoints;

impl Endpoints {
    /// What this box knows of how much an endpoint takes; `None` if it never heard of a limit, or of the endpoint.
    pub fn limit_notice(&self, instance: &Arc<str>) -> Option<wire::LimitNotice> {
        let now = self.now();
        let state = self.state.lock();
        let said = state.services.values().find_map(|pool| pool.get(instance))?.limit_signal()?;
        let (sent_ms, answered_ms) =
            (now.saturating_sub(said.sent_at), now.saturating_sub(said.answered_at));
        Some(wire::LimitNotice {
            endpoint: instance.clone(),
            limit: said.limit,
            sent_ms,
            answered_ms,
        })
    }

    /// Another box says what it knows of how much an endpoint takes.
    pub fn receive_limit(&self, said: &wire::LimitNotice, by: &str) {
        let now = self.now();
        let (sent_at, answered_at) = (said.sent_ms, said.answered_ms);
        let (sent_at, answered_at) = (now.saturating_sub(sent_at), now.saturating_sub(answered_at));
        let mut state = self.state.lock();
        let mut pools = state.services.values_mut();
        let known = pools.find_map(|pool| pool.get_mut(&said.endpoint));
        if known.is_some_and(|known| {
            known.update_limit(LimitSignal { limit: said.limit, sent_at, answered_at })
        }) {
            log_limit(&said.endpoint, said.limit, by);
        }
    }

    /// This box gets no turn at an endpoint for a time.
    pub fn defer_permits(&self, service: &str, instance: &str, time: Duration) {
        let now = self.now();
        let mut state = self.state.lock();
        let pool = state.services.get_mut(service);
        if let Some(endpoint) = pool.and_then(|pool| pool.get_mut(instance)) {
            endpoint.defer_permits(time.as_millis() as u64, now);
        }
    }

    /// Number of boxes that share what endpoints take; `None` while they are not known.
    pub fn boxes(&self) -> Option<usize> {
        self.state.lock().fleet.as_ref().map(|fleet| fleet.others.len() + 1)
    }

    /// Whether a life of an endpoint is one of those that take work.
    pub fn is_listed(&self, instance: &str) -> bool {
        self.state.lock().found.contains_key(instance)
    }

    /// Limits that endpoints name, in requests a second.
    pub fn limits(&self) -> Vec<(Arc<str>, f64)> {
        let state = self.state.lock();
        let endpoints = state.services.values().flat_map(Pool::endpoints);
        let named = endpoints.filter_map(|e| Some((e.name.clone(), e.limit()?.as_per_s())));
        named.collect()
    }
}

pub(super) fn log_limit(instance: &str, limit: Option<Limit>, by: &str) {
    let per_s = limit.map(Limit::as_per_s);
    tracing::info!(event = "endpoint_limit", endpoint = instance, per_s, by);
}
