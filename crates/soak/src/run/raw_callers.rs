//! Raw callers of a run: they draw how endpoints frame and end the responses, and read them as bytes.
//!
//! Their draws have a generator of their own, so that the other callers and the faults of a seed stay
//! as they are.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use platform::{fixtures::CallerHead, request::Tokens};
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
};

/// Combined with the seed of the run, so that these generators differ from the others.
const SEED_SALT: u64 = 0x7261_7700;
/// Raw callers for each box.
pub const PER_BOX: usize = 3;
/// Shortest and longest pause of a raw caller between two calls, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 100);
/// Events of a stream.
const EVENTS: (u64, u64) = (1, 24);

/// A raw caller.
pub struct RawCaller {
    shared: Arc<Shared>,
    random: ChaCha8Rng,
}

impl RawCaller {
    /// The raw caller with a number.
    pub fn new(shared: Arc<Shared>, seed: u64, number: usize) -> RawCaller {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        random.set_stream(number as u64);
        RawCaller { shared, random }
    }

    /// Makes calls until the load ends.
    pub async fn run(mut self) {
        while !self.shared.done.load(Ordering::Relaxed) {
            self.pause().await;
            let Some(target) = self.target() else { continue };
            let (route, id) = self.request();
            self.call(target, route, id).await;
        }
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

    fn request(&mut self) -> (Route, Id) {
        let random = &mut self.random;
        let route = match random.random_range(0..10) {
            0..7 => Route::Stream,
            7 => Route::Cancel,
            _ => Route::Confirm,
        };
        let frame = match random.random_range(0..10) {
            0..6 => Frame::Close,
            6..9 => Frame::Chunks,
            _ => Frame::Length,
        };
        let end = match random.random_range(0..10) {
            0..7 => End::Whole,
            7 => End::BetweenEvents,
            8 => End::InEvent,
            _ => End::Reset,
        };
        let id = Id {
            number: self.shared.number(),
            prompt: random.random_range(20..400),
            events: random.random_range(EVENTS.0..EVENTS.1),
            shape: Some(Shape { frame, end }),
        };
        (route, id)
    }

    async fn call(&mut self, target: (SocketAddr, Incarnation), route: Route, id: Id) {
        let (address, incarnation) = target;
        let key = if self.random.random_bool(0.6) { "key-b" } else { "key-p" };
        let version = if self.random.random_bool(0.4) { Version::Http10 } else { Version::Http11 };
        let tokens = Tokens { prompt: id.prompt, max_output: id.events * TOKENS_PER_EVENT };
        let head = CallerHead {
            id: id.text(),
            key: Some(key.to_owned()),
            deadline: Some(DEADLINE),
            tokens: route.is_stream().then_some(tokens),
            parts: Vec::new(),
            resumed: None,
        };
        let path = format!("/{}/x", route.name());
        let sent = Instant::now();
        let response = raw::exchange(address, version, &path, &head, DEADLINE).await;
        let ended = Instant::now();
        let call = RawCall { id, route, after: 0, version, incarnation, sent, ended, response };
        let outcome = outcome(&call);
        self.shared.calls.lock().push(Call { id, key, route, incarnation, sent, ended, outcome });
        self.shared.raw_calls.lock().push(call);
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
