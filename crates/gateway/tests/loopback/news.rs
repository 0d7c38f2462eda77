//! Sync of the boxes' view of the store: few watchers read the store, the other boxes subscribe to them.
//!
//! Guards against a store load that grows with the number of boxes, in normal operation and during outages.

use std::{collections::BTreeMap, time::Duration};

use gateway::{Gateway, Place, homes};
use http::StatusCode;
use ledger::Incarnation;
use objects::Operation;

use crate::world::{World, answers, call, until, until_served, until_within};

/// Number of boxes in a large fleet.
const BOXES: usize = 40;
/// Upper bound on a wait in a large fleet.
const HANGS: Duration = Duration::from_secs(90);
/// Most boxes that may read the store: two watchers, their standbys during the start, and one or two boxes that
/// knew too few others then.
const LOOK: usize = 6;
/// More than all requests here use.
const PAID: u64 = 1_000_000;

/// Names of the watchers of a fleet.
fn home_names(names: &[String]) -> Vec<String> {
    let place = |name: &String| Place {
        name: Incarnation::new(name, 1),
        zone: "z1".into(),
        strength: gateway::settings::Machine::default().strength(),
    };
    let others: Vec<Place> = names[1..].iter().map(place).collect();
    let homes = homes(&place(&names[0]), &others);
    homes.first.iter().map(|name| name.box_name().to_owned()).collect()
}

/// Starts a fleet and waits until each box serves requests and knows all others; watchers come first.
async fn fleet(world: &World, count: usize) -> Vec<Gateway> {
    let names: Vec<String> = (0..count).map(|n| format!("box-{n}")).collect();
    let homes = home_names(&names);
    let mut boxes = BTreeMap::new();
    for name in &names {
        boxes.insert((!homes.contains(name), name), world.gateway(name).await);
    }
    let boxes: Vec<Gateway> = boxes.into_values().collect();
    for gateway in &boxes {
        until_within(HANGS, "the box serves requests", async || {
            let asked = world.asked("key-b", 1, 1);
            call(gateway.callers(), "/open/x", &asked).await.status == StatusCode::OK
        })
        .await;
        until_within(HANGS, "the boxes know each other", async || {
            gateway.knows_peers() == count - 1
        })
        .await;
    }
    boxes
}

/// Calls with which a box listed or watched the store itself.
fn news_calls(gateway: &Gateway) -> u64 {
    let calls = gateway.calls().snapshot();
    let of_news = calls.iter().filter(|((operation, kind), _)| {
        let reads = matches!(operation, Operation::List | Operation::Watch);
        reads && [platform::CONFIG.0, platform::ENDPOINTS, "boxes"].contains(&&**kind)
    });
    of_news.map(|(_, count)| count.calls).sum()
}

#[tokio::test]
async fn few_boxes_of_a_large_fleet_read_the_store() {
    let world = World::open(PAID, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let boxes = fleet(&world, BOXES).await;
    let looked = boxes.iter().filter(|gateway| news_calls(gateway) > 0).count();
    assert!(looked <= LOOK, "{looked} of {BOXES} boxes listed or watched the store themselves");
    world.configure(2, PAID, &["open", "cancel"]).await;
    for gateway in &boxes {
        until_within(HANGS, "the new version is in force", async || {
            let asked = world.asked("key-b", 1, 1);
            call(gateway.callers(), "/cancel/x", &asked).await.status == StatusCode::OK
        })
        .await;
    }
    let looked = boxes.iter().filter(|gateway| news_calls(gateway) > 0).count();
    assert!(looked <= LOOK, "{looked} of {BOXES} boxes listed or watched the store themselves");
}

#[tokio::test]
async fn watchers_probe_during_an_outage_and_announce_its_end() {
    let world = World::open(PAID, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let boxes = fleet(&world, BOXES).await;
    let before: Vec<u64> = boxes.iter().map(news_calls).collect();
    world.platform.set(|faults| faults.down = true);
    // Long enough for many retries.
    tokio::time::sleep(Duration::from_secs(6)).await;
    world.configure(2, PAID, &["open", "cancel"]).await;
    world.platform.set(|faults| faults.down = false);
    for gateway in &boxes {
        until_within(HANGS, "the new version is in force", async || {
            let asked = world.asked("key-b", 1, 1);
            call(gateway.callers(), "/cancel/x", &asked).await.status == StatusCode::OK
        })
        .await;
    }
    let looked = boxes.iter().zip(before).filter(|(gateway, before)| news_calls(gateway) > *before);
    let looked = looked.count();
    assert!(
        looked <= LOOK,
        "{looked} of {BOXES} boxes listed or watched the store after the outage"
    );
}

#[tokio::test]
async fn subscribers_switch_to_another_watcher_after_a_crash() {
    let world = World::open(PAID, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let mut boxes = fleet(&world, 5).await;
    drop(boxes.remove(0));
    world.configure(2, PAID, &["open", "cancel"]).await;
    for gateway in &boxes {
        until_served(&world, gateway, "/cancel/x").await;
    }
}

#[tokio::test]
async fn boxes_get_updates_again_when_all_watchers_died() {
    let world = World::open(PAID, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let mut boxes = fleet(&world, 6).await;
    drop(boxes.drain(..2));
    world.configure(2, PAID, &["open", "cancel"]).await;
    for gateway in &boxes {
        until_served(&world, gateway, "/cancel/x").await;
    }
}

#[tokio::test]
async fn subscribers_leave_watchers_that_lost_the_store() {
    let world = World::open(PAID, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let names: Vec<String> = (0..4).map(|n| format!("box-{n}")).collect();
    let homes = home_names(&names);
    let (mut links, mut boxes, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
    for name in &names {
        let (gateway, link) = world.cut_gateway(name).await;
        match homes.contains(name) {
            true => {
                links.push(link);
                boxes.push(gateway);
            }
            false => listeners.push((gateway, link)),
        }
    }
    for (gateway, _) in &listeners {
        until("boxes know each other", async || gateway.knows_peers() == 3).await;
        until_served(&world, gateway, "/open/x").await;
    }
    // The connections stay open and silent: only the watchers' own probes show the loss.
    links.iter().for_each(|link| link.set_cut(true));
    world.configure(2, PAID, &["open", "cancel"]).await;
    for (gateway, _) in &listeners {
        until_served(&world, gateway, "/cancel/x").await;
    }
}

#[tokio::test]
async fn draining_endpoint_gets_no_requests_from_subscribers() {
    let world = World::open(PAID, &["open"]).await;
    let leaving = world.endpoint("i-1", "plain", answers).await;
    let _stays = world.endpoint("i-2", "plain", answers).await;
    let boxes = fleet(&world, 5).await;
    world.list("i-1", "plain", leaving.address(), false).await;
    for gateway in &boxes {
        let mut quiet = 0;
        until("the box sends nothing more to the leaving endpoint", async || {
            let before = leaving.arrived().len();
            call(gateway.callers(), "/open/x", &world.asked("key-b", 1, 1)).await;
            quiet = if leaving.arrived().len() == before { quiet + 1 } else { 0 };
            quiet > 20
        })
        .await;
    }
    world.unlist("i-1").await;
    let before = leaving.arrived().len();
    for gateway in &boxes {
        for _ in 0..5 {
            call(gateway.callers(), "/open/x", &world.asked("key-b", 1, 1)).await;
        }
    }
    assert_eq!(leaving.arrived().len(), before);
}

#[tokio::test]
async fn restarted_box_registers_with_one_write() {
    let world = World::open(PAID, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let _other = world.gateway("box-1").await;
    let first = world.gateway("box-2").await;
    until_served(&world, &first, "/open/x").await;
    until("boxes know each other", async || first.knows_peers() == 1).await;
    drop(first);
    let second = world.gateway("box-2").await;
    until_served(&world, &second, "/open/x").await;
    until("the new incarnation is registered", async || {
        let life = second.incarnation().as_str();
        world.entry_of("box-2").await.is_some_and(|entry| entry.contains(life))
    })
    .await;
    let calls = second.calls().snapshot();
    let writes = calls.get(&(Operation::Put, "boxes".into())).map_or(0, |count| count.calls);
    assert_eq!(writes, 1, "it knew the version of its earlier incarnation's entry");
}

#[tokio::test]
async fn peer_traffic_is_counted_by_topic_and_zone() {
    let world = World::open(1_000_000, &["open"]).await;
    let _endpoint = world.endpoint("i-1", "plain", answers).await;
    let boxes = fleet(&world, 4).await;
    let counts = |gateway: &Gateway| {
        let zone_of = |line: &str| line.contains(r#"topic="news""#) && line.contains("own");
        gateway.metrics().lines().any(|line| zone_of(line) && line.contains("heard"))
    };
    until("a subscriber counts its update calls", async || {
        for gateway in &boxes {
            reqwest::get(format!("http://{}/metrics", gateway.operators())).await.expect("a page");
        }
        boxes.iter().any(counts)
    })
    .await;
}
