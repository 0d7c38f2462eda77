//! Rate limits that endpoints name. Boxes publish them to each other; they are not in the store.

use std::sync::Arc;

use balance::Limit;
use wire::LimitNotice;

use super::{State, View, log_unreadable};

/// Kind of these updates.
pub const LIMITS: &str = "limits";
/// Version of objects that are not in the store.
const NOT_STORED: u64 = 0;

impl View {
    /// Takes over a limit from this box or another one, `None` if the endpoint named none; returns
    /// whether it is to be published. Small changes are not, because a limit may change with each
    /// answer.
    pub fn receive_limit(&self, endpoint: &Arc<str>, limit: Option<Limit>) -> bool {
        let text =
            limit.map(|limit| serde_json::to_string(&limit).expect("limits always serialize"));
        let mut state = self.0.state.lock();
        let published = state
            .change_log
            .value(LIMITS, endpoint)
            .map(|text| serde_json::from_str::<Limit>(&text));
        let is_new = match (limit, published) {
            (Some(limit), Some(Ok(published))) => !limit.is_close(published),
            (None, None) => false,
            _ => true,
        };
        if is_new {
            self.apply_limit(&mut state, endpoint, text.as_deref());
            drop(state);
            self.notify();
        }
        is_new
    }

    /// Takes over a limit from the change log of a watcher; `None` if the endpoint names none any
    /// more.
    pub(super) fn apply_limit(&self, state: &mut State, endpoint: &Arc<str>, text: Option<&str>) {
        let limit = match text.map(serde_json::from_str::<Limit>).transpose() {
            Ok(limit) => limit,
            Err(error) => return log_unreadable(LIMITS, endpoint, &error),
        };
        if state.change_log.put(LIMITS, endpoint, NOT_STORED, text) {
            // Counts as signaled just now, so that it takes effect at once; any answer to a later
            // request replaces it.
            let endpoint = endpoint.clone();
            let notice = LimitNotice { endpoint, limit, sent_ms: 0, answered_ms: 0 };
            self.0.consumers.endpoints.receive_limit(&notice, "news");
        }
    }
}

impl State {
    /// Removes limits of unknown endpoints from the change log.
    pub(super) fn drop_limits(&mut self, is_known: impl Fn(&str) -> bool) {
        for (endpoint, _) in self.change_log.names(LIMITS) {
            if !is_known(&endpoint) {
                self.change_log.put(LIMITS, &endpoint, NOT_STORED, None);
            }
        }
    }
}
