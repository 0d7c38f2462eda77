//! Which endpoints receive requests, depending on their entries in the store and on evacuated zones.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use gateway::Gateway;
use http::StatusCode;
use platform::fixtures::{self, Registration, registration};
use serde_json::{Value, json};
use standin::ScriptedEndpoint;

use crate::harness::{Harness, answer_ok, call, wait_until, wait_until_served};

/// More than all requests here use.
const PAID: u64 = 1_000_000;
/// Number of boxes: two watchers and two subscribers.
const BOXES: usize = 4;
/// Requests sent to show that an endpoint receives none.
const REQUESTS: usize = 24;

async fn fleet(harness: &Harness, path: &str) -> Vec<Gateway> {
    let names: Vec<String> = (0..BOXES).map(|n| format!("box-{n}")).collect();
    let mut boxes = Vec::new();
    for name in &names {
        boxes.push(harness.gateway(name).await);
    }
    for gateway in &boxes {
        wait_until("the boxes know each other", async || gateway.peer_count() == BOXES - 1).await;
        wait_until_served(harness, gateway, path).await;
    }
    boxes
}

/// Whether none of [`REQUESTS`] requests, sent to the boxes in turn, reaches the endpoint.
async fn receives_none(
    harness: &Harness,
    boxes: &[Gateway],
    path: &str,
    endpoint: &ScriptedEndpoint,
) -> bool {
    let before = endpoint.arrived().len();
    for gateway in boxes.iter().cycle().take(REQUESTS) {
        call(gateway.callers(), path, &harness.new_request("key-b", 1, 1)).await;
    }
    endpoint.arrived().len() == before
}

async fn start_in_zone(harness: &Harness, id: &str, zone: &str) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::spawn(answer_ok).await;
    let entry = Registration { zone, ..registration("plain", endpoint.address()) }.entry();
    harness.write_raw_entry(id, entry.to_string()).await;
    endpoint
}

#[tokio::test]
async fn evacuated_zone_gets_no_requests() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let one = start_in_zone(&harness, "i-1", "z1").await;
    let two = start_in_zone(&harness, "i-2", "z2").await;
    let boxes = fleet(&harness, "/cancel/x").await;
    harness.evacuate("z1").await;
    wait_until("z1 receives no more requests", async || {
        receives_none(&harness, &boxes, "/cancel/x", &one).await
    })
    .await;
    // The evacuation also binds a box that starts now, and an entry that is written again.
    harness.write_raw_entry("i-1", registration("plain", one.address()).entry().to_string()).await;
    let late = [harness.gateway("box-late").await];
    wait_until_served(&harness, &late[0], "/cancel/x").await;
    assert!(receives_none(&harness, &late, "/cancel/x", &one).await, "a box that started later");
    assert!(
        receives_none(&harness, &boxes, "/cancel/x", &one).await,
        "after its entry was written again"
    );
    harness.evacuate("z2").await;
    wait_until("no endpoint is left", async || {
        let response =
            call(boxes[0].callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
        response.status == StatusCode::SERVICE_UNAVAILABLE
            && response.headers.contains_key("retry-after")
    })
    .await;
    harness.platform.set(|faults| faults.down = true);
    assert!(receives_none(&harness, &boxes, "/cancel/x", &two).await, "while the store is down");
    harness.platform.set(|faults| faults.down = false);
    harness.end_evacuation("z1").await;
    for gateway in &boxes {
        wait_until_served(&harness, gateway, "/cancel/x").await;
    }
    assert!(receives_none(&harness, &boxes, "/cancel/x", &two).await, "z2 is still evacuated");
}

#[tokio::test]
async fn boxes_together_pace_requests_to_a_cold_engine() {
    let harness = Harness::start(PAID, &["stream"]).await;
    let engine = ScriptedEndpoint::spawn(answer_ok).await;
    let cold = Registration { cold_ms: 600_000, ..registration("engines", engine.address()) };
    harness.write_raw_entry("i-1", cold.entry().to_string()).await;
    let boxes = fleet(&harness, "/stream/x").await;
    let (began, before) = (Instant::now(), engine.arrived().len());
    // A burst of requests while the only engine is cold.
    let burst = boxes.iter().cycle().take(100).map(|gateway| {
        let req = harness.new_request("key-b", 1, 1);
        async move { call(gateway.callers(), "/stream/x", &req).await }
    });
    let responses = join_all(burst).await;
    let arrived = engine.arrived().len() - before;
    let seconds = began.elapsed().as_secs() as usize + 1;
    let cold_rate = fixtures::COLD_PER_S as usize;
    assert!(arrived <= cold_rate * seconds, "{arrived} arrived within {seconds} s");
    let refused =
        responses.iter().filter(|response| response.status == StatusCode::SERVICE_UNAVAILABLE);
    let with_retry_after =
        refused.clone().filter(|response| response.headers.contains_key("retry-after"));
    assert_eq!((refused.count(), with_retry_after.count()), (100 - arrived, 100 - arrived));
}

#[tokio::test]
async fn restarted_endpoint_is_a_new_instance() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let endpoint = ScriptedEndpoint::spawn(answer_ok).await;
    let first = Registration {
        started_ms: Some(1_000),
        heartbeat: 9,
        ..registration("plain", endpoint.address())
    };
    harness.write_raw_entry("i-1", first.entry().to_string()).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    let before = endpoint.connections();
    let second = Registration { started_ms: Some(2_000), heartbeat: 1, ..first.clone() };
    harness.write_raw_entry("i-1", second.entry().to_string()).await;
    wait_until("connections to the earlier instance are not reused", async || {
        call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
        endpoint.connections() > before
    })
    .await;
    let head = endpoint.arrived().pop().expect("a request arrived").head;
    assert_eq!(head.instance.as_deref(), Some("i-1"), "its id is the same");
    // A late write of the earlier instance must not replace the entry of the new one.
    let last = Registration { ready: false, heartbeat: 10, ..first };
    harness.write_raw_entry("i-1", last.entry().to_string()).await;
    harness.configure(2, PAID, &["cancel", "open"]).await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
}

#[tokio::test]
async fn malformed_entries_name_no_endpoint() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let _sound = start_in_zone(&harness, "i-sound", "z1").await;
    let boxes = fleet(&harness, "/cancel/x").await;
    let malformed = ScriptedEndpoint::spawn(answer_ok).await;
    let whole = || registration("plain", malformed.address()).entry();
    let with = |field: &str, value: Value| {
        let mut entry = whole();
        entry[field] = value;
        entry
    };
    let mut entries = vec![
        json!(null),
        json!([1, 2]),
        json!("text"),
        with(fixtures::START_FIELD, json!("yesterday")),
        with(fixtures::START_FIELD, json!(1.5)),
        with(fixtures::START_FIELD, json!(-1)),
    ];
    for field in fixtures::ENTRY_FIELDS {
        let mut entry = whole();
        entry.as_object_mut().expect("an object").remove(field);
        entries.push(entry);
        entries.push(with(field, json!({"of": "another type"})));
    }
    for (n, entry) in entries.iter().enumerate() {
        harness.write_raw_entry(&format!("odd {n} ü/{{}}"), entry.to_string()).await;
    }
    harness.configure(2, PAID, &["cancel", "open"]).await;
    for gateway in &boxes {
        wait_until_served(&harness, gateway, "/open/x").await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(
        receives_none(&harness, &boxes, "/cancel/x", &malformed).await,
        "entries that no endpoint wrote"
    );
    assert_eq!(malformed.arrived(), [], "not at any time");
}

/// Guards against requests that run in a region which their route or customer does not allow.
#[tokio::test]
async fn requests_run_only_in_the_regions_that_route_and_customer_allow() {
    const REGIONS: [(&str, &str); 2] = [("centro-a", "centro"), ("sur-a", "sur")];
    let harness = Harness::start(PAID, &["open"]).await;
    let (centro, sur) =
        (ScriptedEndpoint::spawn(answer_ok).await, ScriptedEndpoint::spawn(answer_ok).await);
    for (id, endpoint, zone) in [("i-1", &centro, "centro-a"), ("i-2", &sur, "sur-a")] {
        let entry = Registration { zone, ..registration("plain", endpoint.address()) };
        harness.write_raw_entry(id, entry.entry().to_string()).await;
    }
    // A box of the one region passes requests on to the other one where only that is allowed.
    let (gateway, _link) = harness.gateway_in_zone("box-1", "centro-a", &REGIONS).await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let cases = [
        ("open", vec!["sur"], vec![], [false, true]),
        ("cancel", vec![], vec!["centro"], [true, false]),
        ("third", vec!["sur", "centro"], vec!["sur"], [false, true]),
        ("fourth", vec!["sur"], vec!["centro"], [false, false]),
        ("fifth", vec!["norte"], vec![], [false, false]),
    ];
    for (at, (route, by_route, by_customer, expected)) in cases.into_iter().enumerate() {
        let version = at as u64 + 2;
        let text = fixtures::config(version, PAID, &[route]);
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["routes"][0]["allowed_regions"] = json!(by_route);
        config["tenants"][0]["allowed_regions"] = json!(by_customer);
        harness.write_config(config.to_string()).await;
        let path = format!("/{route}/x");
        let status = async || {
            call(gateway.callers(), &path, &harness.new_request("key-b", 1, 1)).await.status
        };
        wait_until("the version is in force", async || status().await != StatusCode::NOT_FOUND)
            .await;
        let arrived = || [centro.arrived().len(), sur.arrived().len()];
        let before = arrived();
        for _ in 0..10 {
            let served = expected.contains(&true);
            assert_eq!(status().await == StatusCode::OK, served, "{route}");
            assert!(served || status().await == StatusCode::SERVICE_UNAVAILABLE, "{route}");
        }
        let after = arrived();
        assert_eq!([after[0] > before[0], after[1] > before[1]], expected, "{route}");
    }
}
