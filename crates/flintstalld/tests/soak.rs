//! A short soak with fixed seeds, and every seed that ever failed.

use std::{path::PathBuf, time::Duration};

/// A seed that once failed, the load with which it did, and the cause.
struct Case {
    seed: u64,
    seconds: u64,
    /// Whether endpoints name limits.
    limits: bool,
    /// Whether endpoints say that they leave, and ask for rest.
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
        cause: "bills lost with a planned stop while the store was away",
    },
    Case {
        seed: 3,
        seconds: 12,
        limits: false,
        announcements: false,
        cause: "the same, with all boxes killed before",
    },
    Case {
        seed: 5,
        seconds: 13,
        limits: false,
        announcements: false,
        cause: "bills lost that came after the lost answer to a page",
    },
    Case { seed: 101, seconds: 12, limits: true, announcements: false, cause: "never failed" },
    Case { seed: 401, seconds: 12, limits: true, announcements: true, cause: "never failed" },
];

/// Seeds with bills of boxes that stopped by plan without the store.
const HANDED_OVER: [Case; 2] = [
    Case {
        seed: 35,
        seconds: 15,
        limits: false,
        announcements: false,
        cause: "the one box that took them was killed",
    },
    Case {
        seed: 36,
        seconds: 15,
        limits: false,
        announcements: false,
        cause: "the others did not know the box yet",
    },
];

/// A box that registers first is cut off from the store before it reads of another one, and stops by plan. It had nowhere to leave
/// its bills; those that register after it greet it since.
const ALONE: [Case; 1] = [Case {
    seed: 34,
    seconds: 13,
    limits: false,
    announcements: false,
    cause: "the box knew no other box",
}];

/// A box stops by plan while the store is away, and all boxes are killed at the end. The run waited for the box
/// before it let the store come back, for which the box waited: the store was away until the box had given up.
const HELD_UP: [Case; 3] = [
    Case { seed: 222, seconds: 15, limits: true, announcements: true, cause: "one box held the run up" },
    Case { seed: 248, seconds: 15, limits: true, announcements: true, cause: "the same" },
    Case { seed: 432, seconds: 15, limits: true, announcements: true, cause: "the same, with two boxes" },
];

#[tokio::test]
async fn no_promise_is_broken_under_random_faults() {
    play(&CASES).await;
}

#[tokio::test]
async fn no_bill_is_lost_with_a_box_that_stops_without_the_store() {
    play(&HANDED_OVER).await;
}

#[tokio::test]
async fn no_bill_is_lost_with_a_box_that_stops_before_it_knows_another() {
    play(&ALONE).await;
}

#[tokio::test]
async fn no_bill_is_lost_with_a_box_that_stops_before_the_store_is_back() {
    play(&HELD_UP).await;
}

async fn play(cases: &[Case]) {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_flintstalld"));
    for Case { seed, seconds, limits, announcements, cause } in cases {
        let options = soak::Options {
            folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
            daemon: daemon.clone(),
            boxes: 5,
            length: Duration::from_secs(*seconds),
            limits: *limits,
            announcements: *announcements,
        };
        let report = soak::run(*seed, &options).await.expect("it can be played");
        assert!(report.calls.1 > 100, "seed {seed} served little: {report:?}");
        assert!(report.breaches.is_empty(), "seed {seed} ({cause}): {:#?}", report.breaches);
    }
}
