//! Load of this box's network link, and load shedding when it is nearly full.
//!
//! The balancer assigns connections by hash, so one box may get several times its share. A saturated link
//! delays everything, also the calls by which the box obtains tokens. A box whose link fills up therefore
//! reports itself not ready and closes caller connections after their current response; callers reconnect
//! to other boxes. No request is refused.

use parking_lot::Mutex;
use tokio::time::Instant;

/// Time constant of the moving average, in seconds.
const AVERAGE_S: f64 = 1.0;
/// Bytes of heads and packet headers of a request and its response, without the bodies.
const HEADS: usize = 1_500;
/// Bytes of packet headers for each chunk of a response.
const FRAME: usize = 80;
/// Utilization above which the box sheds callers; the rest of the link is for bursts.
const FULL: f64 = 0.6;
/// Utilization below which the box accepts callers again; lower than [`FULL`] for hysteresis.
const FREE: f64 = 0.3;

/// Load of this box's link. Every byte relayed passes in and out, so one direction stands for both.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: f64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Exponentially decaying sum of bytes.
    sum: f64,
    at: Option<Instant>,
    sheds: bool,
}

impl Link {
    /// An idle link of this bandwidth.
    pub fn new(mbps: f64) -> Link {
        Link { bytes_per_s: mbps * 1e6 / 8.0, state: Mutex::default() }
    }

    /// Records a request with a body of this size.
    pub fn request(&self, bytes: usize) {
        self.pass(bytes + HEADS);
    }

    /// Records a chunk of a response.
    pub fn chunk(&self, bytes: usize) {
        self.pass(bytes + FRAME);
    }

    fn pass(&self, bytes: usize) {
        let mut state = self.state.lock();
        self.fade(&mut state);
        state.sum += bytes as f64;
    }

    /// Whether callers should use other boxes.
    pub fn sheds(&self) -> bool {
        let mut state = self.state.lock();
        self.fade(&mut state);
        let used = state.sum / AVERAGE_S / self.bytes_per_s;
        let sheds = used > if state.sheds { FREE } else { FULL };
        if sheds != state.sheds {
            let percent = (used * 100.0) as u64;
            tracing::info!(event = "link_load", percent, sheds);
        }
        state.sheds = sheds;
        sheds
    }

    fn fade(&self, state: &mut State) {
        let now = Instant::now();
        let passed = state.at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        state.sum *= (-passed / AVERAGE_S).exp();
        state.at = Some(now);
    }
}
