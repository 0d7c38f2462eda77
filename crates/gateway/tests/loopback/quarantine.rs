//! Requests under which endpoints end.
//!
//! Seen: one request ended 13 engines within 12 s, and another one 12; with each engine some ten streams of other
//! callers broke. How it came about: its callers sent it again, with another id and mostly to another box, and
//! each try went to an engine as if it were the first. Cause: nothing was remembered of a request beyond one
//! try of it, and the boxes told each other nothing of what became of it. Proved by this test, which needs only a
//! request that ends who runs it and callers that come again: without a quarantine all endpoints end.

use std::time::Duration;

use futures_util::future::join_all;
use http::StatusCode;
use platform::played;
use standin::{Arrived, Reply, Scripted};

use crate::harness::{Got, Harness, answers, finish, request, until, until_served};

const PAID: u64 = 1_000_000;
/// Boxes that know each other: two homes of news and their listeners.
const BOXES: usize = 4;
/// Endpoints; far more than a request may end.
const ENDPOINTS: usize = 9;
/// Body of the request under which endpoints end.
const GUILTY: &str = "guilty";
/// Endpoints that may end under one request: three, and as many more while the boxes tell each other.
const MOST_ENDED: usize = 6;

/// Time that a long answer takes, in 20 events: far longer than an endpoint needs to end under it.
const LONG: Duration = Duration::from_millis(400);

/// Ends under a guilty request, takes time for one that begins with `long`, breaks off one that begins with
/// `torn`, and answers all others at once.
fn crashes(arrived: &Arrived) -> Reply {
    let headers = played::answered(&arrived.told.id, None);
    match &*String::from_utf8_lossy(&arrived.body) {
        body if body.ends_with("unframed") => Reply::CrashUnframed(headers, LONG / 8),
        body if body.ends_with("slowly") => Reply::Crash(headers, LONG / 2),
        body if body.starts_with(GUILTY) => Reply::Crash(headers, Duration::from_millis(20)),
        body if body.starts_with("long") => {
            Reply::Events(headers, vec!["data: x\n\n".into(); 20], LONG / 20)
        }
        body if body.starts_with("torn") => Reply::Torn(headers, vec!["data: x\n\n".into()]),
        _ => answers(arrived),
    }
}

struct Fleet {
    harness: Harness,
    boxes: Vec<gateway::Gateway>,
    endpoints: Vec<Scripted>,
}

impl Fleet {
    async fn start(service: &str, routes: &[&str]) -> Fleet {
        let harness = Harness::open(PAID, routes).await;
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            endpoints.push(harness.endpoint(&format!("i-{n}"), service, crashes).await);
        }
        let mut boxes = Vec::new();
        for n in 0..BOXES {
            boxes.push(harness.gateway(&format!("box-{n}")).await);
        }
        for gateway in &boxes {
            until("it knows the others", async || gateway.peer_count() == BOXES - 1).await;
            until_served(&harness, gateway, &format!("/{}/x", routes[0])).await;
        }
        Fleet { harness, boxes, endpoints }
    }

    /// A caller's try of a request at a box.
    async fn send(&self, at: usize, path: &str, body: &str) -> Got {
        let asked = self.harness.asked("key-b", 1, 1);
        let address = self.boxes[at % BOXES].callers();
        finish(request(address, path, &asked).body(body.to_owned())).await
    }

    fn ended(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.has_crashed()).count()
    }

    /// Sends a guilty request, to a box after the other, until none of them runs it.
    async fn send_until_refused(&self, path: &str) {
        let mut refused = 0;
        until("all boxes refuse it", async || {
            for at in 0..BOXES {
                let got = self.send(at, path, GUILTY).await;
                refused = if is_quarantined(&got) { refused + 1 } else { 0 };
            }
            refused >= BOXES
        })
        .await;
    }
}

/// Whether a box says that the request did not run, will not, and when it might.
fn is_quarantined(got: &Got) -> bool {
    let says = got.body.as_ref().is_ok_and(|body| body.contains("quarantined"));
    let is_refused = got.status == StatusCode::SERVICE_UNAVAILABLE;
    says && is_refused && got.headers.contains_key("retry-after")
}

#[tokio::test]
async fn a_request_under_which_endpoints_end_reaches_few_of_them() {
    for (service, path) in
        [("plain", "/confirm/x"), ("plain", "/cancel/x"), ("engines", "/stream/x")]
    {
        let fleet = Fleet::start(service, &[path.split('/').nth(1).expect("a route")]).await;
        for n in 0..3 * ENDPOINTS {
            fleet.send(n, path, GUILTY).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let ended = fleet.ended();
        assert!(ended <= MOST_ENDED, "{path}: {ended} of {ENDPOINTS} endpoints ended");
        assert!(ended >= 3, "{path}: it ran {ended} times, and another endpoint may bear it");
        for n in 0..BOXES {
            let got = fleet.send(n, path, "innocent").await;
            assert_eq!(got.status, StatusCode::OK, "{path}: others are served");
        }
    }
}

/// The load: guilty requests end one endpoint after the other, and what runs beside them is sent again.
#[tokio::test]
async fn what_ran_beside_a_guilty_request_is_served_when_it_comes_again() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    let beside = (0..24).map(|n| {
        let (fleet, body) = (&fleet, format!("long {n}"));
        async move {
            let mut tries = 0;
            until("it is served", async || {
                tries += 1;
                let got = fleet.send(n + tries, "/stream/x", &body).await;
                assert!(!is_quarantined(&got), "innocent: {got:?}");
                got.status == StatusCode::OK && got.body.is_ok()
            })
            .await;
        }
    });
    let guilty = async {
        for n in 0..12 {
            fleet.send(n, "/stream/x", GUILTY).await;
            tokio::time::sleep(LONG / 4).await;
        }
    };
    tokio::join!(join_all(beside), guilty);
    assert!((3..=MOST_ENDED).contains(&fleet.ended()), "{} ended", fleet.ended());
}

/// The load: endpoints end for reasons of their own while the same request is asked for all the time.
#[tokio::test]
async fn a_request_that_is_answered_in_between_stays_free_however_many_endpoints_end() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    for n in 0..ENDPOINTS - 2 {
        let polls = (0..2 * ENDPOINTS).map(|at| fleet.send(at, "/stream/x", "long poll"));
        let end = async {
            tokio::time::sleep(LONG / 4).await;
            // A try that meets only endpoints that have ended is refused.
            until("one more ends", async || {
                fleet.send(n, "/stream/x", &format!("{GUILTY} once: {n}")).await;
                fleet.ended() > n
            })
            .await;
        };
        tokio::join!(join_all(polls), end);
    }
    assert_eq!(fleet.ended(), ENDPOINTS - 2, "each of them once");
    until("all boxes serve it", async || {
        let polls = (0..BOXES).map(|at| fleet.send(at, "/stream/x", "long poll"));
        join_all(polls).await.iter().all(|got| got.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test]
async fn answers_that_break_off_at_endpoints_that_stand_are_held_against_nobody() {
    let fleet = Fleet::start("plain", &["cancel"]).await;
    for n in 0..3 * ENDPOINTS {
        let got = fleet.send(n, "/cancel/x", "torn").await;
        assert!(!is_quarantined(&got), "{got:?}");
    }
    assert_eq!(fleet.ended(), 0);
}

#[tokio::test]
async fn a_quarantine_outlives_all_boxes() {
    let mut fleet = Fleet::start("plain", &["confirm"]).await;
    fleet.send_until_refused("/confirm/x").await;
    let ended = fleet.ended();
    fleet.boxes.clear();
    for n in 0..BOXES {
        fleet.boxes.push(fleet.harness.gateway(&format!("box-{n}")).await);
    }
    for (at, gateway) in fleet.boxes.iter().enumerate() {
        until_served(&fleet.harness, gateway, "/confirm/x").await;
        assert!(is_quarantined(&fleet.send(at, "/confirm/x", GUILTY).await), "box {at}");
    }
    assert_eq!(fleet.ended(), ended, "nothing ends any more");
}

/// The load: the store is away when endpoints end. Boxes hear of it through homes, and the store later.
#[tokio::test]
async fn boxes_tell_each_other_while_the_store_is_away() {
    let fleet = Fleet::start("plain", &["confirm"]).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    fleet.send_until_refused("/confirm/x").await;
    assert!(fleet.ended() <= MOST_ENDED, "{} ended", fleet.ended());
    fleet.harness.platform.set(|faults| faults.down = false);
    until("the reports are in the store", async || {
        fleet.harness.count(quarantine::CRASHES).await >= 3
    })
    .await;
}

/// The load: a box that no other box reaches, and that reaches the store.
#[tokio::test]
async fn a_box_alone_hears_of_it_from_the_store() {
    let fleet = Fleet::start("plain", &["confirm"]).await;
    let alone = fleet.harness.gateway_alone("box-alone").await;
    until_served(&fleet.harness, &alone, "/confirm/x").await;
    fleet.send_until_refused("/confirm/x").await;
    let ended = fleet.ended();
    let asked = fleet.harness.asked("key-b", 1, 1);
    let sent = request(alone.callers(), "/confirm/x", &asked).body(GUILTY);
    assert!(is_quarantined(&finish(sent).await));
    assert_eq!(fleet.ended(), ended);
}

/// The load: callers leave before the endpoint ends under what they asked for. Their box sees no connection
/// break; others do, at requests that ran beside it.
#[tokio::test]
async fn a_request_that_its_caller_left_counts_as_being_there() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    for n in 0..2 * ENDPOINTS {
        let beside = (0..2 * ENDPOINTS).map(|at| fleet.send(at, "/stream/x", "long beside"));
        let asked = fleet.harness.asked("key-b", 1, 1);
        let slow = request(fleet.boxes[n % BOXES].callers(), "/stream/x", &asked)
            .body(format!("{GUILTY} slowly"))
            .timeout(LONG / 8);
        let left = async {
            tokio::time::sleep(LONG / 8).await;
            if let Ok(answer) = slow.send().await {
                drop(answer.bytes().await);
            }
        };
        tokio::join!(join_all(beside), left);
    }
    assert!((3..=MOST_ENDED).contains(&fleet.ended()), "{} ended", fleet.ended());
}

/// The load: answers that end with their connections look whole when the endpoint ends. They clear nothing.
#[tokio::test]
async fn an_answer_that_ends_with_its_connection_speaks_for_nobody() {
    let fleet = Fleet::start("engines", &["stream"]).await;
    for n in 0..2 * ENDPOINTS {
        let beside = (0..2 * ENDPOINTS).map(|at| fleet.send(at, "/stream/x", "long beside"));
        let guilty = async {
            tokio::time::sleep(LONG / 8).await;
            fleet.send(n, "/stream/x", &format!("{GUILTY} unframed")).await
        };
        tokio::join!(join_all(beside), guilty);
    }
    assert!((3..=MOST_ENDED).contains(&fleet.ended()), "{} ended", fleet.ended());
    for at in 0..BOXES {
        let got = fleet.send(at, "/stream/x", &format!("{GUILTY} unframed")).await;
        assert!(is_quarantined(&got), "box {at}: {got:?}");
    }
}
