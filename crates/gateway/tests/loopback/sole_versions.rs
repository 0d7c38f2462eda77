//! Records of services that have had only one software version, which the boxes keep in the store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use gateway::{Gateway, Record, Seen, VERSIONS};
use objects::{Operation, Store};
use platform::fixtures::{self, Registration};
use standin::ScriptedEndpoint;

use crate::harness::{Harness, MAX_WAIT, answer_ok, settings, wait_until, wait_until_served};

const PAID: u64 = 1_000_000;
const SERVICE: &str = "engines";
const PATH: &str = "/resume/x";
/// How long streams can be taken up, where a test waits for the end of that.
const SHORT_MEMORY_MS: u64 = 1_500;
/// The same in tests that end before.
const LONG_MEMORY_MS: u64 = 3_600_000;
/// Boxes of a fleet: two roots and others.
const BOXES: usize = 6;
/// Calls of a fleet for one change of a service: each root writes once, and is refused at most once.
const MAX_CALLS: u64 = 4;

struct Fleet {
    harness: Harness,
    boxes: Vec<Gateway>,
    memory_ms: u64,
    endpoint: ScriptedEndpoint,
}

impl Fleet {
    /// Starts boxes, and an endpoint of version `v1`.
    async fn start(boxes: usize, memory_ms: u64) -> Fleet {
        let harness = Harness::start(PAID, &["resume"]).await;
        let endpoint = ScriptedEndpoint::spawn(answer_ok).await;
        let mut fleet = Fleet { harness, boxes: Vec::new(), memory_ms, endpoint };
        fleet.add_endpoint("engine-1", "v1").await;
        fleet.start_boxes(boxes).await;
        fleet
    }

    async fn start_boxes(&mut self, count: usize) {
        for number in 0..count {
            self.boxes.push(self.start_box(&format!("box-{number}")).await);
        }
        for gateway in &self.boxes {
            let knows_all = async || gateway.peer_count() == count - 1;
            wait_until("the boxes know each other", knows_all).await;
            wait_until_served(&self.harness, gateway, PATH).await;
        }
    }

    async fn start_box(&self, name: &str) -> Gateway {
        let mut settings = settings(name, self.harness.platform.socket());
        settings.streams.memory_ms = self.memory_ms;
        // Another incarnation at each start.
        let seed = self.harness.new_request("key-b", 1, 1).id;
        let seed = seed.bytes().fold(0, |seed, byte| seed * 31 + u64::from(byte));
        Gateway::spawn(settings, seed).await.expect("the gateway starts")
    }

    async fn add_endpoint(&self, id: &str, version: &str) {
        let registration =
            Registration { version, ..fixtures::registration(SERVICE, self.endpoint.address()) };
        self.harness.write_raw_entry(id, registration.entry().to_string()).await;
    }

    async fn record(&self) -> Option<Record> {
        let found = self.harness.platform.memory().get(VERSIONS, SERVICE).await;
        found.expect("memory answers").map(|object| Record::read(&object))
    }

    /// The version that the record proves to be the only one; the outer `None` if there is no record.
    async fn recorded(&self) -> Option<Option<Arc<str>>> {
        let era = self.harness.platform.memory().era();
        self.record().await.map(|record| record.sole(era))
    }

    async fn wait_until_recorded(&self, sole: Option<&str>) {
        let want = Some(sole.map(Into::into));
        wait_until("the record", async || self.recorded().await == want).await;
    }

    /// Waits until each box knows all entries written so far, by one more that is written after them.
    async fn wait_until_current(&self) {
        let marker = self.harness.new_request("key-b", 1, 1).id;
        self.harness.write_entry(&marker, &marker, self.endpoint.address(), true).await;
        for gateway in &self.boxes {
            let is_current = async || gateway.versions_seen(&marker) != Seen::Nothing;
            wait_until("the box knows all entries", is_current).await;
        }
    }

    /// Calls of all boxes about records of versions.
    fn calls(&self, operation: Operation) -> u64 {
        self.boxes.iter().map(|gateway| calls(gateway, operation)).sum()
    }
}

fn calls(gateway: &Gateway, operation: Operation) -> u64 {
    let calls = gateway.calls().snapshot();
    calls.get(&(operation, VERSIONS.into())).map_or(0, |count| count.calls)
}

async fn sole_version(gateway: &Gateway) -> Option<Arc<str>> {
    gateway.sole_version(SERVICE, tokio::time::Instant::now() + MAX_WAIT).await
}

/// Waits until a box knows the only version.
async fn wait_until_known(gateway: &Gateway, version: &str) {
    let knows = async || sole_version(gateway).await.as_deref() == Some(version);
    wait_until("the box knows the only version", knows).await;
}

/// Asks a box for the only version until it has read the record; fails if it names one.
async fn assert_unknown_by_record(gateway: &Gateway) {
    let has_read = async || {
        assert_eq!(sole_version(gateway).await, None);
        let calls = gateway.calls().snapshot();
        calls.get(&(Operation::Get, VERSIONS.into())).is_some_and(|count| count.received > 0)
    };
    wait_until("the box has read the record", has_read).await;
    assert_eq!(sole_version(gateway).await, None);
}

/// Guards against services without a record, and against boxes that all write it.
#[tokio::test]
async fn few_boxes_record_the_only_version() {
    let fleet = Fleet::start(BOXES, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    // More endpoints of the same version change nothing.
    fleet.add_endpoint("engine-2", "v1").await;
    fleet.wait_until_current().await;
    for gateway in &fleet.boxes {
        wait_until_known(gateway, "v1").await;
    }
    let writes = fleet.calls(Operation::Put);
    assert!((1..=MAX_CALLS).contains(&writes), "{writes} writes");
}

/// Guards against records that outlast the only version, and against many calls for a release.
#[tokio::test]
async fn a_record_loses_its_version_when_a_second_one_registers() {
    let fleet = Fleet::start(BOXES, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    let writes = fleet.calls(Operation::Put);
    fleet.add_endpoint("engine-2", "v2").await;
    fleet.wait_until_recorded(None).await;
    fleet.wait_until_current().await;
    for gateway in &fleet.boxes {
        assert_eq!(gateway.versions_seen(SERVICE), Seen::Several);
    }
    let reads = fleet.calls(Operation::Get);
    for gateway in &fleet.boxes {
        assert_eq!(sole_version(gateway).await, None);
    }
    assert_eq!(fleet.calls(Operation::Get), reads, "who sees two versions reads nothing");
    let writes = fleet.calls(Operation::Put) - writes;
    assert!((1..=MAX_CALLS).contains(&writes), "{writes} writes");
    // The first version is gone, but streams that it began may still be taken up.
    fleet.harness.remove_entry("engine-1").await;
    fleet.wait_until_current().await;
    for gateway in &fleet.boxes {
        assert_eq!(sole_version(gateway).await, None);
    }
    assert_eq!(fleet.recorded().await, Some(None));
}

/// Guards against services that are never again known to have one version after a release.
#[tokio::test]
async fn the_version_of_a_release_is_recorded_once_it_was_the_only_one_for_long_enough() {
    let fleet = Fleet::start(BOXES, SHORT_MEMORY_MS).await;
    fleet.add_endpoint("engine-2", "v2").await;
    fleet.wait_until_recorded(None).await;
    let writes = fleet.calls(Operation::Put);
    fleet.harness.remove_entry("engine-1").await;
    fleet.wait_until_recorded(Some("v2")).await;
    for gateway in &fleet.boxes {
        wait_until_known(gateway, "v2").await;
    }
    let writes = fleet.calls(Operation::Put) - writes;
    assert!((1..=MAX_CALLS).contains(&writes), "{writes} writes");
}

/// Guards against refusals where there never was but one version, and no box remembers that.
#[tokio::test]
async fn new_boxes_learn_the_only_version_after_all_others_died() {
    let mut fleet = Fleet::start(BOXES, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    fleet.boxes.clear();
    fleet.start_boxes(BOXES).await;
    for gateway in &fleet.boxes {
        wait_until_known(gateway, "v1").await;
    }
    assert_eq!(fleet.calls(Operation::Put), 0, "the record is right");
}

/// Guards against boxes that take the version of now for that of streams that began before they started.
#[tokio::test]
async fn new_boxes_do_not_trust_a_version_that_was_not_the_only_one() {
    let mut fleet = Fleet::start(2, LONG_MEMORY_MS).await;
    fleet.add_endpoint("engine-2", "v2").await;
    fleet.wait_until_recorded(None).await;
    fleet.boxes.clear();
    fleet.harness.remove_entry("engine-1").await;
    fleet.start_boxes(2).await;
    for gateway in &fleet.boxes {
        assert_unknown_by_record(gateway).await;
    }
}

/// Guards against boxes that trust a record of another version than the one present.
#[tokio::test]
async fn new_boxes_do_not_trust_a_record_of_a_version_that_is_gone() {
    let mut fleet = Fleet::start(2, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    fleet.boxes.clear();
    fleet.add_endpoint("engine-1", "v2").await;
    // Without streams that can be taken up, the record stays as it is.
    fleet.harness.configure(2, PAID, &["stream"]).await;
    let gateway = fleet.harness.gateway_without_peers("box-0").await;
    let sees = async || gateway.versions_seen(SERVICE) != Seen::Nothing;
    wait_until("the box sees the endpoint", sees).await;
    assert_unknown_by_record(&gateway).await;
    assert_eq!(fleet.recorded().await, Some(Some("v1".into())));
    fleet.harness.configure(3, PAID, &["resume"]).await;
    fleet.wait_until_recorded(None).await;
}

/// Guards against a call for each request.
#[tokio::test]
async fn many_requests_cause_one_read() {
    let fleet = Fleet::start(1, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    let gateway = &fleet.boxes[0];
    let before = calls(gateway, Operation::Get);
    let began = Instant::now();
    futures_util::future::join_all((0..50).map(|_| wait_until_known(gateway, "v1"))).await;
    // One for each second, and one more.
    let reads = calls(gateway, Operation::Get) - before;
    assert!(reads <= 1 + began.elapsed().as_secs(), "{reads} reads");
}

/// Guards against knowledge that a store which came back from an older copy does not have any more.
#[tokio::test]
async fn a_store_from_an_older_copy_gets_the_record_again() {
    let fleet = Fleet::start(2, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    let copy = fleet.harness.platform.memory().copy();
    fleet.add_endpoint("engine-2", "v2").await;
    fleet.wait_until_recorded(None).await;
    fleet.harness.platform.memory().return_from(copy);
    fleet.wait_until_recorded(None).await;
}

/// Guards against a box that vouches for what it cannot see: another version may be there by now.
#[tokio::test]
async fn a_box_without_the_store_knows_nothing_for_sure() {
    let harness = Harness::start(PAID, &["resume"]).await;
    let _endpoint = harness.endpoint("engine-1", SERVICE, answer_ok).await;
    let (gateway, link) = harness.gateway_with_link("box-0").await;
    wait_until_served(&harness, &gateway, PATH).await;
    let knows = async || sole_version(&gateway).await.is_some();
    wait_until("the record", knows).await;
    link.set_cut(true);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(sole_version(&gateway).await, None);
    let counted = calls(&gateway, Operation::Put);
    link.set_cut(false);
    wait_until("the store answers again", knows).await;
    assert_eq!(calls(&gateway, Operation::Put), counted, "nothing changed");
}

/// Guards against records that no request ever sees, because each read takes longer than a request waits and is
/// forgotten before the next one asks.
#[tokio::test]
async fn rare_requests_learn_the_only_version_from_a_slow_store() {
    let mut fleet = Fleet::start(2, LONG_MEMORY_MS).await;
    fleet.wait_until_recorded(Some("v1")).await;
    fleet.boxes.clear();
    fleet.start_boxes(2).await;
    fleet.harness.platform.set(|faults| faults.delay = Duration::from_millis(200));
    let mut known = 0;
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        known += usize::from(sole_version(&fleet.boxes[0]).await.is_some());
    }
    assert!(known > 0, "none of 5 requests learned the record, which each of them had read");
}
