//! Which streams that were taken up break the guarantee on software versions.

use std::{collections::BTreeMap, sync::Arc};

use http::StatusCode;
use soak::{
    call::{Incarnation, Outcome},
    endpoint::{Id, Run},
    stream::{Attempt, Origins, Stream, Tally, tally, violations},
};
use tokio::time::Instant;

/// An attempt at an endpoint, if it ran, and how it ended.
type Step = (Option<&'static str>, Outcome);

fn broke(events: u64) -> Outcome {
    Outcome::Failed { reason: "reset".into(), events }
}

fn answered() -> Outcome {
    Outcome::Answered { is_correct: true, body: String::new() }
}

fn refused() -> Outcome {
    Outcome::Refused(StatusCode::SERVICE_UNAVAILABLE)
}

/// The stream of these attempts, and the runs at endpoints.
fn stream(steps: Vec<Step>) -> (Stream, Vec<Run>) {
    let (mut attempts, mut runs) = (Vec::new(), Vec::new());
    for (number, (endpoint, outcome)) in (1..).zip(steps) {
        let id = Id { number, prompt: 20, events: 4, shape: None };
        let incarnation = Incarnation { box_index: 0, number: 1 };
        attempts.push(Attempt { id, incarnation, after: 0, outcome });
        runs.extend(endpoint.map(|name| Run { id, endpoint: name.into(), at: Instant::now() }));
    }
    (Stream { attempts }, runs)
}

#[test]
fn a_stream_holds_events_of_one_version() {
    let versions = [("e-1", "v1"), ("e-2", "v2"), ("e-3", "v1")];
    let versions: BTreeMap<Arc<str>, String> =
        versions.into_iter().map(|(name, version)| (name.into(), version.to_owned())).collect();
    let tallied = |taken_up, went_on, refused| Tally { taken_up, went_on, refused };
    let cases = [
        (vec![(Some("e-1"), broke(1)), (Some("e-1"), answered())], true, tallied(1, 1, 0)),
        (vec![(Some("e-1"), broke(1)), (Some("e-3"), answered())], true, tallied(1, 1, 0)),
        (vec![(Some("e-1"), broke(1)), (Some("e-2"), answered())], false, tallied(1, 1, 0)),
        (vec![(Some("e-1"), broke(1)), (Some("e-2"), broke(1))], false, tallied(1, 1, 0)),
        (
            vec![(Some("e-2"), broke(2)), (None, refused()), (Some("e-1"), answered())],
            false,
            tallied(1, 1, 0),
        ),
        // It ran at another version, but brought no event.
        (vec![(Some("e-1"), broke(1)), (Some("e-2"), broke(0))], true, tallied(1, 0, 0)),
        (vec![(Some("e-1"), broke(1)), (None, refused())], true, tallied(1, 0, 1)),
        (vec![(Some("e-1"), broke(1))], true, tallied(0, 0, 0)),
    ];
    for (number, (steps, is_allowed, counts)) in cases.into_iter().enumerate() {
        let (stream, runs) = stream(steps);
        let origins = Origins::new(&runs, &versions);
        let found = violations(7, std::slice::from_ref(&stream), &origins);
        assert_eq!(found.is_empty(), is_allowed, "case {number}: {found:?}");
        let names_all =
            |detail: &str| detail.starts_with("seed 7: ") && detail.contains("e-1 (v1)");
        assert!(found.iter().all(|violation| names_all(&violation.detail)), "{found:?}");
        assert_eq!(tally(&[stream]), counts, "case {number}");
    }
}
