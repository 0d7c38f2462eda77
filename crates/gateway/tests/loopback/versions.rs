//! Streams that callers take up again while endpoints of several software versions serve.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use gateway::Seen;
use http::{HeaderMap, StatusCode};
use platform::fixtures::{self, CallerHead, Registration, Resumed};
use standin::{Link, ReceivedRequest, Reply, ScriptedEndpoint};

use crate::{
    harness::{Harness, MAX_WAIT, Response, call, settings, wait_until, wait_until_served},
    process::Process,
};

const PAID: u64 = 1_000_000;
/// Streams of a test.
const STREAMS: usize = 24;
/// Availability zone of each box.
const BOX_ZONES: [&str; 4] = ["z1", "z2", "z3", "z1"];
/// Time after which a caller takes up a stream that broke.
const CALLER_PAUSE: Duration = Duration::from_millis(100);
/// The route of streams that may be taken up.
const PATH: &str = "/resume/x";

/// Begins streams and breaks them off after one event; finishes those that are taken up.
fn respond(request: &ReceivedRequest) -> Reply {
    let mut headers = fixtures::response_headers(&request.head.id, None);
    headers.insert("content-type", "text/event-stream".parse().expect("a value"));
    match request.head.last_event {
        None => Reply::Truncated(headers, vec!["id: 1\ndata: x\n\n".into()]),
        Some(_) => Reply::Events(headers, vec!["id: 2\ndata: y\n\n".into()], Duration::ZERO),
    }
}

struct Fleet {
    harness: Harness,
    boxes: Vec<Process>,
    /// Endpoints with their ids and versions.
    endpoints: Vec<(String, &'static str, ScriptedEndpoint)>,
}

impl Fleet {
    /// Starts the boxes, and an endpoint of each of these versions.
    async fn start(versions: &[&'static str]) -> Fleet {
        let harness = Harness::start(PAID, &["resume"]).await;
        let mut fleet = Fleet { harness, boxes: Vec::new(), endpoints: Vec::new() };
        for version in versions {
            fleet.add_endpoint(version, respond).await;
        }
        for number in 0..BOX_ZONES.len() {
            fleet.start_box(number).await;
        }
        fleet.wait_until_ready().await;
        fleet
    }

    async fn start_box(&mut self, number: usize) {
        let mut settings = settings(&format!("box-{number}"), self.harness.platform.socket());
        settings.zone = BOX_ZONES[number].into();
        self.boxes.push(Process::start(settings).await);
    }

    async fn wait_until_ready(&self) {
        for process in &self.boxes {
            let others = self.boxes.len() - 1;
            let knows_all = async || process.gateway().peer_count() == others;
            wait_until("the boxes know each other", knows_all).await;
            wait_until_served(&self.harness, process.gateway(), PATH).await;
        }
    }

    async fn add_endpoint(
        &mut self,
        version: &'static str,
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> String {
        let endpoint = ScriptedEndpoint::spawn(script).await;
        let id = format!("engine-{}", self.endpoints.len());
        let registration =
            Registration { version, ..fixtures::registration("engines", endpoint.address()) };
        self.harness.write_raw_entry(&id, registration.entry().to_string()).await;
        self.endpoints.push((id.clone(), version, endpoint));
        id
    }

    fn new_request(&self) -> CallerHead {
        self.harness.new_request("key-b", 1, 1)
    }

    /// Sends a request to a box, again for as long as the box lacks tokens; returns the id of the last attempt.
    async fn call(&self, number: usize, req: CallerHead) -> (String, Response) {
        let until = Instant::now() + MAX_WAIT;
        loop {
            let req = CallerHead { id: self.new_request().id, ..req.clone() };
            let response = call(self.boxes[number].gateway().callers(), PATH, &req).await;
            if response.status != StatusCode::TOO_MANY_REQUESTS {
                return (req.id, response);
            }
            assert!(Instant::now() < until, "tokens in time: {response:?}");
            tokio::time::sleep(CALLER_PAUSE).await;
        }
    }

    /// Begins a stream at a box; returns the id of the attempt.
    async fn begin(&self, number: usize) -> String {
        let (id, response) = self.call(number, self.new_request()).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert!(response.body.is_err(), "it broke off: {response:?}");
        id
    }

    /// Takes up a stream at a box.
    async fn resume(&self, number: usize, first_attempt: &str, key: &str) -> (String, Response) {
        let resumed =
            Resumed { first_attempt: Some(first_attempt.to_owned()), last_event: Some(1) };
        let key = Some(key.to_owned());
        let req = CallerHead { resumed: Some(resumed), key, ..self.new_request() };
        self.call(number, req).await
    }

    /// Version of the endpoint that got a request last.
    fn version_of(&self, id: &str) -> Option<&'static str> {
        let arrived = |endpoint: &ScriptedEndpoint| {
            endpoint.arrived().iter().any(|request| request.head.id == id)
        };
        let mut versions = self.endpoints.iter();
        versions.find(|(_, _, endpoint)| arrived(endpoint)).map(|(_, version, _)| *version)
    }

    /// Takes up streams at boxes in turn; returns how many went on, and fails if one did at another version.
    async fn resume_all(&self, began: &[String], boxes: &[usize]) -> usize {
        tokio::time::sleep(CALLER_PAUSE).await;
        let resumed = began
            .iter()
            .enumerate()
            .map(|(n, first_attempt)| self.resume(boxes[n % boxes.len()], first_attempt, "key-b"));
        let resumed = join_all(resumed).await;
        let mut went_on = 0;
        for (first_attempt, (id, response)) in began.iter().zip(resumed) {
            match response.status {
                StatusCode::OK => {
                    went_on += 1;
                    let versions = (self.version_of(first_attempt), self.version_of(&id));
                    assert_eq!(versions.0, versions.1, "the stream of {first_attempt}");
                }
                status => assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}"),
            }
        }
        went_on
    }

    /// Begins streams at a box; each version begins some of them.
    async fn begin_many(&self, number: usize) -> Vec<String> {
        let began = join_all((0..STREAMS).map(|_| self.begin(number))).await;
        let mut by_version: BTreeMap<&str, usize> = BTreeMap::new();
        for id in &began {
            *by_version.entry(self.version_of(id).expect("it arrived")).or_default() += 1;
        }
        let versions: BTreeSet<&str> =
            self.endpoints.iter().map(|(_, version, _)| *version).collect();
        assert_eq!(by_version.len(), versions.len(), "each version begins some: {by_version:?}");
        began
    }
}

fn outcome(response: &Response) -> (u16, String, bool) {
    let body = response.body.clone().unwrap_or_default();
    (response.status.as_u16(), body, response.headers.contains_key("retry-after"))
}

/// Guards against streams that go on at another software version than the one that began them.
#[tokio::test]
async fn a_stream_goes_on_at_the_version_that_began_it() {
    let fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let began = fleet.begin_many(0).await;
    assert_eq!(fleet.resume_all(&began, &[1, 2, 3]).await, STREAMS, "all go on elsewhere");
    assert_eq!(fleet.resume_all(&began, &[0]).await, STREAMS, "all go on where they began");
}

/// Guards against streams that go on at another version, or nowhere, because the box that began them died.
#[tokio::test]
async fn a_stream_goes_on_at_its_version_after_its_box_died() {
    let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let began = fleet.begin_many(0).await;
    tokio::time::sleep(CALLER_PAUSE).await;
    fleet.boxes.remove(0).kill();
    let went_on = fleet.resume_all(&began, &[0, 1, 2]).await;
    assert_eq!(went_on, STREAMS);
}

/// Guards against streams that go on at another version, or mostly nowhere, because a further box died, which may have
/// known where they began.
#[tokio::test]
async fn a_stream_goes_on_at_its_version_after_two_boxes_died() {
    for second in [1, 2] {
        let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
        let began = fleet.begin_many(0).await;
        tokio::time::sleep(CALLER_PAUSE).await;
        fleet.boxes.remove(second).kill();
        fleet.boxes.remove(0).kill();
        let went_on = fleet.resume_all(&began, &[0, 1]).await;
        assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
    }
}

/// Guards against streams of unknown origin that go on at any version.
#[tokio::test]
async fn a_stream_of_unknown_origin_is_refused_where_versions_differ() {
    let fleet = Fleet::start(&["v1", "v2"]).await;
    let began = fleet.begin(0).await;
    tokio::time::sleep(CALLER_PAUSE).await;
    let never_seen = fleet.resume(1, "never-seen", "key-b").await.1;
    let of_another = fleet.resume(1, &began, "key-p").await.1;
    for response in [never_seen, of_another] {
        let (status, body, _) = outcome(&response);
        assert_eq!(status, 503, "{response:?}");
        assert!(body.contains("not_run") && body.contains("version_unknown"), "{body}");
    }
    let without_attempt = Resumed { first_attempt: None, last_event: Some(1) };
    let req = CallerHead { resumed: Some(without_attempt), ..fleet.new_request() };
    let (_, response) = fleet.call(1, req).await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{response:?}");
    let (_, own) = fleet.resume(1, &began, "key-b").await;
    assert_eq!(own.status, StatusCode::OK, "its own caller goes on: {own:?}");
}

/// Guards against streams that go on elsewhere, or wait, where the last endpoint of their version has left.
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let mut fleet = Fleet::start(&["v1"]).await;
    let began = fleet.begin(0).await;
    tokio::time::sleep(CALLER_PAUSE).await;
    fleet.add_endpoint("v2", respond).await;
    fleet.harness.remove_entry("engine-0").await;
    for number in 0..fleet.boxes.len() {
        // New streams begin at the version that is left.
        wait_until("the endpoint left", async || {
            let id = fleet.begin(number).await;
            fleet.version_of(&id) == Some("v2")
        })
        .await;
        let (status, body, may_return) = outcome(&fleet.resume(number, &began, "key-b").await.1);
        assert_eq!((status, may_return), (503, false), "box {number}: {body}");
        assert!(body.contains("not_run") && body.contains("version_gone"), "{body}");
    }
}

/// Guards against a retry within one answer that takes a stream to another version.
#[tokio::test]
async fn a_retry_of_a_stream_that_is_taken_up_stays_at_its_version() {
    let mut fleet = Fleet::start(&["v1", "v2", "v2"]).await;
    let decline = |request: &ReceivedRequest| match request.head.last_event {
        None => respond(request),
        Some(_) => {
            let (status, headers): (StatusCode, HeaderMap) =
                fixtures::not_run_response(&request.head.id);
            Reply::Complete(status, headers, String::new())
        }
    };
    fleet.add_endpoint("v1", decline).await;
    fleet.wait_until_ready().await;
    let mut began = Vec::new();
    while began.len() < STREAMS / 3 {
        let id = fleet.begin(0).await;
        if fleet.version_of(&id) == Some("v1") {
            began.push(id);
        }
    }
    let went_on = fleet.resume_all(&began, &[1, 2, 3]).await;
    assert!(went_on > 0, "one of its two endpoints takes them");
}

/// Guards against refusals where there never was but one version, also when no box remembers anything.
#[tokio::test]
async fn a_stream_goes_on_where_all_endpoints_have_one_version() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    let began = join_all((0..STREAMS).map(|_| fleet.begin(0))).await;
    for process in fleet.boxes.drain(..) {
        process.kill();
    }
    for number in 0..BOX_ZONES.len() {
        fleet.start_box(number).await;
    }
    fleet.wait_until_ready().await;
    assert_eq!(fleet.resume_all(&began, &[0, 1, 2, 3]).await, STREAMS);
}

/// Guards against streams that began while there was one version, of which no other box knows once there are two.
#[tokio::test]
async fn a_stream_goes_on_where_it_began_before_a_second_version_came() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    let began = join_all((0..STREAMS).map(|_| fleet.begin(0))).await;
    fleet.add_endpoint("v2", respond).await;
    for process in &fleet.boxes {
        wait_until("a box sees both versions", async || {
            process.gateway().versions_seen("engines") == Seen::Several
        })
        .await;
    }
    // A box looks ten times a second.
    tokio::time::sleep(CALLER_PAUSE * 3).await;
    fleet.boxes.remove(0).kill();
    assert_eq!(fleet.resume_all(&began, &[0, 1, 2]).await, STREAMS);
}

/// A box that has just started, and serves.
async fn start_new_box(fleet: &mut Fleet, name: &str, zone: &str) -> usize {
    let mut settings = settings(name, fleet.harness.platform.socket());
    settings.zone = zone.into();
    let process = Process::start(settings).await;
    wait_until_served(&fleet.harness, process.gateway(), PATH).await;
    fleet.boxes.push(process);
    fleet.boxes.len() - 1
}

/// Guards against streams that go on at no other box because the one that began them had only just started, and their
/// homes did not know it yet.
#[tokio::test]
async fn a_stream_that_a_new_box_began_goes_on_elsewhere() {
    let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let mut went_on = Vec::new();
    for round in 0..4 {
        let late = start_new_box(&mut fleet, &format!("late-{round}"), "z1").await;
        let began = join_all((0..STREAMS).map(|_| fleet.begin(late))).await;
        let peers: Vec<usize> =
            fleet.boxes.iter().map(|process| process.gateway().peer_count()).collect();
        went_on.push((fleet.resume_all(&began, &[0, 1, 2, 3]).await, peers));
    }
    let all = went_on.iter().all(|(went_on, _)| *went_on == STREAMS);
    assert!(all, "of {STREAMS} in each round, with the boxes that each box knew: {went_on:?}");
}

/// Guards against streams whose origin nobody takes, because most boxes do not know a box that has just started: it
/// announces itself to three only, and the others refuse what it sends.
#[tokio::test]
async fn a_stream_that_a_new_box_began_goes_on_after_its_death() {
    let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let mut went_on = Vec::new();
    for round in 0..4 {
        let late = start_new_box(&mut fleet, &format!("late-{round}"), "z1").await;
        let began = join_all((0..STREAMS).map(|_| fleet.begin(late))).await;
        tokio::time::sleep(CALLER_PAUSE).await;
        let peers: Vec<usize> =
            fleet.boxes.iter().map(|process| process.gateway().peer_count()).collect();
        fleet.boxes.remove(late).kill();
        went_on.push((fleet.resume_all(&began, &[0, 1, 2, 3]).await, peers));
    }
    let enough = went_on.iter().all(|(went_on, _)| went_on * 2 >= STREAMS);
    assert!(enough, "of {STREAMS} in each round, with the boxes that each box knew: {went_on:?}");
}

/// Guards against new boxes that take up nothing, because those that know the streams do not know them yet.
#[tokio::test]
async fn a_new_box_takes_up_streams() {
    let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let mut went_on = Vec::new();
    for round in 0..4 {
        let began = fleet.begin_many(0).await;
        tokio::time::sleep(CALLER_PAUSE).await;
        let late = start_new_box(&mut fleet, &format!("late-{round}"), "z1").await;
        let peers: Vec<usize> =
            fleet.boxes.iter().map(|process| process.gateway().peer_count()).collect();
        went_on.push((fleet.resume_all(&began, &[late]).await, peers));
    }
    let all = went_on.iter().all(|(went_on, _)| *went_on == STREAMS);
    assert!(all, "of {STREAMS} in each round, with the boxes that each box knew: {went_on:?}");
}

/// Guards against planned replacements of boxes, one after the other, that forget where streams began.
#[tokio::test]
async fn a_stream_goes_on_after_all_boxes_were_replaced_by_plan() {
    let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let began = fleet.begin_many(0).await;
    tokio::time::sleep(CALLER_PAUSE).await;
    for (number, zone) in BOX_ZONES.iter().enumerate() {
        start_new_box(&mut fleet, &format!("new-{number}"), zone).await;
        fleet.boxes.remove(0).stop().await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let went_on = fleet.resume_all(&began, &[0, 1, 2, 3]).await;
    assert!(went_on * 2 >= STREAMS, "{went_on} of {STREAMS} went on");
}

/// Guards against callers that are told to come back in a tenth of a second, and give up after some tries, where the
/// endpoints of their version rest for longer and only another version is free.
#[tokio::test]
async fn a_stream_waits_for_the_endpoints_of_its_version() {
    let mut fleet = Fleet::start(&["v2"]).await;
    let decline = |request: &ReceivedRequest| match request.head.last_event {
        None => respond(request),
        Some(_) => {
            let (status, mut headers): (StatusCode, HeaderMap) =
                fixtures::not_run_response(&request.head.id);
            headers.insert("retry-after", "30".parse().expect("a value"));
            Reply::Complete(status, headers, String::new())
        }
    };
    fleet.add_endpoint("v1", decline).await;
    let mut began = None;
    wait_until("a stream of v1", async || {
        let id = fleet.begin(0).await;
        began = Some(id.clone()).filter(|id| fleet.version_of(id) == Some("v1")).or(began.take());
        began.is_some()
    })
    .await;
    let began = began.expect("a stream of v1");
    // The endpoint asks for a rest of 30 s.
    fleet.resume(0, &began, "key-b").await;
    let (_, response) = fleet.resume(0, &began, "key-b").await;
    let (status, body, _) = outcome(&response);
    assert_eq!(status, 503, "{body}");
    let wait = response.headers.get("retry-after").and_then(|value| value.to_str().ok());
    let wait: f64 = wait.and_then(|seconds| seconds.parse().ok()).expect("a time to retry");
    assert!(wait > 1.0, "the only endpoint of v1 rests for 30 s, told to retry after {wait} s");
}

/// Guards against callers that are refused for good while the box still reads that there was only one version.
#[tokio::test]
async fn a_caller_comes_back_once_the_record_of_the_only_version_is_read() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    let began = fleet.begin(0).await;
    for process in fleet.boxes.drain(..) {
        process.kill();
    }
    for number in 0..BOX_ZONES.len() {
        fleet.start_box(number).await;
    }
    fleet.wait_until_ready().await;
    fleet.harness.platform.set(|faults| faults.delay = Duration::from_millis(200));
    let (status, body, may_return) = outcome(&fleet.resume(0, &began, "key-b").await.1);
    assert!(status == 200 || may_return, "refused without a time to retry: {status} {body}");
}

/// Guards against streams that go on at another version at a box that was cut off a moment ago: it vouches for the
/// only version that it saw, while a second one begins streams elsewhere.
#[tokio::test]
async fn a_box_cut_off_a_moment_ago_takes_no_stream_to_another_version() {
    const MEMORY_MS: u64 = 1_500;
    let harness = Harness::start(PAID, &["resume"]).await;
    let mut fleet = Fleet { harness, boxes: Vec::new(), endpoints: Vec::new() };
    fleet.add_endpoint("v1", respond).await;
    fleet.start_box(0).await;
    let link = Link::bind(fleet.harness.platform.socket(), Duration::ZERO).await.expect("a link");
    let mut cut = settings("box-cut", link.address());
    cut.listen.peers = None;
    cut.streams.memory_ms = MEMORY_MS;
    fleet.boxes.push(Process::start(cut).await);
    for process in &fleet.boxes {
        wait_until_served(&fleet.harness, process.gateway(), PATH).await;
    }
    let fill = join_all((0..STREAMS).map(|_| fleet.begin(1))).await;
    assert_eq!(fill.len(), STREAMS, "the box has tokens");
    tokio::time::sleep(Duration::from_millis(2 * MEMORY_MS)).await;
    link.set_cut(true);
    fleet.add_endpoint("v2", respond).await;
    let mut began = Vec::new();
    wait_until("streams of v2", async || {
        let ids = join_all((0..STREAMS).map(|_| fleet.begin(0))).await;
        began.extend(ids.into_iter().filter(|id| fleet.version_of(id) == Some("v2")));
        began.len() >= 4
    })
    .await;
    // Fails if one goes on at another version.
    fleet.resume_all(&began, &[1]).await;
}

/// Time in which what boxes know of streams gets into the store.
const KEPT_TIME: Duration = Duration::from_millis(500);

impl Fleet {
    /// Kills all boxes at once and starts them again, with `change` made in between.
    async fn restart_all(&mut self, change: impl AsyncFnOnce(&Fleet)) {
        self.boxes.drain(..).for_each(Process::kill);
        change(self).await;
        for number in 0..BOX_ZONES.len() {
            self.start_box(number).await;
        }
    }

    /// Waits until all boxes see several versions.
    async fn wait_until_several(&self) {
        for process in &self.boxes {
            let sees = async || process.gateway().versions_seen("engines") == Seen::Several;
            wait_until("a box sees both versions", sees).await;
        }
    }

    /// Begins streams at a box until some are of this version.
    async fn begin_of(&self, number: usize, version: &str) -> Vec<String> {
        let mut began = Vec::new();
        wait_until("streams of a version", async || {
            let ids = join_all((0..STREAMS).map(|_| self.begin(number))).await;
            began.extend(ids.into_iter().filter(|id| self.version_of(id) == Some(version)));
            began.len() >= STREAMS / 3
        })
        .await;
        began
    }
}

/// Guards against streams that go on at another version because the store came back from a copy of a time with one
/// version, while all boxes died.
#[tokio::test]
async fn a_copy_of_a_time_with_one_version_takes_no_stream_to_it() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.begin(0).await;
    tokio::time::sleep(KEPT_TIME).await;
    let copy = fleet.harness.platform.memory().copy();
    fleet.add_endpoint("v2", respond).await;
    fleet.wait_until_several().await;
    let began = fleet.begin_of(0, "v2").await;
    fleet.restart_all(async |fleet| fleet.harness.platform.memory().return_from(copy)).await;
    fleet.wait_until_ready().await;
    // Fails if one goes on at another version.
    fleet.resume_all(&began, &[0, 1, 2, 3]).await;
}

/// Guards against streams that go on nowhere, although endpoints of their version serve, because all boxes died while there
/// were two.
#[tokio::test]
async fn streams_go_on_at_their_versions_after_all_boxes_died() {
    let mut fleet = Fleet::start(&["v1", "v2", "v1", "v2"]).await;
    let began = fleet.begin_many(0).await;
    tokio::time::sleep(KEPT_TIME).await;
    fleet.restart_all(async |_| {}).await;
    fleet.wait_until_ready().await;
    assert_eq!(fleet.resume_all(&began, &[0, 1, 2, 3]).await, STREAMS);
}

/// Guards against the same of streams that began before the second version came.
#[tokio::test]
async fn streams_of_one_version_go_on_after_a_second_one_came_and_all_boxes_died() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    let began = join_all((0..STREAMS).map(|_| fleet.begin(0))).await;
    fleet.add_endpoint("v2", respond).await;
    fleet.wait_until_several().await;
    tokio::time::sleep(KEPT_TIME).await;
    fleet.restart_all(async |_| {}).await;
    fleet.wait_until_ready().await;
    assert_eq!(fleet.resume_all(&began, &[0, 1, 2, 3]).await, STREAMS);
}

/// Guards against streams of a version that the store does not know of yet: it takes no writes, all boxes die, the version
/// goes, and the record names the other one as the only one.
#[tokio::test]
async fn no_stream_begins_at_a_version_before_the_store_knows_it() {
    let mut fleet = Fleet::start(&["v1", "v1"]).await;
    fleet.begin_many(0).await;
    tokio::time::sleep(KEPT_TIME).await;
    // Each write is answered with an error, and not done before the boxes have died.
    fleet.harness.platform.set(|faults| {
        (faults.drop_responses, faults.dropped_write_delay) = (1.0, Duration::from_secs(60));
    });
    let newer = fleet.add_endpoint("v2", respond).await;
    fleet.wait_until_several().await;
    let calls = join_all((0..STREAMS).map(|_| fleet.call(0, fleet.new_request()))).await;
    let is_newer = |(id, _): &&(String, Response)| fleet.version_of(id) == Some("v2");
    let began: Vec<String> = calls.iter().filter(is_newer).map(|(id, _)| id.clone()).collect();
    fleet
        .restart_all(async |fleet| {
            fleet.harness.platform.set(|faults| faults.drop_responses = 0.0);
            fleet.harness.remove_entry(&newer).await;
        })
        .await;
    fleet.wait_until_ready().await;
    // Fails if one goes on at another version.
    fleet.resume_all(&began, &[0, 1, 2, 3]).await;
}
