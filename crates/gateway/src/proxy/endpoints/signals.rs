//! What endpoints say of themselves in their answers, as one box knows it.
//!
//! Every answer of an endpoint comes through [`Endpoints::hear`], whatever its status, but for those that another endpoint at its
//! address gives. What cannot be read, or is not known, is counted by the name of its header, and logged once a name.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use balance::{Departure, Endpoint, Limit, Pool, Report};
use platform::{answer::Head, signal::Signal};

use super::{Chosen, Endpoints};

/// Names of headers that are told apart in counts; the others are counted together.
const MOST_NAMES: usize = 64;
/// Name of the count of the others.
const OTHERS: &str = "others";
/// Rest of an endpoint that asks for one of a length that cannot be read: it is in need, and an answer in a second says more.
const REST_UNKNOWN: Duration = Duration::from_millis(1_000);
/// What is new to this box, so that other boxes should hear of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Changes {
    /// Its limit changed.
    pub limit: bool,
    /// It leaves.
    pub leaves: bool,
}

/// Headers that nobody read, by name.
#[derive(Debug, Default)]
pub struct Unread(BTreeMap<Arc<str>, u64>);

impl Unread {
    /// An endpoint sent a header that is not known, or with a value that cannot be read.
    fn note(&mut self, name: &str, value: &str, endpoint: &str) {
        if let Some(count) = self.0.get_mut(name) {
            *count += 1;
            return;
        }
        let name = if self.0.len() < MOST_NAMES { name } else { OTHERS };
        let count = self.0.entry(name.into()).or_default();
        *count += 1;
        if *count == 1 {
            tracing::warn!(event = "word_unread", name, value, endpoint);
        }
    }
}

impl Endpoints {
    /// The head of an answer, to a request that was sent so long ago, says this of its endpoint.
    pub fn receive_signals(
        &self,
        service: &str,
        chosen: &Chosen,
        head: &Head,
        ago: Duration,
    ) -> Changes {
        let signals = &head.signals;
        let now = self.now();
        let sent_at = now.saturating_sub(ago.as_millis() as u64);
        let instance = &chosen.instance;
        for (name, value) in signals.unread() {
            self.unread.lock().note(name, value, instance);
        }
        let mut state = self.state.lock();
        let leaves = signals.leaves == Some(Signal::Valid(true))
            && state.leave(instance, chosen.address, Departure::now(now), true);
        let Some(pool) = state.services.get_mut(service) else {
            return Changes { leaves, limit: false };
        };
        if let Some(back_off) = &signals.back_off {
            rests(pool, instance, back_off, now);
        }
        let Some(endpoint) = pool.get_mut(instance) else {
            return Changes { leaves, limit: false };
        };
        if !head.not_run {
            endpoint.back_off.request_accepted(sent_at);
        }
        if let Some(Signal::Valid(load)) = &signals.load {
            let (running, waiting, slots) = (load.running, load.waiting, load.slots);
            endpoint.report(Report { at: now, running, waiting, slots });
        }
        let limit = signals.limit.as_ref().map(|signal| limit(endpoint, signal));
        let limit =
            endpoint.update_limit(balance::LimitSignal { limit, sent_at, answered_at: now });
        if limit {
            super::limits::log_limit(instance, endpoint.limit(), "answer");
        }
        Changes { limit, leaves }
    }

    /// Whether an endpoint went, or said that it wants no request, since it was chosen for one.
    pub fn refuses_requests(&self, service: &str, chosen: &Chosen) -> bool {
        let now = self.now();
        let state = self.state.lock();
        let pool = state.services.get(service);
        let known = pool.and_then(|pool| pool.get(&chosen.instance));
        known.is_none_or(|endpoint| endpoint.refuses_requests(now))
    }

    /// Endpoints that said that they leave and are still listed.
    pub fn count_leaving(&self) -> usize {
        let state = self.state.lock();
        let endpoints = state.services.values().flat_map(|pool| pool.endpoints());
        endpoints.filter(|endpoint| endpoint.departure.is_some()).count()
    }

    /// Endpoints that want nothing from this box for now.
    pub fn count_backing_off(&self) -> usize {
        let now = self.now();
        let state = self.state.lock();
        let endpoints = state.services.values().flat_map(|pool| pool.endpoints());
        endpoints.filter(|endpoint| endpoint.back_off.remaining_ms(now) > 0).count()
    }

    /// Headers of endpoints that nobody read, with how often they came.
    pub fn unread(&self) -> Vec<(Arc<str>, u64)> {
        self.unread.lock().0.iter().map(|(name, count)| (name.clone(), *count)).collect()
    }
}

/// How much an endpoint takes. One that names a limit which cannot be read is in need all the same.
fn limit(endpoint: &Endpoint, signal: &Signal<f64>) -> Limit {
    match signal {
        Signal::Valid(per_s) => Limit::per_s(*per_s),
        Signal::Unreadable(_) => endpoint.limit().unwrap_or(Limit::UNKNOWN),
    }
}

fn rests(pool: &mut Pool, instance: &str, signal: &Signal<Duration>, now: u64) {
    let back_off = match signal {
        Signal::Valid(back_off) => *back_off,
        Signal::Unreadable(_) => REST_UNKNOWN,
    };
    let rest_ms = u64::try_from(back_off.as_millis()).unwrap_or(u64::MAX);
    if pool.back_off(instance, rest_ms, now) {
        tracing::info!(event = "endpoint_rests", endpoint = instance, rest_ms);
    }
}
