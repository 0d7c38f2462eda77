//! Raw callers of a run: they draw how endpoints frame and end the responses, and read them as bytes.
//!
//! Their draws have a generator of their own, so that the other callers and the faults of a seed stay
//! as they are.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use platform::{
    fixtures::{CallerHead, Resumed},
    request::Tokens,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::{
    call::{Call, DEADLINE, Incarnation, Outcome, Route},
    endpoint::{Id, TOKENS_PER_EVENT},
    framing::RawCall,
    raw::{self, Response, Seen, Version},
    run::callers::Shared,
    shape::{End, Frame, Shape},
    stream::{Attempt, Stream},
};

/// Combined with the seed of the run, so that these generators differ from the others.
const SEED_SALT: u64 = 0x7261_7700;
/// Raw callers for each box.
pub const PER_BOX: usize = 3;
/// Shortest and longest pause of a raw caller between two calls, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 100);
/// Events of a stream.
const EVENTS: (u64, u64) = (1, 24);

/// Largest number of attempts to take up a stream.
const MAX_TAKE_UPS: usize = 6;
/// Shortest and longest pause before a stream is taken up, in milliseconds.
const TAKE_UP_PAUSE_MS: (u64, u64) = (20, 400);

/// What raw callers ask for.
#[derive(Debug, Clone, Copy)]
pub struct Scope {
    /// Responses without a frame.
    pub unframed: bool,
    /// Streams that may be taken up, which they do.
    pub resumable: bool,
}

/// A raw caller.
pub struct RawCaller {
    shared: Arc<Shared>,
    scope: Scope,
    random: ChaCha8Rng,
}

impl RawCaller {
    /// The raw caller with a number.
    pub fn new(shared: Arc<Shared>, seed: u64, number: usize, scope: Scope) -> RawCaller {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        random.set_stream(number as u64);
        RawCaller { shared, scope, random }
    }

    /// Makes calls until the load ends.
    pub async fn run(mut self) {
        while !self.shared.done.load(Ordering::Relaxed) {
            self.pause().await;
            let Some(target) = self.target() else { continue };
            let key = if self.random.random_bool(0.6) { "key-b" } else { "key-p" };
            let route = self.route();
            let events = self.random.random_range(EVENTS.0..EVENTS.1);
            let first = self.call(target, route, key, events, None).await;
            let broke = matches!(first.outcome, Outcome::Failed { events: 1.., .. });
            if route == Route::Resume && broke {
                self.take_up(key, first).await;
            }
        }
    }

    /// Takes up a stream that broke, at any box, until it is whole or there were enough attempts.
    async fn take_up(&mut self, key: &'static str, first: Attempt) {
        let first_attempt = Some(first.id.text());
        let (all, mut last) = (first.id.events, first.events());
        let mut stream = Stream { attempts: vec![first] };
        while last < all && stream.attempts.len() <= MAX_TAKE_UPS {
            let pause_ms = self.random.random_range(TAKE_UP_PAUSE_MS.0..TAKE_UP_PAUSE_MS.1);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            if self.shared.done.load(Ordering::Relaxed) {
                break;
            }
            let Some(target) = self.target() else { continue };
            let resumed = Resumed { first_attempt: first_attempt.clone(), last_event: Some(last) };
            let attempt = self.call(target, Route::Resume, key, all - last, Some(resumed)).await;
            last += attempt.events();
            stream.attempts.push(attempt);
        }
        self.shared.streams.lock().push(stream);
    }

    async fn pause(&mut self) {
        let pause_ms = self.random.random_range(PAUSE_MS.0..PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// A box that accepts callers.
    fn target(&mut self) -> Option<(SocketAddr, Incarnation)> {
        let accepting = self.shared.accepting.lock().clone();
        accepting[self.random.random_range(0..accepting.len())]
    }

    fn route(&mut self) -> Route {
        match self.random.random_range(0..10) {
            0..5 if self.scope.resumable => Route::Resume,
            0..7 => Route::Stream,
            7 => Route::Cancel,
            _ => Route::Confirm,
        }
    }

    fn shape(&mut self) -> Shape {
        let frame = match self.random.random_range(0..10) {
            0..6 if self.scope.unframed => Frame::Close,
            0..9 => Frame::Chunks,
            _ => Frame::Length,
        };
        let end = match self.random.random_range(0..10) {
            0..7 => End::Whole,
            7 => End::BetweenEvents,
            8 => End::InEvent,
            _ => End::Reset,
        };
        Shape { frame, end }
    }

    /// Makes one call; a stream has `events` events, after those that the caller has.
    async fn call(
        &mut self,
        target: (SocketAddr, Incarnation),
        route: Route,
        key: &'static str,
        events: u64,
        resumed: Option<Resumed>,
    ) -> Attempt {
        let (address, incarnation) = target;
        let prompt = self.random.random_range(20..400);
        let shape = Some(self.shape());
        let id = Id { number: self.shared.number(), prompt, events, shape };
        let version = if self.random.random_bool(0.4) { Version::Http10 } else { Version::Http11 };
        let after = resumed.as_ref().and_then(|resumed| resumed.last_event).unwrap_or(0);
        let tokens = Tokens { prompt, max_output: events * TOKENS_PER_EVENT };
        let head = CallerHead {
            id: id.text(),
            key: Some(key.to_owned()),
            deadline: Some(DEADLINE),
            tokens: route.is_stream().then_some(tokens),
            parts: Vec::new(),
            resumed,
        };
        let path = format!("/{}/x", route.name());
        let sent = Instant::now();
        let response = raw::exchange(address, version, &path, &head, DEADLINE).await;
        let ended = Instant::now();
        let call = RawCall { id, route, after, version, incarnation, sent, ended, response };
        let outcome = outcome(&call);
        let attempt = Attempt { id, incarnation, after, outcome: outcome.clone() };
        self.shared.calls.lock().push(Call { id, key, route, incarnation, sent, ended, outcome });
        self.shared.raw_calls.lock().push(call);
        attempt
    }
}

/// The outcome as a caller without sight of the bytes tells it, who knows what the whole response is.
fn outcome(call: &RawCall) -> Outcome {
    let Response { status, body, seen } = &call.response;
    let content = call.content();
    let parts = content.parts.iter();
    let ends = parts.scan(0, |end, part| {
        *end += part.len();
        Some(*end)
    });
    let events = ends.take_while(|end| *end <= body.len()).count() as u64;
    let whole = content.parts.concat();
    let failed = |reason: &str| {
        let is_late = call.ended - call.sent >= DEADLINE;
        let reason = if is_late { format!("the deadline passed: {reason}") } else { reason.into() };
        Outcome::Failed { reason, events: if content.is_stream { events } else { 0 } }
    };
    match (status, seen) {
        (None, Seen::Framed | Seen::Closed) => failed("no head"),
        (_, Seen::Broken { reason }) => failed(reason),
        (Some(status), _) if !status.is_success() => Outcome::Refused(*status),
        (Some(_), Seen::Closed) if *body != whole => failed("closed before its end"),
        (Some(_), Seen::Framed | Seen::Closed) => {
            Outcome::Answered { is_correct: *body == whole, body: body.clone() }
        }
    }
}
