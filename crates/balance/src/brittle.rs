//! Endpoints that crash if they have to reject too many requests in a second for want of room.
//!
//! The bound holds for all boxes together, and rejections cannot be taken back, so a box does two things: it keeps
//! to its share of the slots of such an endpoint unless it knows of room for all boxes, and after a rejection it backs off
//! for as long as the boxes together need to stay below the bound.

/// Age in milliseconds up to which a load report shows that an endpoint has room.
const REPORT_TTL_MS: u64 = 500;
/// Delay in milliseconds after which a request that found an endpoint full tries again: about as long as a short
/// request runs.
const FULL_DELAY_MS: u64 = 50;
/// Longest back-off in milliseconds after a rejection, also where the endpoint bears none.
const MAX_BACK_OFF_MS: f64 = 10_000.0;

/// Rejections per second that an endpoint bears from all boxes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Brittle {
    pub rejections_per_s: f64,
}

impl Brittle {
    /// Milliseconds for which one of `boxes` boxes backs off after a rejection.
    pub fn back_off_ms(self, boxes: usize) -> u64 {
        (1_000.0 * boxes as f64 / self.rejections_per_s).min(MAX_BACK_OFF_MS) as u64
    }
}

/// What a box knows of the requests at an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Occupancy {
    /// Requests there, by the newest report as corrected by what the box did since.
    pub requests: f64,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Age of the report in milliseconds.
    pub report_age_ms: u64,
    /// Requests of this box there.
    pub own: u32,
}

impl Occupancy {
    /// Milliseconds until one of `boxes` boxes may send a request to a brittle endpoint.
    ///
    /// Each box may use its share of the slots, whatever the others do, and more if there is room even if all others
    /// send a request at the same time.
    pub fn wait_ms(self, boxes: usize) -> u64 {
        let share = (self.slots as usize / boxes.max(1)).max(1);
        let is_known = self.report_age_ms < REPORT_TTL_MS;
        let has_room = is_known && self.requests + boxes as f64 <= f64::from(self.slots);
        match (self.own as usize) < share || has_room {
            true => 0,
            false => FULL_DELAY_MS,
        }
    }
}
