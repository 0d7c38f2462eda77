//! Quarantine of requests that crash the endpoints they run on.
//!
//! Guards against callers that retry such a request, with a new id and at other boxes, until all endpoints of a
//! service are down.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

use crate::harness::{Harness, Response, answer_ok, request, send, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
/// Number of boxes: two watchers and two subscribers.
pub const BOXES: usize = 4;
/// Number of endpoints: far more than one request may crash.
const ENDPOINTS: usize = 9;
/// Body of the request that crashes endpoints.
const GUILTY: &str = "guilty";
/// Most endpoints that one request may crash: three, and three more while the crash reports spread.
pub const MAX_CRASHED: usize = 6;

/// Duration of a long response of 20 events: far longer than a crash takes.
const LONG_RESPONSE: Duration = Duration::from_millis(400);

/// Script of the endpoints: bodies that start with [`GUILTY`] crash them, `long` gets a slow response, `torn` gets a
/// response that breaks off, and others are answered at once.
fn respond(arrived: &ReceivedRequest) -> Reply {
    let headers = fixtures::response_headers(&arrived.head.id, None);
    match &*String::from_utf8_lossy(&arrived.body) {
        body if body.ends_with("unframed") => Reply::CrashUnframed(headers, LONG_RESPONSE / 8),
        body if body.ends_with("slowly") => Reply::Crash(headers, LONG_RESPONSE / 2),
        body if body.starts_with(GUILTY) => Reply::Crash(headers, Duration::from_millis(20)),
        body if body.starts_with("long") => {
            Reply::Events(headers, vec!["data: x\n\n".into(); 20], LONG_RESPONSE / 20)
        }
        body if body.starts_with("torn") => Reply::Truncated(headers, vec!["data: x\n\n".into()]),
        _ => answer_ok(arrived),
    }
}

pub struct Fleet {
    pub harness: Harness,
    pub boxes: Vec<gateway::Gateway>,
    pub endpoints: Vec<ScriptedEndpoint>,
}

impl Fleet {
    pub async fn start(service: &str, routes: &[&str]) -> Fleet {
        let harness = Harness::start(PAID, routes).await;
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            endpoints.push(harness.endpoint(&format!("i-{n}"), service, respond).await);
        }
        let mut boxes = Vec::new();
        for n in 0..BOXES {
            boxes.push(harness.gateway(&format!("box-{n}")).await);
        }
        for gateway in &boxes {
            wait_until("the boxes know each other", async || gateway.peer_count() == BOXES - 1)
                .await;
            wait_until_served(&harness, gateway, &format!("/{}/x", routes[0])).await;
        }
        Fleet { harness, boxes, endpoints }
    }

    /// Sends a request to a box.
    async fn send(&self, at: usize, path: &str, body: &str) -> Response {
        let req = self.harness.new_request("key-b", 1, 1);
        let address = self.boxes[at % BOXES].callers();
        send(request(address, path, &req).body(body.to_owned())).await
    }

    pub fn crashed(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }

    /// Sends the guilty request to the boxes in turn until all of them refuse it.
    async fn send_until_refused(&self, path: &str) {
        let mut refused = 0;
        wait_until("all boxes refuse it", async || {
            for at in 0..BOXES {
                let response = self.send(at, path, GUILTY).await;
                refused = if is_quarantined(&response) { refused + 1 } else { 0 };
            }
            refused >= BOXES
        })
        .await;
    }
}

/// Whether a box refused the request as quarantined, with a time to retry.
fn is_quarantined(response: &Response) -> bool {
    let has_reason = response.body.as_ref().is_ok_and(|body| body.contains("quarantined"));
    let is_refused = response.status == StatusCode::SERVICE_UNAVAILABLE;
    has_reason && is_refused && response.headers.contains_key("retry-after")
}

#[tokio::test]
async fn crashing_request_reaches_few_endpoints() {
    for (service, path) in
        [("plain", "/confirm/x"), ("plain", "/cancel/x"), ("engines", "/stream/x")]
    {
        let fleet = Fleet::start(service, &[path.split('/').nth(1).expect("a route")]).await;
        for n in 0..3 * ENDPOINTS {
            fleet.send(n, path, GUILTY).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let crashed = fleet.crashed();
        assert!(crashed <= MAX_CRASHED, "{path}: {crashed} of {ENDPOINTS} endpoints crashed");
        assert!(crashed >= 3, "{path}: it was quarantined after only {crashed} crashes");
        for n in 0..BOXES {
            let response = fleet.send(n, path, "innocent").await;
            assert_eq!(response.status, StatusCode::OK, "{path}: other requests are served");
        }
    }
}

/// Innocent requests that run on crashing endpoints are retried by their callers and must not be quarantined.
#[tokio::test]
async fn requests_beside_a_crashing_one_are_served_on_retry() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    let beside = (0..24).map(|n| {
        let (fleet, body) = (&fleet, format!("long {n}"));
        async move {
            let mut tries = 0;
            wait_until("an innocent request is served", async || {
                tries += 1;
                let response = fleet.send(n + tries, "/stream/x", &body).await;
                assert!(!is_quarantined(&response), "innocent: {response:?}");
                response.status == StatusCode::OK && response.body.is_ok()
            })
            .await;
        }
    });
    let guilty = async {
        for n in 0..12 {
            fleet.send(n, "/stream/x", GUILTY).await;
            tokio::time::sleep(LONG_RESPONSE / 4).await;
        }
    };
    tokio::join!(join_all(beside), guilty);
    assert!((3..=MAX_CRASHED).contains(&fleet.crashed()), "{} endpoints crashed", fleet.crashed());
}

/// Endpoints crash for other reasons while callers send the same innocent request all the time.
#[tokio::test]
async fn request_answered_between_crashes_is_not_quarantined() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    for n in 0..ENDPOINTS - 2 {
        let polls = (0..2 * ENDPOINTS).map(|at| fleet.send(at, "/stream/x", "long poll"));
        let crash = async {
            tokio::time::sleep(LONG_RESPONSE / 4).await;
            // An attempt that reaches only crashed endpoints is refused.
            wait_until("one more endpoint crashes", async || {
                fleet.send(n, "/stream/x", &format!("{GUILTY} once: {n}")).await;
                fleet.crashed() > n
            })
            .await;
        };
        tokio::join!(join_all(polls), crash);
    }
    assert_eq!(fleet.crashed(), ENDPOINTS - 2, "each guilty request crashed one endpoint");
    wait_until("all boxes serve the innocent request", async || {
        let polls = (0..BOXES).map(|at| fleet.send(at, "/stream/x", "long poll"));
        join_all(polls).await.iter().all(|response| response.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test]
async fn broken_responses_of_running_endpoints_cause_no_quarantine() {
    let fleet = Fleet::start("plain", &["cancel"]).await;
    for n in 0..3 * ENDPOINTS {
        let response = fleet.send(n, "/cancel/x", "torn").await;
        assert!(!is_quarantined(&response), "{response:?}");
    }
    assert_eq!(fleet.crashed(), 0);
}

#[tokio::test]
async fn quarantine_survives_a_restart_of_all_boxes() {
    let mut fleet = Fleet::start("plain", &["confirm"]).await;
    fleet.send_until_refused("/confirm/x").await;
    let crashed = fleet.crashed();
    fleet.boxes.clear();
    for n in 0..BOXES {
        fleet.boxes.push(fleet.harness.gateway(&format!("box-{n}")).await);
    }
    for (at, gateway) in fleet.boxes.iter().enumerate() {
        wait_until_served(&fleet.harness, gateway, "/confirm/x").await;
        assert!(is_quarantined(&fleet.send(at, "/confirm/x", GUILTY).await), "box {at}");
    }
    assert_eq!(fleet.crashed(), crashed, "no further endpoint crashes");
}

/// While the store is down, crash reports spread through the watchers; they are written when it is back.
#[tokio::test]
async fn crash_reports_spread_while_the_store_is_down() {
    let fleet = Fleet::start("plain", &["confirm"]).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    fleet.send_until_refused("/confirm/x").await;
    assert!(fleet.crashed() <= MAX_CRASHED, "{} endpoints crashed", fleet.crashed());
    fleet.harness.platform.set(|faults| faults.down = false);
    wait_until("the reports are in the store", async || {
        fleet.harness.count(quarantine::CRASHES).await >= 3
    })
    .await;
}

/// A box without peers learns of the quarantine from the store.
#[tokio::test]
async fn box_without_peers_learns_of_a_quarantine_from_the_store() {
    let fleet = Fleet::start("plain", &["confirm"]).await;
    let isolated = fleet.harness.gateway_without_peers("box-alone").await;
    wait_until_served(&fleet.harness, &isolated, "/confirm/x").await;
    fleet.send_until_refused("/confirm/x").await;
    let crashed = fleet.crashed();
    let req = fleet.harness.new_request("key-b", 1, 1);
    let sent = request(isolated.callers(), "/confirm/x", &req).body(GUILTY);
    assert!(is_quarantined(&send(sent).await));
    assert_eq!(fleet.crashed(), crashed);
}

/// The callers of the guilty request disconnect before the endpoint crashes, so that only requests that ran beside
/// it see connections break. It still counts as having run there.
#[tokio::test]
async fn request_abandoned_by_its_caller_is_still_suspected() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    for n in 0..2 * ENDPOINTS {
        let beside = (0..2 * ENDPOINTS).map(|at| fleet.send(at, "/stream/x", "long beside"));
        let req = fleet.harness.new_request("key-b", 1, 1);
        let slow = request(fleet.boxes[n % BOXES].callers(), "/stream/x", &req)
            .body(format!("{GUILTY} slowly"))
            .timeout(LONG_RESPONSE / 8);
        let abandoned = async {
            tokio::time::sleep(LONG_RESPONSE / 8).await;
            if let Ok(response) = slow.send().await {
                drop(response.bytes().await);
            }
        };
        tokio::join!(join_all(beside), abandoned);
    }
    assert!((3..=MAX_CRASHED).contains(&fleet.crashed()), "{} endpoints crashed", fleet.crashed());
}

/// The caller of the guilty request disconnects before the endpoint crashes and nothing runs beside it, so that no
/// connection breaks. The next request finds the port closed.
#[tokio::test]
async fn abandoned_request_that_ran_alone_is_suspected() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    let req = fleet.harness.new_request("key-b", 1, 1);
    let slow = request(fleet.boxes[0].callers(), "/stream/x", &req)
        .body(format!("{GUILTY} slowly"))
        .timeout(LONG_RESPONSE / 8);
    if let Ok(response) = slow.send().await {
        drop(response.bytes().await);
    }
    wait_until("its endpoint crashes", async || fleet.crashed() == 1).await;
    wait_until("the crash is reported", async || {
        fleet.send(0, "/stream/x", "innocent").await;
        fleet.harness.count(quarantine::CRASHES).await == 1
    })
    .await;
}

/// A response without framing looks complete when the endpoint crashes. It must not count as proof of innocence.
#[tokio::test]
async fn unframed_response_does_not_prove_innocence() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    for n in 0..2 * ENDPOINTS {
        let beside = (0..2 * ENDPOINTS).map(|at| fleet.send(at, "/stream/x", "long beside"));
        let guilty = async {
            tokio::time::sleep(LONG_RESPONSE / 8).await;
            fleet.send(n, "/stream/x", &format!("{GUILTY} unframed")).await
        };
        tokio::join!(join_all(beside), guilty);
    }
    assert!((3..=MAX_CRASHED).contains(&fleet.crashed()), "{} endpoints crashed", fleet.crashed());
    for at in 0..BOXES {
        let response = fleet.send(at, "/stream/x", &format!("{GUILTY} unframed")).await;
        assert!(is_quarantined(&response), "box {at}: {response:?}");
    }
}

/// Guards against crash reports that are lost because the box that made them stops by plan in an outage.
#[tokio::test]
async fn crash_reports_of_a_stopped_box_get_into_the_store() {
    let mut fleet = Fleet::start("engines", &["stream"]).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    fleet.send(0, "/stream/x", GUILTY).await;
    wait_until("an endpoint crashed", async || fleet.crashed() > 0).await;
    tokio::time::sleep(LONG_RESPONSE).await;
    fleet.boxes.remove(0).stop().await;
    fleet.harness.platform.set(|faults| faults.down = false);
    wait_until("the report is in the store", async || {
        fleet.harness.count(quarantine::CRASHES).await > 0
    })
    .await;
}
