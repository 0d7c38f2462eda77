//! The guarantees of real routers hold through crashes, partitions, suspensions and outages.

use std::time::Duration;

use trial::{Figures, Fleet, Outcome, Plan, Request, Response};

/// Longest wait until all runs are billed.
const BILLING_TIMEOUT: Duration = Duration::from_secs(40);

/// Starts a fleet and waits until every box holds offline tokens of the sample budget.
async fn spawn_with_offline_tokens(plan: Plan) -> Fleet {
    let fleet = Fleet::spawn(plan).await;
    let boxes = fleet.nodes.len();
    while fleet.ledger("bornova").await.grants.values().filter(|g| g.offline > 0).count() < boxes {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet
}

fn request(key: &str) -> Request {
    Request::chat("dis", "bornova", key)
}

/// Sends a request again with the same key until there is a complete response.
async fn send_until_answered(fleet: &Fleet, at: usize, request: &Request) -> Response {
    loop {
        let response = fleet.caller.send(fleet.callers_address(at), request).await;
        if response.outcome == Outcome::Answered {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn sound_figures(fleet: &Fleet) -> Figures {
    assert!(fleet.settle(BILLING_TIMEOUT).await, "not all runs were billed in time");
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    figures
}

#[tokio::test]
async fn partitioned_box_serves_and_is_billed_later() {
    let fleet = spawn_with_offline_tokens(Plan::default()).await;
    fleet.set_partition(&[0], true);
    for number in 0..5 {
        send_until_answered(&fleet, 0, &request(&format!("cut-{number}"))).await;
        send_until_answered(&fleet, 1, &request(&format!("whole-{number}"))).await;
    }
    fleet.set_partition(&[0], false);
    let figures = sound_figures(&fleet).await;
    assert_eq!((figures.unbilled, figures.served_tokens), (0, figures.billed_tokens));
}

#[tokio::test]
async fn box_without_platform_works_through_a_peer() {
    let fleet = spawn_with_offline_tokens(Plan::default()).await;
    fleet.links[0].set_cut(true);
    let cancel = |n: usize| Request::service("dis", "bornova", "cancel", &format!("chair-{n}"));
    // A claim needs the platform, so a response shows that the box worked through a peer.
    send_until_answered(&fleet, 0, &cancel(1)).await;
    send_until_answered(&fleet, 0, &cancel(2)).await;
    fleet.links[0].set_cut(false);
    sound_figures(&fleet).await;
    assert_eq!(fleet.services[0].runs_by_key().values().max(), Some(&1));
}

#[tokio::test]
async fn suspended_box_is_sealed_and_continues_as_another_incarnation() {
    let mut fleet = spawn_with_offline_tokens(Plan::default()).await;
    send_until_answered(&fleet, 0, &request("before")).await;
    let first = fleet.nodes[0].incarnation().await.unwrap();
    fleet.nodes[0].pause();
    // The others seal its journal when it has been silent for the configured time.
    while !fleet.ledger("bornova").await.grants.get(&first).is_some_and(|grant| grant.sealed) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.nodes[0].resume();
    send_until_answered(&fleet, 0, &request("after")).await;
    while fleet.nodes[0].incarnation().await.unwrap() == first {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    sound_figures(&fleet).await;
    // The box itself returns the tokens of its former incarnation, so that none stay stranded.
    while fleet.ledger("bornova").await.grants.contains_key(&first) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn killed_box_loses_no_bill_and_its_online_tokens_are_returned() {
    let mut fleet = spawn_with_offline_tokens(Plan::default()).await;
    let long = Request { output: 60, max_tokens: 80, ..request("long") };
    let (to, caller, request) = (fleet.callers_address(0), fleet.caller.clone(), long.clone());
    let pending = tokio::spawn(async move { caller.send(to, &request).await });
    while fleet.engines.iter().all(|engine| engine.truth().runs.is_empty()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let dead = fleet.nodes[0].incarnation().await.unwrap();
    fleet.nodes[0].kill();
    assert_ne!(pending.await.unwrap().outcome, Outcome::NotRun);
    send_until_answered(&fleet, 1, &long).await;
    let figures = sound_figures(&fleet).await;
    assert_eq!(figures.double_billed, 0);
    let ledger = fleet.ledger("bornova").await;
    let grant = ledger.grants.get(&dead);
    assert_eq!(grant.map_or(0, |grant| grant.online), 0, "{ledger:?}");
    // An operator frees the stranded tokens by declaring the incarnation destroyed.
    assert!(ledger.stranded().contains_key(&dead));
    let spec = serde_json::json!({"incarnation": dead.as_str(), "reason": "test"});
    fleet.declare("destroyed", "gone", &spec).await;
    while !fleet.ledger("bornova").await.stranded().is_empty() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn dropped_responses_cause_no_missing_or_double_bills() {
    let fleet = spawn_with_offline_tokens(Plan::default()).await;
    fleet.platform.set(|faults| faults.drop_responses = 0.3);
    for number in 0..12 {
        send_until_answered(&fleet, number % 3, &request(&format!("lossy-{number}"))).await;
        let key = format!("chair-{number}");
        let cancel = Request::service("dis", "bornova", "cancel", &key);
        send_until_answered(&fleet, (number + 1) % 3, &cancel).await;
    }
    fleet.platform.set(|faults| faults.drop_responses = 0.0);
    sound_figures(&fleet).await;
}

/// Guards against further requests to an engine that asked for a back-off with a refusal.
#[tokio::test]
async fn engine_gets_no_requests_of_a_box_during_back_off() {
    let fleet = spawn_with_offline_tokens(Plan { boxes: 1, ..Plan::default() }).await;
    fleet.engines[0].set(|faults| (faults.refuse, faults.retry_after_s) = (true, Some(60)));
    let mut number = 0;
    while fleet.engines[0].refused() == 0 {
        number += 1;
        send_until_answered(&fleet, 0, &request(&format!("first-{number}"))).await;
    }
    for number in 0..20 {
        send_until_answered(&fleet, 0, &request(&format!("later-{number}"))).await;
    }
    assert_eq!(fleet.engines[0].refused(), 1, "later requests go to the other engines");
    sound_figures(&fleet).await;
}

/// Guards against: a refusal of another request is taken for the one of the request that was just sent.
#[tokio::test]
async fn a_refusal_of_another_request_is_no_promise() {
    let fleet = Fleet::spawn(Plan::default()).await;
    let refuse =
        |faults: &mut standin::EngineFaults| (faults.refuse, faults.wrong_id) = (true, true);
    fleet.engines.iter().for_each(|engine| engine.set(refuse));
    let response = fleet.caller.send(fleet.callers_address(0), &request("a")).await;
    assert_eq!(response.outcome, Outcome::Unknown, "{response:?}");
}
