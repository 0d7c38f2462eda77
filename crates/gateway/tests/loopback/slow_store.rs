//! A store whose link is too narrow for a moment.
//!
//! Guards against boxes that keep the store from answering by what they do because it does not answer.

use std::{net::SocketAddr, time::Duration};

use gateway::Gateway;
use http::StatusCode;
use objects::{Expect, Operation, Store};
use platform::fixtures;

use crate::{
    harness::{Harness, answer_ok, call, settings, wait_until_within},
    sync::store_reads,
};

const BOXES: usize = 16;
/// Endpoints in the store; a list of them has some 0.5 MB.
const ENDPOINTS: usize = 1_500;
/// Carries what two watchers and their standbys read in a few seconds.
const LINK_BYTES_PER_S: u64 = 1_000_000;
/// While the store is slow, a list takes longer than any call may.
const SLOW_BYTES_PER_S: u64 = 40_000;
/// How long it is slow: all that the boxes know is outdated by then.
const SLOW_TIME: Duration = Duration::from_secs(6);
/// Age that what a box knows must not pass, and time for a fleet to get up once the store is fast.
const MAX_AGE: Duration = Duration::from_millis(2_000);
const RECOVERY: Duration = Duration::from_secs(8);
/// Most boxes that may read the store: two watchers and two on standby, with one or two that knew too few others.
const MAX_READERS: usize = 6;
/// Most probes of the store that each box may send in a second while it is slow.
const MAX_PROBES_PER_S: f64 = 3.0;

/// Calls with which the boxes looked whether the store answers.
fn probes(boxes: &[Gateway]) -> u64 {
    let calls = boxes.iter().flat_map(|gateway| gateway.calls().snapshot());
    calls.filter(|((kind, _), _)| *kind == Operation::OldGet).map(|(_, count)| count.calls).sum()
}

fn readers(boxes: &[Gateway], before: &[u64]) -> usize {
    boxes.iter().zip(before).filter(|(gateway, before)| store_reads(gateway) > **before).count()
}

async fn is_served(harness: &Harness, gateway: &Gateway, path: &str) -> bool {
    let request = harness.new_request("key-b", 1, 1);
    call(gateway.callers(), path, &request).await.status == StatusCode::OK
}

/// Starts boxes before a store that lists many endpoints, and waits until they serve and know each other.
async fn fleet(harness: &Harness) -> Vec<Gateway> {
    let nowhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    for n in 0..ENDPOINTS {
        let entry = fixtures::entry("plain", nowhere, false);
        let name = format!("j-{n:05}");
        harness.platform.memory().put(platform::ENDPOINTS, &name, entry, Expect::Absent).await;
    }
    let mut boxes = Vec::new();
    for n in 0..BOXES {
        let mut settings = settings(&format!("box-{n}"), harness.platform.socket());
        settings.store.timeout_ms = 1_000;
        settings.store.max_age_ms = MAX_AGE.as_millis() as u64;
        boxes.push(Gateway::spawn(settings, n as u64).await.expect("the gateway starts"));
    }
    for gateway in &boxes {
        wait_until_within(
            Duration::from_secs(60),
            "the box serves and knows the others",
            async || {
                gateway.peer_count() == BOXES - 1 && is_served(harness, gateway, "/cancel/x").await
            },
        )
        .await;
    }
    boxes
}

/// A store that is slow for some seconds: what all boxes know is outdated, and the store still answers small calls.
#[tokio::test]
async fn boxes_leave_a_slow_store_to_the_few_that_watch_it() {
    let harness = Harness::start(1_000_000, &["cancel"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let boxes = fleet(&harness).await;
    harness.platform.set(|faults| faults.link_bytes_per_s = LINK_BYTES_PER_S);
    let (reads, probed) = (boxes.iter().map(store_reads).collect::<Vec<_>>(), probes(&boxes));
    harness.platform.set(|faults| {
        faults.link_bytes_per_s = SLOW_BYTES_PER_S;
        faults.forgets_history = true;
    });
    tokio::time::sleep(SLOW_TIME).await;
    harness.platform.set(|faults| {
        faults.link_bytes_per_s = LINK_BYTES_PER_S;
        faults.forgets_history = false;
    });
    let probes_per_s = (probes(&boxes) - probed) as f64 / SLOW_TIME.as_secs_f64() / BOXES as f64;
    // Its requests need no tokens, so that only the configuration decides.
    harness.configure(2, 1_000_000, &["cancel", "open"]).await;
    tokio::time::sleep(RECOVERY).await;
    let mut late = Vec::new();
    for (n, gateway) in boxes.iter().enumerate() {
        if !is_served(&harness, gateway, "/open/x").await {
            late.push(n);
        }
    }
    assert!(late.is_empty(), "boxes without a route that was added {RECOVERY:?} ago: {late:?}");
    let readers = readers(&boxes, &reads);
    assert!(readers <= MAX_READERS, "{readers} of {BOXES} boxes read the store themselves");
    assert!(probes_per_s <= MAX_PROBES_PER_S, "{probes_per_s} probes a second from each box");
}
