//! Which responses on raw connections break the guarantee on their end.

use std::time::Duration;

use http::StatusCode;
use soak::{
    call::{Incarnation, Route},
    endpoint::Id,
    framing::{RawCall, violations},
    raw::{Response, Seen, Version},
    shape::{End, Frame, Shape},
};
use tokio::time::Instant;

fn call(route: Route, version: Version, shape: Shape, seen: Seen, body: &str) -> RawCall {
    let sent = Instant::now();
    let response = Response { status: Some(StatusCode::OK), body: body.to_owned(), seen };
    RawCall {
        id: Id { number: 1, prompt: 20, events: 4, shape: Some(shape) },
        route,
        after: 0,
        version,
        incarnation: Incarnation { box_index: 0, number: 1 },
        sent,
        ended: sent + Duration::from_secs(1),
        response,
    }
}

/// The body that a shape sends, of all parts of it or of the first ones.
fn body(shape: Shape, parts: usize) -> String {
    let id = Id { number: 1, prompt: 20, events: 4, shape: Some(shape) };
    let mut content = id.content(true, 0);
    content.parts.truncate(parts);
    content.parts.concat()
}

fn broken() -> Seen {
    Seen::Broken { reason: "reset".into() }
}

#[test]
fn a_response_ends_as_its_endpoint_ended_it() {
    use End::{BetweenEvents, InEvent, Reset, Whole};
    use Frame::{Chunks, Close, Length};
    use Version::{Http10, Http11};
    // Shape, version, how it looked, events that came, whether that is allowed.
    let cases = [
        (Close, Whole, Http11, Seen::Closed, 4, true),
        (Close, Whole, Http11, Seen::Framed, 4, true),
        (Close, Whole, Http11, Seen::Closed, 3, false),
        (Close, Whole, Http11, Seen::Framed, 3, false),
        (Close, Whole, Http11, broken(), 3, true),
        (Close, BetweenEvents, Http11, Seen::Closed, 2, true),
        (Close, BetweenEvents, Http10, Seen::Closed, 2, true),
        (Close, BetweenEvents, Http11, Seen::Closed, 1, false),
        (Close, BetweenEvents, Http11, Seen::Framed, 2, false),
        (Close, InEvent, Http11, broken(), 2, true),
        (Close, InEvent, Http11, Seen::Closed, 2, false),
        (Close, Reset, Http11, Seen::Closed, 2, false),
        (Close, Reset, Http11, broken(), 2, true),
        (Chunks, Whole, Http11, Seen::Framed, 4, true),
        (Chunks, Whole, Http11, Seen::Closed, 4, false),
        (Chunks, Whole, Http10, Seen::Closed, 4, true),
        (Chunks, Whole, Http10, Seen::Closed, 3, false),
        (Chunks, BetweenEvents, Http10, Seen::Closed, 2, false),
        (Chunks, InEvent, Http11, Seen::Framed, 2, false),
        (Length, InEvent, Http11, Seen::Framed, 2, false),
        (Length, Whole, Http10, Seen::Framed, 4, true),
        (Length, Whole, Http11, Seen::Closed, 4, false),
    ];
    for (frame, end, version, seen, events, is_allowed) in cases {
        let shape = Shape { frame, end };
        let body = body(shape, events);
        let call = call(Route::Stream, version, shape, seen.clone(), &body);
        let found = violations(&[call], &[]);
        assert_eq!(found.is_empty(), is_allowed, "{shape:?} {version:?} {seen:?} {events} events");
    }
}

#[test]
fn a_stream_does_not_end_in_order_inside_an_event() {
    for (frame, seen) in [(Frame::Close, Seen::Closed), (Frame::Chunks, Seen::Framed)] {
        let shape = Shape { frame, end: End::InEvent };
        let half = body(shape, 2) + "id: 3\ndata";
        let call = call(Route::Stream, Version::Http11, shape, seen, &half);
        let found = violations(&[call], &[]);
        assert!(found[0].detail.contains("inside an event"), "{found:?}");
    }
}

/// A response without a frame may end early only where the run itself closed it.
#[test]
fn a_cut_of_endpoints_may_end_a_response_early() {
    let shape = Shape { frame: Frame::Close, end: End::Whole };
    let early = call(Route::Stream, Version::Http11, shape, Seen::Closed, &body(shape, 3));
    let within = early.sent + Duration::from_millis(500);
    let before = early.sent - Duration::from_millis(1);
    assert_eq!(violations(std::slice::from_ref(&early), &[within]).len(), 0);
    assert_eq!(violations(std::slice::from_ref(&early), &[before]).len(), 1);
    let chunks = Shape { frame: Frame::Chunks, end: End::Whole };
    let chunks = call(Route::Stream, Version::Http11, chunks, Seen::Framed, &body(chunks, 3));
    assert_eq!(violations(&[chunks], &[within]).len(), 1);
}
