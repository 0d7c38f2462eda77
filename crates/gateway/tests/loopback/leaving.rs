//! Endpoints that signal in a response header that they are leaving.
//!
//! Guards against boxes that go on sending to such an endpoint because its entry in the store still says ready.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use gateway::Gateway;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

use crate::harness::{Harness, answer_ok, call, request, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
/// Longest time after the signal in which a box may still send requests to the endpoint.
const MAX_SIGNAL_DELAY: Duration = Duration::from_millis(2_000);
/// Requests sent to show that an endpoint receives none.
const REQUESTS: usize = 24;
/// Time after which a stream has begun but not ended.
const STREAM_BEGUN: Duration = Duration::from_millis(200);

/// Adds the signal that the endpoint is leaving.
fn with_leaving_header(mut headers: HeaderMap) -> HeaderMap {
    headers.insert(fixtures::LEAVING, HeaderValue::from_static("1"));
    headers
}

/// Switch for the leaving signal of an endpoint.
#[derive(Clone, Default)]
struct LeavingSignal(Arc<AtomicBool>);

impl LeavingSignal {
    fn set(&self, is_leaving: bool) {
        self.0.store(is_leaving, Ordering::Relaxed);
    }

    /// Answers successfully, with the signal if it is switched on.
    fn script(&self) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
        let signal = self.clone();
        move |arrived| {
            let headers = fixtures::response_headers(&arrived.head.id, None);
            let is_leaving = signal.0.load(Ordering::Relaxed);
            let headers = if is_leaving { with_leaving_header(headers) } else { headers };
            Reply::Complete(StatusCode::OK, headers, "done".into())
        }
    }
}

/// Sends requests until one reaches the endpoint.
async fn send_until_arrival(harness: &Harness, gateway: &Gateway, endpoint: &ScriptedEndpoint) {
    let before = endpoint.arrived().len();
    wait_until("a request reaches the endpoint", async || {
        call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
        endpoint.arrived().len() > before
    })
    .await;
}

/// Sends [`REQUESTS`] requests and returns how many reach the endpoint.
async fn count_arrivals(
    harness: &Harness,
    gateway: &Gateway,
    endpoint: &ScriptedEndpoint,
) -> usize {
    let before = endpoint.arrived().len();
    for _ in 0..REQUESTS {
        call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
    }
    endpoint.arrived().len() - before
}

#[tokio::test]
async fn leaving_signal_overrides_a_ready_entry() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let signal = LeavingSignal::default();
    let leaving = harness.endpoint("i-1", "plain", signal.script()).await;
    let _stays = harness.endpoint("i-2", "plain", LeavingSignal::default().script()).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    send_until_arrival(&harness, &gateway, &leaving).await;
    harness.platform.set(|faults| faults.down = true);
    signal.set(true);
    send_until_arrival(&harness, &gateway, &leaving).await;
    tokio::time::sleep(MAX_SIGNAL_DELAY).await;
    assert_eq!(count_arrivals(&harness, &gateway, &leaving).await, 0, "while the store is down");
}

/// Boxes read the signal of every response: of a rejection, and of a stream as soon as its head arrives.
#[tokio::test]
async fn signal_is_read_from_rejections_and_stream_heads() {
    let harness = Harness::start(PAID, &["cancel", "stream"]).await;
    let rejecting = harness.endpoint("i-1", "plain", |arrived| {
        let (status, headers) = fixtures::not_run_response(&arrived.head.id);
        Reply::Complete(status, with_leaving_header(headers), "full".into())
    });
    let rejecting = rejecting.await;
    let streaming = harness.endpoint("i-2", "engines", |arrived| {
        let headers = with_leaving_header(fixtures::response_headers(&arrived.head.id, None));
        Reply::Events(headers, vec!["data: 1\n\n".into(); 20], Duration::from_millis(100))
    });
    let streaming = streaming.await;
    let _plain = harness.endpoint("i-3", "plain", answer_ok).await;
    let _engine = harness.endpoint("i-4", "engines", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    for (path, endpoint) in [("/cancel/x", &rejecting), ("/stream/x", &streaming)] {
        wait_until_served(&harness, &gateway, path).await;
        let req = || harness.new_request("key-b", 1, 1);
        wait_until("a request reaches the endpoint", async || {
            tokio::spawn(request(gateway.callers(), path, &req()).body("a body").send());
            !endpoint.arrived().is_empty()
        })
        .await;
        tokio::time::sleep(STREAM_BEGUN).await;
        let before = endpoint.arrived().len();
        for _ in 0..REQUESTS {
            call(gateway.callers(), path, &req()).await;
        }
        assert_eq!(endpoint.arrived().len(), before, "{path}");
    }
}

/// The signal reaches one box while the store is down; it must spread to running boxes and to one that starts later.
#[tokio::test]
async fn signal_spreads_to_running_and_new_boxes() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let signal = LeavingSignal::default();
    let leaving = harness.endpoint("i-1", "plain", signal.script()).await;
    let _stays = harness.endpoint("i-2", "plain", LeavingSignal::default().script()).await;
    let mut boxes = Vec::new();
    for n in 0..4 {
        boxes.push(harness.gateway(&format!("box-{n}")).await);
    }
    for gateway in &boxes {
        wait_until("the boxes know each other", async || gateway.peer_count() == 3).await;
        wait_until_served(&harness, gateway, "/cancel/x").await;
    }
    harness.platform.set(|faults| faults.down = true);
    send_until_arrival(&harness, &boxes[0], &leaving).await;
    signal.set(true);
    send_until_arrival(&harness, &boxes[0], &leaving).await;
    let knows = |gateway: &Gateway| gateway.leaving() == 1;
    wait_until("all boxes know that it is leaving", async || boxes.iter().all(knows)).await;
    signal.set(false);
    for gateway in &boxes {
        assert_eq!(
            count_arrivals(&harness, gateway, &leaving).await,
            0,
            "a box that learned it from a peer"
        );
    }
    harness.platform.set(|faults| faults.down = false);
    let late = harness.gateway("box-late").await;
    wait_until_served(&harness, &late, "/cancel/x").await;
    wait_until("the late box knows that it is leaving", async || late.leaving() == 1).await;
    assert_eq!(
        count_arrivals(&harness, &late, &leaving).await,
        0,
        "a box that started after the signal"
    );
}

/// All endpoints of a service leave at once, while the store is down and their successors cannot be seen.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_endpoints_leave() {
    let harness = Harness::start(PAID, &["cancel", "confirm"]).await;
    let signal = LeavingSignal::default();
    let mut leaving = Vec::new();
    for id in ["i-1", "i-2"] {
        leaving.push(harness.endpoint(id, "plain", signal.script()).await);
    }
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    harness.platform.set(|faults| faults.down = true);
    signal.set(true);
    wait_until("all have signalled that they are leaving", async || {
        call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
        gateway.leaving() == 2
    })
    .await;
    tokio::time::sleep(MAX_SIGNAL_DELAY).await;
    let before: usize = leaving.iter().map(|endpoint| endpoint.arrived().len()).sum();
    for path in ["/cancel/x", "/confirm/x"] {
        let sent = Instant::now();
        let response = call(gateway.callers(), path, &harness.new_request("key-b", 1, 1)).await;
        assert!(sent.elapsed() < MAX_SIGNAL_DELAY / 2, "the refusal took {:?}", sent.elapsed());
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
        assert!(response.body.as_ref().is_ok_and(|body| body.contains("not_run")), "{response:?}");
        assert_eq!(response.headers["retry-after"], "1.000", "{response:?}");
    }
    let after: usize = leaving.iter().map(|endpoint| endpoint.arrived().len()).sum();
    assert_eq!(after, before, "no request reaches the endpoints");
    let _successor = harness.endpoint("i-3", "plain", LeavingSignal::default().script()).await;
    harness.platform.set(|faults| faults.down = false);
    wait_until_served(&harness, &gateway, "/cancel/x").await;
}

/// A box without store and peers goes on avoiding the endpoint, and so it does when an entry says ready again.
#[tokio::test]
async fn isolated_box_keeps_avoiding_a_leaving_endpoint() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let signal = LeavingSignal::default();
    let leaving = harness.endpoint("i-1", "plain", signal.script()).await;
    let _stays = harness.endpoint("i-2", "plain", LeavingSignal::default().script()).await;
    let (gateway, link) = harness.gateway_with_link("box-1").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    signal.set(true);
    send_until_arrival(&harness, &gateway, &leaving).await;
    link.set_cut(true);
    assert_eq!(count_arrivals(&harness, &gateway, &leaving).await, 0, "cut off from the store");
    harness.write_entry("i-1", "plain", leaving.address(), true).await;
    link.set_cut(false);
    harness.configure(2, PAID, &["cancel", "open"]).await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    assert_eq!(
        count_arrivals(&harness, &gateway, &leaving).await,
        0,
        "with an entry that says ready"
    );
}

/// A `misdirected_response` response comes from another endpoint at the same address, so its signals are ignored.
#[tokio::test]
async fn signals_of_misdirected_responses_are_ignored() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let misdirects = LeavingSignal::default();
    let shared_signal = misdirects.clone();
    let endpoint = harness.endpoint("i-1", "plain", move |arrived| {
        if !shared_signal.0.load(Ordering::Relaxed) {
            return answer_ok(arrived);
        }
        let (status, mut headers) = fixtures::misdirected_response(&arrived.head.id);
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("60"));
        Reply::Complete(status, with_leaving_header(headers), "not here".into())
    });
    let endpoint = endpoint.await;
    let _stays = harness.endpoint("i-2", "plain", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    misdirects.set(true);
    send_until_arrival(&harness, &gateway, &endpoint).await;
    misdirects.set(false);
    assert_eq!((gateway.leaving(), gateway.backing_off()), (0, 0));
    send_until_arrival(&harness, &gateway, &endpoint).await;
}
