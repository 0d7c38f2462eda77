//! Keepers: only few boxes of a fleet write the book, and the others draw their tokens from them.
//!
//! Guards against contention: if every box of a large fleet wrote the book, most conditional writes would fail and
//! requests would be refused for lack of tokens.

use gateway::Gateway;
use http::StatusCode;
use objects::Operation;
use standin::ScriptedEndpoint;
use std::time::Duration;

use crate::harness::{Harness, answer_ok, call, wait_until, wait_until_served, wait_until_within};

/// More than all requests here use.
const PAID: u64 = 100_000_000;
/// Boxes that start together.
const BOXES: usize = 40;
/// Time for which a request and a keeper wait for tokens: longer than any stall of this process, which runs all
/// boxes. The tests count who writes the book, so the length of the wait doesn't affect them.
const LONG_WAIT_MS: u64 = 10_000;
/// Time for which a request waits for tokens in the small fleets.
const TOKEN_WAIT_MS: u64 = 2_000;
/// Tokens of a prompt that is too small to be announced to peers.
const SMALL_PROMPT_TOKENS: u64 = 1_500;
/// Boxes of an availability zone that may write the book once all know each other: the keeper, and one or two
/// standbys that step in when it did not answer.
const MAX_WRITERS: usize = 3;
/// Upper bound on a wait for something that may take long on a busy machine.
const FLEET_MAX_WAIT: Duration = Duration::from_secs(90);
/// Latency of store calls: about the time to transfer a book over a slow link.
const STORE_LATENCY: Duration = Duration::from_millis(150);

/// A fleet in which all boxes know each other and one has served a request that costs tokens.
struct Fleet {
    harness: Harness,
    boxes: Vec<Gateway>,
    _endpoints: [ScriptedEndpoint; 2],
}

impl Fleet {
    async fn start() -> Fleet {
        let harness = Harness::start(PAID, &["stream", "open"]).await;
        let _endpoints = [
            harness.endpoint("i-1", "plain", answer_ok).await,
            harness.endpoint("i-2", "engines", answer_ok).await,
        ];
        harness.platform.set(|faults| faults.delay = STORE_LATENCY);
        let mut boxes = Vec::new();
        for number in 0..BOXES {
            boxes.push(
                harness.gateway_with_long_waits(&format!("box-{number}"), LONG_WAIT_MS).await,
            );
        }
        for gateway in &boxes {
            wait_until_served(&harness, gateway, "/open/x").await;
        }
        for gateway in &boxes {
            wait_until_within(FLEET_MAX_WAIT, "the boxes know each other", async || {
                gateway.peer_count() == BOXES - 1
            })
            .await;
        }
        wait_until("box 0 serves a request", async || {
            serves_prompt(&harness, &boxes[0], SMALL_PROMPT_TOKENS).await
        })
        .await;
        // Boxes that considered themselves keepers before they knew the others leave the book.
        wait_until_within(FLEET_MAX_WAIT, "few boxes write", async || {
            harness.book().await.writers.len() <= MAX_WRITERS
        })
        .await;
        Fleet { harness, boxes, _endpoints }
    }
}

async fn serves(harness: &Harness, gateway: &Gateway) -> bool {
    serves_prompt(harness, gateway, 2_000).await
}

async fn serves_prompt(harness: &Harness, gateway: &Gateway, tokens: u64) -> bool {
    let req = harness.new_request("key-b", tokens, 10);
    call(gateway.callers(), "/stream/x", &req).await.status == StatusCode::OK
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
        wait_until("the box serves a request", async || {
            serves_prompt(&harness, gateway, SMALL_PROMPT_TOKENS).await
        })
        .await;
    }
    let attempted =
        boxes.iter().zip(before).filter(|(gateway, before)| book_writes(gateway) > *before);
    let attempted = attempted.count();
    assert!(attempted <= MAX_WRITERS, "{attempted} of {BOXES} boxes tried to write the book");
}

#[tokio::test]
async fn number_of_book_writers_is_bounded() {
    let Fleet { harness, boxes, _endpoints } = Fleet::start().await;
    for gateway in &boxes {
        serves_prompt(&harness, gateway, SMALL_PROMPT_TOKENS).await;
    }
    let writers = harness.book().await.writers.len();
    assert!(
        writers <= MAX_WRITERS,
        "{writers} of {BOXES} boxes, all in one availability zone, write the book"
    );
}

/// Starts boxes of one zone; the keeper is the first one returned.
async fn start_with_keeper_first(harness: &Harness, names: [&str; 3]) -> Vec<Gateway> {
    let mut boxes = Vec::new();
    for name in names {
        boxes.push(harness.gateway_with_token_wait(name, TOKEN_WAIT_MS).await);
    }
    for gateway in &boxes {
        wait_until("boxes know each other", async || gateway.peer_count() == 2).await;
        wait_until_served(harness, gateway, "/stream/x").await;
    }
    wait_until("exactly one box passes tokens on", async || {
        for gateway in &boxes {
            serves(harness, gateway).await;
        }
        boxes.iter().filter(|gateway| gateway.balance("bornova").outstanding > 0).count() == 1
    })
    .await;
    boxes.sort_by_key(|gateway| gateway.balance("bornova").outstanding == 0);
    boxes
}

#[tokio::test]
async fn another_keeper_takes_over_after_a_crash() {
    let harness = Harness::start(PAID, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", answer_ok).await;
    let mut boxes = start_with_keeper_first(&harness, ["box-1", "box-2", "box-3"]).await;
    drop(boxes.remove(0));
    for gateway in &boxes {
        wait_until("the box serves requests again", async || serves(&harness, gateway).await).await;
    }
}

#[tokio::test]
async fn keeper_shutdown_returns_its_tokens_once() {
    let harness = Harness::start(PAID, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", answer_ok).await;
    let mut boxes = start_with_keeper_first(&harness, ["box-1", "box-2", "box-3"]).await;
    let keeper = boxes.remove(0);
    let name = keeper.incarnation().clone();
    keeper.stop().await;
    for gateway in &boxes {
        assert!(serves(&harness, gateway).await);
    }
    let charged_tokens: u64 = boxes.iter().map(crate::harness::charged_tokens).sum();
    for gateway in boxes {
        gateway.stop().await;
    }
    let book = harness.book().await;
    let ledger = &book.ledgers["bornova"];
    assert!(!book.writers.contains_key(&name), "the keeper left the book");
    assert!(ledger.is_sound() && ledger.grants.is_empty(), "{ledger:?}");
    assert!(
        ledger.spent >= charged_tokens,
        "the others alone charged {charged_tokens}, {} spent",
        ledger.spent
    );
}

#[tokio::test]
async fn box_shutdown_returns_unused_tokens_to_the_keeper() {
    let harness = Harness::start(PAID, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", answer_ok).await;
    let mut boxes = start_with_keeper_first(&harness, ["box-1", "box-2", "box-3"]).await;
    let keeper = boxes.remove(0);
    let mut charged_tokens = crate::harness::charged_tokens(&keeper);
    for gateway in boxes {
        charged_tokens += crate::harness::charged_tokens(&gateway);
        gateway.stop().await;
    }
    assert_eq!(keeper.balance("bornova").outstanding, 0, "everything was reported or returned");
    keeper.stop().await;
    let ledger = &harness.book().await.ledgers["bornova"];
    assert_eq!(
        (ledger.spent, ledger.lost, ledger.granted()),
        (charged_tokens, 0, 0),
        "every token is counted once: {ledger:?}"
    );
}
