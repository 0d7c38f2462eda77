//! A box that is cut off from all endpoints, while callers, the store and other boxes reach it.

use std::time::Duration;

use futures_util::future::join_all;
use gateway::Gateway;
use http::StatusCode;
use platform::fixtures;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

use crate::{
    endpoint_cut::{Cut, EndpointCut},
    harness::{
        Harness, answer_ok, call, charged_tokens, request, send, wait_until, wait_until_served,
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

/// Pause between the events of a long answer.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Events of a long answer.
const EVENTS: usize = 30;
/// Time in which a box probes an endpoint whose connections broke, and reports a crash.
const TIME_TO_REPORT: Duration = Duration::from_millis(1_000);

/// Script of the endpoints: bodies that start with `long` get a slow stream, others are answered at once.
fn respond(arrived: &ReceivedRequest) -> Reply {
    let headers = fixtures::response_headers(&arrived.head.id, None);
    match arrived.body.starts_with(b"long") {
        true => Reply::Events(headers, vec!["data: x\n\n".into(); EVENTS], EVENT_PAUSE),
        false => answer_ok(arrived),
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

/// Guards against a box that takes the loss of its own links for crashes of endpoints: it reported the requests in flight
/// as if they had crashed all endpoints, and three such reports refuse a request everywhere.
#[tokio::test]
async fn a_box_that_is_cut_off_reports_no_crashes() {
    let fleet = Fleet::start().await;
    let arrived = fleet.arrived();
    let requests = (0..ENDPOINTS).map(|n| {
        let head = fleet.harness.new_request("key-b", TOKENS, 1_000);
        let body = format!("long {n}");
        tokio::spawn(send(request(fleet.cut_box.callers(), "/stream/x", &head).body(body)))
    });
    let requests: Vec<_> = requests.collect();
    wait_until("the requests run", async || fleet.arrived() == arrived + ENDPOINTS).await;
    tokio::time::sleep(EVENT_PAUSE).await;
    fleet.cut.begin(Cut::Reset);
    join_all(requests).await;
    tokio::time::sleep(TIME_TO_REPORT).await;
    assert_eq!(fleet.harness.count("crashes").await, 0, "reports of crashes in the store");
}
