//! Boxes that send to an endpoint long after it said that it leaves, because what they know is old and nothing says so.
//!
//! Guards against silence that is taken for "nothing changed": of a watch, of a box that watches, of several in a row.

use std::time::Duration;

use gateway::Gateway;
use standin::ScriptedEndpoint;

use crate::harness::{Harness, answer_ok, call, settings, wait_until, wait_until_served};

/// Time after which a leaving endpoint must get no more requests.
const MAX_AGE: Duration = Duration::from_millis(3_000);
/// Requests that each box sends then; half of them went to the endpoint that leaves.
const REQUESTS: usize = 24;

/// Starts boxes that must know of a change within [`MAX_AGE`], and waits until they know each other.
async fn boxes(harness: &Harness, count: usize) -> Vec<Gateway> {
    let mut boxes = Vec::new();
    for n in 0..count {
        let mut settings = settings(&format!("box-{n}"), harness.platform.socket());
        settings.store.max_age_ms = MAX_AGE.as_millis() as u64;
        boxes.push(Gateway::spawn(settings, n as u64).await.expect("the gateway starts"));
    }
    for gateway in &boxes {
        wait_until_served(harness, gateway, "/open/x").await;
        wait_until("the boxes know each other", async || gateway.peer_count() == count - 1).await;
    }
    boxes
}

/// Requests that reach an endpoint after each box sent a few.
async fn arrivals(harness: &Harness, boxes: &[Gateway], endpoint: &ScriptedEndpoint) -> usize {
    let before = endpoint.arrived().len();
    for gateway in boxes {
        for _ in 0..REQUESTS {
            call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        }
    }
    endpoint.arrived().len() - before
}

/// Guards against boxes whose watches hear nothing while the store answers everything else, for as long as a watch waits.
#[tokio::test]
async fn a_leaving_endpoint_gets_no_requests_although_all_watches_are_deaf() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let _stays = harness.endpoint("i-2", "plain", answer_ok).await;
    let boxes = boxes(&harness, 4).await;
    harness.platform.set(|faults| faults.deaf_watches = true);
    // Each watch that heard of a change before ends with one.
    harness.write_entry("i-3", "plain", leaving.address(), false).await;
    harness.evacuate("z9").await;
    harness.configure(2, 1_000_000, &["open", "other"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    harness.write_entry("i-1", "plain", leaving.address(), false).await;
    tokio::time::sleep(MAX_AGE).await;
    assert_eq!(arrivals(&harness, &boxes, &leaving).await, 0, "requests after {MAX_AGE:?}");
}

/// The same for the configuration: a route is served although no watch hears of it.
#[tokio::test]
async fn a_configuration_is_in_force_although_all_watches_are_deaf() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let boxes = boxes(&harness, 4).await;
    harness.platform.set(|faults| faults.deaf_watches = true);
    harness.configure(2, 1_000_000, &["open", "other"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    harness.configure(3, 1_000_000, &["open", "cancel"]).await;
    tokio::time::sleep(MAX_AGE).await;
    for gateway in &boxes {
        let request = harness.new_request("key-b", 1, 1);
        let status = call(gateway.callers(), "/cancel/x", &request).await.status;
        assert_eq!(status, 200, "{MAX_AGE:?} after the configuration with this route");
    }
}
