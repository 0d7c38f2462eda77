//! Rate limits that endpoints name for all boxes together, as known to this box.

use std::{sync::Arc, time::Duration};

use balance::{Limit, LimitSignal, Pool};

use super::Endpoints;

impl Endpoints {
    /// The latest report of an endpoint's rate limit, which may be that it has none any more; `None` if the endpoint
    /// is unknown or never named a limit.
    pub fn limit_notice(&self, instance: &Arc<str>) -> Option<wire::LimitNotice> {
        let now = self.now();
        let state = self.state.lock();
        let signal = state.services.values().find_map(|pool| pool.get(instance))?.limit_signal()?;
        let (sent_ms, answered_ms) =
            (now.saturating_sub(signal.sent_at), now.saturating_sub(signal.answered_at));
        Some(wire::LimitNotice {
            endpoint: instance.clone(),
            limit: signal.limit,
            sent_ms,
            answered_ms,
        })
    }

    /// Accepts the report of another box of an endpoint's rate limit.
    pub fn receive_limit(&self, notice: &wire::LimitNotice, by: &str) {
        let now = self.now();
        let (sent_at, answered_at) = (notice.sent_ms, notice.answered_ms);
        let (sent_at, answered_at) = (now.saturating_sub(sent_at), now.saturating_sub(answered_at));
        let mut state = self.state.lock();
        let mut pools = state.services.values_mut();
        let endpoint = pools.find_map(|pool| pool.get_mut(&notice.endpoint));
        if endpoint.is_some_and(|endpoint| {
            endpoint.update_limit(LimitSignal { limit: notice.limit, sent_at, answered_at })
        }) {
            log_limit(&notice.endpoint, notice.limit, by);
        }
    }

    /// Skips an endpoint for this time, as this box gets no permit for it.
    pub fn defer_permits(&self, service: &str, instance: &str, time: Duration) {
        let now = self.now();
        let mut state = self.state.lock();
        let pool = state.services.get_mut(service);
        if let Some(endpoint) = pool.and_then(|pool| pool.get_mut(instance)) {
            endpoint.defer_permits(time.as_millis() as u64, now);
        }
    }

    /// Number of boxes that share the rate limits; `None` until the fleet is known.
    pub fn boxes(&self) -> Option<usize> {
        self.state.lock().fleet.as_ref().map(|fleet| fleet.others.len() + 1)
    }

    /// Whether an endpoint instance is listed as accepting requests.
    pub fn is_listed(&self, instance: &str) -> bool {
        self.state.lock().listed.contains_key(instance)
    }

    /// Rate limits by endpoint instance, in requests per second.
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
