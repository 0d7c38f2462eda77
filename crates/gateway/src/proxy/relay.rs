//! Streams the body of an endpoint's response to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::time::Sleep;

use crate::proxy::{
    caller_close::CallerClose,
    event_counter::EventCounter,
    exchange::{Exchange, Outcome},
    in_flight::InFlight,
    link::Link,
};

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
    /// The endpoint's response, a series of events, ended inside one.
    #[snafu(display("the response ended inside an event"))]
    InEvent,
}

/// What kind of response is relayed.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub status: u16,
    /// Whether the body is a series of events.
    pub is_event_stream: bool,
}

/// The caller of a response.
#[derive(Debug)]
pub struct Caller {
    pub connection: CallerClose,
    /// Whether the response ends with the connection.
    pub ends_by_close: bool,
}

/// What a poll of the body returns.
type Polled = Poll<Option<Result<Frame<Bytes>, BodyError>>>;

/// Body of a response, relayed as it arrives.
pub struct Relay {
    body: forward::Body,
    event_counter: EventCounter,
    kind: Kind,
    /// The connection to the caller.
    caller: CallerClose,
    /// Set if the response to the caller ends with its connection.
    close: Option<CallerClose>,
    /// The body ended inside an event; the caller is yet to learn.
    stops_in_event: bool,
    /// Why the body broke off; the caller is yet to learn.
    error: Option<BodyError>,
    /// Whether data was passed on at the last poll.
    has_fresh_data: bool,
    timeout: Pin<Box<Sleep>>,
    in_flight: InFlight,
    exchange: Exchange,
    link: Arc<Link>,
}

impl Relay {
    /// Relays the body of a response.
    pub fn new(
        body: forward::Body,
        kind: Kind,
        caller: Caller,
        in_flight: InFlight,
        exchange: Exchange,
        link: Arc<Link>,
    ) -> Relay {
        let Caller { connection: caller, ends_by_close } = caller;
        let close = ends_by_close.then(|| caller.clone());
        if let Some(close) = &close {
            close.begin();
        }
        caller.set_deadline(Some(exchange.deadline));
        let timeout = Box::pin(tokio::time::sleep_until(exchange.deadline));
        let mut relay = Relay {
            body,
            event_counter: EventCounter::default(),
            kind,
            caller,
            close,
            stops_in_event: false,
            error: None,
            has_fresh_data: false,
            timeout,
            in_flight,
            exchange,
            link,
        };
        if relay.body.is_end_stream() {
            relay.end();
        }
        relay
    }

    /// The response is whole, as far as its frame and its events tell.
    fn end(&mut self) {
        self.in_flight.answered((200..300).contains(&self.kind.status));
        if let Some(close) = &self.close {
            close.finish();
        }
        self.caller.set_deadline(None);
        let status = self.kind.status;
        self.exchange.end(Outcome::Answered { status }, self.event_counter.events());
    }

    /// Records events that arrived together.
    fn record_events(&mut self, events: u64) {
        let pause = (events > 0).then(|| self.in_flight.record_events(events)).flatten();
        self.exchange.longest_pause = self.exchange.longest_pause.max(pause);
    }

    fn break_off(&mut self, reason: String) {
        self.exchange.is_in_event = self.is_in_event();
        self.exchange.end(Outcome::Broken { reason }, self.event_counter.events());
    }

    fn is_in_event(&self) -> bool {
        self.kind.is_event_stream && self.event_counter.is_in_event()
    }

    /// Processes data on its way to the caller; of a body that ends inside an event, the part before that event remains.
    fn pass_on(&mut self, data: &mut Bytes) {
        self.link.record_chunk(data.len());
        let before = self.event_counter.events();
        let last_event_start = self.event_counter.feed(data);
        self.record_events(self.event_counter.events() - before);
        match self.body.is_end_stream() {
            true if self.is_in_event() => {
                data.truncate(last_event_start);
                self.stops_in_event = true;
            }
            true => self.end(),
            false => {}
        }
    }

    /// The endpoint ended the body inside an event, so it broke off.
    fn break_in_event(&mut self, context: &Context<'_>) -> Polled {
        self.in_flight.broke();
        self.break_off(BodyError::InEvent.to_string());
        self.fail(BodyError::InEvent, context)
    }

    /// Fails the body, but not before data that was just passed on is on its way: an error drops what is not.
    fn fail(&mut self, error: BodyError, context: &Context<'_>) -> Polled {
        if !std::mem::take(&mut self.has_fresh_data) {
            return Poll::Ready(Some(Err(error)));
        }
        self.error = Some(error);
        if self.close.is_none() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.poll_error(context)
    }

    /// Fails the body with the error that is due, once what was passed on before is sent or no time is left.
    fn poll_error(&mut self, context: &Context<'_>) -> Polled {
        let is_sent = self.close.as_ref().is_none_or(|close| close.poll_sent(context).is_ready());
        match self.error.take() {
            Some(error) if !is_sent && !self.timeout.is_elapsed() => {
                self.error = Some(error);
                Poll::Pending
            }
            error => Poll::Ready(error.map(Err)),
        }
    }
}

impl Drop for Relay {
    /// The caller disconnected, or read nothing until the deadline, unless the request has already ended.
    fn drop(&mut self) {
        self.caller.set_deadline(None);
        self.exchange.is_in_event = self.is_in_event();
        let outcome = match self.exchange.time_left().is_zero() {
            true => Outcome::Broken { reason: BodyError::Timeout.to_string() },
            false => Outcome::Disconnected,
        };
        self.exchange.end(outcome, self.event_counter.events());
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Polled {
        if self.error.is_some() {
            // Wakes this task at the deadline.
            let _ = self.timeout.as_mut().poll(context);
            return self.poll_error(context);
        }
        if std::mem::take(&mut self.stops_in_event) {
            return self.break_in_event(context);
        }
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                self.has_fresh_data = false;
                ready!(self.timeout.as_mut().poll(context));
                self.break_off(BodyError::Timeout.to_string());
                return Poll::Ready(Some(Err(BodyError::Timeout)));
            }
        };
        let data = match frame {
            Some(Err(source)) => {
                self.in_flight.broke();
                self.break_off(source.to_string());
                return self.fail(BodyError::Endpoint { source }, context);
            }
            // Trailers, which are not passed on, end the body.
            Some(Ok(frame)) => frame.into_data().ok(),
            None => None,
        };
        match data {
            Some(mut data) => {
                self.pass_on(&mut data);
                self.has_fresh_data = true;
                self.close.iter().for_each(CallerClose::pass_data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            None if self.is_in_event() => self.break_in_event(context),
            None => {
                self.end();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream() && !self.stops_in_event && self.error.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
