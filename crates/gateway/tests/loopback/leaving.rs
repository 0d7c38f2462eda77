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

use crate::harness::{Harness, answers, call, request, until, until_served};

const PAID: u64 = 1_000_000;
/// Longest time after the signal in which a box may still send requests to the endpoint.
const BOUND: Duration = Duration::from_millis(2_000);
/// Requests sent to show that an endpoint receives none.
const MANY: usize = 24;
/// Time after which a stream has begun but not ended.
const STREAMING: Duration = Duration::from_millis(200);

/// Adds the signal that the endpoint is leaving.
fn leaves(mut headers: HeaderMap) -> HeaderMap {
    headers.insert(fixtures::LEAVING, HeaderValue::from_static("1"));
    headers
}

/// Switch for the leaving signal of an endpoint.
#[derive(Clone, Default)]
struct Word(Arc<AtomicBool>);

impl Word {
    fn says(&self, leaves: bool) {
        self.0.store(leaves, Ordering::Relaxed);
    }

    /// Answers successfully, with the signal if it is switched on.
    fn script(&self) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
        let word = self.clone();
        move |arrived| {
            let headers = fixtures::response_headers(&arrived.head.id, None);
            let says = word.0.load(Ordering::Relaxed);
            let headers = if says { leaves(headers) } else { headers };
            Reply::Complete(StatusCode::OK, headers, "done".into())
        }
    }
}

/// Sends requests until one reaches the endpoint.
async fn reach(harness: &Harness, gateway: &Gateway, endpoint: &ScriptedEndpoint) {
    let before = endpoint.arrived().len();
    until("a request reaches the endpoint", async || {
        call(gateway.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
        endpoint.arrived().len() > before
    })
    .await;
}

/// Sends [`MANY`] requests and returns how many reach the endpoint.
async fn arrive(harness: &Harness, gateway: &Gateway, endpoint: &ScriptedEndpoint) -> usize {
    let before = endpoint.arrived().len();
    for _ in 0..MANY {
        call(gateway.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
    }
    endpoint.arrived().len() - before
}

#[tokio::test]
async fn leaving_signal_overrides_a_ready_entry() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let word = Word::default();
    let leaving = harness.endpoint("i-1", "plain", word.script()).await;
    let _stays = harness.endpoint("i-2", "plain", Word::default().script()).await;
    let gateway = harness.gateway("box-1").await;
    until_served(&harness, &gateway, "/cancel/x").await;
    reach(&harness, &gateway, &leaving).await;
    harness.platform.set(|faults| faults.down = true);
    word.says(true);
    reach(&harness, &gateway, &leaving).await;
    tokio::time::sleep(BOUND).await;
    assert_eq!(arrive(&harness, &gateway, &leaving).await, 0, "while the store is down");
}

/// Boxes read the signal of every response: of a rejection, and of a stream as soon as its head arrives.
#[tokio::test]
async fn signal_is_read_from_rejections_and_stream_heads() {
    let harness = Harness::open(PAID, &["cancel", "stream"]).await;
    let declines = harness.endpoint("i-1", "plain", |arrived| {
        let (status, headers) = fixtures::not_run_response(&arrived.head.id);
        Reply::Complete(status, leaves(headers), "full".into())
    });
    let declines = declines.await;
    let streams = harness.endpoint("i-2", "engines", |arrived| {
        let headers = leaves(fixtures::response_headers(&arrived.head.id, None));
        Reply::Events(headers, vec!["data: 1\n\n".into(); 20], Duration::from_millis(100))
    });
    let streams = streams.await;
    let _plain = harness.endpoint("i-3", "plain", answers).await;
    let _engine = harness.endpoint("i-4", "engines", answers).await;
    let gateway = harness.gateway("box-1").await;
    for (path, endpoint) in [("/cancel/x", &declines), ("/stream/x", &streams)] {
        until_served(&harness, &gateway, path).await;
        let asked = || harness.asked("key-b", 1, 1);
        until("a request reaches the endpoint", async || {
            tokio::spawn(request(gateway.callers(), path, &asked()).body("a body").send());
            !endpoint.arrived().is_empty()
        })
        .await;
        tokio::time::sleep(STREAMING).await;
        let before = endpoint.arrived().len();
        for _ in 0..MANY {
            call(gateway.callers(), path, &asked()).await;
        }
        assert_eq!(endpoint.arrived().len(), before, "{path}");
    }
}

/// The signal reaches one box while the store is down; it must spread to running boxes and to one that starts later.
#[tokio::test]
async fn signal_spreads_to_running_and_new_boxes() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let word = Word::default();
    let leaving = harness.endpoint("i-1", "plain", word.script()).await;
    let _stays = harness.endpoint("i-2", "plain", Word::default().script()).await;
    let mut boxes = Vec::new();
    for n in 0..4 {
        boxes.push(harness.gateway(&format!("box-{n}")).await);
    }
    for gateway in &boxes {
        until("the boxes know each other", async || gateway.peer_count() == 3).await;
        until_served(&harness, gateway, "/cancel/x").await;
    }
    harness.platform.set(|faults| faults.down = true);
    reach(&harness, &boxes[0], &leaving).await;
    word.says(true);
    reach(&harness, &boxes[0], &leaving).await;
    let knows = |gateway: &Gateway| gateway.leaving() == 1;
    until("all boxes know that it is leaving", async || boxes.iter().all(knows)).await;
    word.says(false);
    for gateway in &boxes {
        assert_eq!(
            arrive(&harness, gateway, &leaving).await,
            0,
            "a box that learned it from a peer"
        );
    }
    harness.platform.set(|faults| faults.down = false);
    let late = harness.gateway("box-late").await;
    until_served(&harness, &late, "/cancel/x").await;
    until("the late box knows that it is leaving", async || late.leaving() == 1).await;
    assert_eq!(arrive(&harness, &late, &leaving).await, 0, "a box that started after the signal");
}

/// All endpoints of a service leave at once, while the store is down and their successors cannot be seen.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_endpoints_leave() {
    let harness = Harness::open(PAID, &["cancel", "confirm"]).await;
    let word = Word::default();
    let mut leaving = Vec::new();
    for id in ["i-1", "i-2"] {
        leaving.push(harness.endpoint(id, "plain", word.script()).await);
    }
    let gateway = harness.gateway("box-1").await;
    until_served(&harness, &gateway, "/cancel/x").await;
    harness.platform.set(|faults| faults.down = true);
    word.says(true);
    until("all have signalled that they are leaving", async || {
        call(gateway.callers(), "/cancel/x", &harness.asked("key-b", 1, 1)).await;
        gateway.leaving() == 2
    })
    .await;
    tokio::time::sleep(BOUND).await;
    let before: usize = leaving.iter().map(|endpoint| endpoint.arrived().len()).sum();
    for path in ["/cancel/x", "/confirm/x"] {
        let sent = Instant::now();
        let got = call(gateway.callers(), path, &harness.asked("key-b", 1, 1)).await;
        assert!(sent.elapsed() < BOUND / 2, "the refusal took {:?}", sent.elapsed());
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
        assert!(got.body.as_ref().is_ok_and(|body| body.contains("not_run")), "{got:?}");
        assert_eq!(got.headers["retry-after"], "1.000", "{got:?}");
    }
    let after: usize = leaving.iter().map(|endpoint| endpoint.arrived().len()).sum();
    assert_eq!(after, before, "no request reaches the endpoints");
    let _successor = harness.endpoint("i-3", "plain", Word::default().script()).await;
    harness.platform.set(|faults| faults.down = false);
    until_served(&harness, &gateway, "/cancel/x").await;
}

/// A box without store and peers goes on avoiding the endpoint, and so it does when an entry says ready again.
#[tokio::test]
async fn isolated_box_keeps_avoiding_a_leaving_endpoint() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let word = Word::default();
    let leaving = harness.endpoint("i-1", "plain", word.script()).await;
    let _stays = harness.endpoint("i-2", "plain", Word::default().script()).await;
    let (gateway, link) = harness.cut_gateway("box-1").await;
    until_served(&harness, &gateway, "/cancel/x").await;
    word.says(true);
    reach(&harness, &gateway, &leaving).await;
    link.set_cut(true);
    assert_eq!(arrive(&harness, &gateway, &leaving).await, 0, "cut off from the store");
    harness.list("i-1", "plain", leaving.address(), true).await;
    link.set_cut(false);
    harness.configure(2, PAID, &["cancel", "open"]).await;
    until_served(&harness, &gateway, "/open/x").await;
    assert_eq!(arrive(&harness, &gateway, &leaving).await, 0, "with an entry that says ready");
}

/// A `misdirected_response` response comes from another endpoint at the same address, so its signals are ignored.
#[tokio::test]
async fn signals_of_misdirected_responses_are_ignored() {
    let harness = Harness::open(PAID, &["cancel"]).await;
    let other = Word::default();
    let says = other.clone();
    let meant = harness.endpoint("i-1", "plain", move |arrived| {
        if !says.0.load(Ordering::Relaxed) {
            return answers(arrived);
        }
        let (status, mut headers) = fixtures::misdirected_response(&arrived.head.id);
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("60"));
        Reply::Complete(status, leaves(headers), "not here".into())
    });
    let meant = meant.await;
    let _stays = harness.endpoint("i-2", "plain", answers).await;
    let gateway = harness.gateway("box-1").await;
    until_served(&harness, &gateway, "/cancel/x").await;
    other.says(true);
    reach(&harness, &gateway, &meant).await;
    other.says(false);
    assert_eq!((gateway.leaving(), gateway.backing_off()), (0, 0));
    reach(&harness, &gateway, &meant).await;
}
