//! Probing for the store during an outage, on a paused clock.

use std::time::Duration;

use gateway::{Outage, Probe, Recovery};
use tokio::time::Instant;

/// The longest pause between many failed attempts of one task.
async fn longest_pause(probe: Probe) -> Duration {
    let mut outage = Outage::new("store", probe, Recovery::open());
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        outage.record_failure(&"no answer");
        let began = Instant::now();
        outage.pause().await;
        longest = longest.max(began.elapsed());
    }
    longest
}

#[tokio::test(start_paused = true)]
async fn eager_task_probes_often_and_lazy_tasks_seldom() {
    // Entries that are missing from the first list after an outage count as lapsed, not as removed, so the list
    // must be read soon after the store is back.
    assert!(longest_pause(Probe::Eager).await <= Duration::from_millis(301));
    assert!(longest_pause(Probe::Lazy).await >= Duration::from_millis(1_000));
}

#[tokio::test(start_paused = true)]
async fn first_success_wakes_the_other_tasks() {
    let recovery = Recovery::open();
    let mut eager = Outage::new("first", Probe::Eager, recovery.clone());
    let mut lazy = Outage::new("later", Probe::Lazy, recovery);
    eager.record_failure(&"no answer");
    let waiting = tokio::spawn(async move {
        for _ in 0..10 {
            lazy.record_failure(&"no answer");
            lazy.pause().await;
        }
        // By the eleventh pause the back-off is at its maximum.
        let began = Instant::now();
        lazy.pause().await;
        began.elapsed()
    });
    tokio::time::sleep(Duration::from_millis(10_050)).await;
    assert!(eager.record_success().is_some());
    let waited = waiting.await.expect("no panic");
    assert!(waited < Duration::from_millis(1_200), "woken after {waited:?}");
}

#[tokio::test(start_paused = true)]
async fn late_recovery_reports_the_start_of_its_outage() {
    let recovery = Recovery::open();
    let mut eager = Outage::new("first", Probe::Eager, recovery.clone());
    let mut lazy = Outage::new("later", Probe::Lazy, recovery.clone());
    lazy.record_failure(&"no answer");
    eager.record_failure(&"no answer");
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert!(eager.record_success().is_some());
    // The other tasks read the store again now; the later task reports the same outage after that.
    let read = Instant::now();
    let reported = tokio::spawn(async move { recovery.recovered().await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(lazy.record_success().is_some());
    let lost_since = reported.await.expect("no panic");
    assert!(lost_since < read, "the outage is dated after the others have read the store again");
}
