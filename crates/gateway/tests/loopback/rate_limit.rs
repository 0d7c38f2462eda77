//! Endpoints that signal a rate limit, which all boxes together must keep.
//!
//! Guards against boxes that each send up to the limit, so that the total grows with the number of boxes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use gateway::Gateway;
use http::{HeaderValue, StatusCode};
use parking_lot::Mutex;
use platform::fixtures::{self, CallerHead, Registration, registration};
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

use crate::harness::{Harness, Response, call, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
/// Enough boxes that one request per second from each would exceed any limit here.
const BOXES: usize = 12;
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which arrivals are counted.
const LOAD_TIME: Duration = Duration::from_millis(2_500);
/// Requests that the platform tolerates on top of the rate times [`TOLERATED_FACTOR`].
const TOLERATED_EXTRA: f64 = 5.0;
const TOLERATED_FACTOR: f64 = 1.5;

/// Rate limit that an endpoint states in its responses.
#[derive(Clone, Default)]
struct StatedLimit(Arc<Mutex<Option<&'static str>>>);

impl StatedLimit {
    fn set(&self, limit: Option<&'static str>) {
        *self.0.lock() = limit;
    }

    /// Answers successfully, with the limit if there is one.
    fn script(&self) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
        let stated_limit = self.clone();
        move |arrived| {
            let mut headers = fixtures::response_headers(&arrived.head.id, None);
            if let Some(limit) = *stated_limit.0.lock() {
                headers.insert(fixtures::LIMIT, HeaderValue::from_static(limit));
            }
            Reply::Complete(StatusCode::OK, headers, "done".into())
        }
    }
}

/// Gateways with endpoints of one service, each of which may state a limit.
struct Fleet {
    harness: Harness,
    boxes: Vec<Gateway>,
    stated_limits: Vec<StatedLimit>,
    endpoints: Vec<ScriptedEndpoint>,
}

impl Fleet {
    async fn start(boxes: usize, endpoints: usize) -> Fleet {
        let harness = Harness::start(PAID, &["cancel", "confirm"]).await;
        let mut fleet =
            Fleet { harness, boxes: Vec::new(), stated_limits: Vec::new(), endpoints: Vec::new() };
        for n in 0..endpoints {
            let stated_limit = StatedLimit::default();
            let endpoint =
                fleet.harness.endpoint(&format!("i-{n}"), "plain", stated_limit.script()).await;
            fleet.stated_limits.push(stated_limit);
            fleet.endpoints.push(endpoint);
        }
        for n in 0..boxes {
            fleet.boxes.push(fleet.harness.gateway(&format!("box-{n}")).await);
        }
        for gateway in &fleet.boxes {
            wait_until("the boxes know each other", async || gateway.peer_count() == boxes - 1)
                .await;
            wait_until_served(&fleet.harness, gateway, "/cancel/x").await;
        }
        fleet
    }

    /// Sends requests to each box until it knows the limit of an endpoint.
    async fn wait_until_known(&self, id: &str, per_s: f64) {
        join_all(self.boxes.iter().map(|gateway| async move {
            wait_until("the box knows the limit", async || {
                self.send(gateway, "/cancel/x").await;
                gateway.limits().iter().any(|(name, stated)| &**name == id && *stated == per_s)
            })
            .await;
        }))
        .await;
    }

    async fn send(&self, gateway: &Gateway, path: &str) -> Response {
        // Without tokens, so that a lack of them while the store is down does not matter.
        let req = CallerHead { tokens: None, ..self.harness.new_request("key-b", 1, 1) };
        call(gateway.callers(), path, &req).await
    }

    /// Sends requests to the boxes for a time; returns the responses.
    async fn load(&self, boxes: &[Gateway], time: Duration) -> Vec<Response> {
        let began = Instant::now();
        let callers = boxes.iter().enumerate().map(async |(n, gateway)| {
            let mut responses = Vec::new();
            while began.elapsed() < time {
                let path = if (n + responses.len()) % 2 == 0 { "/cancel/x" } else { "/confirm/x" };
                responses.push(self.send(gateway, path).await);
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
            responses
        });
        join_all(callers).await.into_iter().flatten().collect()
    }

    fn arrived(&self, endpoint: usize) -> usize {
        self.endpoints[endpoint].arrived().len()
    }
}

/// Most requests that may arrive within a time under a limit.
fn allowed(per_s: f64, time: Duration) -> usize {
    (per_s * TOLERATED_FACTOR * time.as_secs_f64() + TOLERATED_EXTRA) as usize
}

/// Permits that a box has issued so far, from its metrics.
fn permits_issued(gateway: &Gateway) -> u64 {
    let metrics = gateway.metrics();
    let line = metrics.lines().find_map(|l| l.strip_prefix("flintstall_turns_given_total "));
    line.expect("a counter").parse().expect("a number")
}

/// Index of the box that issues permits.
fn issuer_index(boxes: &[Gateway]) -> usize {
    (0..boxes.len()).max_by_key(|at| permits_issued(&boxes[*at])).expect("a box")
}

fn limit_of(gateway: &Gateway, id: &str) -> Option<f64> {
    gateway.limits().into_iter().find(|(name, _)| &**name == id).map(|(_, per_s)| per_s)
}

#[tokio::test]
async fn boxes_together_keep_the_limit() {
    let fleet = Fleet::start(BOXES, 2).await;
    fleet.stated_limits[0].set(Some("2.0"));
    fleet.wait_until_known("i-0", 2.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let responses = fleet.load(&fleet.boxes, LOAD_TIME).await;
    let (arrived, max_arrivals) = (fleet.arrived(0) - before, allowed(2.0, began.elapsed()));
    assert!(
        arrived <= max_arrivals,
        "{arrived} arrived of {}, {max_arrivals} are allowed",
        responses.len()
    );
    assert!(
        responses.iter().all(|response| response.status == StatusCode::OK),
        "the other endpoint serves the rest"
    );
}

/// All callers connect to two of the boxes, as the balancer's hash may place them.
#[tokio::test]
async fn limit_is_used_up_by_the_boxes_that_have_callers() {
    let fleet = Fleet::start(BOXES, 2).await;
    fleet.stated_limits[0].set(Some("10"));
    fleet.wait_until_known("i-0", 10.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    // With equal shares of the limit per box this would take longer than the bound below.
    while fleet.arrived(0) - before < 40 {
        assert!(began.elapsed() < Duration::from_secs(20), "{}", fleet.arrived(0) - before);
        fleet.load(&fleet.boxes[..2], LOAD_TIME / 5).await;
    }
    let (arrived, max_arrivals) = (fleet.arrived(0) - before, allowed(10.0, began.elapsed()));
    assert!(arrived <= max_arrivals, "{arrived} arrived, {max_arrivals} are allowed");
}

/// Boxes that sent nothing to the endpoint, and boxes that start later, learn the limit from peers.
#[tokio::test]
async fn limit_and_its_end_reach_idle_and_new_boxes() {
    let mut fleet = Fleet::start(4, 2).await;
    fleet.stated_limits[0].set(Some("2.0"));
    let known_limit = |gateway: &Gateway| limit_of(gateway, "i-0");
    wait_until("the first box learns the limit from a response", async || {
        fleet.send(&fleet.boxes[0], "/cancel/x").await;
        known_limit(&fleet.boxes[0]) == Some(2.0)
    })
    .await;
    let late = fleet.harness.gateway("box-late").await;
    fleet.boxes.push(late);
    for gateway in &fleet.boxes {
        // One box goes on using the endpoint, so that the limit stays in force.
        wait_until("the box knows the limit from its peers", async || {
            fleet.load(&fleet.boxes[..1], REQUEST_INTERVAL).await;
            known_limit(gateway) == Some(2.0)
        })
        .await;
    }
    wait_until_served(&fleet.harness, &fleet.boxes[4], "/cancel/x").await;
    fleet.stated_limits[0].set(Some("7.5"));
    wait_until("a raised limit is in force", async || {
        fleet.load(&fleet.boxes[..1], REQUEST_INTERVAL).await;
        fleet.boxes.iter().all(|gateway| known_limit(gateway) == Some(7.5))
    })
    .await;
    fleet.stated_limits[0].set(Some("1"));
    wait_until("a lowered limit is in force", async || {
        fleet.load(&fleet.boxes[..1], REQUEST_INTERVAL).await;
        fleet.boxes.iter().all(|gateway| known_limit(gateway) == Some(1.0))
    })
    .await;
    fleet.stated_limits[0].set(None);
    wait_until("every box drops the limit, also those that send nothing", async || {
        fleet.load(&fleet.boxes[..1], REQUEST_INTERVAL).await;
        fleet.boxes.iter().all(|gateway| known_limit(gateway).is_none())
    })
    .await;
}

#[tokio::test]
async fn endpoint_with_limit_zero_is_probed() {
    let fleet = Fleet::start(4, 2).await;
    fleet.stated_limits[0].set(Some("0"));
    fleet.wait_until_known("i-0", 0.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let responses = fleet.load(&fleet.boxes, LOAD_TIME).await;
    let arrived = fleet.arrived(0) - before;
    assert!(arrived <= 1 + began.elapsed().as_secs() as usize / 5, "{arrived} arrived");
    assert!(
        responses.iter().all(|response| response.status == StatusCode::OK),
        "the other endpoint serves them"
    );
    fleet.stated_limits[0].set(None);
    wait_until("the endpoint receives requests again", async || {
        fleet.load(&fleet.boxes, REQUEST_INTERVAL).await;
        fleet.arrived(0) > before + 20
    })
    .await;
}

#[tokio::test]
async fn invalid_limit_keeps_the_last_valid_one() {
    let fleet = Fleet::start(2, 1).await;
    for (stated, expected) in [("plenty", 1.0), ("3", 3.0), ("-2", 3.0), ("inf", 3.0), ("0.5", 0.5)]
    {
        fleet.stated_limits[0].set(Some(stated));
        for gateway in &fleet.boxes {
            wait_until(stated, async || {
                fleet.send(gateway, "/cancel/x").await;
                limit_of(gateway, "i-0") == Some(expected)
            })
            .await;
        }
    }
}

/// Every endpoint states a limit, and the load exceeds their sum.
#[tokio::test]
async fn excess_requests_are_refused_with_spread_retry_times() {
    let fleet = Fleet::start(3, 2).await;
    fleet.stated_limits.iter().for_each(|stated_limit| stated_limit.set(Some("1.0")));
    for id in ["i-0", "i-1"] {
        fleet.wait_until_known(id, 1.0).await;
    }
    let began = Instant::now();
    let before = fleet.arrived(0) + fleet.arrived(1);
    let sent = fleet.boxes.iter().cycle().take(60).map(|gateway| fleet.send(gateway, "/confirm/x"));
    let responses = join_all(sent).await;
    let arrived = fleet.arrived(0) + fleet.arrived(1) - before;
    assert!(
        arrived <= allowed(2.0, began.elapsed()) + TOLERATED_EXTRA as usize,
        "{arrived} arrived"
    );
    let refused: Vec<&Response> =
        responses.iter().filter(|response| response.status != StatusCode::OK).collect();
    assert_eq!(
        refused.len(),
        responses.len() - arrived,
        "each request either ran and was answered, or did not run"
    );
    let mut times: Vec<&str> = Vec::new();
    for response in refused {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
        assert!(response.body.as_ref().is_ok_and(|body| body.contains("not_run")), "{response:?}");
        times.push(response.headers["retry-after"].to_str().expect("a number"));
    }
    // Each box spreads its `retry-after` over up to three seconds; later callers share the last value.
    times.sort_unstable();
    times.dedup();
    assert!(times.len() >= 6, "retry times are spread: {times:?}");
}

/// While the store is down, the box that issues permits is killed, and later its successor shuts down.
#[tokio::test]
async fn limit_holds_when_the_issuer_of_permits_goes() {
    let mut fleet = Fleet::start(5, 2).await;
    fleet.stated_limits[0].set(Some("4"));
    fleet.wait_until_known("i-0", 4.0).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    let (began, before) = (Instant::now(), fleet.arrived(0));
    for shuts_down in [false, true] {
        fleet.load(&fleet.boxes, LOAD_TIME / 4).await;
        let issuer = fleet.boxes.remove(issuer_index(&fleet.boxes));
        let sent = fleet.arrived(0);
        let stopping = async {
            match shuts_down {
                true => issuer.stop().await,
                false => drop(issuer),
            }
        };
        let takeover = async {
            wait_until("another box issues permits", async || {
                fleet.load(&fleet.boxes, REQUEST_INTERVAL).await;
                fleet.arrived(0) >= sent + 8
            })
            .await;
        };
        tokio::join!(stopping, takeover);
    }
    let (arrived, max_arrivals) = (fleet.arrived(0) - before, allowed(4.0, began.elapsed()));
    assert!(arrived <= max_arrivals, "{arrived} arrived, {max_arrivals} are allowed");
}

/// A box that has no connection to its peers must not add to the total rate.
#[tokio::test]
async fn isolated_box_does_not_exceed_the_limit() {
    let mut fleet = Fleet::start(4, 2).await;
    let isolated = fleet.harness.gateway_without_peers("box-alone").await;
    wait_until_served(&fleet.harness, &isolated, "/cancel/x").await;
    fleet.boxes.push(isolated);
    fleet.stated_limits[0].set(Some("2"));
    fleet.wait_until_known("i-0", 2.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let responses = fleet.load(&fleet.boxes, LOAD_TIME).await;
    let (arrived, max_arrivals) = (fleet.arrived(0) - before, allowed(2.0, began.elapsed()));
    assert!(arrived <= max_arrivals, "{arrived} arrived, {max_arrivals} are allowed");
    assert!(
        responses.iter().all(|response| response.status == StatusCode::OK),
        "the other endpoint serves the rest"
    );
}

#[tokio::test]
async fn new_instance_starts_without_a_limit() {
    let fleet = Fleet::start(2, 1).await;
    fleet.stated_limits[0].set(Some("0"));
    fleet.wait_until_known("i-0", 0.0).await;
    fleet.stated_limits[0].set(None);
    let address = fleet.endpoints[0].address();
    let entry = Registration { started_ms: Some(5), ..registration("plain", address) }.entry();
    fleet.harness.write_raw_entry("i-0", entry.to_string()).await;
    // No request is sent meanwhile, so the new entry alone must clear the limit.
    wait_until("the limit of the earlier instance is dropped", async || {
        fleet.boxes.iter().all(|gateway| gateway.limits().is_empty())
    })
    .await;
    let responses = fleet.load(&fleet.boxes, 2 * REQUEST_INTERVAL).await;
    assert!(responses.iter().all(|response| response.status == StatusCode::OK), "{responses:?}");
}

/// A box that lost all its peers cannot know whether they died or it is cut off, so it keeps to its share.
#[tokio::test]
async fn possibly_isolated_box_keeps_to_its_share() {
    let mut fleet = Fleet::start(4, 2).await;
    fleet.stated_limits[0].set(Some("8"));
    fleet.wait_until_known("i-0", 8.0).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    fleet.boxes.truncate(1);
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let callers = (0..4).map(|_| fleet.load(&fleet.boxes, LOAD_TIME));
    let responses: Vec<Response> = join_all(callers).await.into_iter().flatten().collect();
    let (arrived, max_arrivals) = (fleet.arrived(0) - before, allowed(8.0 / 4.0, began.elapsed()));
    assert!(
        arrived <= max_arrivals,
        "{arrived} arrived of {}, its share is {max_arrivals}",
        responses.len()
    );
    assert!(arrived > 0, "some requests are sent");
}

#[tokio::test]
async fn no_permits_are_requested_without_a_limit() {
    let fleet = Fleet::start(4, 2).await;
    fleet.load(&fleet.boxes, LOAD_TIME / 4).await;
    for gateway in &fleet.boxes {
        let metrics = gateway.metrics();
        assert!(!metrics.contains("flintstall_turns_total{"), "no permit was requested");
        assert_eq!(permits_issued(gateway), 0);
    }
}
