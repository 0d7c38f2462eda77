//! Endpoints that reject requests with `retry-after`, which asks the box to back off.
//!
//! Guards against a box that goes on sending to such an endpoint: an endpoint that rejects quickly looks idle, and a
//! load-based choice would prefer it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use gateway::Gateway;
use http::{HeaderValue, StatusCode, header};
use parking_lot::Mutex;
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

use crate::harness::{Harness, answer_ok, call, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
/// Time after the rejection in which requests that were already sent may still arrive.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Requests that may reach an endpoint after that, within one back-off.
const MAX_LATE: usize = 2;

/// An endpoint that can be set to reject requests, and the times at which requests arrived.
#[derive(Clone, Default)]
struct Rejector(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Seconds for `retry-after`; `None` means that it serves requests.
    retry_after: Option<&'static str>,
    arrived: Vec<Instant>,
}

impl Rejector {
    fn set_retry_after(&self, seconds: Option<&'static str>) {
        self.0.lock().retry_after = seconds;
    }

    fn arrived(&self) -> Vec<Instant> {
        self.0.lock().arrived.clone()
    }

    fn script(&self) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
        let rejector = self.clone();
        move |arrived| {
            let mut state = rejector.0.lock();
            state.arrived.push(Instant::now());
            let Some(seconds) = state.retry_after else { return answer_ok(arrived) };
            let (status, mut headers) = fixtures::not_run_response(&arrived.head.id);
            headers.insert(header::RETRY_AFTER, HeaderValue::from_static(seconds));
            Reply::Complete(status, headers, "tired".into())
        }
    }
}

/// A gateway with two endpoints, one of which can be set to ask for back-off.
struct Pair {
    harness: Harness,
    gateway: Gateway,
    rejector: Rejector,
    _endpoints: [ScriptedEndpoint; 2],
}

impl Pair {
    async fn start() -> Pair {
        let harness = Harness::start(PAID, &["cancel"]).await;
        let rejector = Rejector::default();
        let _endpoints = [
            harness.endpoint("i-1", "plain", rejector.script()).await,
            harness.endpoint("i-2", "plain", answer_ok).await,
        ];
        let gateway = harness.gateway("box-1").await;
        wait_until_served(&harness, &gateway, "/cancel/x").await;
        Pair { harness, gateway, rejector, _endpoints }
    }
}

#[tokio::test]
async fn endpoint_gets_no_requests_during_back_off() {
    let Pair { harness, gateway, rejector, _endpoints } = Pair::start().await;
    rejector.set_retry_after(Some("3"));
    let send =
        async || call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
    let before = rejector.arrived().len();
    wait_until("a request is rejected", async || {
        send().await;
        rejector.arrived().len() > before
    })
    .await;
    let rejected_at = rejector.arrived()[before];
    let mut responses = Vec::new();
    while rejected_at.elapsed() < Duration::from_secs(3) {
        responses.push(send().await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let late = rejector.arrived().into_iter().filter(|at| *at > rejected_at + IN_FLIGHT).count();
    assert!(late <= MAX_LATE, "{late} requests arrived during the back-off");
    assert!(
        responses.iter().all(|response| response.status == StatusCode::OK),
        "the other endpoint serves them"
    );
}

/// A burst of requests arrives while all endpoints ask for back-off.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_endpoints_back_off() {
    let harness = Harness::start(PAID, &["cancel", "confirm"]).await;
    let rejectors = [Rejector::default(), Rejector::default()];
    let mut endpoints = Vec::new();
    for (id, rejector) in ["i-1", "i-2"].iter().zip(&rejectors) {
        endpoints.push(harness.endpoint(id, "plain", rejector.script()).await);
    }
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    rejectors.iter().for_each(|rejector| rejector.set_retry_after(Some("30")));
    let send =
        async |path| call(gateway.callers(), path, &harness.new_request("key-b", 1, 1)).await;
    wait_until("the box backs off from both", async || {
        send("/cancel/x").await;
        gateway.backing_off() == 2
    })
    .await;
    tokio::time::sleep(IN_FLIGHT).await;
    let arrived = || rejectors.iter().map(|rejector| rejector.arrived().len()).sum::<usize>();
    let before = arrived();
    for path in ["/cancel/x", "/confirm/x"] {
        let began = Instant::now();
        let burst = join_all((0..30).map(|_| send(path))).await;
        assert!(began.elapsed() < Duration::from_secs(5), "refusals took {:?}", began.elapsed());
        for response in burst {
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
            assert!(
                response.body.as_ref().is_ok_and(|body| body.contains("not_run")),
                "{response:?}"
            );
            let after: f64 =
                response.headers["retry-after"].to_str().expect("text").parse().expect("s");
            assert!(after > 20.0, "the caller is told to retry after the back-off: {response:?}");
        }
    }
    assert_eq!(arrived(), before, "no request reaches the endpoints");
    rejectors.iter().for_each(|rejector| rejector.set_retry_after(None));
    let successor = harness.endpoint("i-3", "plain", answer_ok).await;
    wait_until_served(&harness, &gateway, "/cancel/x").await;
    assert!(!successor.arrived().is_empty());
}

/// A back-off binds only the box whose request was rejected.
#[tokio::test]
async fn back_off_is_not_shared_with_other_boxes() {
    let harness = Harness::start(PAID, &["cancel"]).await;
    let rejector = Rejector::default();
    let _rejecting = harness.endpoint("i-1", "plain", rejector.script()).await;
    let _other = harness.endpoint("i-2", "plain", answer_ok).await;
    let (one, two) = (harness.gateway("box-1").await, harness.gateway("box-2").await);
    for gateway in [&one, &two] {
        wait_until("the boxes know each other", async || gateway.peer_count() == 1).await;
        wait_until_served(&harness, gateway, "/cancel/x").await;
    }
    rejector.set_retry_after(Some("60"));
    wait_until("box 1 is rejected", async || {
        call(one.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
        one.backing_off() == 1
    })
    .await;
    rejector.set_retry_after(None);
    let before = rejector.arrived().len();
    wait_until("box 2 is served by the same endpoint", async || {
        call(two.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
        rejector.arrived().len() > before
    })
    .await;
    assert_eq!((one.backing_off(), two.backing_off()), (1, 0));
}

/// Requests are in flight when the endpoint begins to reject them.
#[tokio::test]
async fn burst_is_not_resent_during_back_off() {
    let Pair { harness, gateway, rejector, _endpoints } = Pair::start().await;
    rejector.set_retry_after(Some("2"));
    let before = rejector.arrived().len();
    let burst = (0..200).map(|n| {
        let gateway = &gateway;
        let req = harness.new_request("key-b", 1, 1);
        async move {
            tokio::time::sleep(Duration::from_millis(n * 8)).await;
            call(gateway.callers(), "/cancel/x", &req).await
        }
    });
    join_all(burst).await;
    let arrived = rejector.arrived().split_off(before);
    let late = arrived.iter().filter(|at| **at > arrived[0] + IN_FLIGHT).count();
    assert!(late <= MAX_LATE, "{late} of {} arrived during the back-off", arrived.len());
}
