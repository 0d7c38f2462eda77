//! Keepers: only few boxes of a fleet write the book, and the others draw their tokens from them.
//!
//! Guards against contention: if every box of a large fleet wrote the book, most conditional writes would fail and
//! requests would be refused for lack of tokens.

use gateway::Gateway;
use http::StatusCode;
use objects::Operation;
use standin::ScriptedEndpoint;
use std::time::Duration;

use crate::harness::{Harness, answers, call, until, until_served, until_within};

/// More than all requests here use.
const PAID: u64 = 100_000_000;
/// Boxes that start together.
const BOXES: usize = 40;
/// Time for which a request and a keeper wait for tokens: longer than any stall of this process, which runs all
/// boxes. The tests count who writes the book, so the length of the wait doesn't affect them.
const PATIENCE_MS: u64 = 10_000;
/// Time for which a request waits for tokens in the small fleets.
const WAIT_MS: u64 = 2_000;
/// Tokens of a prompt that is too small to be announced to peers.
const SMALL: u64 = 1_500;
/// Boxes of an availability zone that may write the book once all know each other: the keeper, and one or two
/// standbys that step in when it did not answer.
const WRITERS: usize = 3;
/// Upper bound on a wait for something that may take long on a busy machine.
const HANGS: Duration = Duration::from_secs(90);
/// Latency of store calls: about the time to transfer a book over a slow link.
const CALL: Duration = Duration::from_millis(150);

/// A fleet in which all boxes know each other and one has served a request that costs tokens.
struct Fleet {
    harness: Harness,
    boxes: Vec<Gateway>,
    _endpoints: [ScriptedEndpoint; 2],
}

impl Fleet {
    async fn start() -> Fleet {
        let harness = Harness::open(PAID, &["stream", "open"]).await;
        let _endpoints = [
            harness.endpoint("i-1", "plain", answers).await,
            harness.endpoint("i-2", "engines", answers).await,
        ];
        harness.platform.set(|faults| faults.delay = CALL);
        let mut boxes = Vec::new();
        for number in 0..BOXES {
            boxes.push(harness.patient_gateway(&format!("box-{number}"), PATIENCE_MS).await);
        }
        for gateway in &boxes {
            until_served(&harness, gateway, "/open/x").await;
        }
        for gateway in &boxes {
            until_within(HANGS, "the boxes know each other", async || {
                gateway.peer_count() == BOXES - 1
            })
            .await;
        }
        until("box 0 serves a request", async || {
            is_served_prompt(&harness, &boxes[0], SMALL).await
        })
        .await;
        // Boxes that considered themselves keepers before they knew the others leave the book.
        until_within(HANGS, "few boxes write", async || {
            harness.book().await.writers.len() <= WRITERS
        })
        .await;
        Fleet { harness, boxes, _endpoints }
    }
}

async fn is_served(harness: &Harness, gateway: &Gateway) -> bool {
    is_served_prompt(harness, gateway, 2_000).await
}

async fn is_served_prompt(harness: &Harness, gateway: &Gateway, tokens: u64) -> bool {
    let asked = harness.asked("key-b", tokens, 10);
    call(gateway.callers(), "/stream/x", &asked).await.status == StatusCode::OK
}

/// Attempts of a box to write the book, successful or not.
fn book_writes(gateway: &Gateway) -> u64 {
    let calls = gateway.calls().snapshot();
    let writes = calls
        .iter()
        .filter(|((operation, kind), _)| *operation == Operation::Put && &**kind == ledger::BOOK.0);
    writes.map(|(_, count)| count.calls).sum()
}

#[tokio::test]
async fn boxes_serve_requests_without_writing_the_book() {
    let Fleet { harness, boxes, _endpoints } = Fleet::start().await;
    let before: Vec<u64> = boxes.iter().map(book_writes).collect();
    for gateway in &boxes {
        until("the box serves a request", async || {
            is_served_prompt(&harness, gateway, SMALL).await
        })
        .await;
    }
    let wrote = boxes.iter().zip(before).filter(|(gateway, before)| book_writes(gateway) > *before);
    let wrote = wrote.count();
    assert!(wrote <= WRITERS, "{wrote} of {BOXES} boxes tried to write the book");
}

#[tokio::test]
async fn number_of_book_writers_is_bounded() {
    let Fleet { harness, boxes, _endpoints } = Fleet::start().await;
    for gateway in &boxes {
        is_served_prompt(&harness, gateway, SMALL).await;
    }
    let writers = harness.book().await.writers.len();
    assert!(
        writers <= WRITERS,
        "{writers} of {BOXES} boxes, all in one availability zone, write the book"
    );
}

/// Starts boxes of one zone; the keeper is the first one returned.
async fn keeper_first(harness: &Harness, names: [&str; 3]) -> Vec<Gateway> {
    let mut boxes = Vec::new();
    for name in names {
        boxes.push(harness.waiting_gateway(name, WAIT_MS).await);
    }
    for gateway in &boxes {
        until("boxes know each other", async || gateway.peer_count() == 2).await;
        until_served(harness, gateway, "/stream/x").await;
    }
    until("exactly one box passes tokens on", async || {
        for gateway in &boxes {
            is_served(harness, gateway).await;
        }
        boxes.iter().filter(|gateway| gateway.balance("bornova").passed > 0).count() == 1
    })
    .await;
    boxes.sort_by_key(|gateway| gateway.balance("bornova").passed == 0);
    boxes
}

#[tokio::test]
async fn another_keeper_takes_over_after_a_crash() {
    let harness = Harness::open(PAID, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", answers).await;
    let mut boxes = keeper_first(&harness, ["box-1", "box-2", "box-3"]).await;
    drop(boxes.remove(0));
    for gateway in &boxes {
        until("the box serves requests again", async || is_served(&harness, gateway).await).await;
    }
}

#[tokio::test]
async fn keeper_shutdown_returns_its_tokens_once() {
    let harness = Harness::open(PAID, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", answers).await;
    let mut boxes = keeper_first(&harness, ["box-1", "box-2", "box-3"]).await;
    let keeper = boxes.remove(0);
    let name = keeper.incarnation().clone();
    keeper.stop().await;
    for gateway in &boxes {
        assert!(is_served(&harness, gateway).await);
    }
    let charged: u64 = boxes.iter().map(crate::harness::charged).sum();
    for gateway in boxes {
        gateway.stop().await;
    }
    let book = harness.book().await;
    let of = &book.ledgers["bornova"];
    assert!(!book.writers.contains_key(&name), "the keeper left the book");
    assert!(of.is_sound() && of.grants.is_empty(), "{of:?}");
    assert!(of.spent >= charged, "the others alone charged {charged}, {} spent", of.spent);
}

#[tokio::test]
async fn box_shutdown_returns_unused_tokens_to_the_keeper() {
    let harness = Harness::open(PAID, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", answers).await;
    let mut boxes = keeper_first(&harness, ["box-1", "box-2", "box-3"]).await;
    let keeper = boxes.remove(0);
    let mut charged = crate::harness::charged(&keeper);
    for gateway in boxes {
        charged += crate::harness::charged(&gateway);
        gateway.stop().await;
    }
    assert_eq!(keeper.balance("bornova").passed, 0, "everything was reported or returned");
    keeper.stop().await;
    let of = &harness.book().await.ledgers["bornova"];
    assert_eq!(
        (of.spent, of.lost, of.granted()),
        (charged, 0, 0),
        "every token is counted once: {of:?}"
    );
}
