//! The order in which a box asks keepers for tokens.

use std::{collections::BTreeSet, time::Duration};

use gateway::{Profile, STAND_INS, first_read_delay, interval_factor, keepers, stand_ins};
use ledger::Incarnation;

fn profile(name: &str, zone: &str, capacity: u64) -> Profile {
    Profile { incarnation: Incarnation::new(name, 1), zone: zone.into(), capacity }
}

/// Names of the boxes that one box of a fleet asks, in order.
fn asked(fleet: &[Profile], index: usize) -> Vec<String> {
    let others: Vec<Profile> =
        fleet.iter().filter(|profile| **profile != fleet[index]).cloned().collect();
    keepers(&fleet[index], &others).iter().map(|name| name.box_name().to_owned()).collect()
}

/// A fleet with this number of boxes in each zone; the first box of a zone is the strongest.
fn fleet(zones: &[(&str, usize)]) -> Vec<Profile> {
    let boxes = zones.iter().flat_map(|(zone, count)| {
        (0..*count)
            .map(move |n| profile(&format!("{zone}-{n}"), zone, if n == 0 { 50 } else { 10 }))
    });
    boxes.collect()
}

#[test]
fn the_strongest_box_of_the_zone_comes_first() {
    let fleet = fleet(&[("bornova", 19), ("buca", 16), ("cigli", 18)]);
    for index in 0..fleet.len() {
        let asked = asked(&fleet, index);
        assert_eq!(asked[0], format!("{}-0", fleet[index].zone), "{}", fleet[index].incarnation);
    }
}

#[test]
fn boxes_of_a_zone_agree_and_the_other_zones_come_last() {
    let fleet = fleet(&[("bornova", 19), ("buca", 16), ("cigli", 18)]);
    let of_buca = |index: &usize| &*fleet[*index].zone == "buca";
    let orders: BTreeSet<Vec<String>> =
        (0..fleet.len()).filter(of_buca).map(|index| asked(&fleet, index)).collect();
    assert_eq!(orders.len(), 1, "{orders:?}");
    let keepers = orders.first().expect("one");
    let zones: Vec<&str> =
        keepers.iter().map(|name| name.split('-').next().expect("a zone")).collect();
    assert_eq!(zones[..3], ["buca"; 3]);
    assert_eq!(zones[3..].iter().collect::<BTreeSet<_>>().len(), 2, "{zones:?}");
}

/// With a keeper in each zone, or for each so many boxes, a fleet in many zones would have too many writers of the book.
#[test]
fn number_of_keepers_depends_neither_on_boxes_nor_on_zones() {
    let cases = [(7, 3, 3), (23, 6, 3), (89, 4, 3), (295, 6, 3), (300, 2, 2), (985, 6, 3)];
    for (boxes, zones, count) in cases {
        let zone = ["a", "b", "c", "d", "e", "f"];
        let fleet: Vec<Profile> =
            (0..boxes).map(|n| profile(&format!("box-{n}"), zone[n % zones], 10)).collect();
        let asked: Vec<Vec<String>> = (0..boxes).map(|index| asked(&fleet, index)).collect();
        let first: BTreeSet<&String> = asked.iter().map(|asked| &asked[0]).collect();
        assert_eq!(first.len(), count, "{boxes} boxes in {zones} zones: {first:?}");
        for (index, asked) in asked.iter().enumerate() {
            let name = fleet[index].incarnation.box_name();
            let is_keeper = first.iter().any(|first| **first == name);
            assert_eq!(is_keeper, asked[0] == name, "a keeper is its own first choice");
            let tried: BTreeSet<&String> = asked.iter().collect();
            assert!(first.is_subset(&tried), "all keepers are asked: {asked:?}");
        }
    }
}

/// Guards against a fleet all of whose boxes write the book once the store turns its keepers away.
#[test]
fn all_boxes_of_a_fleet_ask_the_same_stand_ins_of_different_zones() {
    for (boxes, zones) in [(7, 3), (75, 3), (75, 9), (985, 6), (985, 32)] {
        let profile = |n| profile(&format!("box-{n}"), &format!("zone-{}", n % zones), 10);
        let fleet: Vec<Profile> = (0..boxes).map(profile).collect();
        // Each box sorts the whole fleet, so some of them stand for all.
        let sample = (0..boxes).step_by(1 + boxes / 30);
        let orders: BTreeSet<Vec<Incarnation>> = sample
            .clone()
            .map(|index| {
                let others = [&fleet[..index], &fleet[index + 1..]].concat();
                stand_ins(&fleet[index], &others)
            })
            .collect();
        assert_eq!(orders.len(), 1, "{boxes} boxes in {zones} zones: {orders:?}");
        let order = orders.first().expect("one");
        assert_eq!(order.len(), STAND_INS.min(boxes - zones.min(3)));
        let zone = |name: &Incarnation| {
            fleet.iter().find(|profile| profile.incarnation == *name).map(|profile| &profile.zone)
        };
        let first: BTreeSet<_> = order.iter().take(3).map(zone).collect();
        assert_eq!(first.len(), 3, "{order:?}");
        let keepers = sample.map(|index| asked(&fleet, index)[0].clone());
        let keepers: BTreeSet<String> = keepers.collect();
        assert!(!order.iter().any(|name| keepers.contains(name.box_name())), "{order:?}");
    }
}

#[test]
fn small_fleets_are_ordered_by_the_same_rule() {
    let cases = [
        (vec![("a", 1)], 0, vec!["a-0"]),
        (vec![("a", 2)], 1, vec!["a-0", "a-1"]),
        (vec![("a", 1), ("b", 1)], 1, vec!["b-0", "a-0"]),
    ];
    for (zones, index, want) in cases {
        assert_eq!(asked(&fleet(&zones), index), want, "{zones:?}");
    }
}

#[test]
fn equal_boxes_share_the_work_across_zones() {
    // The same box name must not become the keeper in every zone.
    let boxes =
        |zone: &str| (0..8).map(|n| profile(&format!("box-{n}"), zone, 10)).collect::<Vec<_>>();
    let firsts: BTreeSet<String> = ["a", "b", "c", "d", "e", "f"]
        .into_iter()
        .map(|zone| asked(&boxes(zone), 0)[0].clone())
        .collect();
    assert!(firsts.len() > 1, "{firsts:?}");
}

/// Guards against contention when the keepers of a large fleet and their standbys all write the one book.
#[test]
fn settlement_interval_grows_with_the_number_of_writers() {
    for (writers, factor) in [(0, 1), (1, 1), (3, 1), (5, 1), (6, 2), (18, 2), (300, 2)] {
        assert_eq!(interval_factor(writers), factor, "{writers} writers");
    }
}

/// Guards against a fleet that gets no configuration after a loss of power, since each box reads the book at once and
/// again, which fills the store's link.
#[test]
fn boxes_that_start_together_read_the_book_one_after_the_other() {
    for boxes in [1_u64, 7, 79, 295, 985, 1_970] {
        let parts = (0..boxes).map(|n| n as f64 / boxes as f64);
        let delays: Vec<Duration> = parts.map(|part| first_read_delay(boxes, part)).collect();
        let in_one_second = |from: &Duration| {
            let until = *from + Duration::from_secs(1);
            delays.iter().filter(|delay| (*from..until).contains(*delay)).count()
        };
        let most = delays.iter().map(in_one_second).max();
        assert!(most <= Some(101), "{most:?} of {boxes} boxes in one second");
        assert!(boxes > 7 || delays.iter().all(|delay| delay.as_millis() < 100), "{delays:?}");
    }
}
