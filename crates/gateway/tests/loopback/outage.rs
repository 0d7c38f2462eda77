//! Boxes that lose the connection to the store and regain it.

use std::{net::IpAddr, time::Duration};

use crate::harness::{Harness, answer_ok, call, charged_tokens, wait_until, wait_until_served};
use http::StatusCode;

#[tokio::test]
async fn dead_watch_is_replaced_when_the_store_is_back() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let (gateway, link) = harness.gateway_with_link("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    // Open connections stay open but carry no more bytes.
    link.stall_open_connections();
    harness.configure(2, 1_000_000, &["open", "cancel"]).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    link.set_cut(false);
    // Well below the time limit of the watch itself.
    let served = wait_until_served(&harness, &gateway, "/cancel/x");
    tokio::time::timeout(Duration::from_secs(12), served)
        .await
        .expect("the new version is in force");
}

#[tokio::test]
async fn box_without_store_serves_from_grants_and_loans() {
    let harness = Harness::start(100_000, &["stream", "open"]).await;
    let _plain = harness.endpoint("i-1", "plain", answer_ok).await;
    let _engine = harness.endpoint("i-2", "engines", answer_ok).await;
    let one = harness.gateway("box-1").await;
    let two = harness.gateway("box-2").await;
    wait_until_served(&harness, &one, "/open/x").await;
    wait_until_served(&harness, &two, "/open/x").await;
    // Requests make box 1 draw tokens ahead.
    wait_until_served(&harness, &one, "/stream/x").await;
    wait_until("box 1 holds tokens and both know each other", async || {
        call(one.callers(), "/stream/x", &harness.new_request("key-b", 2_000, 10)).await;
        call(two.callers(), "/stream/x", &harness.new_request("key-b", 1, 1)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        one.balance("bornova").free > 9_000 && two.peer_count() > 0 && one.peer_count() > 0
    })
    .await;
    harness.platform.set(|faults| faults.down = true);
    let worst = two.balance("bornova").free + 2_000;
    let response =
        call(two.callers(), "/stream/x", &harness.new_request("key-b", worst - 10, 10)).await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    let all = one.balance("bornova").free + two.balance("bornova").free;
    let response =
        call(two.callers(), "/stream/x", &harness.new_request("key-b", all + 1, 1)).await;
    assert_eq!(
        response.status,
        StatusCode::TOO_MANY_REQUESTS,
        "more than both boxes hold: {response:?}"
    );
    assert!(response.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn box_rejected_by_the_store_keeps_its_view() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let client_ip: IpAddr = [127, 0, 0, 1].into();
    harness.platform.set(|faults| {
        faults.rejected_sources.insert(client_ip);
    });
    for _ in 0..20 {
        let response =
            call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    harness.platform.set(|faults| faults.rejected_sources.clear());
    harness.configure(2, 1_000_000, &["open", "cancel"]).await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
}

#[tokio::test]
async fn lost_store_responses_settle_every_token_once() {
    for dropped_write_delay in [Duration::ZERO, Duration::from_millis(400)] {
        let harness = Harness::start(1_000_000, &["stream"]).await;
        let _engine = harness.endpoint("i-1", "engines", answer_ok).await;
        let gateway = harness.gateway("box-1").await;
        wait_until_served(&harness, &gateway, "/stream/x").await;
        harness.platform.set(|faults| {
            (faults.drop_responses, faults.dropped_write_delay) = (0.5, dropped_write_delay)
        });
        for _ in 0..40 {
            call(gateway.callers(), "/stream/x", &harness.new_request("key-b", 1_000, 10)).await;
        }
        harness.platform.set(|faults| faults.drop_responses = 0.0);
        let charged_tokens = charged_tokens(&gateway);
        gateway.stop().await;
        wait_until("the last settlement is in the book", async || {
            let book = harness.book().await;
            let ledger = &book.ledgers["bornova"];
            ledger.statement.tokens == charged_tokens
                && ledger.spent == charged_tokens
                && ledger.grants.is_empty()
        })
        .await;
    }
}

#[tokio::test]
async fn box_without_configuration_reports_it() {
    let harness = Harness::start(1_000, &["open"]).await;
    harness.platform.set(|faults| faults.down = true);
    let gateway = harness.gateway("box-1").await;
    let response = call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.body.expect("a body").contains("no_config"));
    let ready =
        reqwest::get(format!("http://{}/ready", gateway.ready())).await.expect("a response");
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn draining_endpoint_stays_excluded_during_an_outage() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let stays = harness.endpoint("i-2", "plain", answer_ok).await;
    let (gateway, link) = harness.gateway_with_link("box-1").await;
    wait_until("both endpoints are in use", async || {
        call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        !leaving.arrived().is_empty() && !stays.arrived().is_empty()
    })
    .await;
    harness.write_entry("i-1", "plain", leaving.address(), false).await;
    let mut quiet = 0;
    wait_until("the box sends nothing more to the leaving endpoint", async || {
        let before = leaving.arrived().len();
        call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        quiet = if leaving.arrived().len() == before { quiet + 1 } else { 0 };
        quiet > 20
    })
    .await;
    link.set_cut(true);
    let before = leaving.arrived().len();
    // Long enough for calls in flight to fail.
    let cut = tokio::time::Instant::now();
    while cut.elapsed() < Duration::from_secs(2) {
        let response =
            call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(leaving.arrived().len(), before);
}
