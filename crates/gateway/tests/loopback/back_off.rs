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

use crate::harness::{Harness, answers, call, until, until_served};

const PAID: u64 = 1_000_000;
/// Time after the rejection in which requests that were already sent may still arrive.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Requests that may reach an endpoint after that, within one back-off.
const MOST: usize = 2;

/// An endpoint that can be set to reject requests, and the times at which requests arrived.
#[derive(Clone, Default)]
struct Tired(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    /// Seconds for `retry-after`; `None` means that it serves requests.
    asks: Option<&'static str>,
    arrived: Vec<Instant>,
}

impl Tired {
    fn asks(&self, seconds: Option<&'static str>) {
        self.0.lock().asks = seconds;
    }

    fn arrived(&self) -> Vec<Instant> {
        self.0.lock().arrived.clone()
    }

    fn script(&self) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
        let tired = self.clone();
        move |arrived| {
            let mut state = tired.0.lock();
            state.arrived.push(Instant::now());
            let Some(seconds) = state.asks else { return answers(arrived) };
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
    tired: Tired,
    _endpoints: [ScriptedEndpoint; 2],
}

impl Pair {
    async fn open() -> Pair {
        let harness = Harness::open(PAID, &["cancel"]).await;
        let tired = Tired::default();
        let _endpoints = [
            harness.endpoint("i-1", "plain", tired.script()).await,
            harness.endpoint("i-2", "plain", answers).await,
        ];
        let gateway = harness.gateway("box-1").await;
        until_served(&harness, &gateway, "/cancel/x").await;
        Pair { harness, gateway, tired, _endpoints }
    }
}

#[tokio::test]
async fn endpoint_gets_no_requests_during_back_off() {
    let Pair { harness, gateway, tired, _endpoints } = Pair::open().await;
    tired.asks(Some("3"));
    let send = async || call(gateway.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
    let before = tired.arrived().len();
    until("a request is rejected", async || {
        send().await;
        tired.arrived().len() > before
    })
    .await;
    let asked = tired.arrived()[before];
    let mut got = Vec::new();
    while asked.elapsed() < Duration::from_secs(3) {
        got.push(send().await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let late = tired.arrived().into_iter().filter(|at| *at > asked + ON_ITS_WAY).count();
    assert!(late <= MOST, "{late} requests arrived during the back-off");
    assert!(got.iter().all(|got| got.status == StatusCode::OK), "the other endpoint serves them");
}

/// A burst of requests arrives while all endpoints ask for back-off.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_endpoints_back_off() {
    let harness = Harness::open(PAID, &["cancel", "confirm"]).await;
    let tired = [Tired::default(), Tired::default()];
    let mut endpoints = Vec::new();
    for (id, tired) in ["i-1", "i-2"].iter().zip(&tired) {
        endpoints.push(harness.endpoint(id, "plain", tired.script()).await);
    }
    let gateway = harness.gateway("box-1").await;
    until_served(&harness, &gateway, "/cancel/x").await;
    tired.iter().for_each(|tired| tired.asks(Some("30")));
    let send = async |path| call(gateway.callers(), path, &harness.asked("key-b", 1, 1)).await;
    until("the box backs off from both", async || {
        send("/cancel/x").await;
        gateway.backing_off() == 2
    })
    .await;
    tokio::time::sleep(ON_ITS_WAY).await;
    let arrived = || tired.iter().map(|tired| tired.arrived().len()).sum::<usize>();
    let before = arrived();
    for path in ["/cancel/x", "/confirm/x"] {
        let began = Instant::now();
        let burst = join_all((0..30).map(|_| send(path))).await;
        assert!(began.elapsed() < Duration::from_secs(5), "refusals took {:?}", began.elapsed());
        for got in burst {
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
            assert!(got.body.as_ref().is_ok_and(|body| body.contains("not_run")), "{got:?}");
            let after: f64 = got.headers["retry-after"].to_str().expect("text").parse().expect("s");
            assert!(after > 20.0, "the caller is told to retry after the back-off: {got:?}");
        }
    }
    assert_eq!(arrived(), before, "no request reaches the endpoints");
    tired.iter().for_each(|tired| tired.asks(None));
    let successor = harness.endpoint("i-3", "plain", answers).await;
    until_served(&harness, &gateway, "/cancel/x").await;
    assert!(!successor.arrived().is_empty());
}

/// A back-off binds only the box whose request was rejected.
#[tokio::test]
async fn back_off_is_not_shared_with_other_boxes() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let tired = Tired::default();
    let _tired = harness.endpoint("i-1", "plain", tired.script()).await;
    let _stands = harness.endpoint("i-2", "plain", answers).await;
    let (one, two) = (harness.gateway("box-1").await, harness.gateway("box-2").await);
    for gateway in [&one, &two] {
        until("the boxes know each other", async || gateway.peer_count() == 1).await;
        until_served(&harness, gateway, "/cancel/x").await;
    }
    tired.asks(Some("60"));
    until("box 1 is rejected", async || {
        call(one.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
        one.backing_off() == 1
    })
    .await;
    tired.asks(None);
    let before = tired.arrived().len();
    until("box 2 is served by the same endpoint", async || {
        call(two.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
        tired.arrived().len() > before
    })
    .await;
    assert_eq!((one.backing_off(), two.backing_off()), (1, 0));
}

/// Requests are in flight when the endpoint begins to reject them.
#[tokio::test]
async fn burst_is_not_resent_during_back_off() {
    let Pair { harness, gateway, tired, _endpoints } = Pair::open().await;
    tired.asks(Some("2"));
    let before = tired.arrived().len();
    let burst = (0..200).map(|n| {
        let gateway = &gateway;
        let asked = harness.asked("key-b", 1, 1);
        async move {
            tokio::time::sleep(Duration::from_millis(n * 8)).await;
            call(gateway.callers(), "/cancel/x", &asked).await
        }
    });
    join_all(burst).await;
    let arrived = tired.arrived().split_off(before);
    let late = arrived.iter().filter(|at| **at > arrived[0] + ON_ITS_WAY).count();
    assert!(late <= MOST, "{late} of {} arrived during the back-off", arrived.len());
}
