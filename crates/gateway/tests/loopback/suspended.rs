//! Boxes that are suspended: the steady clock, by which their timers run, stands still meanwhile.

use std::time::Duration;

use futures_util::stream;
use http::StatusCode;
use tokio::sync::mpsc;

use crate::harness::{Harness, answers, call, finish, request, until, until_served};

const PAID: u64 = 1_000_000;
/// Longer than any caller waits.
const LONG: Duration = Duration::from_secs(60);

/// Callers do not stand still with the box: an endpoint must not be told that there is time left.
#[tokio::test]
async fn a_request_whose_time_went_by_while_the_box_was_suspended_is_not_sent() {
    let harness = Harness::open(PAID, &["confirm"]).await;
    let endpoint = harness.endpoint("i-1", "plain", answers).await;
    let (gateway, _link, clock) = harness.clocked_gateway("box-1").await;
    until_served(&harness, &gateway, "/confirm/x").await;
    let before = endpoint.arrived().len();
    let (pieces, arriving) = mpsc::channel::<&str>(1);
    let body = stream::unfold(arriving, |mut arriving| async {
        let piece = arriving.recv().await?;
        Some((Ok::<_, std::io::Error>(piece), arriving))
    });
    let asked = harness.asked("key-b", 1, 1);
    let sent = request(gateway.callers(), "/confirm/x", &asked);
    let got = finish(sent.body(reqwest::Body::wrap_stream(body)));
    let sending = async {
        pieces.send("a piece").await.expect("the body is read");
        let under_way = "flintstall_requests_under_way 1";
        until("it is under way", async || gateway.metrics().contains(under_way)).await;
        clock.suspend(LONG);
        drop(pieces);
    };
    let (got, ()) = tokio::join!(got, sending);
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
    assert_eq!(endpoint.arrived().len(), before, "its caller is gone");
}

/// The load: an endpoint leaves while the box is suspended, and the box's watch of the store is dead when it
/// wakes, without a sign of it.
#[tokio::test]
async fn a_box_that_was_suspended_sends_nothing_before_it_has_read_what_changed() {
    let harness = Harness::open(PAID, &["confirm"]).await;
    let left = harness.endpoint("i-1", "plain", answers).await;
    let (gateway, link, clock) = harness.clocked_gateway("box-1").await;
    until_served(&harness, &gateway, "/confirm/x").await;
    let before = left.arrived().len();
    link.lose_open();
    let _stays = harness.endpoint("i-2", "plain", answers).await;
    harness.unlist("i-1").await;
    harness.configure(2, PAID, &["confirm", "open"]).await;
    clock.suspend(LONG);
    let got = call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
    assert_eq!(got.status, StatusCode::OK, "the route is new: {got:?}");
    assert_eq!(left.arrived().len(), before, "the endpoint has left");
}

/// Old news are better than none: the store does not answer when the box wakes.
#[tokio::test]
async fn a_box_that_was_suspended_serves_on_though_the_store_is_away() {
    let harness = Harness::open(PAID, &["confirm"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let (gateway, link, clock) = harness.clocked_gateway("box-1").await;
    until_served(&harness, &gateway, "/confirm/x").await;
    link.set_cut(true);
    clock.suspend(LONG);
    until("it serves on", async || {
        let got = call(gateway.callers(), "/confirm/x", &harness.asked("key-b", 1, 1)).await;
        got.status == StatusCode::OK
    })
    .await;
}
