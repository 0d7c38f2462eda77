//! Boxes that lose the store and find it again.

use std::{net::IpAddr, time::Duration};

use crate::harness::{Harness, answers, call, charged, until, until_served};
use http::StatusCode;

#[tokio::test]
async fn a_watch_that_died_in_a_cut_is_replaced_when_the_store_is_back() {
    let harness = Harness::open(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let (gateway, link) = harness.cut_gateway("box-1").await;
    until_served(&harness, &gateway, "/open/x").await;
    // Connections that were open when the cut began never carry a byte again.
    link.lose_open();
    harness.configure(2, 1_000_000, &["open", "cancel"]).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    link.set_cut(false);
    // Far below the 20 s after which the watch itself would end.
    let served = until_served(&harness, &gateway, "/cancel/x");
    tokio::time::timeout(Duration::from_secs(12), served)
        .await
        .expect("the new version is in force");
}

#[tokio::test]
async fn a_box_without_the_store_serves_on_its_grants_and_borrows() {
    let harness = Harness::open(100_000, &["stream", "open"]).await;
    let _plain = harness.endpoint("i-1", "plain", answers).await;
    let _engine = harness.endpoint("i-2", "engines", answers).await;
    let one = harness.gateway("box-1").await;
    let two = harness.gateway("box-2").await;
    until_served(&harness, &one, "/open/x").await;
    until_served(&harness, &two, "/open/x").await;
    // Box 1 draws tokens, and its use makes it hold more.
    until_served(&harness, &one, "/stream/x").await;
    until("box 1 holds tokens and both know each other", async || {
        call(one.callers(), "/stream/x", &harness.asked("key-b", 2_000, 10)).await;
        call(two.callers(), "/stream/x", &harness.asked("key-b", 1, 1)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        one.balance("bornova").free > 9_000 && two.peer_count() > 0 && one.peer_count() > 0
    })
    .await;
    harness.platform.set(|faults| faults.down = true);
    let worst = two.balance("bornova").free + 2_000;
    let got = call(two.callers(), "/stream/x", &harness.asked("key-b", worst - 10, 10)).await;
    assert_eq!(got.status, StatusCode::OK, "{got:?}");
    let all = one.balance("bornova").free + two.balance("bornova").free;
    let got = call(two.callers(), "/stream/x", &harness.asked("key-b", all + 1, 1)).await;
    assert_eq!(got.status, StatusCode::TOO_MANY_REQUESTS, "nobody has that many: {got:?}");
    assert!(got.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_box_that_the_store_turns_away_keeps_what_it_knows() {
    let harness = Harness::open(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let gateway = harness.gateway("box-1").await;
    until_served(&harness, &gateway, "/open/x").await;
    let me: IpAddr = [127, 0, 0, 1].into();
    harness.platform.set(|faults| {
        faults.turns_away.insert(me);
    });
    for _ in 0..20 {
        let got = call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    harness.platform.set(|faults| faults.turns_away.clear());
    harness.configure(2, 1_000_000, &["open", "cancel"]).await;
    until_served(&harness, &gateway, "/cancel/x").await;
}

#[tokio::test]
async fn lost_answers_of_the_store_settle_every_token_once() {
    for late in [Duration::ZERO, Duration::from_millis(400)] {
        let harness = Harness::open(1_000_000, &["stream"]).await;
        let _engine = harness.endpoint("i-1", "engines", answers).await;
        let gateway = harness.gateway("box-1").await;
        until_served(&harness, &gateway, "/stream/x").await;
        harness.platform.set(|faults| (faults.lose_answers, faults.late) = (0.5, late));
        for _ in 0..40 {
            call(gateway.callers(), "/stream/x", &harness.asked("key-b", 1_000, 10)).await;
        }
        harness.platform.set(|faults| faults.lose_answers = 0.0);
        let charged = charged(&gateway);
        gateway.stop().await;
        until("the last settlement landed", async || {
            let book = harness.book().await;
            let of = &book.ledgers["bornova"];
            of.statement.tokens == charged && of.spent == charged && of.grants.is_empty()
        })
        .await;
    }
}

#[tokio::test]
async fn a_box_that_never_had_a_configuration_says_so() {
    let harness = Harness::open(1_000, &["open"]).await;
    harness.platform.set(|faults| faults.down = true);
    let gateway = harness.gateway("box-1").await;
    let got = call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
    assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(got.body.expect("a body").contains("no_config"));
    let ready = reqwest::get(format!("http://{}/ready", gateway.ready())).await.expect("an answer");
    assert_eq!(ready.status(), StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn an_endpoint_that_was_heard_to_leave_gets_nothing_while_the_store_is_away() {
    let harness = Harness::open(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answers).await;
    let stays = harness.endpoint("i-2", "plain", answers).await;
    let (gateway, link) = harness.cut_gateway("box-1").await;
    until("both are used", async || {
        call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
        !leaving.arrived().is_empty() && !stays.arrived().is_empty()
    })
    .await;
    harness.list("i-1", "plain", leaving.address(), false).await;
    let mut quiet = 0;
    until("the box heard of it", async || {
        let before = leaving.arrived().len();
        call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
        quiet = if leaving.arrived().len() == before { quiet + 1 } else { 0 };
        quiet > 20
    })
    .await;
    link.set_cut(true);
    let before = leaving.arrived().len();
    // Until after the calls that are under way have failed.
    let cut = tokio::time::Instant::now();
    while cut.elapsed() < Duration::from_secs(2) {
        let got = call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
        assert_eq!(got.status, StatusCode::OK);
    }
    assert_eq!(leaving.arrived().len(), before);
}
