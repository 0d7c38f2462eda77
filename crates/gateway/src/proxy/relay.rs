//! The body of an endpoint's answer on its way to the caller.

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

/// Tokens of a prompt that are to be read from which on other boxes are told: an engine of the
/// deployments takes some 50 ms for them, a tenth of what callers may wait.
const TOLD_FROM: u64 = 2_000;

/// Why a body breaks off. The connection to the caller is closed then, so that what arrived does
/// not look whole.
#[derive(Debug, Snafu)]
pub enum Broken {
    /// The endpoint's answer broke off.
    #[snafu(display("{source}"))]
    Endpoint { source: forward::Fault },
    /// The time of the request is over.
    #[snafu(display("the time of the request is over"))]
    Timeout,
}

/// A request that an endpoint has: counted there while this lives.
#[derive(Debug)]
pub struct InFlight {
    endpoints: Arc<Endpoints>,
    service: Arc<str>,
    endpoint: Arc<str>,
    /// What of its prompt the endpoint has to read, until the answer begins.
    unread: Option<u64>,
    /// Other boxes were told of its prompt.
    told: Option<PromptNotice>,
    /// When its last event came.
    paced: Option<Instant>,
    failure: Option<Failure>,
    /// Whether the endpoint ends under it.
    watch: Watch,
}

impl InFlight {
    /// Counts a request at an endpoint, and tells other boxes if its prompt is large.
    pub fn start(
        endpoints: Arc<Endpoints>,
        service: Arc<str>,
        chosen: &Chosen,
        prefix: &balance::Prefix,
        peers: &Peers,
        watch: Watch,
    ) -> InFlight {
        let unread = endpoints.start(&service, chosen, prefix);
        let told =
            (unread >= TOLD_FROM).then(|| peers.publish_prompt(&chosen.instance, prefix, unread));
        let endpoint = chosen.instance.clone();
        let unread = Some(unread);
        InFlight { endpoints, service, endpoint, unread, told, paced: None, failure: None, watch }
    }

    /// Its answer began.
    pub fn begin(&mut self) {
        if let Some(unread) = self.unread.take() {
            self.endpoints.finish_prefill(&self.service, &self.endpoint, unread);
            self.told.take();
        }
    }

    /// So many events of its stream arrived together; returns the time since the ones before.
    fn pace(&mut self, events: u64) -> Option<Duration> {
        let now = Instant::now();
        let pause = now.saturating_duration_since(self.paced.replace(now)?);
        let each = pause / events.clamp(1, u64::from(u32::MAX)) as u32;
        self.endpoints.record_gap(&self.service, &self.endpoint, each);
        Some(pause)
    }

    /// Its connection broke before the whole answer was there.
    pub fn broke(&mut self) {
        self.failure = Some(Failure::Broken);
        self.watch.broke();
    }

    /// It failed there.
    pub fn fail(&mut self, failure: Failure) {
        self.failure = Some(failure);
        self.watch.ended();
    }

    /// Its answer ends with its connection.
    pub fn unframed(&mut self) {
        self.watch.unframed();
    }

    /// It did not get there, or failed there without harm to the endpoint.
    pub fn ended(&mut self) {
        self.watch.ended();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.begin();
        self.endpoints.end(&self.service, &self.endpoint, self.failure);
    }
}

/// An answer's body, passed on as it comes.
pub struct Relay {
    body: forward::Body,
    event_counter: EventCounter,
    status: u16,
    timeout: Pin<Box<Sleep>>,
    in_flight: InFlight,
    exchange: Exchange,
    link: Arc<Link>,
}

impl Relay {
    /// Passes on the body of an answer with this status.
    pub fn new(
        body: forward::Body,
        status: u16,
        in_flight: InFlight,
        exchange: Exchange,
        link: Arc<Link>,
    ) -> Relay {
        let timeout = Box::pin(tokio::time::sleep_until(exchange.until));
        let mut relay = Relay {
            body,
            event_counter: EventCounter::default(),
            status,
            timeout,
            in_flight,
            exchange,
            link,
        };
        relay.end_if_whole();
        relay
    }

    fn end_if_whole(&mut self) {
        if self.body.is_end_stream() {
            self.end();
        }
    }

    fn end(&mut self) {
        self.in_flight.watch.answered();
        self.exchange.end(Outcome::Answered { status: self.status }, self.event_counter.events());
    }

    /// So many events arrived together.
    fn pace(&mut self, events: u64) {
        let pause = (events > 0).then(|| self.in_flight.pace(events)).flatten();
        self.exchange.longest_pause = self.exchange.longest_pause.max(pause);
    }

    fn break_off(&mut self, reason: String) {
        self.exchange.end(Outcome::Broken { reason }, self.event_counter.events());
    }
}

impl Drop for Relay {
    /// The caller went away first, unless it has ended.
    fn drop(&mut self) {
        self.exchange.end(Outcome::Left, self.event_counter.events());
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(self.timeout.as_mut().poll(context));
                self.break_off("the time of the request is over".into());
                return Poll::Ready(Some(Err(Broken::Timeout)));
            }
        };
        match frame {
            None => {
                self.end();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.link.chunk(data.len());
                    let before = self.event_counter.events();
                    self.event_counter.feed(data);
                    let events = self.event_counter.events() - before;
                    self.pace(events);
                }
                self.end_if_whole();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(source)) => {
                self.in_flight.broke();
                self.break_off(source.to_string());
                Poll::Ready(Some(Err(Broken::Endpoint { source })))
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
