//! Requests that endpoints answered whole a short while ago.

use std::collections::{HashMap, VecDeque};

use crate::Fingerprint;

/// Requests remembered at most, some 90 bytes each. A box of the deployments answers up to 30 a second, so
/// that all of a minute fit.
const MOST: usize = 2_048;

/// Requests with the time of their last whole answer, in milliseconds of a clock that counts suspensions.
#[derive(Debug, Default)]
pub struct Answered {
    last: HashMap<Fingerprint, u64>,
    order: VecDeque<(u64, Fingerprint)>,
}

impl Answered {
    /// A request was answered whole.
    pub fn add(&mut self, request: &Fingerprint, now: u64) {
        self.last.insert(request.clone(), now);
        self.order.push_back((now, request.clone()));
        while self.order.len() > MOST {
            let Some((at, oldest)) = self.order.pop_front() else { return };
            // One that was answered again since stands further back in the order, too.
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Takes out a request that was answered at `since` or later.
    pub fn take(&mut self, request: &Fingerprint, since: u64) -> bool {
        let is_recent = self.last.get(request).is_some_and(|at| *at >= since);
        is_recent && self.last.remove(request).is_some()
    }
}
