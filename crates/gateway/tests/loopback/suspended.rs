//! Boxes that are suspended: the monotonic clock, on which their timers run, stops meanwhile.

use std::time::Duration;

use futures_util::stream;
use http::StatusCode;
use tokio::sync::mpsc;

use crate::harness::{Harness, answer_ok, call, request, send, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
/// Longer than any caller waits.
const SUSPENSION: Duration = Duration::from_secs(60);

/// The caller's deadline passes during the suspension, so the request must not reach an endpoint afterwards.
#[tokio::test]
async fn request_that_expired_during_suspension_is_not_sent() {
    let harness = Harness::start(PAID, &["confirm"]).await;
    let endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let (gateway, _link, clock) = harness.gateway_with_clock("box-1").await;
    wait_until_served(&harness, &gateway, "/confirm/x").await;
    let before = endpoint.arrived().len();
    let (pieces, arriving) = mpsc::channel::<&str>(1);
    let body = stream::unfold(arriving, |mut arriving| async {
        let piece = arriving.recv().await?;
        Some((Ok::<_, std::io::Error>(piece), arriving))
    });
    let req = harness.new_request("key-b", 1, 1);
    let sent = request(gateway.callers(), "/confirm/x", &req);
    let response = send(sent.body(reqwest::Body::wrap_stream(body)));
    let sending = async {
        pieces.send("a piece").await.expect("the body is read");
        let in_flight = "flintstall_requests_under_way 1";
        wait_until("the request is in flight", async || gateway.metrics().contains(in_flight))
            .await;
        clock.suspend(SUSPENSION);
        drop(pieces);
    };
    let (response, ()) = tokio::join!(response, sending);
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
    assert_eq!(endpoint.arrived().len(), before, "its caller has given up");
}

/// An endpoint leaves while the box is suspended, and the box's store watch is dead after the resume although its
/// connection looks open.
#[tokio::test]
async fn resumed_box_refreshes_its_view_before_sending() {
    let harness = Harness::start(PAID, &["confirm"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let (gateway, link, clock) = harness.gateway_with_clock("box-1").await;
    wait_until_served(&harness, &gateway, "/confirm/x").await;
    let before = leaving.arrived().len();
    link.stall_open_connections();
    let _stays = harness.endpoint("i-2", "plain", answer_ok).await;
    harness.remove_entry("i-1").await;
    harness.configure(2, PAID, &["confirm", "open"]).await;
    clock.suspend(SUSPENSION);
    let response = call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
    assert_eq!(response.status, StatusCode::OK, "the route is new: {response:?}");
    assert_eq!(leaving.arrived().len(), before, "the endpoint has left");
}

/// If the store is unreachable after the resume, the box serves on with the state that it has.
#[tokio::test]
async fn resumed_box_serves_with_its_old_view_if_the_store_is_down() {
    let harness = Harness::start(PAID, &["confirm"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let (gateway, link, clock) = harness.gateway_with_clock("box-1").await;
    wait_until_served(&harness, &gateway, "/confirm/x").await;
    link.set_cut(true);
    clock.suspend(SUSPENSION);
    wait_until("the box serves requests", async || {
        let response =
            call(gateway.callers(), "/confirm/x", &harness.new_request("key-b", 1, 1)).await;
        response.status == StatusCode::OK
    })
    .await;
}
