//! What the bytes of a response say of its end, against what its endpoint sent.
//!
//! A response that an endpoint broke off never looks whole, and one that ends with its connection
//! was ended so by the endpoint, with all that the endpoint sent. So a box that dies inside such a
//! response resets the connection of its caller.

use std::fmt;

use http::StatusCode;
use tokio::time::Instant;

use crate::{
    call::{Incarnation, Route},
    endpoint::Id,
    raw::{Response, Seen, Version},
    shape::{Content, End, Frame, Shape},
    verdict::Violation,
};

/// Characters of the end of a body that a violation shows.
const TAIL_CHARS: usize = 40;

/// A call on a raw connection that ended.
#[derive(Debug, Clone)]
pub struct RawCall {
    pub id: Id,
    pub route: Route,
    /// Last event that the caller had before.
    pub after: u64,
    pub version: Version,
    pub incarnation: Incarnation,
    pub sent: Instant,
    pub ended: Instant,
    pub response: Response,
}

impl RawCall {
    /// What the response of an endpoint has to hold.
    pub fn content(&self) -> Content {
        self.id.content(self.route.is_stream(), self.after)
    }
}

/// How many successful responses on raw connections looked like what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Framed, and whole by that.
    pub framed: usize,
    /// Ended by their connection in order.
    pub closed: usize,
    /// Recognizably not whole.
    pub broken: usize,
    /// Those of the broken ones without a frame that no endpoint broke off.
    pub cut_short: usize,
}

impl fmt::Display for Tally {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally { framed, closed, broken, cut_short } = self;
        write!(
            out,
            "raw responses: {framed} framed, {closed} closed, {broken} broken, {cut_short} of them \
             without a frame and not broken by an endpoint"
        )
    }
}

/// Counts the responses.
pub fn tally(calls: &[RawCall]) -> Tally {
    let unframed = Shape { frame: Frame::Close, end: End::Whole };
    let mut tally = Tally::default();
    for call in calls.iter().filter(|call| call.response.status.is_some_and(is_success)) {
        match call.response.seen {
            Seen::Framed => tally.framed += 1,
            Seen::Closed => tally.closed += 1,
            Seen::Broken { .. } => {
                tally.broken += 1;
                tally.cut_short += usize::from(call.id.shape == Some(unframed));
            }
        }
    }
    tally
}

/// Responses that look like what they are not. `cuts` are the moments at which the run itself
/// closed connections of endpoints, in order.
pub fn violations(calls: &[RawCall], cuts: &[Instant]) -> Vec<Violation> {
    let answered = calls.iter().filter(|call| call.response.status.is_some_and(is_success));
    let wrong = answered.filter_map(|call| {
        let reason = fault(call, cuts)?;
        let RawCall { id, route, version, incarnation, response, .. } = call;
        let (id, seen, body) = (id.text(), &response.seen, &response.body);
        let whole = call.content().parts.concat().len();
        let tail: String =
            body.chars().skip(body.chars().count().saturating_sub(TAIL_CHARS)).collect();
        Some(format!(
            "{id} on {route:?} of {incarnation:?}, {version:?}: {reason}: {seen:?}, {} of {whole} \
             bytes, last {tail:?}",
            body.len()
        ))
    });
    let guarantee = "a response ends for its caller as its endpoint ended it";
    wrong.map(|detail| Violation { guarantee, detail }).collect()
}

fn is_success(status: StatusCode) -> bool {
    status.is_success()
}

fn fault(call: &RawCall, cuts: &[Instant]) -> Option<&'static str> {
    let shape = call.id.shape?;
    let (content, body) = (call.content(), &call.response.body);
    let (whole, sent) = (content.parts.concat(), shape.body(&content));
    let has_half_event = content.is_stream && !body.is_empty() && !body.ends_with("\n\n");
    match &call.response.seen {
        Seen::Broken { .. } if whole.starts_with(body.as_str()) => None,
        Seen::Broken { .. } => Some("other bytes than those of its endpoint"),
        Seen::Framed | Seen::Closed if has_half_event => Some("ends in order inside an event"),
        Seen::Framed if shape.end != End::Whole => Some("broken off, but looks whole"),
        Seen::Framed => (*body != whole).then_some("not the body of its endpoint"),
        Seen::Closed if *body == sent && may_close(call, shape) => None,
        Seen::Closed if was_cut(call, cuts) && sent.starts_with(body.as_str()) => None,
        Seen::Closed => Some("closed in order, but not so by its endpoint"),
    }
}

/// Whether the endpoint ends its response so that the caller's connection ends in order.
fn may_close(call: &RawCall, shape: Shape) -> bool {
    let is_broken_stream = call.route.is_stream() && shape.end == End::InEvent;
    // A caller of HTTP/1.0 knows no chunks.
    let has_no_chunks =
        call.version == Version::Http10 && (shape.frame, shape.end) == (Frame::Chunks, End::Whole);
    has_no_chunks || (shape.ends_by_close() && !is_broken_stream)
}

/// Whether the run closed connections of endpoints during the call: a response without a frame ends
/// by that.
fn was_cut(call: &RawCall, cuts: &[Instant]) -> bool {
    let ends_by_close = call.id.shape.is_some_and(|shape| shape.frame == Frame::Close);
    ends_by_close && cuts.iter().any(|at| (call.sent..=call.ended).contains(at))
}
