//! Which peers a box announces prompts to, and which it hands bills over to; lists of large fleets.

use std::{collections::BTreeSet, net::SocketAddr};

use gateway::{Entry, Peers, Profile};
use ledger::Incarnation;

fn entry(n: u16, zone: &str) -> Entry {
    let peer = SocketAddr::from(([127, 0, 0, 1], 1_000 + n));
    let incarnation = Incarnation::new(&format!("{zone}-{n}"), u64::from(n));
    Entry { incarnation, zone: zone.into(), peer, capacity: 1 }
}

/// Guards against traffic between availability zones: each large prompt is announced to up to twelve boxes.
#[test]
fn prompts_are_announced_in_the_own_zone_first() {
    let me = Profile { incarnation: Incarnation::new("z1-me", 7), zone: "z1".into(), capacity: 1 };
    for (near, far, near_recipients) in [(20, 20, 12), (3, 20, 3), (0, 4, 0)] {
        let peers = Peers::open(me.clone(), None, 1);
        let entries =
            (0..near).map(|n| entry(n, "z1")).chain((0..far).map(|n| entry(n + 100, "z2")));
        peers.update(entries.map(|entry| (entry, 1)).collect(), 1);
        let recipients = peers.prompt_recipients();
        let of_zone = recipients.iter().filter(|name| name.as_str().starts_with("z1")).count();
        assert_eq!(
            (of_zone, recipients.len()),
            (near_recipients, usize::from(near + far).min(12)),
            "{near} boxes in the own zone, {far} in another"
        );
    }
}

/// Guards against a loss of bills with one availability zone.
#[test]
fn bills_are_offered_to_one_box_of_each_zone_first() {
    let me = Profile { incarnation: Incarnation::new("z1-me", 7), zone: "z1".into(), capacity: 1 };
    for seed in 0..20 {
        let peers = Peers::open(me.clone(), None, seed);
        let near = (0..9).map(|n| entry(n, "z1"));
        let far = [entry(100, "z2"), entry(200, "z3")];
        peers.update(near.chain(far).map(|entry| (entry, 1)).collect(), 1);
        let first = peers.bill_receivers();
        let zones: BTreeSet<&str> = first.iter().take(3).map(|name| &name.as_str()[..2]).collect();
        assert_eq!((zones.len(), first.len()), (3, 11), "seed {seed}: {first:?}");
    }
}

/// Guards against lists of boxes that take a tenth of a second of processor time each, since every box was looked for
/// among all others. Nothing here is timed: with such a search this takes minutes.
#[test]
fn lists_of_a_large_fleet_replace_only_older_entries() {
    const BOXES: u16 = 20_000;
    let me = Profile { incarnation: Incarnation::new("z1-me", 7), zone: "z1".into(), capacity: 1 };
    let peers = Peers::open(me, None, 1);
    let list = |of: std::ops::Range<u16>, version: u64| -> Vec<(Entry, u64)> {
        of.map(|n| (entry(n, "z1"), version)).collect()
    };
    peers.update(list(0..BOXES, 5), 5);
    let keepers = peers.keepers();
    let restarted = Entry { incarnation: Incarnation::new("z1-3", 99), ..entry(3, "z1") };
    for _ in 0..3 {
        // Box 3 started again after this list; the entry of box 4 there is an old one.
        peers.update(vec![(restarted.clone(), 9)], 4);
        peers.update(list(0..BOXES, 4), 8);
        assert_eq!(peers.len(), usize::from(BOXES));
        assert!(peers.knows(&restarted.incarnation) && !peers.knows(&entry(3, "z1").incarnation));
    }
    assert_eq!(peers.keepers(), keepers, "the same boxes, of the same capacity");
    peers.update(list(0..BOXES - 1, 10), 10);
    assert_eq!(peers.len(), usize::from(BOXES - 1));
    assert!(peers.knows(&entry(3, "z1").incarnation), "its entry of version 10 is the newest");
}
