//! Sync of the boxes' view of the store: who watches it, what is sent to subscribers, and that no view goes backwards.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gateway::{ChangeLog, Directory, Profile, Watchers, watchers};
use ledger::Incarnation;
use platform::{
    endpoint::Entry,
    fixtures::{START_FIELD, ENTRY_FIELDS, Registration, registration},
};
use proptest::prelude::*;
use serde_json::Value;

fn profile(name: &str, zone: &str, strength: u64) -> Profile {
    Profile { name: Incarnation::new(name, 1), zone: zone.into(), strength }
}

/// A fleet of three zones in which every third box is weak.
fn fleet(boxes: usize) -> Vec<Profile> {
    let zones = ["bornova", "buca", "cigli"];
    let one = |n: usize| {
        profile(&format!("box-{n}"), zones[n % 3], if n.is_multiple_of(4) { 10 } else { 50 })
    };
    (0..boxes).map(one).collect()
}

fn seen_from(fleet: &[Profile], me: usize) -> Watchers {
    let others: Vec<Profile> =
        fleet.iter().filter(|profile| **profile != fleet[me]).cloned().collect();
    watchers(&fleet[me], &others)
}

fn names(watchers: &[Incarnation]) -> BTreeSet<&str> {
    watchers.iter().map(Incarnation::box_name).collect()
}

#[test]
fn boxes_agree_on_few_watchers() {
    for (boxes, count) in [(1, 1), (2, 1), (7, 2), (23, 2), (89, 2), (295, 6)] {
        let fleet = fleet(boxes);
        let first = seen_from(&fleet, 0);
        assert_eq!(first.first.len(), count, "watchers of {boxes} boxes");
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
fn watchers_are_strong_and_share_the_subscribers() {
    let fleet = fleet(295);
    let mut listeners = std::collections::BTreeMap::new();
    for me in 0..fleet.len() {
        let seen = seen_from(&fleet, me);
        let strong = |name: &Incarnation| {
            fleet.iter().any(|profile| profile.name == *name && profile.strength == 50)
        };
        assert!(seen.all().all(strong));
        *listeners.entry(seen.first[0].box_name().to_owned()).or_insert(0) += 1;
    }
    let most = listeners.values().max().copied().unwrap_or_default();
    assert!(listeners.len() == 6 && most <= 120, "{listeners:?}");
}

/// Guards against traffic between zones: snapshots are large, so boxes subscribe within their zone if they can.
#[test]
fn watchers_spread_over_zones_and_serve_their_own() {
    let zones = ["a", "b", "c", "d", "e", "f"];
    for (boxes, in_zones) in [(7, 2), (73, 2), (180, 4), (301, 6)] {
        let fleet: Vec<Profile> =
            (0..boxes).map(|n| profile(&format!("box-{n}"), zones[n % 6], 10)).collect();
        let zone_of = |name: &Incarnation| {
            let profile = fleet.iter().find(|profile| profile.name == *name);
            profile.expect("one of the fleet").zone.clone()
        };
        let watchers = seen_from(&fleet, 0).first;
        let with_home: BTreeSet<Arc<str>> = watchers.iter().map(zone_of).collect();
        assert_eq!(with_home.len(), in_zones, "{boxes} boxes: {watchers:?}");
        for me in 0..boxes {
            let heard = zone_of(&seen_from(&fleet, me).first[0]);
            let own = &fleet[me].zone;
            assert!(
                heard == *own || !with_home.contains(own),
                "{} subscribes in {heard}",
                fleet[me].name
            );
        }
    }
}

fn entry(state: &str) -> Entry {
    let address = "127.0.0.1:1".parse().expect("an address");
    Entry::read(&platform::fixtures::entry("engines", address, state == "ready")).expect("an entry")
}

fn ready(directory: &Directory) -> BTreeSet<Arc<str>> {
    directory.ready().map(|(id, _)| id.clone()).collect()
}

#[test]
fn stale_snapshot_changes_nothing() {
    let mut directory = Directory::default();
    directory.list(
        vec![("left".into(), 5, entry("ready")), ("drains".into(), 6, entry("ready"))],
        6,
        0,
    );
    directory.remove("left", 8);
    directory.set("drains".into(), 9, entry("draining"));
    directory.set("new".into(), 12, entry("ready"));
    // State of the suspended watcher at version 7.
    let old = vec![("left".into(), 5, entry("ready")), ("drains".into(), 6, entry("ready"))];
    directory.mirror(old, 7);
    assert_eq!(ready(&directory), BTreeSet::from(["new".into()]));
    // The entry lapsed during an outage and was written again.
    directory.set("left".into(), 13, entry("ready"));
    assert_eq!(ready(&directory), BTreeSet::from(["left".into(), "new".into()]));
}

#[test]
fn newer_snapshot_removes_entries() {
    let mut directory = Directory::default();
    directory.list(vec![("a".into(), 5, entry("ready")), ("b".into(), 6, entry("ready"))], 6, 0);
    directory.mirror(vec![("b".into(), 6, entry("ready"))], 8);
    assert_eq!(ready(&directory), BTreeSet::from(["b".into()]));
}

#[test]
fn change_log_returns_changes_or_a_snapshot() {
    let mut change_log = ChangeLog::default();
    assert!(change_log.put("servers", "a", 1, Some("{}")));
    assert!(change_log.put("servers", "b", 2, Some("{}")));
    let told = change_log.last();
    assert!(!change_log.put("servers", "b", 2, Some("{}")), "unchanged");
    assert!(!change_log.put("servers", "a", 0, Some("older")), "older than the known version");
    assert!(change_log.put("servers", "a", 1, None));
    let (changes, whole) = change_log.since(told);
    assert!(!whole && changes.len() == 1 && changes[0].value.is_none(), "{changes:?}");
    let (changes, whole) = change_log.since(0);
    assert!(whole && changes.len() == 2, "removals are included: {changes:?}");
    let (_, whole) = change_log.since(told + 9);
    assert!(whole, "a position of another incarnation");
}

#[test]
fn truncated_change_log_returns_a_snapshot() {
    let mut change_log = ChangeLog::default();
    for n in 0..3_000 {
        change_log.put("servers", &format!("i-{n}"), n, Some("{}"));
        change_log.put("servers", &format!("i-{n}"), n, None);
    }
    let (changes, whole) = change_log.since(3);
    assert!(whole && changes.len() < 2_000, "{} changes", changes.len());
    let (changes, whole) = change_log.since(change_log.last() - 1);
    assert!(!whole && changes.len() == 1);
}

/// An event at an endpoint, in the store, at one of two watchers, or at the subscriber.
#[derive(Debug, Clone)]
enum Step {
    /// An endpoint writes its entry: ready, or draining.
    Write { id: u8, ready: bool },
    /// An endpoint ends and its entry is removed.
    Remove { id: u8 },
    /// An endpoint crashes and restarts under its id.
    Restart { id: u8 },
    /// An earlier write of an endpoint, by this or an earlier instance, lands late.
    Late { id: u8, ago: usize },
    /// Another writer overwrites the entry with garbage.
    Overwrite { id: u8 },
    /// A watcher lists the store.
    Look { home: usize },
    /// The subscriber receives changes since the last time, or a snapshot.
    Hear { home: usize, whole: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6u8, any::<bool>()).prop_map(|(id, ready)| Step::Write { id, ready }),
        2 => (0..6u8).prop_map(|id| Step::Remove { id }),
        1 => (0..6u8).prop_map(|id| Step::Restart { id }),
        1 => (0..6u8, 0..4usize).prop_map(|(id, ago)| Step::Late { id, ago }),
        1 => (0..6u8).prop_map(|id| Step::Overwrite { id }),
        3 => (0..2usize).prop_map(|home| Step::Look { home }),
        3 => (0..2usize, any::<bool>()).prop_map(|(home, whole)| Step::Hear { home, whole }),
    ]
}

/// A watcher: its view, the version of the store it is from, and its change log.
#[derive(Default)]
struct Home {
    directory: Directory,
    change_log: ChangeLog,
    at: u64,
    told: u64,
}

/// A running endpoint.
#[derive(Debug, Clone)]
struct Lives {
    started: u64,
    heartbeat: u64,
    ready: bool,
}

impl Lives {
    fn text(&self) -> String {
        let address = "127.0.0.1:1".parse().expect("an address");
        let registration = registration("engines", address);
        let entry = Registration { ready: self.ready, started_ms: Some(self.started), heartbeat: self.heartbeat, ..registration };
        entry.entry().to_string()
    }
}

/// The store: entries with their versions, and the running endpoints.
#[derive(Default)]
struct Truth {
    entries: BTreeMap<Arc<str>, (u64, String)>,
    version: u64,
    lives: u64,
    living: BTreeMap<Arc<str>, Lives>,
    /// Ended instances: id, instance, version of the store at the end.
    ended: Vec<(Arc<str>, u64, u64)>,
    /// All writes of each endpoint.
    written: BTreeMap<Arc<str>, Vec<String>>,
}

impl Truth {
    fn land(&mut self, id: &Arc<str>, text: String) {
        self.version += 1;
        self.entries.insert(id.clone(), (self.version, text));
    }

    /// A heartbeat of an endpoint, which starts if it is not running.
    fn write(&mut self, id: &Arc<str>, ready: bool) {
        let lives = &mut self.lives;
        let endpoint = self.living.entry(id.clone()).or_insert_with(|| {
            *lives += 1;
            Lives { started: *lives, heartbeat: 0, ready: true }
        });
        endpoint.heartbeat += 1;
        // A draining endpoint never becomes ready again.
        endpoint.ready &= ready;
        let text = endpoint.text();
        self.written.entry(id.clone()).or_default().push(text.clone());
        self.land(id, text);
    }

    /// An endpoint ends.
    fn end(&mut self, id: &Arc<str>) {
        self.version += 1;
        if let Some(endpoint) = self.living.remove(id) {
            self.ended.push((id.clone(), endpoint.started, self.version));
        }
    }

    /// Ready endpoints, with their instances.
    fn ready(&self) -> BTreeSet<(Arc<str>, u64)> {
        let ready = self.living.iter().filter(|(_, endpoint)| endpoint.ready);
        ready.map(|(id, endpoint)| (id.clone(), endpoint.started)).collect()
    }
}

#[derive(Default)]
struct Run {
    truth: Truth,
    watchers: [Home; 2],
    listener: Directory,
    /// Instances whose removal the subscriber has received.
    left: BTreeSet<(Arc<str>, u64)>,
}

/// Endpoints that are ready in a view, with their instances.
fn ready_lives(directory: &Directory) -> BTreeSet<(Arc<str>, u64)> {
    let started = |entry: &Entry| entry.started.expect("each says it").to_string();
    let ready = directory.ready();
    ready.map(|(id, entry)| (id.clone(), started(entry).parse().expect("a number"))).collect()
}

impl Run {
    fn step(&mut self, step: &Step) {
        let name = |id: &u8| -> Arc<str> { format!("i-{id}").into() };
        match step {
            Step::Write { id, ready } => self.truth.write(&name(id), *ready),
            Step::Remove { id } => {
                self.truth.end(&name(id));
                self.truth.entries.remove(&name(id));
            }
            Step::Restart { id } => {
                self.truth.end(&name(id));
                self.truth.write(&name(id), true);
            }
            Step::Late { id, ago } => {
                let written = self.truth.written.get(&name(id));
                if let Some(text) = written.and_then(|written| written.iter().rev().nth(*ago)) {
                    self.truth.land(&name(id), text.clone());
                }
            }
            Step::Overwrite { id } => self.truth.land(&name(id), "[\"not\", 1, {}]".into()),
            Step::Look { home } => self.look(*home),
            Step::Hear { home, whole } => self.hear(*home, *whole),
        }
    }

    fn look(&mut self, home: usize) {
        let home = &mut self.watchers[home];
        let mut list = Vec::new();
        for (id, (version, text)) in &self.truth.entries {
            match Entry::read(text) {
                Ok(entry) => list.push((id.clone(), *version, entry)),
                Err(_) => home.directory.remove(id, *version),
            }
        }
        home.directory.list(list, self.truth.version, 0);
        for (id, (version, text)) in &self.truth.entries {
            if home.directory.version(id) == Some(*version) {
                home.change_log.put("servers", id, *version, Some(text));
            }
        }
        for (id, version) in home.change_log.names("servers") {
            if home.directory.version(&id).is_none() {
                let removed_at = home.directory.removed_at(&id).unwrap_or(version);
                home.change_log.put("servers", &id, removed_at, None);
            }
        }
        home.at = self.truth.version;
    }

    fn hear(&mut self, at: usize, whole: bool) {
        let home = &mut self.watchers[at];
        let (changes, whole) = home.change_log.since(if whole { 0 } else { home.told });
        home.told = home.change_log.last();
        let mut entries = Vec::new();
        for change in changes {
            match change.value {
                Some(text) => {
                    let read = Entry::read(&text).expect("an entry");
                    entries.push((change.name, change.version, read));
                }
                None => {
                    self.listener.remove(&change.name, change.version);
                    let ended = self.truth.ended.iter();
                    let told =
                        ended.filter(|(id, _, at)| *id == change.name && *at <= change.version);
                    self.left.extend(told.map(|(id, started, _)| (id.clone(), *started)));
                }
            }
        }
        match whole {
            true => self.listener.mirror(entries, home.at),
            false => {
                for (id, version, entry) in entries {
                    self.listener.set(id, version, entry);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 800, ..ProptestConfig::default() })]

    /// In any order of events, no earlier instance of an endpoint replaces a later one; and after another heartbeat
    /// of all endpoints, a list and a snapshot, the subscriber knows exactly the ready endpoints.
    #[test]
    fn subscriber_view_never_goes_back(steps in prop::collection::vec(step(), 1..60), last in 0..2usize) {
        let mut run = Run::default();
        let mut newest: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for step in &steps {
            run.step(step);
            for (id, started) in ready_lives(&run.listener) {
                let known = newest.entry(id.clone()).or_default();
                prop_assert!(*known <= started, "{id} went back from instance {known} to {started}");
                *known = started;
            }
        }
        for (id, endpoint) in run.truth.living.clone() {
            run.truth.write(&id, endpoint.ready);
        }
        let dead = |id: &Arc<str>| !run.truth.living.contains_key(id);
        // Late writes of ended endpoints lapse.
        let lapsed: Vec<Arc<str>> = run.truth.entries.keys().filter(|id| dead(id)).cloned().collect();
        for id in lapsed {
            run.truth.version += 1;
            run.truth.entries.remove(&id);
        }
        run.look(last);
        run.hear(last, true);
        prop_assert_eq!(ready_lives(&run.listener), run.truth.ready());
    }

    /// An instance whose removal was received never becomes ready again, unless its entry is written again.
    #[test]
    fn removed_instance_stays_removed(steps in prop::collection::vec(step(), 1..60)) {
        let mut run = Run::default();
        for step in steps.iter().filter(|step| {
            !matches!(step, Step::Late { .. } | Step::Overwrite { .. })
        }) {
            run.step(step);
            let known = ready_lives(&run.listener);
            prop_assert!(known.is_disjoint(&run.left), "{known:?} ready after the removal of {:?}", run.left);
        }
    }
}

/// Regression cases of the property above.
#[test]
fn removed_instance_stays_removed_in_regression_cases() {
    let (look, hear) = (|home| Step::Look { home }, |home| Step::Hear { home, whole: false });
    let ready = |id| Step::Write { id, ready: true };
    let orders = [
        vec![ready(4), look(1), look(0), Step::Remove { id: 4 }, look(1), hear(1), hear(0)],
        vec![
            ready(2),
            look(0),
            ready(2),
            Step::Write { id: 0, ready: false },
            look(1),
            Step::Remove { id: 2 },
            look(0),
            hear(0),
            hear(1),
        ],
    ];
    for steps in orders {
        let mut run = Run::default();
        steps.iter().for_each(|step| run.step(step));
        let known = ready_lives(&run.listener);
        assert!(!run.left.is_empty() && known.is_disjoint(&run.left), "{known:?}");
    }
}

/// Arbitrary JSON.
fn anything() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
        Just(Value::from("x".repeat(100_000))),
    ];
    leaf.prop_recursive(3, 24, 5, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..5).prop_map(Value::from),
            prop::collection::btree_map(".{0,8}", inner, 0..5)
                .prop_map(|map| Value::from(map.into_iter().collect::<serde_json::Map<_, _>>())),
        ]
    })
}

proptest! {
    /// Garbage in place of an entry or of one of its fields is rejected, unless it has the type that the platform
    /// specifies; reading never panics.
    #[test]
    fn malformed_entries_are_rejected(
        whole in anything(),
        field in 0..ENTRY_FIELDS.len(),
        value in anything(),
        started_ms in anything(),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let sound = || registration("engines", "127.0.0.1:1".parse().expect("an address")).entry();
        prop_assert!(Entry::read(&whole.to_string()).is_err());
        prop_assert!(Entry::read(&String::from_utf8_lossy(&bytes)).is_err());
        let mut without = sound();
        without.as_object_mut().expect("an object").remove(ENTRY_FIELDS[field]);
        prop_assert!(Entry::read(&without.to_string()).is_err(), "without {}", ENTRY_FIELDS[field]);
        let mut odd = sound();
        let of_type = match (&odd[ENTRY_FIELDS[field]], &value) {
            (Value::String(_), Value::String(_)) => ENTRY_FIELDS[field] != "address",
            (Value::Number(_), Value::Number(number)) => number.as_u64().is_some(),
            _ => false,
        };
        odd[ENTRY_FIELDS[field]] = value;
        prop_assert!(of_type || Entry::read(&odd.to_string()).is_err(), "{odd}");
        let mut started = sound();
        let whole_number = started_ms.as_u64().is_some();
        started[START_FIELD] = started_ms;
        prop_assert_eq!(Entry::read(&started.to_string()).is_ok(), whole_number);
    }
}

#[test]
fn entry_without_start_time_does_not_replace_one_with_it() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let entry = |started_ms, heartbeat| {
        let entry = Registration { started_ms, heartbeat, ..registration("engines", address) }.entry();
        Entry::read(&entry.to_string()).expect("an entry")
    };
    let mut directory = Directory::default();
    assert!(directory.set("a".into(), 3, entry(Some(7), 20)));
    assert!(!directory.set("a".into(), 4, entry(None, 21)));
    assert!(ready(&directory).is_empty());
    assert!(!directory.set("a".into(), 5, entry(Some(6), 90)), "an earlier instance");
    assert!(directory.set("a".into(), 6, entry(Some(7), 21)), "the same instance wrote again");
    assert!(!directory.set("a".into(), 7, entry(Some(7), 20)), "an earlier heartbeat");
    assert!(directory.set("a".into(), 8, entry(Some(8), 1)), "a new instance");
}
