//! How full this box's link is, and whether other boxes should take its callers.
//!
//! The balancer gives each box connections by a hash, so one box may get many times its part. On a
//! link that is full everything waits: answers, plain calls, and the questions by which the box
//! gets tokens. One of 73 boxes got a quarter of all requests over a link of 10 Mbit/s and refused
//! half of them, two thirds of all that the fleet refused. So a box that sees its link fill up
//! takes no new connections and ends those that callers keep, each after an answer; they come
//! again elsewhere. Nothing is refused for it.

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time over which the use of the link is averaged, in seconds: a few round trips of a busy caller.
const AVERAGE_S: f64 = 1.0;
/// Bytes of heads and frames for each request, both ways, beside its body and its answer.
const HEADS: usize = 1_500;
/// Bytes of frames around each piece of an answer.
const FRAME: usize = 80;
/// Share of the link from which on callers are sent elsewhere. Bursts above the average fill it.
const FULL: f64 = 0.6;
/// Share of the link below which callers are taken again: apart from [`FULL`], so that the box does
/// not change its mind with every burst.
const FREE: f64 = 0.3;

/// Use of this box's link, of the direction that is used more.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Bytes, fading with [`AVERAGE_S`].
    sum: f64,
    at: Option<Instant>,
    is_shedding: bool,
}

impl Link {
    /// A link that nothing passed yet.
    pub fn new(mbps: f64) -> Link {
        Link { bytes_per_s: mbps * 1e6 / 8.0, state: Mutex::default() }
    }

    /// A request with a body of so many bytes came in, and goes out to an endpoint.
    pub fn request(&self, bytes: usize) {
        self.pass(bytes + HEADS);
    }

    /// A piece of an answer came in, and goes out to the caller.
    pub fn chunk(&self, bytes: usize) {
        self.pass(bytes + FRAME);
    }

    fn pass(&self, bytes: usize) {
        let mut state = self.state.lock();
        self.fade(&mut state);
        state.sum += bytes as f64;
    }

    /// Whether callers should go to other boxes.
    pub fn is_shedding(&self) -> bool {
        let mut state = self.state.lock();
        self.fade(&mut state);
        let used = state.sum / AVERAGE_S / self.bytes_per_s;
        let is_shedding = used > if state.is_shedding { FREE } else { FULL };
        if is_shedding != state.is_shedding {
            let percent = (used * 100.0) as u64;
            tracing::info!(event = "link_load", percent, is_shedding);
        }
        state.is_shedding = is_shedding;
        is_shedding
    }

    fn fade(&self, state: &mut State) {
        let now = Instant::now();
        let passed = state.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        state.sum *= (-passed / AVERAGE_S).exp();
        state.at = Some(now);
    }
}
