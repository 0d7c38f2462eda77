//! A store that refuses reads for a moment.
//!
//! Guards against a box that lists all endpoints again because a watch or a page was refused, and by that is refused on.

use std::time::Duration;

use gateway::Gateway;
use objects::{Expect, Store};
use platform::{
    fixtures,
    store::{Client, Options},
};

use crate::harness::{Harness, answer_ok, call, settings, wait_until_served};

/// Thirty pages of a list.
const ENDPOINTS: usize = 15_000;
/// Fewer than a list takes, and twice as many as the watches of a box.
const READS_PER_S: u32 = 10;
const MAX_AGE: Duration = Duration::from_millis(2_000);
/// How long others use up all reads.
const BURST: Duration = Duration::from_millis(3_000);
/// Time for a box to catch up afterwards.
const RECOVERY: Duration = Duration::from_secs(8);
const REQUESTS: usize = 24;

/// Requests that reach a leaving endpoint after the time that a box has for it. `burst`: whether others use up the reads
/// of the store before.
async fn arrivals(burst: bool) -> usize {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let _stays = harness.endpoint("i-2", "plain", answer_ok).await;
    for n in 0..ENDPOINTS {
        // Of no service that a route has.
        let nowhere = "127.0.0.1:1".parse().expect("an address");
        let entry = fixtures::entry("unused", nowhere, false);
        let name = format!("j-{n:05}");
        harness.platform.memory().put(platform::ENDPOINTS, &name, entry, Expect::Absent).await;
    }
    let mut settings = settings("box-0", harness.platform.socket());
    settings.store.max_age_ms = MAX_AGE.as_millis() as u64;
    let gateway = Gateway::spawn(settings, 1).await.expect("the gateway starts");
    wait_until_served(&harness, &gateway, "/open/x").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    harness.platform.set(|faults| faults.reads_per_s = READS_PER_S);
    tokio::time::sleep(Duration::from_secs(2)).await;
    if burst {
        let client = Client::open(Options {
            address: format!("http://{}", harness.platform.socket()),
            timeout: Duration::from_secs(1),
            watch_timeout: Duration::from_secs(1),
        });
        let began = tokio::time::Instant::now();
        while began.elapsed() < BURST {
            let _ = client.get("nothing", "nothing").await;
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    harness.write_entry("i-1", "plain", leaving.address(), false).await;
    tokio::time::sleep(RECOVERY).await;
    let before = leaving.arrived().len();
    for _ in 0..REQUESTS {
        call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
    }
    leaving.arrived().len() - before
}

/// So the limit itself suffices for the box.
#[tokio::test]
async fn a_leaving_endpoint_gets_no_requests_with_few_reads() {
    assert_eq!(arrivals(false).await, 0);
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_requests_after_the_store_refused_reads_for_a_moment() {
    assert_eq!(arrivals(true).await, 0);
}
