//! Kills, cuts, freezes and outages against real routers: the promises hold through each.

use std::time::Duration;

use trial::{Figures, Fleet, Outcome, Plan, Request, Response};

/// Longest wait for the books to settle.
const SETTLE: Duration = Duration::from_secs(40);

/// Waits until every box holds offline tokens of the sample budget.
async fn ready(plan: Plan) -> Fleet {
    let fleet = Fleet::spawn(plan).await;
    let boxes = fleet.nodes.len();
    while fleet.ledger("bornova").await.grants.values().filter(|g| g.offline > 0).count() < boxes {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet
}

fn ask(key: &str) -> Request {
    Request::chat("dis", "bornova", key)
}

/// Asks with the same key until there is a whole answer.
async fn insist(fleet: &Fleet, at: usize, ask: &Request) -> Response {
    loop {
        let got = fleet.caller.send(fleet.callers_address(at), ask).await;
        if got.outcome == Outcome::Answered {
            return got;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn settled(fleet: &Fleet) -> Figures {
    assert!(fleet.settle(SETTLE).await, "the books did not settle");
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    figures
}

#[tokio::test]
async fn a_box_cut_off_from_everyone_serves_and_is_billed_later() {
    let fleet = ready(Plan::default()).await;
    fleet.set_partition(&[0], true);
    for number in 0..5 {
        insist(&fleet, 0, &ask(&format!("cut-{number}"))).await;
        insist(&fleet, 1, &ask(&format!("whole-{number}"))).await;
    }
    fleet.set_partition(&[0], false);
    let figures = settled(&fleet).await;
    assert_eq!((figures.unbilled, figures.served_tokens), (0, figures.billed_tokens));
}

#[tokio::test]
async fn a_box_cut_off_from_the_platform_alone_works_through_a_peer() {
    let fleet = ready(Plan::default()).await;
    fleet.links[0].set_cut(true);
    let cancel = |n: usize| Request::service("dis", "bornova", "cancel", &format!("chair-{n}"));
    // A claim cannot be taken without the platform, so an answer shows the way round.
    insist(&fleet, 0, &cancel(1)).await;
    insist(&fleet, 0, &cancel(2)).await;
    fleet.links[0].set_cut(false);
    settled(&fleet).await;
    assert_eq!(fleet.services[0].runs_by_key().values().max(), Some(&1));
}

#[tokio::test]
async fn a_frozen_box_is_sealed_and_goes_on_as_another_incarnation() {
    let mut fleet = ready(Plan::default()).await;
    insist(&fleet, 0, &ask("before")).await;
    let first = fleet.nodes[0].incarnation().await.unwrap();
    fleet.nodes[0].pause();
    // The others seal its journal once it is silent for long enough.
    while !fleet.ledger("bornova").await.grants.get(&first).is_some_and(|grant| grant.sealed) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.nodes[0].resume();
    insist(&fleet, 0, &ask("after")).await;
    while fleet.nodes[0].incarnation().await.unwrap() == first {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    settled(&fleet).await;
    // Its own word returns what it held: nothing stays stranded.
    while fleet.ledger("bornova").await.grants.contains_key(&first) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_killed_box_loses_no_bill_and_its_online_tokens_come_back() {
    let mut fleet = ready(Plan::default()).await;
    let long = Request { output: 60, max_tokens: 80, ..ask("long") };
    let (to, caller, wanted) = (fleet.callers_address(0), fleet.caller.clone(), long.clone());
    let asking = tokio::spawn(async move { caller.send(to, &wanted).await });
    while fleet.engines.iter().all(|engine| engine.truth().runs.is_empty()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let dead = fleet.nodes[0].incarnation().await.unwrap();
    fleet.nodes[0].kill();
    assert_ne!(asking.await.unwrap().outcome, Outcome::NotRun);
    insist(&fleet, 1, &long).await;
    let figures = settled(&fleet).await;
    assert_eq!(figures.double_billed, 0);
    let ledger = fleet.ledger("bornova").await;
    let grant = ledger.grants.get(&dead);
    assert_eq!(grant.map_or(0, |grant| grant.online), 0, "{ledger:?}");
    // What stays stranded is shown, and an operator's word frees it.
    assert!(ledger.stranded().contains_key(&dead));
    let spec = serde_json::json!({"incarnation": dead.as_str(), "reason": "test"});
    fleet.declare("destroyed", "gone", &spec).await;
    while !fleet.ledger("bornova").await.stranded().is_empty() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn lost_answers_lose_and_double_nothing() {
    let fleet = ready(Plan::default()).await;
    fleet.platform.set(|faults| faults.drop_responses = 0.3);
    for number in 0..12 {
        insist(&fleet, number % 3, &ask(&format!("lossy-{number}"))).await;
        let key = format!("chair-{number}");
        let cancel = Request::service("dis", "bornova", "cancel", &key);
        insist(&fleet, (number + 1) % 3, &cancel).await;
    }
    fleet.platform.set(|faults| faults.drop_responses = 0.0);
    settled(&fleet).await;
}

/// Seen on the users' platform: an endpoint that had asked a box for rest went on to get its requests. The product's own
/// interface did the same: it tried another engine for the request that was turned away, and sent the next one there again.
#[tokio::test]
async fn an_engine_that_asks_a_box_for_rest_gets_none_of_its_requests_meanwhile() {
    let fleet = ready(Plan { boxes: 1, ..Plan::default() }).await;
    fleet.engines[0].set(|fault| (fault.refuse, fault.asks_rest) = (true, Some(60)));
    let mut number = 0;
    while fleet.engines[0].refused() == 0 {
        number += 1;
        insist(&fleet, 0, &ask(&format!("first-{number}"))).await;
    }
    for number in 0..20 {
        insist(&fleet, 0, &ask(&format!("later-{number}"))).await;
    }
    assert_eq!(fleet.engines[0].refused(), 1, "the other engines take them");
    settled(&fleet).await;
}
