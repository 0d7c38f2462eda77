//! Denials by a box whose configuration may have been replaced.
//!
//! Guards against callers that are denied for good although the configuration in force has their route and key.

use std::time::Duration;

use gateway::Gateway;
use platform::fixtures::CallerHead;

use crate::harness::{Harness, Response, answer_ok, call, settings, wait_until, wait_until_served};

const MAX_AGE: Duration = Duration::from_millis(1_000);
/// Longer than the configuration may be old, with the checks in between.
const LONG: Duration = Duration::from_millis(2_500);

/// A box whose link to the store can be cut, and the link.
async fn gateway(harness: &Harness) -> (Gateway, standin::Link) {
    let store = harness.platform.socket();
    let link = standin::Link::bind(store, Duration::ZERO).await.expect("a link");
    let mut settings = settings("box-1", link.address());
    settings.store.max_age_ms = MAX_AGE.as_millis() as u64;
    let gateway = Gateway::spawn(settings, 1).await.expect("the gateway starts");
    wait_until_served(harness, &gateway, "/open/x").await;
    (gateway, link)
}

/// A request on a route, and one with a key, that the configuration does not have.
async fn unknown(harness: &Harness, gateway: &Gateway) -> [Response; 2] {
    let unknown_key = CallerHead { key: Some("key-new".into()), ..harness.new_request("", 1, 1) };
    let known_key = harness.new_request("key-b", 1, 1);
    let route = call(gateway.callers(), "/new/x", &known_key).await;
    [route, call(gateway.callers(), "/cancel/x", &unknown_key).await]
}

fn statuses(responses: &[Response; 2]) -> [u16; 2] {
    responses.each_ref().map(|response| response.status.as_u16())
}

/// A box that has not heard from the store for longer than it may is not sure, and says that the caller may come back.
#[tokio::test]
async fn a_box_with_an_outdated_configuration_denies_nothing() {
    let harness = Harness::start(1_000_000, &["open", "cancel"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let (gateway, link) = gateway(&harness).await;
    assert_eq!(statuses(&unknown(&harness, &gateway).await), [404, 401], "it is current");
    link.set_cut(true);
    tokio::time::sleep(LONG).await;
    let refused = unknown(&harness, &gateway).await;
    assert_eq!(statuses(&refused), [503, 503], "{refused:?}");
    assert!(refused.iter().all(|response| response.headers.contains_key("retry-after")));
    link.set_cut(false);
    tokio::time::sleep(LONG).await;
    assert_eq!(statuses(&unknown(&harness, &gateway).await), [404, 401], "it is current again");
}

/// A tenant's budget is part of the configuration too: it may have been raised since.
#[tokio::test]
async fn a_box_with_an_outdated_configuration_says_of_no_budget_that_it_is_used_up() {
    let harness = Harness::start(1_000, &["open", "stream"]).await;
    let _endpoint = harness.endpoint("i-1", "engines", answer_ok).await;
    let _other = harness.endpoint("i-2", "plain", answer_ok).await;
    let (gateway, link) = gateway(&harness).await;
    let send = async || {
        let request = harness.new_request("key-b", 5_000, 1);
        call(gateway.callers(), "/stream/x", &request).await.status.as_u16()
    };
    wait_until("the budget is known not to suffice", async || send().await == 402).await;
    link.set_cut(true);
    harness.configure(2, 1_000_000, &["open", "stream"]).await;
    tokio::time::sleep(LONG).await;
    let status = send().await;
    assert!([429, 503].contains(&status), "{status}");
    link.set_cut(false);
    wait_until("the budget that was raised suffices", async || send().await == 200).await;
}
