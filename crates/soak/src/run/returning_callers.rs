//! Callers that come back to endpoints in trouble, as callers do: after a promise in any case, after another failure if the
//! call may be repeated, each time on a new connection.
//!
//! Their draws have a generator of their own, so that the other callers and the faults of a seed stay as they are.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use http::{HeaderMap, StatusCode, header};
use platform::fixtures::CallerHead;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, timeout};

use crate::{
    call::{self, Incarnation},
    run::callers::Shared,
    trouble::{route::Route, verdict::Try},
};

/// Combined with the seed of the run, so that these generators differ from the others.
const SEED_SALT: u64 = 0x7265_7475_7200;
/// Callers for each box.
pub const PER_BOX: usize = 4;
/// Shortest and longest pause of a caller between two calls, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 60);
/// Shortest and longest time that a caller has for a call and all its tries, in milliseconds.
const DEADLINE_MS: (u64, u64) = (400, 4_000);
/// The same for streams of callers that keep to the protocol.
const STREAM_DEADLINE_MS: (u64, u64) = (2_000, 15_000);
/// Tries of a call.
const MAX_TRIES: usize = 4;
/// Pause before a try where the response names none, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 20;

/// A caller that comes back.
pub struct ReturningCaller {
    shared: Arc<Shared>,
    random: ChaCha8Rng,
    /// Keeps its connections.
    kept: Arc<reqwest::Client>,
    /// Whether it keeps to the protocol.
    is_proper: bool,
}

/// What a try came to.
struct Reply {
    status: Option<StatusCode>,
    retry_after: Option<Duration>,
    /// Whether the connection was not opened, so that nobody read the request.
    is_unread: bool,
}

impl ReturningCaller {
    /// The caller with a number.
    pub fn new(shared: Arc<Shared>, seed: u64, number: usize, is_proper: bool) -> ReturningCaller {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
        random.set_stream(number as u64);
        ReturningCaller { shared, random, kept: call::client(), is_proper }
    }

    /// Makes calls until the load ends.
    pub async fn run(mut self) {
        while !self.shared.done.load(Ordering::Relaxed) {
            let pause_ms = self.random.random_range(PAUSE_MS.0..PAUSE_MS.1);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            self.call().await;
        }
    }

    /// Makes one call, with all its tries.
    async fn call(&mut self) {
        let call = self.shared.number();
        let route = Route::ALL[self.random.random_range(0..Route::ALL.len())];
        let (min, max) = match route {
            Route::Stream | Route::Resume if self.is_proper => STREAM_DEADLINE_MS,
            _ => DEADLINE_MS,
        };
        let deadline = Instant::now() + Duration::from_millis(self.random.random_range(min..max));
        let keeps_id = self.random.random_bool(0.5) && !self.is_proper;
        // Some callers don't wait as they are told.
        let waits = self.random.random_bool(0.7);
        for number in 0..MAX_TRIES {
            let Some((address, incarnation)) = self.target() else { return };
            let suffix = if keeps_id { 0 } else { number };
            let id = format!("call-{call}-{suffix}");
            let client = if number == 0 { self.kept.clone() } else { call::client() };
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let sent = Instant::now();
            let reply = send(&client, address, route, &id, left).await;
            let one = Try { call, route, id, incarnation, sent, status: reply.status };
            let is_refused = one.is_refused();
            self.shared.tries.lock().push(one);
            let is_done = reply.status.is_some_and(|status| status.is_success());
            // After another failure the first try may still run: a repeat of it has an id of its own.
            let comes_back = is_refused || reply.is_unread || (route.is_repeatable() && !keeps_id);
            if is_done || !comes_back {
                return;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            let wait = reply.retry_after.filter(|_| waits);
            let wait = wait.unwrap_or(Duration::from_millis(DEFAULT_RETRY_MS)).min(left / 3);
            tokio::time::sleep(wait).await;
        }
    }

    /// A box that accepts callers, if the one drawn does.
    fn target(&mut self) -> Option<(SocketAddr, Incarnation)> {
        let accepting = self.shared.accepting.lock();
        let box_index = self.random.random_range(0..accepting.len());
        accepting[box_index]
    }
}

async fn send(
    client: &reqwest::Client,
    address: SocketAddr,
    route: Route,
    id: &str,
    left: Duration,
) -> Reply {
    let head = CallerHead {
        id: id.to_owned(),
        key: Some("key-b".to_owned()),
        deadline: Some(left),
        ..CallerHead::default()
    };
    let url = format!("http://{address}/{}/x", route.name());
    let request = client.post(url).header(header::HOST, "desk.example").body("a body");
    let headers = head.headers();
    let request = headers.into_iter().fold(request, |r, (name, value)| r.header(name, value));
    match timeout(left, request.send()).await {
        Ok(Ok(response)) => {
            let status = Some(response.status());
            let retry_after = read_retry_after(response.headers());
            // A response that breaks off is a failure.
            let is_whole = matches!(timeout(left, response.bytes()).await, Ok(Ok(_)));
            let status = status.filter(|status| is_whole || !status.is_success());
            Reply { status, retry_after, is_unread: false }
        }
        Ok(Err(error)) => Reply { status: None, retry_after: None, is_unread: error.is_connect() },
        Err(_) => Reply { status: None, retry_after: None, is_unread: false },
    }
}

fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
