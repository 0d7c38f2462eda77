//! Boxes that send to an endpoint long after it said that it leaves, because what they know is old and nothing says so.
//!
//! Guards against silence that is taken for "nothing changed": of a watch, of a box that watches, of several in a row.

use std::time::Duration;

use gateway::{Gateway, Profile, Regions, watchers};
use ledger::Incarnation;
use objects::Operation;
use standin::{Link, ScriptedEndpoint};

use crate::{
    dead_watch::Forwarder,
    harness::{Harness, answer_ok, call, settings, wait_until, wait_until_served},
    sync::store_reads,
};

/// Time after which a leaving endpoint must get no more requests.
const MAX_AGE: Duration = Duration::from_millis(3_000);
/// Requests that each box sends then; half of them went to the endpoint that leaves.
const REQUESTS: usize = 24;

/// Starts boxes that must know of a change within [`MAX_AGE`], and waits until they know each other.
async fn boxes(harness: &Harness, count: usize) -> Vec<Gateway> {
    let mut boxes = Vec::new();
    for n in 0..count {
        let mut settings = settings(&format!("box-{n}"), harness.platform.socket());
        settings.store.max_age_ms = MAX_AGE.as_millis() as u64;
        boxes.push(Gateway::spawn(settings, n as u64).await.expect("the gateway starts"));
    }
    for gateway in &boxes {
        wait_until_served(harness, gateway, "/open/x").await;
        wait_until("the boxes know each other", async || gateway.peer_count() == count - 1).await;
    }
    boxes
}

/// Requests that reach an endpoint after each box sent a few.
async fn arrivals<'a>(
    harness: &Harness,
    boxes: impl IntoIterator<Item = &'a Gateway>,
    endpoint: &ScriptedEndpoint,
) -> usize {
    let before = endpoint.arrived().len();
    for gateway in boxes {
        for _ in 0..REQUESTS {
            call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        }
    }
    endpoint.arrived().len() - before
}

/// Guards against boxes whose watches hear nothing while the store answers everything else, for as long as a watch waits.
#[tokio::test]
async fn a_leaving_endpoint_gets_no_requests_although_all_watches_are_deaf() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let _stays = harness.endpoint("i-2", "plain", answer_ok).await;
    let boxes = boxes(&harness, 4).await;
    harness.platform.set(|faults| faults.deaf_watches = true);
    // Each watch that heard of a change before ends with one.
    harness.write_entry("i-3", "plain", leaving.address(), false).await;
    harness.evacuate("z9").await;
    harness.configure(2, 1_000_000, &["open", "other"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    harness.write_entry("i-1", "plain", leaving.address(), false).await;
    tokio::time::sleep(MAX_AGE).await;
    assert_eq!(arrivals(&harness, &boxes, &leaving).await, 0, "requests after {MAX_AGE:?}");
}

/// The same for the configuration: a route is served although no watch hears of it.
#[tokio::test]
async fn a_configuration_is_in_force_although_all_watches_are_deaf() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let boxes = boxes(&harness, 4).await;
    harness.platform.set(|faults| faults.deaf_watches = true);
    harness.configure(2, 1_000_000, &["open", "other"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    harness.configure(3, 1_000_000, &["open", "cancel"]).await;
    tokio::time::sleep(MAX_AGE).await;
    for gateway in &boxes {
        let request = harness.new_request("key-b", 1, 1);
        let status = call(gateway.callers(), "/cancel/x", &request).await.status;
        assert_eq!(status, 200, "{MAX_AGE:?} after the configuration with this route");
    }
}

/// Boxes that have nothing confirmed while a test runs: they take what they know for current.
const NEVER_MS: u64 = 600_000;
/// Two of them watch, so that the third has no other source.
const FLEET: [&str; 3] = ["box-0", "box-1", "box-2"];

fn profile(name: &str) -> Profile {
    Profile {
        incarnation: Incarnation::new(name, 1),
        zone: "z1".into(),
        capacity: gateway::settings::Machine::default().capacity(),
    }
}

/// The watchers of the fleet, in the order in which a box asks them.
fn roots_of(name: &str) -> Vec<String> {
    let others: Vec<Profile> =
        FLEET.iter().filter(|other| **other != name).map(|other| profile(other)).collect();
    let watchers = watchers(&profile(name), &others, &Regions::default());
    watchers.roots.iter().map(|root| root.box_name().to_owned()).collect()
}

/// A box that only subscribes, with the watchers in its order.
fn subscriber() -> (&'static str, Vec<String>) {
    let mut names = FLEET.into_iter().map(|name| (name, roots_of(name)));
    names.find(|(name, roots)| !roots.contains(&(*name).to_owned())).expect("two boxes watch")
}

/// Starts a fleet in which the watches of some watchers die while these answer their subscribers as ever; then an
/// endpoint leaves. Returns the requests that it gets [`MAX_AGE`] later from a subscriber.
async fn requests_behind_deaf_watchers(deaf: &[String]) -> usize {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let _stays = harness.endpoint("i-2", "plain", answer_ok).await;
    let forwarder = Forwarder::bind(harness.platform.socket()).await;
    let (subscriber, roots) = subscriber();
    let others = FLEET.into_iter().filter(|name| !roots.contains(&(*name).to_owned()));
    let mut boxes = Vec::new();
    // Watchers first, so that no other box is the only one in the fleet when it starts.
    for name in roots.iter().map(String::as_str).chain(others) {
        let is_deaf = deaf.iter().any(|other| other == name);
        let store = if is_deaf { forwarder.address() } else { harness.platform.socket() };
        let mut settings = settings(name, store);
        settings.store.max_age_ms = if is_deaf { NEVER_MS } else { MAX_AGE.as_millis() as u64 };
        boxes.push((name, Gateway::spawn(settings, 1).await.expect("the gateway starts")));
    }
    for (_, gateway) in &boxes {
        wait_until_served(&harness, gateway, "/open/x").await;
        wait_until("the boxes know each other", async || gateway.peer_count() == FLEET.len() - 1)
            .await;
    }
    let (_, subscriber) = boxes.iter().find(|(name, _)| *name == subscriber).expect("it started");
    wait_until("the box reads nothing from the store itself", async || {
        let before = store_reads(subscriber);
        tokio::time::sleep(MAX_AGE / 2).await;
        store_reads(subscriber) == before
    })
    .await;
    forwarder.kill_watches_only();
    harness.write_entry("i-1", "plain", leaving.address(), false).await;
    tokio::time::sleep(MAX_AGE).await;
    arrivals(&harness, [subscriber], &leaving).await
}

/// Guards against boxes that are as deaf as their watcher, although another one knows.
#[tokio::test]
async fn a_subscriber_leaves_a_watcher_that_answers_and_knows_nothing_new() {
    // It listens to one of them.
    for root in subscriber().1 {
        let late = requests_behind_deaf_watchers(std::slice::from_ref(&root)).await;
        assert_eq!(late, 0, "requests after {MAX_AGE:?}, {root} is deaf");
    }
}

/// Guards against the same where no watcher knows: the store does.
#[tokio::test]
async fn a_subscriber_asks_the_store_when_all_watchers_know_nothing_new() {
    let (_, roots) = subscriber();
    assert_eq!(requests_behind_deaf_watchers(&roots).await, 0, "requests after {MAX_AGE:?}");
}

/// Time over which the calls of roots are counted.
const COUNTED: Duration = Duration::from_secs(8);
/// Parts of [`MAX_AGE`] after which the store has to confirm the four states that a root follows.
const DUE: [f64; 4] = [0.35, 0.4, 1.0, 1.0];
/// Most calls of two roots in a busy time, in those that one needs: the second opens few watches besides.
const MAX_SHARE: f64 = 1.4;

/// Watches of the store by two roots within [`COUNTED`] that confirm what they know.
async fn confirmations(is_busy: bool) -> u64 {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let boxes = boxes(&harness, 2).await;
    tokio::time::sleep(MAX_AGE).await;
    let watches = || boxes.iter().map(|root| root.calls().total(Operation::Watch)).sum::<u64>();
    let before = watches();
    let ended = tokio::time::Instant::now() + COUNTED;
    while tokio::time::Instant::now() < ended {
        if is_busy {
            // What no root follows: only the version of the store grows.
            harness.write_other("counter").await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    watches() - before
}

/// Guards against calls that double because each root has the store confirm what both know.
#[tokio::test]
async fn one_root_has_the_store_confirm_what_both_know() {
    let (calm, busy) = tokio::join!(confirmations(false), confirmations(true));
    println!("calls of two roots: calm {calm}, busy {busy}");
    let of_one_root: f64 =
        DUE.iter().map(|part| COUNTED.as_secs_f64() / (part * MAX_AGE.as_secs_f64())).sum();
    // Boxes themselves write now and then; while nobody does, the watch of the endpoints confirms all states.
    assert!(
        calm <= of_one_root as u64,
        "{calm} calls in a calm time, one root's are {of_one_root}"
    );
    let most = (of_one_root * MAX_SHARE) as u64;
    assert!(busy <= most, "{busy} calls in a busy time, {most} allowed");
}

/// Ages of the endpoints beyond which other boxes leave a root: 0.6 of [`MAX_AGE`].
const MAX_ROOT_AGE_MS: u64 = 1_800;

/// Age of what a box knows of the endpoints, in milliseconds.
async fn endpoints_age_ms(gateway: &Gateway) -> u64 {
    let page = reqwest::get(format!("http://{}/metrics", gateway.operators())).await;
    let text = page.expect("a page").text().await.expect("a page");
    let line = text.lines().find_map(|line| line.split_once("{state=\"endpoints\"} "));
    line.expect("an age").1.parse().expect("a number")
}

/// What happens to one of two roots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The first does not reach the store any more.
    FirstCutOff,
    FirstGone,
    OtherCutOff,
}

/// Guards against a root that grows old because the one that has the store confirm its state does not any more, or because
/// it does not reach the store itself while that one does.
#[tokio::test]
async fn the_other_root_stays_current_whichever_fails() {
    for fault in [Fault::FirstCutOff, Fault::FirstGone, Fault::OtherCutOff] {
        let harness = Harness::start(1_000_000, &["open"]).await;
        let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
        let link = Link::bind(harness.platform.socket(), Duration::ZERO).await.expect("a link");
        let roots = watchers(&profile("box-0"), &[profile("box-1")], &Regions::default());
        let first = roots.confirming.expect("two boxes watch");
        let mut boxes = Vec::new();
        for name in ["box-0", "box-1"] {
            let is_first = name == first.box_name();
            let has_link = is_first == (fault != Fault::OtherCutOff);
            let store = if has_link { link.address() } else { harness.platform.socket() };
            let mut settings = settings(name, store);
            settings.store.max_age_ms = MAX_AGE.as_millis() as u64;
            boxes.push((!is_first, Gateway::spawn(settings, 1).await.expect("the gateway starts")));
        }
        for (_, gateway) in &boxes {
            wait_until_served(&harness, gateway, "/open/x").await;
            wait_until("the boxes know each other", async || gateway.peer_count() == 1).await;
        }
        tokio::time::sleep(MAX_AGE).await;
        boxes.sort_by_key(|(is_other, _)| *is_other);
        let (_, other) = boxes.pop().expect("two boxes");
        match fault {
            Fault::FirstCutOff | Fault::OtherCutOff => link.set_cut(true),
            Fault::FirstGone => boxes.clear(),
        }
        let ended = tokio::time::Instant::now() + 2 * MAX_AGE;
        while tokio::time::Instant::now() < ended {
            let age_ms = endpoints_age_ms(&other).await;
            assert!(age_ms < MAX_ROOT_AGE_MS, "{age_ms} ms, {fault:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
