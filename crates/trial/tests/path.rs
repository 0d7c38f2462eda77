//! Requests from a declared budget to a billed response.

use std::time::Duration;

use trial::{Fleet, Outcome, Plan, Request};

/// Longest wait until all runs are billed.
const BILLING_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn responses_are_complete_and_billed_once() {
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
    assert!(fleet.settle(BILLING_TIMEOUT).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!((figures.answered, figures.served_tokens), (3, figures.billed_tokens));
}

#[tokio::test]
async fn unrepeatable_call_runs_once_whichever_box_gets_the_retry() {
    let fleet = Fleet::spawn(Plan::default()).await;
    let request = Request::service("dis", "bornova", "cancel", "chair-7");
    let first = fleet.caller.send(fleet.callers_address(0), &request).await;
    assert_eq!(first.outcome, Outcome::Answered);
    let same_box = fleet.caller.send(fleet.callers_address(0), &request).await;
    assert_eq!((same_box.outcome, &same_box.body), (Outcome::Answered, &first.body));
    // The claim is resolved shortly after the caller has its response; a retry before that is
    // "unknown".
    let retried = loop {
        let other_box = fleet.caller.send(fleet.callers_address(1), &request).await;
        if other_box.outcome != Outcome::Unknown {
            break other_box;
        }
    };
    assert_eq!((retried.outcome, &retried.body), (Outcome::Answered, &first.body));
    assert_eq!(fleet.services[0].executions().len(), 1);
}

#[tokio::test]
async fn request_beyond_its_budget_is_refused_without_running() {
    let customers = vec![("dis".into(), vec![("bornova".into(), 60)])];
    let fleet = Fleet::spawn(Plan { customers, ..Plan::default() }).await;
    let request = Request { output: 30, max_tokens: 30, ..Request::chat("dis", "bornova", "a") };
    let first = fleet.caller.send(fleet.callers_address(0), &request).await;
    assert_eq!(first.outcome, Outcome::Answered, "{first:?}");
    let second =
        fleet.caller.send(fleet.callers_address(1), &Request { key: "b".into(), ..request }).await;
    assert_eq!((second.outcome, second.reason.as_str()), (Outcome::NotRun, "budget_exhausted"));
    assert_eq!(second.status, 402);
    assert!(fleet.settle(BILLING_TIMEOUT).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!(fleet.engines.iter().map(|e| e.truth().runs.len()).sum::<usize>(), 1);
}

#[tokio::test]
async fn planned_stop_completes_requests_and_returns_all_tokens() {
    let mut fleet = Fleet::spawn(Plan::default()).await;
    let long = Request { output: 120, max_tokens: 150, ..Request::chat("dis", "bornova", "long") };
    let (to, caller) = (fleet.callers_address(0), fleet.caller.clone());
    let answer = tokio::spawn(async move { caller.send(to, &long).await });
    while fleet.engines.iter().all(|engine| engine.truth().runs.is_empty()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.nodes[0].stop().await;
    let response = answer.await.unwrap();
    assert_eq!((response.outcome, response.tokens), (Outcome::Answered, 120), "{response:?}");
    let ledger = fleet.ledger("bornova").await;
    let of_box = ledger.grants.keys().filter(|holder| holder.box_name() == "box-0").count();
    assert_eq!(of_box, 0, "{ledger:?}");
    assert_eq!(ledger.statement.count, 1);
}

/// Guards against calls to a plain service, each of which would be an execution, while the records
/// of a dead box are resolved.
#[tokio::test]
async fn resolving_a_dead_box_calls_no_service() {
    let mut fleet = Fleet::spawn(Plan::default()).await;
    fleet.services[0].set_drop_responses(true);
    let request = Request::service("dis", "bornova", "cancel", "chair-9");
    let (to, caller) = (fleet.callers_address(0), fleet.caller.clone());
    let pending = tokio::spawn(async move { caller.send(to, &request).await });
    while fleet.services[0].executions().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.nodes[0].kill();
    pending.await.unwrap();
    assert!(fleet.settle(BILLING_TIMEOUT).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!(fleet.services[0].executions().len(), 1);
}

#[tokio::test]
async fn ticket_runs_once_without_the_platform_and_only_at_its_box() {
    let fleet = Fleet::spawn(Plan::default()).await;
    // All boxes must hold offline tokens before the platform goes down.
    while fleet.ledger("bornova").await.grants.values().filter(|g| g.offline > 0).count() < 3 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let tickets = fleet.caller.tickets(fleet.callers_address(0), "dis", "bornova", 2).await;
    fleet.platform.set(|faults| faults.down = true);
    let request = |key: &str| Request::service("dis", "bornova", "cancel", key);
    let first = loop {
        let response = fleet.caller.send(fleet.callers_address(0), &request(&tickets[0])).await;
        if response.outcome == Outcome::Answered {
            break response;
        }
    };
    let plain = fleet.caller.send(fleet.callers_address(0), &request("chair-8")).await;
    assert_eq!((plain.outcome, plain.reason.as_str()), (Outcome::NotRun, "claim_unreachable"));
    let elsewhere = fleet.caller.send(fleet.callers_address(1), &request(&tickets[0])).await;
    assert_eq!(elsewhere.outcome, Outcome::Unknown, "{elsewhere:?}");
    fleet.platform.set(|faults| faults.down = false);
    // When the box has handed in its runs, others replay the response.
    let replayed = loop {
        let response = fleet.caller.send(fleet.callers_address(1), &request(&tickets[0])).await;
        if response.outcome != Outcome::Unknown {
            break response;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!((replayed.outcome, &replayed.body), (Outcome::Answered, &first.body));
    assert!(fleet.settle(BILLING_TIMEOUT).await);
    let figures = fleet.audit().await;
    assert!(figures.is_sound(), "{figures:?}");
    assert_eq!(fleet.services[0].executions().len(), 1);
}
