//! The whole path: from a declared budget to a billed answer.

use std::time::Duration;

use trial::{Fleet, Outcome, Plan, Request};

/// Longest wait for the books to settle.
const SETTLE: Duration = Duration::from_secs(20);

#[tokio::test]
async fn answers_are_whole_and_billed_once() {
    let fleet = Fleet::spawn(Plan::default()).await;
    let streamed =
        fleet.caller.send(fleet.callers_address(0), &Request::chat("dis", "bornova", "a")).await;
    assert_eq!((streamed.outcome, streamed.tokens), (Outcome::Answered, 8), "{streamed:?}");
    let plain = Request { stream: false, ..Request::chat("dis", "bornova", "b") };
    let plain = fleet.caller.send(fleet.callers_address(1), &plain).await;
    assert_eq!((plain.outcome, plain.tokens), (Outcome::Answered, 8), "{plain:?}");
    let service = Request::service("dis", "bornova", "lookup", "c");
    let service = fleet.caller.send(fleet.callers_address(2), &service).await;
    assert_eq!(service.outcome, Outcome::Answered, "{service:?}");
    assert!(fleet.settle(SETTLE).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!((figures.answered, figures.served_tokens), (3, figures.billed_tokens));
}

#[tokio::test]
async fn an_unrepeatable_call_runs_once_whichever_box_gets_the_retry() {
    let fleet = Fleet::spawn(Plan::default()).await;
    let ask = Request::service("dis", "bornova", "cancel", "chair-7");
    let first = fleet.caller.send(fleet.callers_address(0), &ask).await;
    assert_eq!(first.outcome, Outcome::Answered);
    let same_box = fleet.caller.send(fleet.callers_address(0), &ask).await;
    assert_eq!((same_box.outcome, &same_box.body), (Outcome::Answered, &first.body));
    // The claim gets its answer a moment after the caller did; until then a retry is "unknown".
    let retried = loop {
        let other_box = fleet.caller.send(fleet.callers_address(1), &ask).await;
        if other_box.outcome != Outcome::Unknown {
            break other_box;
        }
    };
    assert_eq!((retried.outcome, &retried.body), (Outcome::Answered, &first.body));
    assert_eq!(fleet.services[0].executions().len(), 1);
}

#[tokio::test]
async fn a_request_past_its_budget_is_refused_and_did_not_run() {
    let customers = vec![("dis".into(), vec![("bornova".into(), 60)])];
    let fleet = Fleet::spawn(Plan { customers, ..Plan::default() }).await;
    let ask = Request { output: 30, max_tokens: 30, ..Request::chat("dis", "bornova", "a") };
    let first = fleet.caller.send(fleet.callers_address(0), &ask).await;
    assert_eq!(first.outcome, Outcome::Answered, "{first:?}");
    let second =
        fleet.caller.send(fleet.callers_address(1), &Request { key: "b".into(), ..ask }).await;
    assert_eq!((second.outcome, second.reason.as_str()), (Outcome::NotRun, "budget_exhausted"));
    assert_eq!(second.status, 402);
    assert!(fleet.settle(SETTLE).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!(fleet.engines.iter().map(|e| e.truth().runs.len()).sum::<usize>(), 1);
}

#[tokio::test]
async fn a_planned_stop_cuts_off_nothing_and_returns_everything() {
    let mut fleet = Fleet::spawn(Plan::default()).await;
    let long = Request { output: 120, max_tokens: 150, ..Request::chat("dis", "bornova", "long") };
    let (to, caller) = (fleet.callers_address(0), fleet.caller.clone());
    let answer = tokio::spawn(async move { caller.send(to, &long).await });
    while fleet.engines.iter().all(|engine| engine.truth().runs.is_empty()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.nodes[0].stop().await;
    let got = answer.await.unwrap();
    assert_eq!((got.outcome, got.tokens), (Outcome::Answered, 120), "{got:?}");
    let ledger = fleet.ledger("bornova").await;
    let of_box = ledger.grants.keys().filter(|holder| holder.box_name() == "box-0").count();
    assert_eq!(of_box, 0, "{ledger:?}");
    assert_eq!(ledger.statement.count, 1);
}

/// Found by the `pause` experiment: whoever resolved a dead box's records asked plain services
/// too, and every question was a call.
#[tokio::test]
async fn resolving_a_dead_box_calls_no_service() {
    let mut fleet = Fleet::spawn(Plan::default()).await;
    fleet.services[0].set_drop_answers(true);
    let ask = Request::service("dis", "bornova", "cancel", "chair-9");
    let (to, caller) = (fleet.callers_address(0), fleet.caller.clone());
    let asking = tokio::spawn(async move { caller.send(to, &ask).await });
    while fleet.services[0].executions().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.nodes[0].kill();
    asking.await.unwrap();
    assert!(fleet.settle(SETTLE).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!(fleet.services[0].executions().len(), 1);
}

#[tokio::test]
async fn a_ticket_runs_once_without_the_platform_and_only_at_its_box() {
    let fleet = Fleet::spawn(Plan::default()).await;
    // Each box gets its first offline tokens before the platform goes down.
    while fleet.ledger("bornova").await.grants.values().filter(|g| g.offline > 0).count() < 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let tickets = fleet.caller.tickets(fleet.callers_address(0), "dis", "bornova", 2).await;
    fleet.platform.set(|faults| faults.down = true);
    let ask = |key: &str| Request::service("dis", "bornova", "cancel", key);
    let first = loop {
        let got = fleet.caller.send(fleet.callers_address(0), &ask(&tickets[0])).await;
        if got.outcome == Outcome::Answered {
            break got;
        }
    };
    let plain = fleet.caller.send(fleet.callers_address(0), &ask("chair-8")).await;
    assert_eq!((plain.outcome, plain.reason.as_str()), (Outcome::NotRun, "claim_unreachable"));
    let elsewhere = fleet.caller.send(fleet.callers_address(1), &ask(&tickets[0])).await;
    assert_eq!(elsewhere.outcome, Outcome::Unknown, "{elsewhere:?}");
    fleet.platform.set(|faults| faults.down = false);
    // Once the box hands in what it ran, others replay its answer.
    let replayed = loop {
        let got = fleet.caller.send(fleet.callers_address(1), &ask(&tickets[0])).await;
        if got.outcome != Outcome::Unknown {
            break got;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!((replayed.outcome, &replayed.body), (Outcome::Answered, &first.body));
    assert!(fleet.settle(SETTLE).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!(fleet.services[0].executions().len(), 1);
}
