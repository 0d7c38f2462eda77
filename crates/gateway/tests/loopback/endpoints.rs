//! Which endpoints receive requests, depending on their entries in the store and on evacuated zones.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use gateway::Gateway;
use http::StatusCode;
use platform::fixtures::{self, Registration, registration};
use serde_json::{Value, json};
use standin::ScriptedEndpoint;

use crate::harness::{Harness, answers, call, until, until_served};

/// More than all requests here use.
const PAID: u64 = 1_000_000;
/// Number of boxes: two watchers and two subscribers.
const BOXES: usize = 4;
/// Requests sent to show that an endpoint receives none.
const MANY: usize = 24;

async fn fleet(harness: &Harness, path: &str) -> Vec<Gateway> {
    let names: Vec<String> = (0..BOXES).map(|n| format!("box-{n}")).collect();
    let mut boxes = Vec::new();
    for name in &names {
        boxes.push(harness.gateway(name).await);
    }
    for gateway in &boxes {
        until("the boxes know each other", async || gateway.peer_count() == BOXES - 1).await;
        until_served(harness, gateway, path).await;
    }
    boxes
}

/// Whether none of [`MANY`] requests, sent to the boxes in turn, reaches the endpoint.
async fn gets_none(harness: &Harness, boxes: &[Gateway], path: &str, endpoint: &ScriptedEndpoint) -> bool {
    let before = endpoint.arrived().len();
    for gateway in boxes.iter().cycle().take(MANY) {
        call(gateway.callers(), path, &harness.asked("key-b", 1, 1)).await;
    }
    endpoint.arrived().len() == before
}

async fn in_zone(harness: &Harness, id: &str, zone: &str) -> ScriptedEndpoint {
    let endpoint = ScriptedEndpoint::spawn(answers).await;
    let entry = Registration { zone, ..registration("plain", endpoint.address()) }.entry();
    harness.list_as(id, entry.to_string()).await;
    endpoint
}

#[tokio::test]
async fn evacuated_zone_gets_no_requests() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let one = in_zone(&harness, "i-1", "z1").await;
    let two = in_zone(&harness, "i-2", "z2").await;
    let boxes = fleet(&harness, "/cancel/x").await;
    harness.evacuate("z1").await;
    until("z1 receives no more requests", async || {
        gets_none(&harness, &boxes, "/cancel/x", &one).await
    })
    .await;
    // The evacuation also binds a box that starts now, and an entry that is written again.
    harness.list_as("i-1", registration("plain", one.address()).entry().to_string()).await;
    let late = [harness.gateway("box-late").await];
    until_served(&harness, &late[0], "/cancel/x").await;
    assert!(gets_none(&harness, &late, "/cancel/x", &one).await, "a box that started later");
    assert!(
        gets_none(&harness, &boxes, "/cancel/x", &one).await,
        "after its entry was written again"
    );
    harness.evacuate("z2").await;
    until("no endpoint is left", async || {
        let got = call(boxes[0].callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
        got.status == StatusCode::SERVICE_UNAVAILABLE && got.headers.contains_key("retry-after")
    })
    .await;
    harness.platform.set(|faults| faults.down = true);
    assert!(gets_none(&harness, &boxes, "/cancel/x", &two).await, "while the store is down");
    harness.platform.set(|faults| faults.down = false);
    harness.take_back("z1").await;
    for gateway in &boxes {
        until_served(&harness, gateway, "/cancel/x").await;
    }
    assert!(gets_none(&harness, &boxes, "/cancel/x", &two).await, "z2 is still evacuated");
}

#[tokio::test]
async fn boxes_together_pace_requests_to_a_cold_engine() {
    let harness = Harness::open(PAID, &["stream"]).await;
    let engine = ScriptedEndpoint::spawn(answers).await;
    let cold = Registration { cold_ms: 600_000, ..registration("engines", engine.address()) };
    harness.list_as("i-1", cold.entry().to_string()).await;
    let boxes = fleet(&harness, "/stream/x").await;
    let (began, before) = (Instant::now(), engine.arrived().len());
    // A burst of requests while the only engine is cold.
    let burst = boxes.iter().cycle().take(100).map(|gateway| {
        let asked = harness.asked("key-b", 1, 1);
        async move { call(gateway.callers(), "/stream/x", &asked).await }
    });
    let got = join_all(burst).await;
    let arrived = engine.arrived().len() - before;
    let seconds = began.elapsed().as_secs() as usize + 1;
    let bears = fixtures::COLD_PER_S as usize;
    assert!(arrived <= bears * seconds, "{arrived} arrived within {seconds} s");
    let refused = got.iter().filter(|got| got.status == StatusCode::SERVICE_UNAVAILABLE);
    let told_when = refused.clone().filter(|got| got.headers.contains_key("retry-after"));
    assert_eq!((refused.count(), told_when.count()), (100 - arrived, 100 - arrived));
}

#[tokio::test]
async fn restarted_endpoint_is_a_new_instance() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let endpoint = ScriptedEndpoint::spawn(answers).await;
    let first = Registration { started_ms: Some(1_000), heartbeat: 9, ..registration("plain", endpoint.address()) };
    harness.list_as("i-1", first.entry().to_string()).await;
    let gateway = harness.gateway("box-1").await;
    until_served(&harness, &gateway, "/cancel/x").await;
    let before = endpoint.connections();
    let second = Registration { started_ms: Some(2_000), heartbeat: 1, ..first.clone() };
    harness.list_as("i-1", second.entry().to_string()).await;
    until("connections to the earlier instance are not reused", async || {
        call(gateway.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
        endpoint.connections() > before
    })
    .await;
    let head = endpoint.arrived().pop().expect("a request arrived").head;
    assert_eq!(head.instance.as_deref(), Some("i-1"), "its id is the same");
    // A late write of the earlier instance must not replace the entry of the new one.
    let last = Registration { ready: false, heartbeat: 10, ..first };
    harness.list_as("i-1", last.entry().to_string()).await;
    harness.configure(2, PAID, &["cancel", "open"]).await;
    until_served(&harness, &gateway, "/open/x").await;
    until_served(&harness, &gateway, "/cancel/x").await;
}

#[tokio::test]
async fn malformed_entries_name_no_endpoint() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let _sound = in_zone(&harness, "i-sound", "z1").await;
    let boxes = fleet(&harness, "/cancel/x").await;
    let odd = ScriptedEndpoint::spawn(answers).await;
    let whole = || registration("plain", odd.address()).entry();
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
        harness.list_as(&format!("odd {n} ü/{{}}"), entry.to_string()).await;
    }
    harness.configure(2, PAID, &["cancel", "open"]).await;
    for gateway in &boxes {
        until_served(&harness, gateway, "/open/x").await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(gets_none(&harness, &boxes, "/cancel/x", &odd).await, "entries that no endpoint wrote");
    assert_eq!(odd.arrived(), [], "not at any time");
}
