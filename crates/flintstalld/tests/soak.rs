//! A short soak with fixed seeds, and every seed that ever failed.

use std::{path::PathBuf, time::Duration};

/// Seeds played each time, with the cause of those that once failed.
const SEEDS: [(u64, &str); 3] = [
    (1, "never failed"),
    (2, "bills of a box that stopped by plan while the store was away were lost"),
    (3, "the same, with all boxes killed before"),
];

#[tokio::test]
async fn no_promise_is_broken_under_random_faults() {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_flintstalld"));
    let options = soak::Options {
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        daemon,
        boxes: 4,
        length: Duration::from_secs(12),
    };
    for (seed, cause) in SEEDS {
        let report = soak::run(seed, &options).await.expect("it can be played");
        assert!(report.calls.1 > 100, "seed {seed} served little: {report:?}");
        assert!(report.breaches.is_empty(), "seed {seed} ({cause}): {:#?}", report.breaches);
    }
}
