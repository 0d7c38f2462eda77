//! Writing bills to a store whose responses get lost.

use std::{sync::Arc, time::Duration};

use gateway::Bills;
use ledger::{BILLS, Ended, Incarnation, Page};
use objects::Store;
use platform::store::{Client, Options};
use standin::Platform;

fn store(platform: &Platform) -> Client {
    let second = Duration::from_secs(1);
    Client::open(Options { address: platform.address(), timeout: second, watch_timeout: second })
}

fn add(bills: &Bills, keys: &[&str]) {
    for key in keys {
        bills.add(&"bornova".into(), &Arc::from(*key), 10, Ended::Answered);
    }
}

/// Keys on all pages in the store, sorted.
async fn billed(platform: &Platform) -> Vec<String> {
    let pages = platform.memory().list(BILLS, "").await.expect("memory answers");
    let read = |text: &str| serde_json::from_str::<Page>(text).expect("a page").bills;
    let bills = pages.iter().flat_map(|page| read(&page.value));
    let mut keys: Vec<String> = bills.map(|bill| bill.key.to_string()).collect();
    keys.sort();
    keys
}

#[tokio::test]
async fn bills_after_a_lost_response_go_on_the_next_page() {
    let platform = Platform::spawn(1).await;
    let (store, bills) = (store(&platform), Bills::open(Incarnation::new("box-1", 1)));
    add(&bills, &["a", "b"]);
    platform.set(|faults| faults.drop_responses = 1.0);
    bills.write(&store, true).await;
    assert_eq!(bills.waiting(), 2, "the box doesn't know that the page was written");
    add(&bills, &["c"]);
    platform.set(|faults| faults.drop_responses = 0.0);
    bills.write(&store, true).await;
    assert_eq!(bills.waiting(), 0);
    assert_eq!(billed(&platform).await, ["a", "b", "c"]);
}

#[tokio::test]
async fn handed_over_pages_match_those_sent_before() {
    let platform = Platform::spawn(1).await;
    let (store, bills) = (store(&platform), Bills::open(Incarnation::new("box-1", 1)));
    add(&bills, &["a", "b"]);
    platform.set(|faults| faults.drop_responses = 1.0);
    bills.write(&store, true).await;
    add(&bills, &["c"]);
    let pages = bills.hand_over();
    assert_eq!((pages.len(), bills.waiting()), (2, 0));
    platform.set(|faults| faults.drop_responses = 0.0);
    let other = Bills::open(Incarnation::new("box-2", 1));
    other.take_over(pages);
    other.write(&store, true).await;
    assert_eq!(billed(&platform).await, ["a", "b", "c"]);
}
