//! Keepers that the store turns away, in a fleet whose other boxes reach it.
//!
//! Guards against requests that are refused for lack of tokens although the book has them and most boxes reach it: each
//! box relied on its keepers, and these could neither draw from the book nor take over for each other.

use std::{net::IpAddr, time::Duration};

use gateway::{Gateway, Profile, keepers};
use http::StatusCode;
use objects::Operation;
use standin::{Link, Platform, ScriptedEndpoint};

use crate::harness::{Harness, answer_ok, call, wait_until, wait_until_served, wait_until_within};

const PAID: u64 = 100_000_000;
/// Boxes of the fleet, all in one availability zone.
const BOXES: usize = 10;
/// Boxes that a box asks for tokens, all of them turned away.
const TURNED_AWAY: usize = 3;
/// Time for which a request waits for tokens: longer than any stall of this process, which runs all boxes.
const TOKEN_WAIT_MS: u64 = 2_000;
/// Upper bound on a wait for the whole fleet, which starts slowly on a busy machine.
const FLEET_MAX_WAIT: Duration = Duration::from_secs(60);
/// Tokens of a prompt that is too small to be announced to peers.
const PROMPT_TOKENS: u64 = 10;
/// Boxes that may write the book in place of the keepers.
const MAX_WRITERS: usize = 2;

struct Fleet {
    harness: Harness,
    /// The boxes that the store turns away, then the others.
    boxes: Vec<(Gateway, Link)>,
    _endpoint: ScriptedEndpoint,
    _turning_away: Platform,
}

impl Fleet {
    /// Starts a fleet and lets the store turn its keepers away.
    async fn start() -> Fleet {
        let harness = Harness::start(PAID, &["stream"]).await;
        let _endpoint = harness.endpoint("i-1", "engines", answer_ok).await;
        let mut boxes = Vec::new();
        for number in 0..BOXES {
            let name = format!("box-{number}");
            boxes.push(harness.gateway_with_few_tokens(&name, TOKEN_WAIT_MS).await);
        }
        for (gateway, _) in &boxes {
            wait_until_within(FLEET_MAX_WAIT, "the boxes know each other", async || {
                gateway.peer_count() == BOXES - 1
            })
            .await;
            wait_until_served(&harness, gateway, "/stream/x").await;
        }
        // Boxes that considered themselves keepers before they knew the others leave the book.
        wait_until_within(FLEET_MAX_WAIT, "one box writes", async || {
            harness.book().await.writers.len() == 1
        })
        .await;
        let _turning_away = turn_away(&mut boxes).await;
        Fleet { harness, boxes, _endpoint, _turning_away }
    }

    fn others(&self) -> &[(Gateway, Link)] {
        &self.boxes[TURNED_AWAY..]
    }

    /// Tokens that the boxes hold, in use or not.
    fn held(&self) -> u64 {
        let balances = self.boxes.iter().map(|(gateway, _)| gateway.balance("bornova"));
        balances.map(|balance| balance.free + balance.outstanding).sum()
    }

    /// Whether a box serves a request that costs little and may cost this many tokens.
    async fn serves(&self, gateway: &Gateway, worst: u64) -> bool {
        let request = self.harness.new_request("key-b", PROMPT_TOKENS, worst);
        call(gateway.callers(), "/stream/x", &request).await.status == StatusCode::OK
    }
}

/// Sorts the boxes by the order in which they are asked for tokens, and leads the first ones to a store that turns them
/// away.
async fn turn_away(boxes: &mut [(Gateway, Link)]) -> Platform {
    let profile = |gateway: &Gateway| Profile {
        incarnation: gateway.incarnation().clone(),
        zone: "z1".into(),
        capacity: 1,
    };
    let all: Vec<Profile> = boxes.iter().map(|(gateway, _)| profile(gateway)).collect();
    let asked = keepers(&all[0], &all[1..]);
    assert_eq!(asked.len(), TURNED_AWAY);
    boxes.sort_by_key(|(gateway, _)| {
        asked.iter().position(|name| name == gateway.incarnation()).unwrap_or(BOXES)
    });
    let store = Platform::spawn(2).await;
    let client_ip: IpAddr = [127, 0, 0, 1].into();
    store.set(|faults| {
        faults.rejected_sources.insert(client_ip);
    });
    for (_, link) in &boxes[..TURNED_AWAY] {
        link.set_target(store.socket());
        link.close_open_connections();
    }
    store
}

/// Attempts of a box to read or write the book, successful or not.
fn book_calls(gateway: &Gateway) -> (u64, u64) {
    let calls = gateway.calls().snapshot();
    let of = |wanted: Operation| {
        let calls = calls
            .iter()
            .filter(|((operation, kind), _)| *operation == wanted && &**kind == ledger::BOOK.0);
        calls.map(|(_, count)| count.calls).sum()
    };
    (of(Operation::Get), of(Operation::Put))
}

#[tokio::test]
async fn others_serve_from_the_book_while_the_store_turns_keepers_away() {
    let fleet = Fleet::start().await;
    let before: Vec<(u64, u64)> =
        fleet.others().iter().map(|(gateway, _)| book_calls(gateway)).collect();
    // All boxes together hold fewer, so they have to come from the book.
    let worst = fleet.held() + 1_000;
    for (number, (gateway, _)) in fleet.others().iter().enumerate() {
        wait_until(&format!("box {number} of the others serves"), async || {
            fleet.serves(gateway, worst).await
        })
        .await;
    }
    let after = fleet.others().iter().map(|(gateway, _)| book_calls(gateway));
    let calls: Vec<(u64, u64)> =
        before.iter().zip(after).map(|(from, to)| (to.0 - from.0, to.1 - from.1)).collect();
    println!("reads and writes of the book by the others: {calls:?}");
    let writers = calls.iter().filter(|(_, writes)| *writes > 0).count();
    assert!(writers <= MAX_WRITERS, "{writers} of {BOXES} boxes wrote the book: {calls:?}");
    let ledger = &fleet.harness.book().await.ledgers["bornova"];
    assert!(ledger.is_sound() && ledger.spent + ledger.granted() <= PAID, "{ledger:?}");
}

/// Guards against tokens that stay promised to a witness that has ended: while the store turned the keeper away, no other
/// witness could be named, and none was left to accept a lower promise.
#[tokio::test]
async fn a_restarted_witness_releases_its_promise_without_the_store() {
    let harness = Harness::start(PAID, &["stream"]).await;
    let _endpoint = harness.endpoint("i-1", "engines", answer_ok).await;
    let (keeper, link) = harness.gateway_with_link("box-0").await;
    wait_until_served(&harness, &keeper, "/stream/x").await;
    let witness = harness.gateway("box-1").await;
    let serves = async |worst: u64| {
        let request = harness.new_request("key-b", PROMPT_TOKENS, worst);
        call(keeper.callers(), "/stream/x", &request).await.status == StatusCode::OK
    };
    wait_until("tokens are promised", async || {
        serves(1).await && keeper.balance("bornova").promised > PAID / 100
    })
    .await;
    link.set_cut(true);
    drop(witness);
    let _witness = harness.gateway("box-1").await;
    wait_until("the keeper uses promised tokens", async || {
        let balance = keeper.balance("bornova");
        serves(balance.free - balance.promised / 2).await
    })
    .await;
}
