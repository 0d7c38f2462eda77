//! Requests that endpoints answered completely a short while ago.

use std::collections::{HashMap, VecDeque};

use crate::Fingerprint;

/// Maximum number of remembered requests, about 90 bytes each. Covers more than a minute at the
/// request rates expected of one box.
const MAX_REQUESTS: usize = 2_048;

/// Requests with the time of their last complete answer, in milliseconds of a clock that includes
/// suspensions.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answered_at: HashMap<Fingerprint, u64>,
    order: VecDeque<(u64, Fingerprint)>,
}

impl RecentAnswers {
    /// Records a complete answer.
    pub fn add(&mut self, request: &Fingerprint, now: u64) {
        self.answered_at.insert(request.clone(), now);
        self.order.push_back((now, request.clone()));
        while self.order.len() > MAX_REQUESTS {
            let Some((at, oldest)) = self.order.pop_front() else { return };
            // A request that was answered again has a later entry in `order`.
            if self.answered_at.get(&oldest) == Some(&at) {
                self.answered_at.remove(&oldest);
            }
        }
    }

    /// Removes a request if it was answered at `since` or later; returns whether it was.
    pub fn take(&mut self, request: &Fingerprint, since: u64) -> bool {
        let is_recent = self.answered_at.get(request).is_some_and(|at| *at >= since);
        is_recent && self.answered_at.remove(request).is_some()
    }
}
