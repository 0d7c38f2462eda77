//! Boxes that hear from few others what the store holds.
//!
//! The load: many boxes in one fleet, each of which would watch the store and look for it while it is
//! away. Of 24,000 calls that 295 boxes made on a calm day, 21,000 were such.

use std::{collections::BTreeMap, time::Duration};

use gateway::{Gateway, Profile, watchers};
use http::StatusCode;
use ledger::Incarnation;
use objects::Operation;

use crate::harness::{Harness, answers, call, until, until_served, until_within};

/// Boxes that start together.
const BOXES: usize = 40;
/// Ends a wait that would never end: what is waited for is counted.
const HANGS: Duration = Duration::from_secs(90);
/// Boxes that look: two homes, those that stood by for them while all started, and one or two that knew
/// too few others then.
const LOOK: usize = 6;
/// Enough for every request here.
const PAID: u64 = 1_000_000;

/// Names of the homes of a fleet.
fn home_names(names: &[String]) -> Vec<String> {
    let profile = |name: &String| Profile {
        name: Incarnation::new(name, 1),
        zone: "z1".into(),
        strength: gateway::settings::Machine::default().strength(),
    };
    let others: Vec<Profile> = names[1..].iter().map(profile).collect();
    let watchers = watchers(&profile(&names[0]), &others);
    watchers.first.iter().map(|name| name.box_name().to_owned()).collect()
}

/// A fleet that is served and in which all know each other; homes first.
async fn fleet(harness: &Harness, count: usize) -> Vec<Gateway> {
    let names: Vec<String> = (0..count).map(|n| format!("box-{n}")).collect();
    let watchers = home_names(&names);
    let mut boxes = BTreeMap::new();
    for name in &names {
        boxes.insert((!watchers.contains(name), name), harness.gateway(name).await);
    }
    let boxes: Vec<Gateway> = boxes.into_values().collect();
    for gateway in &boxes {
        until_within(HANGS, "it is served", async || {
            let asked = harness.asked("key-b", 1, 1);
            call(gateway.callers(), "/open/x", &asked).await.status == StatusCode::OK
        })
        .await;
        until_within(HANGS, "it knows all", async || gateway.peer_count() == count - 1).await;
    }
    boxes
}

/// Calls of a box that were to learn what the store holds.
fn news_calls(gateway: &Gateway) -> u64 {
    let calls = gateway.calls().snapshot();
    let of_news = calls.iter().filter(|((operation, kind), _)| {
        let reads = matches!(operation, Operation::List | Operation::Watch);
        reads && [platform::CONFIG.0, platform::ENDPOINTS, "boxes"].contains(&&**kind)
    });
    of_news.map(|(_, count)| count.calls).sum()
}

#[tokio::test]
async fn few_boxes_of_a_large_fleet_look_at_the_store() {
    let harness = Harness::open(PAID, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let boxes = fleet(&harness, BOXES).await;
    let looked = boxes.iter().filter(|gateway| news_calls(gateway) > 0).count();
    assert!(looked <= LOOK, "{looked} of {BOXES} boxes listed or watched what others tell");
    harness.configure(2, PAID, &["open", "cancel"]).await;
    for gateway in &boxes {
        until_within(HANGS, "the new version is in force", async || {
            let asked = harness.asked("key-b", 1, 1);
            call(gateway.callers(), "/cancel/x", &asked).await.status == StatusCode::OK
        })
        .await;
    }
    let looked = boxes.iter().filter(|gateway| news_calls(gateway) > 0).count();
    assert!(looked <= LOOK, "{looked} of {BOXES} boxes listed or watched what others tell");
}

#[tokio::test]
async fn an_outage_is_looked_at_by_homes_and_its_end_is_told() {
    let harness = Harness::open(PAID, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let boxes = fleet(&harness, BOXES).await;
    let before: Vec<u64> = boxes.iter().map(news_calls).collect();
    harness.platform.set(|faults| faults.down = true);
    // As long as the outages that boxes ride out, in which each looked 30 times by itself.
    tokio::time::sleep(Duration::from_secs(6)).await;
    harness.configure(2, PAID, &["open", "cancel"]).await;
    harness.platform.set(|faults| faults.down = false);
    for gateway in &boxes {
        until_within(HANGS, "the new version is in force", async || {
            let asked = harness.asked("key-b", 1, 1);
            call(gateway.callers(), "/cancel/x", &asked).await.status == StatusCode::OK
        })
        .await;
    }
    let looked = boxes.iter().zip(before).filter(|(gateway, before)| news_calls(gateway) > *before);
    let looked = looked.count();
    assert!(looked <= LOOK, "{looked} of {BOXES} boxes listed or watched after the outage");
}

#[tokio::test]
async fn listeners_of_a_home_that_died_hear_another_one() {
    let harness = Harness::open(PAID, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let mut boxes = fleet(&harness, 5).await;
    drop(boxes.remove(0));
    harness.configure(2, PAID, &["open", "cancel"]).await;
    for gateway in &boxes {
        until_served(&harness, gateway, "/cancel/x").await;
    }
}

#[tokio::test]
async fn boxes_whose_homes_all_died_look_for_themselves_or_at_each_other() {
    let harness = Harness::open(PAID, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let mut boxes = fleet(&harness, 6).await;
    drop(boxes.drain(..2));
    harness.configure(2, PAID, &["open", "cancel"]).await;
    for gateway in &boxes {
        until_served(&harness, gateway, "/cancel/x").await;
    }
}

#[tokio::test]
async fn boxes_whose_homes_alone_lost_the_store_do_not_run_on_old_news() {
    let harness = Harness::open(PAID, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let names: Vec<String> = (0..4).map(|n| format!("box-{n}")).collect();
    let watchers = home_names(&names);
    let (mut links, mut boxes, mut listeners) = (Vec::new(), Vec::new(), Vec::new());
    for name in &names {
        let (gateway, link) = harness.cut_gateway(name).await;
        match watchers.contains(name) {
            true => {
                links.push(link);
                boxes.push(gateway);
            }
            false => listeners.push((gateway, link)),
        }
    }
    for (gateway, _) in &listeners {
        until("boxes know each other", async || gateway.peer_count() == 3).await;
        until_served(&harness, gateway, "/open/x").await;
    }
    // Held open and silent: only the homes' own looks show it.
    links.iter().for_each(|link| link.set_cut(true));
    harness.configure(2, PAID, &["open", "cancel"]).await;
    for (gateway, _) in &listeners {
        until_served(&harness, gateway, "/cancel/x").await;
    }
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_work_of_listeners() {
    let harness = Harness::open(PAID, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answers).await;
    let _stays = harness.endpoint("i-2", "plain", answers).await;
    let boxes = fleet(&harness, 5).await;
    harness.list("i-1", "plain", leaving.address(), false).await;
    for gateway in &boxes {
        let mut quiet = 0;
        until("the box heard of it", async || {
            let before = leaving.arrived().len();
            call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
            quiet = if leaving.arrived().len() == before { quiet + 1 } else { 0 };
            quiet > 20
        })
        .await;
    }
    harness.unlist("i-1").await;
    let before = leaving.arrived().len();
    for gateway in &boxes {
        for _ in 0..5 {
            call(gateway.callers(), "/open/x", &harness.asked("key-b", 1, 1)).await;
        }
    }
    assert_eq!(leaving.arrived().len(), before);
}

#[tokio::test]
async fn a_box_that_starts_again_registers_with_one_write() {
    let harness = Harness::open(PAID, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let _other = harness.gateway("box-1").await;
    let first = harness.gateway("box-2").await;
    until_served(&harness, &first, "/open/x").await;
    until("boxes know each other", async || first.peer_count() == 1).await;
    drop(first);
    let second = harness.gateway("box-2").await;
    until_served(&harness, &second, "/open/x").await;
    until("it is registered", async || {
        let life = second.incarnation().as_str();
        harness.entry_of("box-2").await.is_some_and(|entry| entry.contains(life))
    })
    .await;
    let calls = second.calls().snapshot();
    let writes = calls.get(&(Operation::Put, "boxes".into())).map_or(0, |count| count.calls);
    assert_eq!(writes, 1, "it knew the version of its earlier life's entry");
}

#[tokio::test]
async fn what_boxes_ask_each_other_is_counted_by_topic_and_zone() {
    let harness = Harness::open(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answers).await;
    let boxes = fleet(&harness, 4).await;
    let counts = |gateway: &Gateway| {
        let zone_of = |line: &str| line.contains(r#"topic="news""#) && line.contains("own");
        gateway.metrics().lines().any(|line| zone_of(line) && line.contains("heard"))
    };
    until("a listener counts its news", async || {
        for gateway in &boxes {
            reqwest::get(format!("http://{}/metrics", gateway.operators())).await.expect("a page");
        }
        boxes.iter().any(counts)
    })
    .await;
}
