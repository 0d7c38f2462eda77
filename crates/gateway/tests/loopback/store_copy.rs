//! The store comes back from an older copy of itself: what it acknowledged since is gone, and versions are given out again.

use std::time::Duration;

use gateway::Gateway;
use http::StatusCode;
use standin::{Copy, ScriptedEndpoint};

use crate::harness::{Harness, answer_ok, call, charged_tokens, wait_until, wait_until_served};

/// More than all requests of a test use, unless it names another amount.
const PAID: u64 = 1_000_000;
/// Number of boxes: two that read the store, and two that subscribe to them.
const BOXES: usize = 4;
/// Time for which the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(400);
/// Number of writes that are lost.
const LOST_WRITES: u64 = 20;

struct Fleet {
    harness: Harness,
    boxes: Vec<Gateway>,
    _endpoint: ScriptedEndpoint,
}

impl Fleet {
    async fn start(paid: u64, routes: &[&str]) -> Fleet {
        let harness = Harness::start(paid, routes).await;
        let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
        let mut boxes = Vec::new();
        for n in 0..BOXES {
            boxes.push(harness.gateway(&format!("box-{n}")).await);
        }
        for gateway in &boxes {
            wait_until("the boxes know each other", async || gateway.peer_count() == BOXES - 1)
                .await;
            wait_until_served(&harness, gateway, "/open/x").await;
        }
        Fleet { harness, boxes, _endpoint }
    }

    /// Writes as the operator does, so that the versions of the store grow.
    async fn write_much(&self) {
        for _ in 0..LOST_WRITES {
            self.harness.evacuate("z9").await;
            self.harness.end_evacuation("z9").await;
        }
    }

    /// The store is away for a moment, and comes back from a copy.
    async fn return_from(&self, copy: Copy) {
        self.harness.platform.set(|faults| faults.down = true);
        tokio::time::sleep(AWAY).await;
        self.harness.platform.memory().return_from(copy);
        self.harness.platform.set(|faults| faults.down = false);
    }
}

/// Guards against boxes that hold an older configuration for the newer one because the version of its object is higher:
/// the store had given out that version before it came back from a copy.
#[tokio::test]
async fn a_configuration_written_after_the_store_came_back_from_a_copy_is_in_force() {
    let fleet = Fleet::start(PAID, &["open"]).await;
    let copy = fleet.harness.platform.memory().copy();
    fleet.write_much().await;
    fleet.harness.configure(2, PAID, &["open", "lost"]).await;
    for gateway in &fleet.boxes {
        wait_until_served(&fleet.harness, gateway, "/lost/x").await;
    }
    fleet.return_from(copy).await;
    fleet.harness.configure(3, PAID, &["open", "added"]).await;
    for gateway in &fleet.boxes {
        wait_until_served(&fleet.harness, gateway, "/added/x").await;
        let request = fleet.harness.new_request("key-b", 1, 1);
        let dropped = call(gateway.callers(), "/lost/x", &request).await;
        assert_eq!(dropped.status, StatusCode::NOT_FOUND);
    }
}

/// Guards against a budget that is granted a second time: what boxes drew in the lost seconds is missing from the copy.
#[tokio::test]
async fn tokens_drawn_before_the_store_came_back_from_a_copy_are_not_granted_again() {
    const SMALL: u64 = 20_000;
    const REQUEST: u64 = 500;
    let fleet = Fleet::start(SMALL, &["open", "confirm"]).await;
    let copy = fleet.harness.platform.memory().copy();
    let charged = |fleet: &Fleet| fleet.boxes.iter().map(charged_tokens).sum::<u64>();
    let spend = async |requests: u64| {
        for n in 0..requests {
            let gateway = &fleet.boxes[n as usize % BOXES];
            let request = fleet.harness.new_request("key-b", REQUEST, 1);
            call(gateway.callers(), "/confirm/x", &request).await;
        }
    };
    spend(SMALL / REQUEST / 2).await;
    let before = charged(&fleet);
    assert!(before > SMALL / 4, "much is spent before: {before}");
    fleet.return_from(copy).await;
    // Far more than is left, for long enough that tokens come back from anywhere.
    for _ in 0..10 {
        spend(SMALL / REQUEST / 4).await;
        tokio::time::sleep(AWAY).await;
    }
    let after = charged(&fleet);
    assert!(after <= SMALL, "{after} of {SMALL} tokens are spent");
    assert!(after > before, "what is left can be spent");
}

/// Guards against bills that nobody writes again: their authors forgot them once the store had acknowledged their page.
#[tokio::test]
async fn bills_written_before_the_store_came_back_from_a_copy_are_written_again() {
    let fleet = Fleet::start(PAID, &["open", "confirm"]).await;
    let copy = fleet.harness.platform.memory().copy();
    let mut served = Vec::new();
    for n in 0..4 * BOXES {
        let request = fleet.harness.new_request("key-b", 1, 1);
        call(fleet.boxes[n % BOXES].callers(), "/confirm/x", &request).await;
        served.push(request.id);
    }
    wait_until("all bills are written", async || {
        fleet.boxes.iter().all(|gateway| gateway.bills_waiting() == 0)
    })
    .await;
    fleet.return_from(copy).await;
    wait_until("all bills are written again", async || {
        let mut billed = fleet.harness.billed_keys().await;
        billed.sort();
        served.iter().all(|id| billed.binary_search(id).is_ok())
    })
    .await;
    let mut billed = fleet.harness.billed_keys().await;
    let all = billed.len();
    billed.sort();
    billed.dedup();
    assert_eq!(billed.len(), all, "each request is billed once");
}

/// Guards against boxes that nobody finds any more: their entries are missing from the copy.
#[tokio::test]
async fn entries_of_boxes_are_written_again_after_the_store_came_back_from_a_copy() {
    let harness = Harness::start(PAID, &["open"]).await;
    let copy = harness.platform.memory().copy();
    let gateway = harness.gateway("box-1").await;
    wait_until("the box is listed", async || harness.box_entry("box-1").await.is_some()).await;
    harness.platform.memory().return_from(copy);
    assert!(harness.box_entry("box-1").await.is_none(), "the entry is lost");
    wait_until("the box is listed again", async || harness.box_entry("box-1").await.is_some())
        .await;
    drop(gateway);
}

/// Guards against an endpoint that gets new work again because the copy still shows its entry.
#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_after_the_store_came_back_from_a_copy() {
    let fleet = Fleet::start(PAID, &["open"]).await;
    let leaving = fleet.harness.endpoint("i-2", "plain", answer_ok).await;
    let send_some = async || {
        for n in 0..4 * BOXES {
            let request = fleet.harness.new_request("key-b", 1, 1);
            call(fleet.boxes[n % BOXES].callers(), "/open/x", &request).await;
        }
    };
    wait_until("the endpoint gets work", async || {
        send_some().await;
        !leaving.arrived().is_empty()
    })
    .await;
    let copy = fleet.harness.platform.memory().copy();
    fleet.harness.remove_entry("i-2").await;
    wait_until("the endpoint gets no more work", async || {
        let before = leaving.arrived().len();
        send_some().await;
        leaving.arrived().len() == before
    })
    .await;
    let before = leaving.arrived().len();
    fleet.return_from(copy).await;
    for _ in 0..5 {
        send_some().await;
        tokio::time::sleep(AWAY).await;
    }
    assert_eq!(leaving.arrived().len(), before, "requests at the endpoint that left");
}
