//! Limits that endpoints name, as boxes tell them: the store knows nothing of them.

use std::sync::Arc;

use balance::Limit;
use wire::LimitNotice;

use super::{State, View, note_unreadable};

/// Kind under which limits are told.
pub const LIMITS: &str = "limits";
/// Version of all that the store does not know.
const NOT_STORED: u64 = 0;

impl View {
    /// Takes over a limit that a box tells, this one or another, nothing where the endpoint named none; says whether
    /// that is news. A limit that changes with each answer is not: boxes would be told of it all the time.
    pub fn receive_limit(&self, endpoint: &Arc<str>, limit: Option<Limit>) -> bool {
        let text = limit.map(|limit| serde_json::to_string(&limit).expect("it always serializes"));
        let mut state = self.0.state.lock();
        let told = state
            .change_log
            .value(LIMITS, endpoint)
            .map(|text| serde_json::from_str::<Limit>(&text));
        let is_news = match (limit, told) {
            (Some(limit), Some(Ok(told))) => !limit.is_close(told),
            (None, None) => false,
            _ => true,
        };
        if is_news {
            self.take_limit(&mut state, endpoint, text.as_deref());
            drop(state);
            self.tell();
        }
        is_news
    }

    /// A limit as the shelf of a home holds it, or that the endpoint names none any more.
    pub(super) fn take_limit(&self, state: &mut State, endpoint: &Arc<str>, text: Option<&str>) {
        let limit = match text.map(serde_json::from_str::<Limit>).transpose() {
            Ok(limit) => limit,
            Err(error) => return note_unreadable(LIMITS, endpoint, &error),
        };
        if state.change_log.put(LIMITS, endpoint, NOT_STORED, text) {
            // It is told once, so it holds at once; an answer to a request that is sent from now on knows better.
            let endpoint = endpoint.clone();
            let said = LimitNotice { endpoint, limit, sent_ms: 0, answered_ms: 0 };
            self.0.uses.endpoints.receive_limit(&said, "news");
        }
    }
}

impl State {
    /// What an endpoint named goes with it.
    pub(super) fn unshelve_limits(&mut self, is_known: impl Fn(&str) -> bool) {
        for (endpoint, _) in self.change_log.names(LIMITS) {
            if !is_known(&endpoint) {
                self.change_log.put(LIMITS, &endpoint, NOT_STORED, None);
            }
        }
    }
}
