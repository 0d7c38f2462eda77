//! Which calls that broke during a planned stop the stop answers for, where the run itself closes connections.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use ledger::Book;
use soak::{
    call::{Call, Incarnation, Outcome, Route},
    endpoint::{Id, Run},
    life::Trace,
    verdict::{Evidence, violations},
};
use tokio::time::Instant;

const STREAM: Id = Id { number: 1, prompt: 20, events: 4, shape: None };

/// Whether a stream that broke during a planned stop violates a guarantee. Times are in milliseconds: when it ran, when the
/// run closed the connection of one of its runs, and when it ended.
fn is_violation(ran: &[u64], cut: Option<u64>, ended: u64) -> bool {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let incarnation = Incarnation { box_index: 0, number: 1 };
    let outcome = Outcome::Failed { reason: "reset".into(), events: 1 };
    let (key, route) = ("key-b", Route::Stream);
    let call = Call { id: STREAM, key, route, incarnation, sent: start, ended: at(ended), outcome };
    let run = |ms: &u64| Run { id: STREAM, endpoint: "e-1".into(), at: at(*ms) };
    let runs: Vec<Run> = ran.iter().map(run).collect();
    let found = violations(&Evidence {
        calls: &[call],
        runs: &runs,
        book: &Book::default(),
        bills: &[],
        paid: 1_000,
        stopped: &BTreeMap::from([(incarnation, (start, at(10_000)))]),
        short_stops: &BTreeMap::new(),
        interrupted: &BTreeSet::new(),
        cut_runs: &cut.map(|ms| (STREAM, at(ms))).into_iter().collect::<HashMap<_, _>>(),
        trace: &Trace::new(at(10_000)),
        left: &BTreeMap::new(),
        disturbances: &[],
        arrivals: &HashMap::new(),
    });
    found.iter().any(|violation| violation.guarantee.starts_with("planned stops cut off nothing"))
}

#[test]
fn a_stop_answers_for_all_streams_but_those_that_the_run_broke() {
    assert!(is_violation(&[10], None, 500), "no connection was closed");
    assert!(!is_violation(&[10], Some(500), 501), "the run closed its connection");
    assert!(is_violation(&[10], Some(500), 499), "it ended before the connection was closed");
    assert!(is_violation(&[10], Some(500), 700), "it ended later");
    assert!(is_violation(&[10, 505], Some(500), 520), "it ran once more");
}
