//! How old the state is that a box follows in the store, and who says so.

use std::{sync::Arc, time::Duration};

use gateway::{Bounds, Clock, Freshness, Source, Subject};
use wire::Ages;

fn bounds() -> Bounds {
    Bounds { max_age: Duration::from_millis(2_000) }
}

fn peer() -> Arc<str> {
    "box-2.1".into()
}

#[tokio::test(start_paused = true)]
async fn a_state_ages_from_its_last_confirmation() {
    let freshness = Freshness::open(&Clock::manual(), bounds());
    assert_eq!(freshness.age(Subject::Endpoints), None);
    assert!(freshness.confirm(Subject::Endpoints, 0, Source::Store));
    tokio::time::advance(Duration::from_millis(700)).await;
    assert_eq!(freshness.age(Subject::Endpoints), Some(Duration::from_millis(700)));
    assert_eq!(freshness.age(Subject::Config), None, "each state for itself");
    assert!(!freshness.confirm(Subject::Endpoints, 0, Source::Store), "not newer");
}

/// Guards against a box that takes the answer of a box for an answer of the store.
#[tokio::test(start_paused = true)]
async fn an_answer_makes_a_state_no_younger_than_the_box_that_gave_it() {
    let freshness = Freshness::open(&Clock::manual(), bounds());
    tokio::time::advance(Duration::from_millis(10_000)).await;
    // Sent 1 s ago, held for 300 ms and under way since then at worst.
    let ages = Ages { endpoints: Some(2_000), ..Ages::default() };
    assert!(freshness.receive(&ages, 9_000, 300, &peer()));
    assert_eq!(freshness.age(Subject::Endpoints), Some(Duration::from_millis(2_700)));
    assert_eq!(freshness.source(Subject::Endpoints), Some(Source::Peer(peer())));
    // An older answer of another box changes nothing.
    let ages = Ages { endpoints: Some(2_900), ..Ages::default() };
    assert!(!freshness.receive(&ages, 10_000, 0, &"box-3.1".into()));
    assert_eq!(freshness.ages().endpoints, Some(2_700));
    assert_eq!(freshness.ages().config, None);
}

/// Guards against state that looks young after the box was suspended.
#[tokio::test(start_paused = true)]
async fn a_suspension_counts() {
    let clock = Clock::manual();
    let freshness = Freshness::open(&clock, bounds());
    freshness.confirm(Subject::Config, 0, Source::Store);
    clock.suspend(Duration::from_secs(5));
    assert_eq!(freshness.age(Subject::Config), Some(Duration::from_secs(5)));
}
