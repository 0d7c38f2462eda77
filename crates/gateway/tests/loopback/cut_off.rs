//! A box that is cut off from all endpoints, while callers, the store and other boxes reach it.

use std::time::Duration;

use futures_util::future::join_all;
use gateway::Gateway;
use http::StatusCode;
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};
use tokio::task::JoinHandle;

use crate::{
    endpoint_cut::{Cut, EndpointCut},
    harness::{
        Harness, Response, answer_ok, call, charged_tokens, request, send, wait_until,
        wait_until_served, wait_until_within,
    },
};

const PAID: u64 = 1_000_000;
/// Number of boxes, the one that is cut off among them.
const BOXES: usize = 3;
/// Endpoints of each service.
const ENDPOINTS: usize = 3;
/// Time that a box has to adapt to a cut, as the users' rule allows.
const TIME_TO_ADAPT: Duration = Duration::from_secs(3);
/// Pause between two requests while the box adapts.
const PAUSE: Duration = Duration::from_millis(100);
/// One of each kind of route: streamed, safe and unrepeatable.
const PATHS: [&str; 3] = ["/stream/x", "/cancel/x", "/confirm/x"];
/// First tries of each route during a cut.
const TRIES: usize = 20;
/// Tokens charged for each request: its prompt, as the endpoints send no events.
const TOKENS: u64 = 1;

/// Connections to endpoints that are kept when a cut begins.
const KEPT: usize = 24;
/// Requests while a box has to notice that its kept connections are silent.
const TRIES_TO_NOTICE: usize = KEPT / 2;

/// Pause between the events of a long answer.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Events of a long answer.
const EVENTS: usize = 30;
/// Time in which a box probes an endpoint whose connections broke, and reports a crash.
const TIME_TO_REPORT: Duration = Duration::from_millis(1_000);

/// Script of the endpoints: bodies that start with `long` get a slow stream, others are answered at once.
fn respond(arrived: &ReceivedRequest) -> Reply {
    let headers = fixtures::response_headers(&arrived.head.id, None);
    match &arrived.body[..] {
        body if body.starts_with(b"long") => {
            Reply::Events(headers, vec!["data: x\n\n".into(); EVENTS], EVENT_PAUSE)
        }
        b"unanswered" => Reply::Silent,
        _ => answer_ok(arrived),
    }
}

struct Fleet {
    harness: Harness,
    /// The box that can be cut off.
    cut_box: Gateway,
    cut: EndpointCut,
    others: Vec<Gateway>,
    endpoints: Vec<ScriptedEndpoint>,
}

impl Fleet {
    async fn start() -> Fleet {
        let harness = Harness::start(PAID, &["stream", "cancel", "confirm"]).await;
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            for service in ["plain", "engines"] {
                let id = format!("{service}-{n}");
                endpoints.push(harness.endpoint(&id, service, respond).await);
            }
        }
        let (cut_box, cut) = harness.gateway_with_endpoint_cut("cut").await;
        let mut others = Vec::new();
        for n in 1..BOXES {
            others.push(harness.gateway(&format!("box-{n}")).await);
        }
        for gateway in others.iter().chain([&cut_box]) {
            wait_until("the boxes know each other", async || gateway.peer_count() == BOXES - 1)
                .await;
            for path in PATHS {
                wait_until_served(&harness, gateway, path).await;
            }
        }
        Fleet { harness, cut_box, cut, others, endpoints }
    }

    /// Sends a request to the box that is cut off, once.
    async fn is_served(&self, path: &str) -> bool {
        let request = self.harness.new_request("key-b", TOKENS, 1);
        call(self.cut_box.callers(), path, &request).await.status == StatusCode::OK
    }

    /// Sends requests for as long as a box has to adapt.
    async fn adapt(&self) {
        let until = tokio::time::Instant::now() + TIME_TO_ADAPT;
        while tokio::time::Instant::now() < until {
            join_all(PATHS.map(|path| self.is_served(path))).await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Number of first tries that are served, of [`TRIES`] at each route.
    async fn served(&self) -> usize {
        let mut served = 0;
        for _ in 0..TRIES {
            let answers = join_all(PATHS.map(|path| self.is_served(path))).await;
            served += answers.into_iter().filter(|is_served| *is_served).count();
        }
        served
    }

    /// Cuts the box off, and waits until it serves all routes through other boxes.
    async fn cut_off(&self) {
        self.cut.begin(Cut::Reset);
        for path in PATHS {
            wait_until_served(&self.harness, &self.cut_box, path).await;
        }
    }

    /// Sends a request with this body to the box that is cut off, and waits until it runs.
    async fn start_request(&self, path: &str, body: String) -> JoinHandle<Response> {
        let arrived = self.arrived();
        let head = self.harness.new_request("key-b", TOKENS, 1_000);
        let sent = request(self.cut_box.callers(), path, &head).body(body);
        let response = tokio::spawn(send(sent));
        wait_until("the request runs", async || self.arrived() > arrived).await;
        response
    }

    /// Number of requests that reached endpoints.
    fn arrived(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.arrived().len()).sum()
    }
}

/// Guards against a box that knows no way to endpoints but its own link: cut off from all of them, it refused every
/// request, while other boxes reached the same endpoints.
async fn callers_are_served(cut: Cut) {
    let fleet = Fleet::start().await;
    fleet.cut.begin(cut);
    fleet.adapt().await;
    let arrived = fleet.arrived();
    let charged = charged_tokens(&fleet.cut_box);
    assert_eq!(fleet.served().await, TRIES * PATHS.len(), "first tries served in a cut: {cut:?}");
    assert_eq!(fleet.arrived() - arrived, TRIES * PATHS.len(), "each request ran once");
    // The box that took the request from the caller pays for it, and no other one does.
    let expected = TOKENS * TRIES as u64 * PATHS.len() as u64;
    wait_until("each request is charged", async || {
        charged_tokens(&fleet.cut_box) - charged >= expected
    })
    .await;
    assert_eq!(charged_tokens(&fleet.cut_box) - charged, expected, "charged once");
    fleet.cut.end();
    fleet.adapt().await;
    assert_eq!(fleet.served().await, TRIES * PATHS.len(), "first tries served after the cut");
    drop(fleet.others);
}

#[tokio::test]
async fn callers_of_a_box_cut_off_by_resets_are_served() {
    callers_are_served(Cut::Reset).await;
}

#[tokio::test]
async fn callers_of_a_box_whose_new_connections_are_refused_are_served() {
    callers_are_served(Cut::Refuse).await;
}

#[tokio::test]
async fn callers_of_a_box_cut_off_in_silence_are_served() {
    callers_are_served(Cut::Silent).await;
}

/// Guards against a box that notices a silent cut by new connections only: each kept one cost the request that was sent on
/// it, and callers left before the last one was used up.
#[tokio::test]
async fn kept_connections_that_fall_silent_are_noticed() {
    let fleet = Fleet::start().await;
    let long = (0..KEPT).map(|n| {
        let head = fleet.harness.new_request("key-b", TOKENS, EVENTS as u64);
        send(request(fleet.cut_box.callers(), "/stream/x", &head).body(format!("long {n}")))
    });
    let kept = join_all(long).await;
    assert!(kept.iter().all(|response| response.status == StatusCode::OK), "{kept:?}");
    fleet.cut.begin(Cut::Silent);
    let mut tries = Vec::new();
    for _ in 0..KEPT {
        tokio::time::sleep(PAUSE).await;
        let request = fleet.harness.new_request("key-b", TOKENS, 1);
        let callers = fleet.cut_box.callers();
        tries.push(tokio::spawn(async move { call(callers, "/stream/x", &request).await.status }));
    }
    let later = join_all(tries.split_off(TRIES_TO_NOTICE)).await;
    let served = later.iter().filter(|status| matches!(status, Ok(StatusCode::OK))).count();
    assert_eq!(served, KEPT - TRIES_TO_NOTICE, "first tries served once the silence is noticed");
}

/// Guards against a box that takes the loss of its own links for crashes of endpoints: it reported the requests in flight
/// as if they had crashed all endpoints, and three such reports refuse a request everywhere.
#[tokio::test]
async fn a_box_that_is_cut_off_reports_no_crashes() {
    let fleet = Fleet::start().await;
    let mut requests = Vec::new();
    for n in 0..ENDPOINTS {
        requests.push(fleet.start_request("/stream/x", format!("long {n}")).await);
    }
    tokio::time::sleep(EVENT_PAUSE).await;
    fleet.cut.begin(Cut::Reset);
    join_all(requests).await;
    tokio::time::sleep(TIME_TO_REPORT).await;
    assert_eq!(fleet.harness.count("crashes").await, 0, "reports of crashes in the store");
}

/// Guards against a box between that holds a request of a caller who has left: the engine would go on for nobody.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request_behind_another_box() {
    let fleet = Fleet::start().await;
    fleet.cut_off().await;
    let request = fleet.start_request("/stream/x", "long".into()).await;
    let closed = |fleet: &Fleet| fleet.endpoints.iter().map(|e| e.closed()).sum::<usize>();
    let before = closed(&fleet);
    request.abort();
    let is_cancelled = async || closed(&fleet) > before;
    wait_until_within(EVENT_PAUSE * EVENTS as u32 / 2, "the endpoint is told", is_cancelled).await;
}

/// Guards against a planned stop that cuts off what the box carries for another one.
#[tokio::test]
async fn a_planned_stop_waits_for_connections_carried_for_other_boxes() {
    let mut fleet = Fleet::start().await;
    fleet.cut_off().await;
    let mut requests = Vec::new();
    for n in 0..2 * ENDPOINTS {
        requests.push(fleet.start_request("/stream/x", format!("long {n}")).await);
    }
    let first = fleet.others.remove(0);
    let stops = tokio::spawn(first.stop());
    for request in requests {
        let response = request.await.expect("the task ends");
        assert_eq!(response.body.expect("a whole answer").matches("data").count(), EVENTS);
    }
    assert_eq!(fleet.served().await, TRIES * PATHS.len(), "first tries served during the stop");
    stops.await.expect("the box stops");
}

/// Guards against a box that calls a request "not run" although it was lost with the box that carried it.
#[tokio::test]
async fn a_request_lost_with_the_box_between_may_have_run() {
    let mut fleet = Fleet::start().await;
    fleet.cut_off().await;
    let arrived = fleet.arrived();
    let request = fleet.start_request("/confirm/x", "unanswered".into()).await;
    fleet.others.clear();
    let response = request.await.expect("the task ends");
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(fleet.arrived(), arrived + 1, "not sent a second time");
}
