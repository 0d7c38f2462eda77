//! Signals of endpoints about themselves in the heads of their responses.
//!
//! [`Endpoints::receive_signals`] processes every response of an endpoint, whatever its status, except those of another
//! endpoint at its address. Unknown or unreadable signals are counted by header name, and logged once per name.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use balance::{Brittle, Departure, Endpoint, Limit, Pool, Report};
use platform::{answer::Head, signal::Signal};

use super::{Chosen, Endpoints};

/// Header names that are counted separately; all others share one count.
const MAX_COUNTED_NAMES: usize = 64;
/// Name of the shared count.
const OTHER_NAMES: &str = "others";
/// Back-off of an endpoint that requests one of unreadable length: it is probably overloaded, and a response after
/// this time shows more.
const DEFAULT_BACK_OFF: Duration = Duration::from_millis(1_000);

/// What a response changed for this box and other boxes have to learn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// The rate limit changed.
    pub limit: bool,
    /// The endpoint began draining.
    pub leaves: bool,
}

/// Counts of unknown or unreadable headers, by name.
#[derive(Debug, Default)]
pub struct UnreadHeaders(BTreeMap<Arc<str>, u64>);

impl UnreadHeaders {
    /// Counts a header of an endpoint that is unknown or has an unreadable value.
    fn count_header(&mut self, name: &str, value: &str, endpoint: &str) {
        if let Some(count) = self.0.get_mut(name) {
            *count += 1;
            return;
        }
        let name = if self.0.len() < MAX_COUNTED_NAMES { name } else { OTHER_NAMES };
        let count = self.0.entry(name.into()).or_default();
        *count += 1;
        if *count == 1 {
            tracing::warn!(event = "word_unread", name, value, endpoint);
        }
    }
}

impl Endpoints {
    /// Applies the signals in the head of a response to a request that was sent `since_sent` ago.
    pub fn receive_signals(
        &self,
        service: &str,
        chosen: &Chosen,
        head: &Head,
        since_sent: Duration,
    ) -> Changes {
        let signals = &head.signals;
        let now = self.now();
        let sent_at = now.saturating_sub(since_sent.as_millis() as u64);
        let instance = &chosen.instance;
        for (name, value) in signals.unread() {
            self.unread_headers.lock().count_header(name, value, instance);
        }
        let mut state = self.state.lock();
        let leaves = signals.leaves == Some(Signal::Valid(true))
            && state.record_departure(instance, chosen.address, Departure::now(now), true);
        let Some(pool) = state.services.get_mut(service) else {
            return Changes { leaves, limit: false };
        };
        if let Some(signal) = &signals.back_off {
            start_back_off(pool, instance, signal, now);
        }
        pool.set_brittle(instance, signals.brittle.as_ref().map(read_brittle));
        if head.not_run && pool.back_off_if_brittle(instance, now) {
            tracing::info!(event = "endpoint_brittle", endpoint = &**instance);
        }
        let Some(endpoint) = pool.get_mut(instance) else {
            return Changes { leaves, limit: false };
        };
        if !head.not_run {
            endpoint.back_off.request_accepted(sent_at);
        }
        if let Some(Signal::Valid(load)) = &signals.load {
            let (running, waiting, slots) = (load.running, load.waiting, load.slots);
            endpoint.receive_report(Report { at: now, running, waiting, slots });
        }
        let limit = signals.limit.as_ref().map(|signal| read_limit(endpoint, signal));
        let limit =
            endpoint.update_limit(balance::LimitSignal { limit, sent_at, answered_at: now });
        if limit {
            super::limits::log_limit(instance, endpoint.limit(), "answer");
        }
        Changes { limit, leaves }
    }

    /// Whether an endpoint was removed, or began to decline requests, after it was selected.
    pub fn refuses_requests(&self, service: &str, chosen: &Chosen) -> bool {
        let now = self.now();
        let state = self.state.lock();
        let pool = state.services.get(service);
        let endpoint = pool.and_then(|pool| pool.get(&chosen.instance));
        endpoint.is_none_or(|endpoint| endpoint.refuses_requests(now))
    }

    /// Number of listed endpoints that are draining.
    pub fn count_leaving(&self) -> usize {
        let state = self.state.lock();
        let endpoints = state.services.values().flat_map(|pool| pool.endpoints());
        endpoints.filter(|endpoint| endpoint.departure.is_some()).count()
    }

    /// Number of endpoints in a back-off.
    pub fn count_backing_off(&self) -> usize {
        let now = self.now();
        let state = self.state.lock();
        let endpoints = state.services.values().flat_map(|pool| pool.endpoints());
        endpoints.filter(|endpoint| endpoint.back_off.remaining_ms(now) > 0).count()
    }

    /// Unknown or unreadable headers of endpoints, with their counts.
    pub fn unread_headers(&self) -> Vec<(Arc<str>, u64)> {
        self.unread_headers.lock().0.iter().map(|(name, count)| (name.clone(), *count)).collect()
    }
}

/// The rate limit of an endpoint. An unreadable limit keeps the previous one, or counts as an unknown limit: the
/// endpoint wants to be limited in any case.
fn read_limit(endpoint: &Endpoint, signal: &Signal<f64>) -> Limit {
    match signal {
        Signal::Valid(per_s) => Limit::per_s(*per_s),
        Signal::Unreadable(_) => endpoint.limit().unwrap_or(Limit::UNKNOWN),
    }
}

/// How many rejections an endpoint bears. One that says so in an unreadable way may bear none.
fn read_brittle(signal: &Signal<f64>) -> Brittle {
    let rejections_per_s = match signal {
        Signal::Valid(per_s) => *per_s,
        Signal::Unreadable(_) => 0.0,
    };
    Brittle { rejections_per_s }
}

fn start_back_off(pool: &mut Pool, instance: &str, signal: &Signal<Duration>, now: u64) {
    let back_off = match signal {
        Signal::Valid(back_off) => *back_off,
        Signal::Unreadable(_) => DEFAULT_BACK_OFF,
    };
    let rest_ms = u64::try_from(back_off.as_millis()).unwrap_or(u64::MAX);
    if pool.back_off(instance, rest_ms, now) {
        tracing::info!(event = "endpoint_rests", endpoint = instance, rest_ms);
    }
}
