//! Callers of a run: they choose boxes, make calls and record the outcomes.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::{
    call::{self, Call, Incarnation, Route},
    endpoint::Id,
    framing::RawCall,
    stream::Stream,
    trouble::verdict::Try,
};

/// Shortest and longest pause of a caller between two calls, in milliseconds.
const CALLER_PAUSE_MS: (u64, u64) = (5, 60);

/// State shared by the callers and the fleet.
pub struct Shared {
    pub calls: Mutex<Vec<Call>>,
    /// Address and incarnation of each box that accepts callers.
    pub accepting: Mutex<Vec<Option<(SocketAddr, Incarnation)>>>,
    /// What the raw callers among them saw.
    pub raw_calls: Mutex<Vec<RawCall>>,
    /// Streams that broke after at least one event and that may be taken up.
    pub streams: Mutex<Vec<Stream>>,
    /// Tries of the callers that come back.
    pub tries: Mutex<Vec<Try>>,
    next_number: AtomicU64,
    pub done: AtomicBool,
}

impl Shared {
    pub fn new(seed: u64, boxes: usize) -> Shared {
        Shared {
            calls: Mutex::default(),
            raw_calls: Mutex::default(),
            streams: Mutex::default(),
            tries: Mutex::default(),
            accepting: Mutex::new(vec![None; boxes]),
            next_number: AtomicU64::new(seed.wrapping_mul(1_000_000) + 1),
            done: AtomicBool::new(false),
        }
    }

    /// A number that no other request of the run has.
    pub fn number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }
}

/// Runs a caller until the load ends. It usually stays at one box while calls succeed and the box
/// accepts callers.
pub async fn run(shared: Arc<Shared>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let client = call::client();
    let mut current: Option<usize> = None;
    while !shared.done.load(Ordering::Relaxed) {
        let pause_ms = random.random_range(CALLER_PAUSE_MS.0..CALLER_PAUSE_MS.1);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let accepting = shared.accepting.lock().clone();
        let box_index =
            current.filter(|box_index| accepting[*box_index].is_some() && random.random_bool(0.95));
        let box_index = box_index.unwrap_or_else(|| random.random_range(0..accepting.len()));
        let Some((address, incarnation)) = accepting[box_index] else { continue };
        current = Some(box_index);
        let route = match random.random_range(0..10) {
            0..5 => Route::Stream,
            5 | 6 => Route::Cancel,
            7 | 8 => Route::Confirm,
            _ => Route::Late,
        };
        let key = if random.random_bool(0.6) { "key-b" } else { "key-p" };
        let id = Id {
            number: shared.number(),
            prompt: random.random_range(20..400),
            events: random.random_range(1..20),
            shape: None,
        };
        let sent = Instant::now();
        let outcome = call::send(&client, address, route, key, id).await;
        if !matches!(outcome, call::Outcome::Answered { .. }) {
            current = None;
        }
        let ended = Instant::now();
        shared.calls.lock().push(Call { id, key, route, incarnation, sent, ended, outcome });
    }
}
