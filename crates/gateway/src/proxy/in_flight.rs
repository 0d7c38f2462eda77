//! A request that is under way at an endpoint, and what its outcome says of the endpoint.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use tokio::time::Instant;

use crate::{
    fleet::peers::{Peers, PromptNotice},
    proxy::{
        crashes::Watch,
        endpoints::{Chosen, Endpoints},
    },
};

/// Smallest number of uncached prompt tokens that is announced to other boxes; smaller ones hardly
/// delay an engine, which takes some 50 ms for as many, a tenth of what callers may wait.
const MIN_ANNOUNCED_TOKENS: u64 = 2_000;

/// A request at an endpoint; counted as load of the endpoint until dropped.
#[derive(Debug)]
pub struct InFlight {
    endpoints: Arc<Endpoints>,
    service: Arc<str>,
    instance: Arc<str>,
    /// Prompt tokens that the endpoint has to process; taken when the response begins.
    prefill_tokens: Option<u64>,
    /// Announcement of the prompt to other boxes; withdrawn on drop.
    prompt_notice: Option<PromptNotice>,
    /// When the last event arrived.
    last_event_at: Option<Instant>,
    failure: Option<Failure>,
    /// Detects whether the endpoint crashes on the request.
    watch: Watch,
}

impl InFlight {
    /// Counts a request at an endpoint, and announces it to other boxes if its prompt is large.
    pub fn start(
        endpoints: Arc<Endpoints>,
        service: Arc<str>,
        chosen: &Chosen,
        prefix: &balance::Prefix,
        peers: &Peers,
        watch: Watch,
    ) -> InFlight {
        let prefill_tokens = endpoints.start(&service, chosen, prefix);
        let prompt_notice = (prefill_tokens >= MIN_ANNOUNCED_TOKENS)
            .then(|| peers.publish_prompt(&chosen.instance, prefix, prefill_tokens));
        let instance = chosen.instance.clone();
        let prefill_tokens = Some(prefill_tokens);
        InFlight {
            endpoints,
            service,
            instance,
            prefill_tokens,
            prompt_notice,
            last_event_at: None,
            failure: None,
            watch,
        }
    }

    /// The endpoint has processed the prompt: the response began, or the request ended without one.
    pub fn finish_prefill(&mut self) {
        if let Some(prefill_tokens) = self.prefill_tokens.take() {
            self.endpoints.finish_prefill(&self.service, &self.instance, prefill_tokens);
            self.prompt_notice.take();
        }
    }

    /// Records events that arrived together; returns the time since the previous ones.
    pub fn record_events(&mut self, events: u64) -> Option<Duration> {
        let now = Instant::now();
        let pause = now.saturating_duration_since(self.last_event_at.replace(now)?);
        let gap = pause / events.clamp(1, u64::from(u32::MAX)) as u32;
        self.endpoints.record_gap(&self.service, &self.instance, gap);
        Some(pause)
    }

    /// The response, a success or a failure, is complete.
    pub fn answered(&mut self, is_success: bool) {
        self.watch.answered(is_success);
    }

    /// The connection broke before the response was complete.
    pub fn broke(&mut self) {
        self.failure = Some(Failure::Broken);
        self.watch.broke();
    }

    /// The attempt failed, which counts against the endpoint.
    pub fn fail(&mut self, failure: Failure) {
        self.failure = Some(failure);
        self.watch.not_crashed();
    }

    /// No connection to the endpoint could be opened, which counts against it.
    pub fn unsent(&mut self) {
        self.failure = Some(Failure::Silent);
        self.watch.unsent();
    }

    /// The close of the connection marks the end of the response.
    pub fn unframed(&mut self) {
        self.watch.unframed();
    }

    /// The attempt ended in a way that does not count against the endpoint.
    pub fn end_without_failure(&mut self) {
        self.watch.not_crashed();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.finish_prefill();
        self.endpoints.end(&self.service, &self.instance, self.failure);
    }
}
