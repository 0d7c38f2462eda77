//! How many requests this box may send to a second endpoint.
//!
//! The bound holds for all boxes together, so each one keeps to a share of its own requests and a
//! few more. What it counts is sent, not planned.

use std::{collections::HashMap, sync::Arc};

use crate::settings;

/// Requests and repeats of the last seconds, by service.
#[derive(Debug, Default)]
pub struct Retries {
    services: HashMap<Arc<str>, Vec<Second>>,
}

#[derive(Debug, Clone, Copy)]
struct Second {
    at: u64,
    requests: u32,
    repeats: u32,
}

impl Retries {
    /// A request for a service came.
    pub fn request(&mut self, service: &Arc<str>, now_s: u64, limits: &settings::Retries) {
        self.second(service, now_s, limits).requests += 1;
    }

    /// Takes one repeat, if the window has one left.
    pub fn take(&mut self, service: &Arc<str>, now_s: u64, limits: &settings::Retries) -> bool {
        let fits = self.has(service, now_s, limits);
        if fits {
            self.second(service, now_s, limits).repeats += 1;
        }
        fits
    }

    /// Whether the window has a repeat left.
    pub fn has(&mut self, service: &Arc<str>, now_s: u64, limits: &settings::Retries) -> bool {
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
        seconds.retain(|second| second.at + limits.window_s > now_s);
        if seconds.last().is_none_or(|last| last.at != now_s) {
            seconds.push(Second { at: now_s, requests: 0, repeats: 0 });
        }
        seconds.last_mut().expect("just pushed")
    }
}
