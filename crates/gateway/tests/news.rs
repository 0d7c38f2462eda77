//! How news spreads: who looks at the store, what is told, and that nothing goes backwards.

use std::{collections::BTreeSet, sync::Arc};

use gateway::{Directory, Homes, Place, Shelf, homes};
use ledger::Incarnation;
use platform::endpoint::Entry;
use proptest::prelude::*;

fn place(name: &str, zone: &str, strength: u64) -> Place {
    Place { name: Incarnation::new(name, 1), zone: zone.into(), strength }
}

/// A fleet of three zones in which every third box is weak.
fn fleet(boxes: usize) -> Vec<Place> {
    let zones = ["bornova", "buca", "cigli"];
    let one = |n: usize| {
        place(&format!("box-{n}"), zones[n % 3], if n.is_multiple_of(4) { 10 } else { 50 })
    };
    (0..boxes).map(one).collect()
}

fn seen_from(fleet: &[Place], me: usize) -> Homes {
    let others: Vec<Place> = fleet.iter().filter(|place| **place != fleet[me]).cloned().collect();
    homes(&fleet[me], &others)
}

fn names(homes: &[Incarnation]) -> BTreeSet<&str> {
    homes.iter().map(Incarnation::box_name).collect()
}

#[test]
fn few_boxes_look_and_all_agree_on_them() {
    for (boxes, count) in [(1, 1), (2, 1), (7, 2), (23, 2), (89, 2), (295, 6)] {
        let fleet = fleet(boxes);
        let first = seen_from(&fleet, 0);
        assert_eq!(first.first.len(), count, "homes of {boxes} boxes");
        for me in 0..boxes {
            let seen = seen_from(&fleet, me);
            assert_eq!(names(&seen.first), names(&first.first), "as box {me} of {boxes} sees it");
            assert_eq!(
                names(&seen.standby),
                names(&first.standby),
                "as box {me} of {boxes} sees it"
            );
        }
        assert!(names(&first.first).is_disjoint(&names(&first.standby)));
    }
}

#[test]
fn weak_boxes_do_not_look_for_others_and_listeners_are_shared() {
    let fleet = fleet(295);
    let mut listeners = std::collections::BTreeMap::new();
    for me in 0..fleet.len() {
        let seen = seen_from(&fleet, me);
        let strong = |name: &Incarnation| {
            fleet.iter().any(|place| place.name == *name && place.strength == 50)
        };
        assert!(seen.all().all(strong));
        *listeners.entry(seen.first[0].box_name().to_owned()).or_insert(0) += 1;
    }
    let most = listeners.values().max().copied().unwrap_or_default();
    assert!(listeners.len() == 6 && most <= 120, "{listeners:?}");
}

/// The load: the whole of 3,000 endpoints told to 301 boxes, most of it from zone to zone.
#[test]
fn homes_stand_in_as_many_zones_as_they_can_and_are_heard_there() {
    let zones = ["a", "b", "c", "d", "e", "f"];
    for (boxes, in_zones) in [(7, 2), (73, 2), (180, 4), (301, 6)] {
        let fleet: Vec<Place> =
            (0..boxes).map(|n| place(&format!("box-{n}"), zones[n % 6], 10)).collect();
        let zone_of = |name: &Incarnation| {
            let place = fleet.iter().find(|place| place.name == *name);
            place.expect("one of the fleet").zone.clone()
        };
        let homes = seen_from(&fleet, 0).first;
        let with_home: BTreeSet<Arc<str>> = homes.iter().map(zone_of).collect();
        assert_eq!(with_home.len(), in_zones, "{boxes} boxes: {homes:?}");
        for me in 0..boxes {
            let heard = zone_of(&seen_from(&fleet, me).first[0]);
            let own = &fleet[me].zone;
            assert!(heard == *own || !with_home.contains(own), "{} hears {heard}", fleet[me].name);
        }
    }
}

fn entry(state: &str) -> Entry {
    let address = "127.0.0.1:1".parse().expect("an address");
    Entry::read(&platform::played::entry("engines", address, state == "ready")).expect("an entry")
}

fn ready(directory: &Directory) -> BTreeSet<Arc<str>> {
    directory.ready().map(|(id, _)| id.clone()).collect()
}

#[test]
fn a_home_that_was_paused_and_tells_old_news_changes_nothing() {
    let mut directory = Directory::default();
    directory.list(
        vec![("left".into(), 5, entry("ready")), ("drains".into(), 6, entry("ready"))],
        6,
        0,
    );
    directory.remove("left", 8);
    directory.set("drains".into(), 9, entry("draining"));
    directory.set("new".into(), 12, entry("ready"));
    // What the paused home knew at version 7.
    let old = vec![("left".into(), 5, entry("ready")), ("drains".into(), 6, entry("ready"))];
    directory.mirror(old, 7);
    assert_eq!(ready(&directory), BTreeSet::from(["new".into()]));
    // The endpoint was listed anew: its entry had lapsed with the store.
    directory.set("left".into(), 13, entry("ready"));
    assert_eq!(ready(&directory), BTreeSet::from(["left".into(), "new".into()]));
}

#[test]
fn a_home_that_knows_more_takes_entries_away() {
    let mut directory = Directory::default();
    directory.list(vec![("a".into(), 5, entry("ready")), ("b".into(), 6, entry("ready"))], 6, 0);
    directory.mirror(vec![("b".into(), 6, entry("ready"))], 8);
    assert_eq!(ready(&directory), BTreeSet::from(["b".into()]));
}

#[test]
fn a_shelf_tells_what_came_since_or_the_whole() {
    let mut shelf = Shelf::default();
    assert!(shelf.put("servers", "a", 1, Some("{}")));
    assert!(shelf.put("servers", "b", 2, Some("{}")));
    let told = shelf.last();
    assert!(!shelf.put("servers", "b", 2, Some("{}")), "nothing new");
    assert!(!shelf.put("servers", "a", 0, Some("older")), "older than what is known");
    assert!(shelf.put("servers", "a", 1, None));
    let (changes, whole) = shelf.since(told);
    assert!(!whole && changes.len() == 1 && changes[0].value.is_none(), "{changes:?}");
    let (changes, whole) = shelf.since(0);
    assert!(whole && changes.len() == 2, "those that went are told of too: {changes:?}");
    let (_, whole) = shelf.since(told + 9);
    assert!(whole, "a number of another life");
}

#[test]
fn a_shelf_forgets_what_went_long_ago_and_then_tells_the_whole() {
    let mut shelf = Shelf::default();
    for n in 0..3_000 {
        shelf.put("servers", &format!("i-{n}"), n, Some("{}"));
        shelf.put("servers", &format!("i-{n}"), n, None);
    }
    let (changes, whole) = shelf.since(3);
    assert!(whole && changes.len() < 2_000, "{} told", changes.len());
    let (changes, whole) = shelf.since(shelf.last() - 1);
    assert!(!whole && changes.len() == 1);
}

/// What happens in the store, and to two homes and a listener.
#[derive(Debug, Clone)]
enum Step {
    /// An endpoint is listed, or says that it leaves.
    Write { id: u8, ready: bool },
    /// Its entry goes.
    Remove { id: u8 },
    /// A home hears all that the store holds.
    Look { home: usize },
    /// The listener hears a home: what came since, or the whole.
    Hear { home: usize, whole: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6u8, any::<bool>()).prop_map(|(id, ready)| Step::Write { id, ready }),
        (0..6u8).prop_map(|id| Step::Remove { id }),
        (0..2usize).prop_map(|home| Step::Look { home }),
        (0..2usize, any::<bool>()).prop_map(|(home, whole)| Step::Hear { home, whole }),
    ]
}

/// A home: what it saw, at which version of the store, and what it tells.
#[derive(Default)]
struct Home {
    directory: Directory,
    shelf: Shelf,
    at: u64,
    told: u64,
}

/// The store: entries with their versions, and the newest version in which each was not ready.
#[derive(Default)]
struct Truth {
    entries: std::collections::BTreeMap<Arc<str>, (u64, bool)>,
    version: u64,
    lives: u64,
    names: std::collections::BTreeMap<u8, Arc<str>>,
}

struct Run {
    truth: Truth,
    homes: [Home; 2],
    listener: Directory,
    /// Ids that the listener was told have left.
    left: BTreeSet<Arc<str>>,
}

fn text(ready: bool) -> String {
    let address = "127.0.0.1:1".parse().expect("an address");
    platform::played::entry("engines", address, ready)
}

impl Run {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Write { id, ready } => {
                self.truth.version += 1;
                let (version, lives) = (self.truth.version, &mut self.truth.lives);
                // Each incarnation has an id of its own, and what drains does not become ready.
                let name = self.truth.names.entry(*id).or_insert_with(|| {
                    *lives += 1;
                    format!("i-{id}-{lives}").into()
                });
                let entry = self.truth.entries.entry(name.clone()).or_insert((version, *ready));
                *entry = (version, entry.1 && *ready);
            }
            Step::Remove { id } => {
                self.truth.version += 1;
                if let Some(name) = self.truth.names.remove(id) {
                    self.truth.entries.remove(&name);
                }
            }
            Step::Look { home } => self.look(*home),
            Step::Hear { home, whole } => self.hear(*home, *whole),
        }
    }

    fn look(&mut self, home: usize) {
        let home = &mut self.homes[home];
        let entries = self.truth.entries.iter();
        let list = entries.map(|(id, (version, ready))| {
            (id.clone(), *version, entry(if *ready { "ready" } else { "draining" }))
        });
        home.directory.list(list.collect(), self.truth.version, 0);
        for (id, (version, ready)) in &self.truth.entries {
            home.shelf.put("servers", id, *version, Some(&text(*ready)));
        }
        for (id, version) in home.shelf.names("servers") {
            if home.directory.version(&id).is_none() {
                let gone_at = home.directory.gone_at(&id).unwrap_or(version);
                home.shelf.put("servers", &id, gone_at, None);
            }
        }
        home.at = self.truth.version;
    }

    fn hear(&mut self, at: usize, whole: bool) {
        let home = &mut self.homes[at];
        let (changes, whole) = home.shelf.since(if whole { 0 } else { home.told });
        home.told = home.shelf.last();
        let mut entries = Vec::new();
        for change in changes {
            match change.value {
                Some(text) => {
                    let read = Entry::read(&text).expect("an entry");
                    entries.push((change.name, change.version, read));
                }
                None => {
                    self.listener.remove(&change.name, change.version);
                    self.left.insert(change.name);
                }
            }
        }
        match whole {
            true => self.listener.mirror(entries, home.at),
            false => entries.into_iter().for_each(|(id, v, entry)| self.listener.set(id, v, entry)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, ..ProptestConfig::default() })]

    /// Whatever a listener hears in whichever order: what it was told has left gets no work again, and
    /// once both homes are up to date and it heard one whole, it knows what the store holds.
    #[test]
    fn news_only_goes_forwards(steps in prop::collection::vec(step(), 1..60), last in 0..2usize) {
        let mut run = Run {
            truth: Truth::default(),
            homes: Default::default(),
            listener: Directory::default(),
            left: BTreeSet::new(),
        };
        for step in &steps {
            run.step(step);
            let known = ready(&run.listener);
            prop_assert!(known.is_disjoint(&run.left), "{known:?} after {:?} left", run.left);
        }
        run.look(last);
        run.hear(last, true);
        let truth = run.truth.entries.iter().filter(|(_, (_, ready))| *ready);
        let truth: BTreeSet<Arc<str>> = truth.map(|(id, _)| id.clone()).collect();
        prop_assert_eq!(ready(&run.listener), truth);
    }
}
