//! Short soak runs: fixed seeds, and all seeds that failed before.

use std::{path::PathBuf, time::Duration};

use soak::StopOrder;

/// A soak run, with the cause of its failure if it failed before.
struct Case {
    seed: u64,
    seconds: u64,
    /// Whether endpoints announce rate limits.
    limits: bool,
    /// Whether endpoints announce that they leave and ask for back-off.
    announcements: bool,
    cause: &'static str,
}

const CASES: [Case; 6] = [
    Case { seed: 1, seconds: 12, limits: false, announcements: false, cause: "never failed" },
    Case {
        seed: 2,
        seconds: 12,
        limits: false,
        announcements: false,
        cause: "bills lost in a graceful shutdown while the store was unreachable",
    },
    Case {
        seed: 3,
        seconds: 12,
        limits: false,
        announcements: false,
        cause: "bills lost in a graceful shutdown, after all boxes had been killed",
    },
    Case {
        seed: 5,
        seconds: 13,
        limits: false,
        announcements: false,
        cause: "bills lost that were added after the answer to a page's write was lost",
    },
    Case { seed: 101, seconds: 12, limits: true, announcements: false, cause: "never failed" },
    Case { seed: 401, seconds: 12, limits: true, announcements: true, cause: "never failed" },
];

/// Boxes shut down while the store is unreachable and hand their bills to other boxes.
const BILLS_HANDED_OVER: [Case; 2] = [
    Case {
        seed: 35,
        seconds: 15,
        limits: false,
        announcements: false,
        cause: "the only box that received the bills was killed",
    },
    Case {
        seed: 36,
        seconds: 15,
        limits: false,
        announcements: false,
        cause: "the other boxes did not know the box yet",
    },
];

/// The first box to register loses the store before it learns of other boxes, and shuts down. It
/// can hand over its bills only because boxes that register later contact it.
const NO_KNOWN_PEERS: [Case; 1] = [Case {
    seed: 34,
    seconds: 13,
    limits: false,
    announcements: false,
    cause: "the box knew no other box",
}];

/// A box shuts down while the store is unreachable, and the store returns only after the box exited,
/// shortly before all boxes are killed.
const DELAYED_BY_STOP: [Case; 2] = [
    Case {
        seed: 222,
        seconds: 15,
        limits: true,
        announcements: true,
        cause: "the box waited for the store, the only box that received the bills was killed",
    },
    Case {
        seed: 248,
        seconds: 15,
        limits: true,
        announcements: true,
        cause: "the box waited for the store, both boxes that received the bills were killed",
    },
];

/// Two boxes shut down while the store is unreachable, and both boxes that received the bills are
/// killed one or two seconds later, before the store answers again.
const ALL_HOLDERS_KILLED: [Case; 1] = [Case {
    seed: 432,
    seconds: 15,
    limits: true,
    announcements: true,
    cause: "all boxes that received the bills were killed without the store",
}];

/// A box shuts down while the store is unreachable, and all boxes are killed at the end. The store
/// returns while the box waits for it.
const WAITING_FOR_STORE: [Case; 2] = [
    Case {
        seed: 222,
        seconds: 15,
        limits: true,
        announcements: true,
        cause: "one box delayed the run",
    },
    Case {
        seed: 248,
        seconds: 15,
        limits: true,
        announcements: true,
        cause: "one box delayed the run",
    },
];

/// Boxes lose all endpoints now and then, beside the other faults.
const CUT_OFF: [Case; 1] =
    [Case { seed: 601, seconds: 12, limits: true, announcements: true, cause: "never failed" }];

/// Watches of the store hear nothing now and then.
const DEAF: [Case; 1] =
    [Case { seed: 18_002, seconds: 8, limits: true, announcements: true, cause: "never failed" }];

/// Endpoints also respond without a frame, and break responses off.
const UNFRAMED: [Case; 1] =
    [Case { seed: 9101, seconds: 8, limits: true, announcements: true, cause: "never failed" }];

/// Releases replace endpoints by those of newer software versions.
const RELEASES: [Case; 1] =
    [Case { seed: 9201, seconds: 8, limits: true, announcements: true, cause: "never failed" }];

/// Endpoints in trouble, with callers that come back.
const IN_TROUBLE: [Case; 1] = [Case {
    seed: 7701,
    seconds: 8,
    limits: true,
    announcements: true,
    cause: "a second response to an earlier try was taken for that to a later one",
}];

/// What a run has beside the faults of its seed.
#[derive(Debug, Clone, Copy, Default)]
struct Variety {
    cuts: bool,
    deaf: bool,
    unframed: bool,
    versions: bool,
    trouble: bool,
    proper: bool,
}

#[tokio::test]
async fn guarantees_hold_under_random_faults() {
    run_cases(&CASES, StopOrder::InLine).await;
}

/// Guards against guarantees that end where one box carries another one's connections to endpoints.
#[tokio::test]
async fn guarantees_hold_while_boxes_are_cut_off_from_endpoints() {
    let variety = Variety { cuts: true, ..Variety::default() };
    run_varied_cases(&CUT_OFF, StopOrder::Concurrent, variety).await;
}

/// Guards against boxes that take a watch that hears nothing for one that says that nothing changes.
#[tokio::test]
async fn guarantees_hold_while_watches_of_the_store_are_deaf() {
    let variety = Variety { deaf: true, ..Variety::default() };
    run_varied_cases(&DEAF, StopOrder::Concurrent, variety).await;
}

/// Guards against responses that look whole, or end in order, though nobody ended them so.
#[tokio::test]
async fn responses_end_as_their_endpoints_ended_them() {
    let variety = Variety { unframed: true, ..Variety::default() };
    run_varied_cases(&UNFRAMED, StopOrder::Concurrent, variety).await;
}

/// Guards against guarantees that end where software versions of endpoints change.
#[tokio::test]
async fn guarantees_hold_during_releases() {
    let variety = Variety { versions: true, ..Variety::default() };
    run_varied_cases(&RELEASES, StopOrder::Concurrent, variety).await;
}

/// Guards against requests that run twice, run after a refusal, or go on at a second engine beside the first.
#[tokio::test]
async fn requests_run_once_while_endpoints_are_in_trouble() {
    let variety = Variety { trouble: true, ..Variety::default() };
    run_varied_cases(&IN_TROUBLE, StopOrder::Concurrent, variety).await;
}

#[tokio::test]
async fn bills_survive_a_shutdown_without_the_store() {
    run_cases(&BILLS_HANDED_OVER, StopOrder::InLine).await;
}

#[tokio::test]
async fn bills_survive_a_shutdown_without_known_peers() {
    run_cases(&NO_KNOWN_PEERS, StopOrder::InLine).await;
}

#[tokio::test]
async fn bills_survive_a_shutdown_until_the_store_returns() {
    run_cases(&WAITING_FOR_STORE, StopOrder::Concurrent).await;
}

#[tokio::test]
async fn bills_survive_a_shutdown_that_other_changes_wait_for() {
    run_cases(&DELAYED_BY_STOP, StopOrder::InLine).await;
}

#[tokio::test]
async fn bills_survive_the_kill_of_all_boxes_that_received_them() {
    run_cases(&ALL_HOLDERS_KILLED, StopOrder::InLine).await;
}

#[tokio::test]
async fn bills_survive_the_kill_of_all_boxes_that_received_them_while_others_stop() {
    run_cases(&ALL_HOLDERS_KILLED, StopOrder::Concurrent).await;
}

async fn run_cases(cases: &[Case], stops: StopOrder) {
    run_varied_cases(cases, stops, Variety::default()).await;
}

async fn run_varied_cases(cases: &[Case], stops: StopOrder, variety: Variety) {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_flintstalld"));
    for Case { seed, seconds, limits, announcements, cause } in cases {
        let options = soak::Options {
            folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
            daemon: daemon.clone(),
            boxes: 5,
            length: Duration::from_secs(*seconds),
            limits: *limits,
            announcements: *announcements,
            stops,
            cuts: variety.cuts,
            deaf: variety.deaf,
            unframed: variety.unframed,
            versions: variety.versions,
            trouble: variety.trouble,
            proper: variety.proper,
        };
        let report = soak::run(*seed, &options).await.expect("the soak run completes");
        assert!(report.calls.1 > 100, "seed {seed}: too few requests were served: {report:?}");
        assert!(report.breaches.is_empty(), "seed {seed} ({cause}): {:#?}", report.breaches);
    }
}
