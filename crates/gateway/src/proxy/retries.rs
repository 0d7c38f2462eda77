//! Limits how many requests this box repeats at another endpoint.
//!
//! In a sliding window, repeats may not exceed a ratio of the requests of this box plus a constant.
//! Since each box limits its own, the ratio holds for all boxes together. Only repeats that are sent count.

use std::{collections::HashMap, sync::Arc};

use crate::settings;

/// Requests and repeats in the window, by service.
#[derive(Debug, Default)]
pub struct Retries {
    services: HashMap<Arc<str>, Vec<Second>>,
}

/// Requests and repeats within one second.
#[derive(Debug, Clone, Copy)]
struct Second {
    at_s: u64,
    requests: u32,
    repeats: u32,
}

impl Retries {
    /// Counts a new request for a service.
    pub fn count_request(&mut self, service: &Arc<str>, now_s: u64, limits: &settings::Retries) {
        self.second(service, now_s, limits).requests += 1;
    }

    /// Consumes one repeat, if the limit permits another.
    pub fn take(&mut self, service: &Arc<str>, now_s: u64, limits: &settings::Retries) -> bool {
        let fits = self.has_left(service, now_s, limits);
        if fits {
            self.second(service, now_s, limits).repeats += 1;
        }
        fits
    }

    /// Whether the limit permits another repeat.
    pub fn has_left(&mut self, service: &Arc<str>, now_s: u64, limits: &settings::Retries) -> bool {
        self.second(service, now_s, limits);
        let seconds = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let requests: u32 = seconds.iter().map(|second| second.requests).sum();
        let repeats: u32 = seconds.iter().map(|second| second.repeats).sum();
        let allowed = f64::from(requests) * limits.ratio + f64::from(limits.extra);
        f64::from(repeats) + 1.0 <= allowed
    }

    fn second(
        &mut self,
        service: &Arc<str>,
        now_s: u64,
        limits: &settings::Retries,
    ) -> &mut Second {
        let seconds = self.services.entry(service.clone()).or_default();
        seconds.retain(|second| second.at_s + limits.window_s > now_s);
        if seconds.last().is_none_or(|last| last.at_s != now_s) {
            seconds.push(Second { at_s: now_s, requests: 0, repeats: 0 });
        }
        seconds.last_mut().expect("just pushed")
    }
}
