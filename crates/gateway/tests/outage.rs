//! How tasks of a box find the store again, on a paused clock.

use std::time::Duration;

use gateway::{Recovery, Outage, Probe};
use tokio::time::Instant;

/// The longest of many pauses of a task that finds nothing.
async fn longest(probe: Probe) -> Duration {
    let mut outage = Outage::new("store", probe, Recovery::open());
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        outage.failed(&"no answer");
        let began = Instant::now();
        outage.pause().await;
        longest = longest.max(began.elapsed());
    }
    longest
}

#[tokio::test(start_paused = true)]
async fn the_first_task_looks_often_and_the_others_seldom() {
    // What is missing from the first list after an outage counts as lapsed, not as gone: the list
    // must follow the return closely.
    assert!(longest(Probe::Eager).await <= Duration::from_millis(301));
    assert!(longest(Probe::Lazy).await >= Duration::from_millis(1_000));
}

#[tokio::test(start_paused = true)]
async fn whoever_finds_the_store_wakes_the_others() {
    let recovery = Recovery::open();
    let mut first = Outage::new("first", Probe::Eager, recovery.clone());
    let mut later = Outage::new("later", Probe::Lazy, recovery);
    first.failed(&"no answer");
    let waits = tokio::spawn(async move {
        for _ in 0..10 {
            later.failed(&"no answer");
            later.pause().await;
        }
        // The eleventh pause is at its longest.
        let began = Instant::now();
        later.pause().await;
        began.elapsed()
    });
    tokio::time::sleep(Duration::from_millis(10_050)).await;
    assert!(first.answered().is_some());
    let waited = waits.await.expect("no panic");
    assert!(waited < Duration::from_millis(1_200), "woken after {waited:?}");
}

#[tokio::test(start_paused = true)]
async fn whoever_finds_the_store_late_tells_how_old_its_outage_is() {
    let recovery = Recovery::open();
    let mut first = Outage::new("first", Probe::Eager, recovery.clone());
    let mut later = Outage::new("later", Probe::Lazy, recovery.clone());
    later.failed(&"no answer");
    first.failed(&"no answer");
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert!(first.answered().is_some());
    // Others read anew now. What the later one says after that is about the time before.
    let read = Instant::now();
    let told = tokio::spawn(async move { recovery.recovered().await });
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(later.answered().is_some());
    let lost_since = told.await.expect("no panic");
    assert!(lost_since < read, "it tells of an outage that began after the others had read");
}
