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

use crate::harness::{Got, Harness, call, until, until_served};

const PAID: u64 = 1_000_000;
/// Enough boxes that one request per second from each would exceed any limit here.
const BOXES: usize = 12;
/// Time between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which arrivals are counted.
const COUNTED: Duration = Duration::from_millis(2_500);
/// Requests that the platform tolerates on top of the rate times [`SLACK`].
const EXTRA: f64 = 5.0;
const SLACK: f64 = 1.5;

/// Rate limit that an endpoint states in its responses.
#[derive(Clone, Default)]
struct Need(Arc<Mutex<Option<&'static str>>>);

impl Need {
    fn names(&self, limit: Option<&'static str>) {
        *self.0.lock() = limit;
    }

    /// Answers successfully, with the limit if there is one.
    fn script(&self) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
        let need = self.clone();
        move |arrived| {
            let mut headers = fixtures::response_headers(&arrived.head.id, None);
            if let Some(limit) = *need.0.lock() {
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
    needs: Vec<Need>,
    endpoints: Vec<ScriptedEndpoint>,
}

impl Fleet {
    async fn start(boxes: usize, endpoints: usize) -> Fleet {
        let harness = Harness::open(PAID, &["cancel", "confirm"]).await;
        let mut fleet =
            Fleet { harness, boxes: Vec::new(), needs: Vec::new(), endpoints: Vec::new() };
        for n in 0..endpoints {
            let need = Need::default();
            let endpoint = fleet.harness.endpoint(&format!("i-{n}"), "plain", need.script()).await;
            fleet.needs.push(need);
            fleet.endpoints.push(endpoint);
        }
        for n in 0..boxes {
            fleet.boxes.push(fleet.harness.gateway(&format!("box-{n}")).await);
        }
        for gateway in &fleet.boxes {
            until("the boxes know each other", async || gateway.peer_count() == boxes - 1).await;
            until_served(&fleet.harness, gateway, "/cancel/x").await;
        }
        fleet
    }

    /// Sends requests to each box until it knows the limit of an endpoint.
    async fn tell_all(&self, life: &str, per_s: f64) {
        join_all(self.boxes.iter().map(|gateway| async move {
            until("the box knows the limit", async || {
                self.send(gateway, "/cancel/x").await;
                gateway.limits().iter().any(|(name, named)| &**name == life && *named == per_s)
            })
            .await;
        }))
        .await;
    }

    async fn send(&self, gateway: &Gateway, path: &str) -> Got {
        // Without tokens, so that a lack of them while the store is down does not matter.
        let asked = CallerHead { tokens: None, ..self.harness.asked("key-b", 1, 1) };
        call(gateway.callers(), path, &asked).await
    }

    /// Sends requests to the boxes for a time; returns the responses.
    async fn load(&self, boxes: &[Gateway], time: Duration) -> Vec<Got> {
        let began = Instant::now();
        let callers = boxes.iter().enumerate().map(async |(n, gateway)| {
            let mut got = Vec::new();
            while began.elapsed() < time {
                let path = if (n + got.len()) % 2 == 0 { "/cancel/x" } else { "/confirm/x" };
                got.push(self.send(gateway, path).await);
                tokio::time::sleep(PAUSE).await;
            }
            got
        });
        join_all(callers).await.into_iter().flatten().collect()
    }

    fn arrived(&self, endpoint: usize) -> usize {
        self.endpoints[endpoint].arrived().len()
    }
}

/// Most requests that may arrive within a time under a limit.
fn allowed(per_s: f64, time: Duration) -> usize {
    (per_s * SLACK * time.as_secs_f64() + EXTRA) as usize
}

/// Permits that a box has issued so far, from its metrics.
fn given(gateway: &Gateway) -> u64 {
    let metrics = gateway.metrics();
    let line = metrics.lines().find_map(|l| l.strip_prefix("flintstall_turns_given_total "));
    line.expect("a counter").parse().expect("a number")
}

/// Index of the box that issues permits.
fn giver(boxes: &[Gateway]) -> usize {
    (0..boxes.len()).max_by_key(|at| given(&boxes[*at])).expect("a box")
}

fn limit_of(gateway: &Gateway, life: &str) -> Option<f64> {
    gateway.limits().into_iter().find(|(name, _)| &**name == life).map(|(_, per_s)| per_s)
}

#[tokio::test]
async fn boxes_together_keep_the_limit() {
    let fleet = Fleet::start(BOXES, 2).await;
    fleet.needs[0].names(Some("2.0"));
    fleet.tell_all("i-0", 2.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let got = fleet.load(&fleet.boxes, COUNTED).await;
    let (arrived, most) = (fleet.arrived(0) - before, allowed(2.0, began.elapsed()));
    assert!(arrived <= most, "{arrived} arrived of {}, {most} are allowed", got.len());
    assert!(
        got.iter().all(|got| got.status == StatusCode::OK),
        "the other endpoint serves the rest"
    );
}

/// All callers connect to two of the boxes, as the balancer's hash may have it.
#[tokio::test]
async fn limit_is_used_up_by_the_boxes_that_have_callers() {
    let fleet = Fleet::start(BOXES, 2).await;
    fleet.needs[0].names(Some("10"));
    fleet.tell_all("i-0", 10.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    // With equal shares of the limit per box this would take longer than the bound below.
    while fleet.arrived(0) - before < 40 {
        assert!(began.elapsed() < Duration::from_secs(20), "{}", fleet.arrived(0) - before);
        fleet.load(&fleet.boxes[..2], COUNTED / 5).await;
    }
    let (arrived, most) = (fleet.arrived(0) - before, allowed(10.0, began.elapsed()));
    assert!(arrived <= most, "{arrived} arrived, {most} are allowed");
}

/// Boxes that sent nothing to the endpoint, and boxes that start later, learn the limit from peers.
#[tokio::test]
async fn limit_and_its_end_reach_idle_and_new_boxes() {
    let mut fleet = Fleet::start(4, 2).await;
    fleet.needs[0].names(Some("2.0"));
    let knows = |gateway: &Gateway| limit_of(gateway, "i-0");
    until("the first box learns the limit from a response", async || {
        fleet.send(&fleet.boxes[0], "/cancel/x").await;
        knows(&fleet.boxes[0]) == Some(2.0)
    })
    .await;
    let late = fleet.harness.gateway("box-late").await;
    fleet.boxes.push(late);
    for gateway in &fleet.boxes {
        // One box goes on using the endpoint, so that the limit stays in force.
        until("the box knows the limit from its peers", async || {
            fleet.load(&fleet.boxes[..1], PAUSE).await;
            knows(gateway) == Some(2.0)
        })
        .await;
    }
    until_served(&fleet.harness, &fleet.boxes[4], "/cancel/x").await;
    fleet.needs[0].names(Some("7.5"));
    until("a raised limit is in force", async || {
        fleet.load(&fleet.boxes[..1], PAUSE).await;
        fleet.boxes.iter().all(|gateway| knows(gateway) == Some(7.5))
    })
    .await;
    fleet.needs[0].names(Some("1"));
    until("a lowered limit is in force", async || {
        fleet.load(&fleet.boxes[..1], PAUSE).await;
        fleet.boxes.iter().all(|gateway| knows(gateway) == Some(1.0))
    })
    .await;
    fleet.needs[0].names(None);
    until("every box drops the limit, also those that send nothing", async || {
        fleet.load(&fleet.boxes[..1], PAUSE).await;
        fleet.boxes.iter().all(|gateway| knows(gateway).is_none())
    })
    .await;
}

#[tokio::test]
async fn endpoint_with_limit_zero_is_probed() {
    let fleet = Fleet::start(4, 2).await;
    fleet.needs[0].names(Some("0"));
    fleet.tell_all("i-0", 0.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let got = fleet.load(&fleet.boxes, COUNTED).await;
    let arrived = fleet.arrived(0) - before;
    assert!(arrived <= 1 + began.elapsed().as_secs() as usize / 5, "{arrived} arrived");
    assert!(got.iter().all(|got| got.status == StatusCode::OK), "the other endpoint serves them");
    fleet.needs[0].names(None);
    until("the endpoint receives requests again", async || {
        fleet.load(&fleet.boxes, PAUSE).await;
        fleet.arrived(0) > before + 20
    })
    .await;
}

#[tokio::test]
async fn invalid_limit_keeps_the_last_valid_one() {
    let fleet = Fleet::start(2, 1).await;
    for (named, taken) in [("plenty", 1.0), ("3", 3.0), ("-2", 3.0), ("inf", 3.0), ("0.5", 0.5)] {
        fleet.needs[0].names(Some(named));
        for gateway in &fleet.boxes {
            until(named, async || {
                fleet.send(gateway, "/cancel/x").await;
                limit_of(gateway, "i-0") == Some(taken)
            })
            .await;
        }
    }
}

/// Every endpoint states a limit, and the load exceeds their sum.
#[tokio::test]
async fn excess_requests_are_refused_with_spread_retry_times() {
    let fleet = Fleet::start(3, 2).await;
    fleet.needs.iter().for_each(|need| need.names(Some("1.0")));
    for life in ["i-0", "i-1"] {
        fleet.tell_all(life, 1.0).await;
    }
    let began = Instant::now();
    let before = fleet.arrived(0) + fleet.arrived(1);
    let sent = fleet.boxes.iter().cycle().take(60).map(|gateway| fleet.send(gateway, "/confirm/x"));
    let got = join_all(sent).await;
    let arrived = fleet.arrived(0) + fleet.arrived(1) - before;
    assert!(arrived <= allowed(2.0, began.elapsed()) + EXTRA as usize, "{arrived} arrived");
    let refused: Vec<&Got> = got.iter().filter(|got| got.status != StatusCode::OK).collect();
    assert_eq!(
        refused.len(),
        got.len() - arrived,
        "each request either ran and was answered, or did not run"
    );
    let mut times: Vec<&str> = Vec::new();
    for got in refused {
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{got:?}");
        assert!(got.body.as_ref().is_ok_and(|body| body.contains("not_run")), "{got:?}");
        times.push(got.headers["retry-after"].to_str().expect("a number"));
    }
    // Each box spreads its `retry-after` over up to three seconds, later callers share the last value.
    times.sort_unstable();
    times.dedup();
    assert!(times.len() >= 6, "retry times are spread: {times:?}");
}

/// While the store is down, the box that issues permits is killed, and later its successor shuts down.
#[tokio::test]
async fn limit_holds_when_the_issuer_of_permits_goes() {
    let mut fleet = Fleet::start(5, 2).await;
    fleet.needs[0].names(Some("4"));
    fleet.tell_all("i-0", 4.0).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    let (began, before) = (Instant::now(), fleet.arrived(0));
    for ends_by_plan in [false, true] {
        fleet.load(&fleet.boxes, COUNTED / 4).await;
        let gone = fleet.boxes.remove(giver(&fleet.boxes));
        let sent = fleet.arrived(0);
        let stopping = async {
            match ends_by_plan {
                true => gone.stop().await,
                false => drop(gone),
            }
        };
        let going_on = async {
            until("another box issues permits", async || {
                fleet.load(&fleet.boxes, PAUSE).await;
                fleet.arrived(0) >= sent + 8
            })
            .await;
        };
        tokio::join!(stopping, going_on);
    }
    let (arrived, most) = (fleet.arrived(0) - before, allowed(4.0, began.elapsed()));
    assert!(arrived <= most, "{arrived} arrived, {most} are allowed");
}

/// A box that has no connection to its peers must not add to the total rate.
#[tokio::test]
async fn isolated_box_does_not_exceed_the_limit() {
    let mut fleet = Fleet::start(4, 2).await;
    let alone = fleet.harness.gateway_alone("box-alone").await;
    until_served(&fleet.harness, &alone, "/cancel/x").await;
    fleet.boxes.push(alone);
    fleet.needs[0].names(Some("2"));
    fleet.tell_all("i-0", 2.0).await;
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let got = fleet.load(&fleet.boxes, COUNTED).await;
    let (arrived, most) = (fleet.arrived(0) - before, allowed(2.0, began.elapsed()));
    assert!(arrived <= most, "{arrived} arrived, {most} are allowed");
    assert!(
        got.iter().all(|got| got.status == StatusCode::OK),
        "the other endpoint serves the rest"
    );
}

#[tokio::test]
async fn new_instance_starts_without_a_limit() {
    let fleet = Fleet::start(2, 1).await;
    fleet.needs[0].names(Some("0"));
    fleet.tell_all("i-0", 0.0).await;
    fleet.needs[0].names(None);
    let address = fleet.endpoints[0].address();
    let entry = Registration { started_ms: Some(5), ..registration("plain", address) }.entry();
    fleet.harness.list_as("i-0", entry.to_string()).await;
    // No request is sent meanwhile, so the new entry alone must clear the limit.
    until("the limit of the earlier instance is dropped", async || {
        fleet.boxes.iter().all(|gateway| gateway.limits().is_empty())
    })
    .await;
    let got = fleet.load(&fleet.boxes, 2 * PAUSE).await;
    assert!(got.iter().all(|got| got.status == StatusCode::OK), "{got:?}");
}

/// A box that lost all its peers cannot know whether they died or it is cut off, so it keeps to its share.
#[tokio::test]
async fn possibly_isolated_box_keeps_to_its_share() {
    let mut fleet = Fleet::start(4, 2).await;
    fleet.needs[0].names(Some("8"));
    fleet.tell_all("i-0", 8.0).await;
    fleet.harness.platform.set(|faults| faults.down = true);
    fleet.boxes.truncate(1);
    let (began, before) = (Instant::now(), fleet.arrived(0));
    let callers = (0..4).map(|_| fleet.load(&fleet.boxes, COUNTED));
    let got: Vec<Got> = join_all(callers).await.into_iter().flatten().collect();
    let (arrived, most) = (fleet.arrived(0) - before, allowed(8.0 / 4.0, began.elapsed()));
    assert!(arrived <= most, "{arrived} arrived of {}, its share is {most}", got.len());
    assert!(arrived > 0, "some requests are sent");
}

#[tokio::test]
async fn no_permits_are_requested_without_a_limit() {
    let fleet = Fleet::start(4, 2).await;
    fleet.load(&fleet.boxes, COUNTED / 4).await;
    for gateway in &fleet.boxes {
        let metrics = gateway.metrics();
        assert!(!metrics.contains("flintstall_turns_total{"), "no permit was requested");
        assert_eq!(given(gateway), 0);
    }
}
