//! Streams the body of an endpoint's response to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use balance::Failure;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::time::{Instant, Sleep};

use crate::{
    fleet::peers::{Peers, PromptNotice},
    proxy::{
        crashes::Watch,
        endpoints::{Chosen, Endpoints},
        event_counter::EventCounter,
        exchange::{Exchange, Outcome},
        link::Link,
    },
};

/// Smallest number of uncached prompt tokens that is announced to other boxes; smaller ones hardly
/// delay an engine, which takes some 50 ms for as many, a tenth of what callers may wait.
const MIN_ANNOUNCED_TOKENS: u64 = 2_000;

/// Why a body breaks off. The error closes the connection to the caller, so that a truncated body does
/// not look complete.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The endpoint's response broke off.
    #[snafu(display("{source}"))]
    Endpoint { source: forward::Fault },
    /// The deadline of the request passed.
    #[snafu(display("the deadline of the request passed"))]
    Timeout,
}

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
    fn record_events(&mut self, events: u64) -> Option<Duration> {
        let now = Instant::now();
        let pause = now.saturating_duration_since(self.last_event_at.replace(now)?);
        let gap = pause / events.clamp(1, u64::from(u32::MAX)) as u32;
        self.endpoints.record_gap(&self.service, &self.instance, gap);
        Some(pause)
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

/// Body of a response, relayed as it arrives.
pub struct Relay {
    body: forward::Body,
    event_counter: EventCounter,
    /// Whether the body is a series of events.
    is_event_stream: bool,
    status: u16,
    timeout: Pin<Box<Sleep>>,
    in_flight: InFlight,
    exchange: Exchange,
    link: Arc<Link>,
}

impl Relay {
    /// Relays the body of a response with this status.
    pub fn new(
        body: forward::Body,
        status: u16,
        is_event_stream: bool,
        in_flight: InFlight,
        exchange: Exchange,
        link: Arc<Link>,
    ) -> Relay {
        let timeout = Box::pin(tokio::time::sleep_until(exchange.deadline));
        let mut relay = Relay {
            body,
            event_counter: EventCounter::default(),
            is_event_stream,
            status,
            timeout,
            in_flight,
            exchange,
            link,
        };
        relay.end_if_complete();
        relay
    }

    fn end_if_complete(&mut self) {
        if self.body.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        self.in_flight.watch.answered();
        self.exchange.is_in_event = self.is_event_stream && self.event_counter.is_in_event();
        self.exchange.end(Outcome::Answered { status: self.status }, self.event_counter.events());
    }

    /// Records events that arrived together.
    fn record_events(&mut self, events: u64) {
        let pause = (events > 0).then(|| self.in_flight.record_events(events)).flatten();
        self.exchange.longest_pause = self.exchange.longest_pause.max(pause);
    }

    fn break_off(&mut self, reason: String) {
        self.exchange.is_in_event = self.is_event_stream && self.event_counter.is_in_event();
        self.exchange.end(Outcome::Broken { reason }, self.event_counter.events());
    }
}

impl Drop for Relay {
    /// The caller disconnected, unless the request has already ended.
    fn drop(&mut self) {
        self.exchange.end(Outcome::Disconnected, self.event_counter.events());
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.timeout.as_mut().poll(context));
                self.break_off("the deadline of the request passed".into());
                return Poll::Ready(Some(Err(BodyError::Timeout)));
            }
        };
        match frame {
            None => {
                self.end();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.link.record_chunk(data.len());
                    let before = self.event_counter.events();
                    self.event_counter.feed(data);
                    let events = self.event_counter.events() - before;
                    self.record_events(events);
                }
                self.end_if_complete();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(source)) => {
                self.in_flight.broke();
                self.break_off(source.to_string());
                Poll::Ready(Some(Err(BodyError::Endpoint { source })))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
