//! Load of this box's network link, and load shedding when it is nearly full.
//!
//! The balancer assigns connections by hash, so one box may get several times its share. A saturated link
//! delays everything, including the calls by which the box obtains tokens. A box whose link fills up therefore
//! reports itself not ready and closes caller connections after their current response; callers reconnect
//! to other boxes. No request is refused.
//!
//! One of 73 boxes once got a quarter of all requests over a link of 10 Mbit/s, and refused half of them.

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time constant of the moving average, in seconds: a few round trips of a busy caller.
const AVERAGING_TIME_S: f64 = 1.0;
/// Bytes of heads and packet headers of a request and its response, without the bodies.
const HEAD_BYTES: usize = 1_500;
/// Bytes of packet headers for each chunk of a response.
const FRAME_BYTES: usize = 80;
/// Utilization above which the box sheds callers; the rest of the link is for bursts.
const SHED_ABOVE: f64 = 0.6;
/// Utilization below which the box accepts callers again; lower than [`SHED_ABOVE`] for hysteresis.
const ACCEPT_BELOW: f64 = 0.3;

/// Load of this box's link, in the direction that is used more.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Exponentially decaying sum of bytes.
    bytes: f64,
    updated_at: Option<Instant>,
    is_shedding: bool,
}

impl Link {
    /// An idle link of this bandwidth.
    pub fn new(mbps: f64) -> Link {
        Link { bytes_per_s: mbps * 1e6 / 8.0, state: Mutex::default() }
    }

    /// Records a request with a body of this size.
    pub fn record_request(&self, bytes: usize) {
        self.record(bytes + HEAD_BYTES);
    }

    /// Records a chunk of a response.
    pub fn record_chunk(&self, bytes: usize) {
        self.record(bytes + FRAME_BYTES);
    }

    fn record(&self, bytes: usize) {
        let mut state = self.state.lock();
        self.decay(&mut state);
        state.bytes += bytes as f64;
    }

    /// Whether callers should use other boxes.
    pub fn is_shedding(&self) -> bool {
        let mut state = self.state.lock();
        self.decay(&mut state);
        let utilization = state.bytes / AVERAGING_TIME_S / self.bytes_per_s;
        let is_shedding = utilization > if state.is_shedding { ACCEPT_BELOW } else { SHED_ABOVE };
        if is_shedding != state.is_shedding {
            let percent = (utilization * 100.0) as u64;
            tracing::info!(event = "link_load", percent, sheds = is_shedding);
        }
        state.is_shedding = is_shedding;
        is_shedding
    }

    fn decay(&self, state: &mut State) {
        let now = Instant::now();
        let elapsed_s = state
            .updated_at
            .map_or(0.0, |updated_at| now.saturating_duration_since(updated_at).as_secs_f64());
        state.bytes *= (-elapsed_s / AVERAGING_TIME_S).exp();
        state.updated_at = Some(now);
    }
}
