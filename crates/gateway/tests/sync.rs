//! Sync of the boxes' view of the store: who watches it, what is sent to subscribers, and that no view goes backwards.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gateway::{ChangeLog, Directory, Profile, Regions, Watchers, watchers};
use ledger::Incarnation;
use platform::{
    endpoint::Entry,
    fixtures::{ENTRY_FIELDS, Registration, START_FIELD, registration},
};
use proptest::prelude::*;
use serde_json::Value;
use wire::{Change, Frame, Message, Update};

fn profile(name: &str, zone: &str, capacity: u64) -> Profile {
    Profile { incarnation: Incarnation::new(name, 1), zone: zone.into(), capacity }
}

/// A fleet of three zones in which every fourth box is weak.
fn fleet(boxes: usize) -> Vec<Profile> {
    let zones = ["bornova", "buca", "cigli"];
    let one = |n: usize| {
        profile(&format!("box-{n}"), zones[n % 3], if n.is_multiple_of(4) { 10 } else { 50 })
    };
    (0..boxes).map(one).collect()
}

fn watchers_seen_from(fleet: &[Profile], index: usize) -> Watchers {
    let others: Vec<Profile> =
        fleet.iter().filter(|profile| **profile != fleet[index]).cloned().collect();
    watchers(&fleet[index], &others, &Regions::default())
}

fn names(watchers: &[Incarnation]) -> BTreeSet<&str> {
    watchers.iter().map(Incarnation::box_name).collect()
}

#[test]
fn boxes_agree_on_few_watchers() {
    for (boxes, count) in [(1, 1), (2, 1), (7, 2), (23, 2), (89, 2), (295, 6)] {
        let fleet = fleet(boxes);
        let expected = watchers_seen_from(&fleet, 0);
        assert_eq!(expected.active.len(), count, "watchers of {boxes} boxes");
        for index in 0..boxes {
            let seen = watchers_seen_from(&fleet, index);
            assert_eq!(
                names(&seen.active),
                names(&expected.active),
                "as box {index} of {boxes} sees it"
            );
            assert_eq!(
                names(&seen.standby),
                names(&expected.standby),
                "as box {index} of {boxes} sees it"
            );
        }
        assert!(names(&expected.active).is_disjoint(&names(&expected.standby)));
    }
}

#[test]
fn watchers_are_strong_and_share_the_subscribers() {
    let fleet = fleet(295);
    let mut subscriber_counts = std::collections::BTreeMap::new();
    for index in 0..fleet.len() {
        let seen = watchers_seen_from(&fleet, index);
        let strong = |name: &Incarnation| {
            fleet.iter().any(|profile| profile.incarnation == *name && profile.capacity == 50)
        };
        assert!(seen.all().all(strong));
        *subscriber_counts.entry(seen.active[0].box_name().to_owned()).or_insert(0) += 1;
    }
    let most = subscriber_counts.values().max().copied().unwrap_or_default();
    assert!(subscriber_counts.len() == 6 && most <= 120, "{subscriber_counts:?}");
}

/// Guards against traffic between zones: snapshots are large, so boxes subscribe within their zone if they can.
#[test]
fn watchers_spread_over_zones_and_serve_their_own() {
    let zones = ["a", "b", "c", "d", "e", "f"];
    for (boxes, in_zones) in [(7, 2), (73, 2), (180, 4), (301, 6)] {
        let fleet: Vec<Profile> =
            (0..boxes).map(|n| profile(&format!("box-{n}"), zones[n % 6], 10)).collect();
        let zone_of = |name: &Incarnation| {
            let profile = fleet.iter().find(|profile| profile.incarnation == *name);
            profile.expect("one of the fleet").zone.clone()
        };
        let watchers = watchers_seen_from(&fleet, 0).active;
        let with_watcher: BTreeSet<Arc<str>> = watchers.iter().map(zone_of).collect();
        assert_eq!(with_watcher.len(), in_zones, "{boxes} boxes: {watchers:?}");
        for index in 0..boxes {
            let subscribed_zone = zone_of(&watchers_seen_from(&fleet, index).active[0]);
            let own = &fleet[index].zone;
            assert!(
                subscribed_zone == *own || !with_watcher.contains(own),
                "{} subscribes in {subscribed_zone}",
                fleet[index].incarnation
            );
        }
    }
}

/// Guards against a fleet in which each watcher lists all endpoints for itself: at 985 boxes 62 did so within 28 s.
#[test]
fn few_watchers_of_a_large_fleet_read_the_store_themselves() {
    for (boxes, roots, active) in [(7, 2, 2), (89, 2, 2), (295, 2, 6), (985, 2, 20), (2_600, 2, 52)]
    {
        let seen = watchers_seen_from(&fleet(boxes), 1);
        assert_eq!((seen.roots.len(), seen.active.len()), (roots, active), "{boxes} boxes");
        assert!(names(&seen.roots).is_subset(&names(&seen.active)));
        let sources = seen.sources().count();
        assert_eq!(sources, 2 * roots, "{boxes} boxes: signals go to few boxes");
    }
}

/// Guards against changes that cross the link between two regions once for each box.
#[test]
fn each_region_has_watchers_of_its_own() {
    let zones = ["centro-a", "sur-a", "centro-b", "sur-b", "centro-c", "norte-a"];
    let region = |zone: &str| Arc::from(zone.split_once('-').expect("a region").0);
    let regions = Regions::new(zones.map(|zone| (zone.into(), region(zone))).into());
    for boxes in [12, 79, 200, 985] {
        let fleet: Vec<Profile> =
            (0..boxes).map(|n| profile(&format!("box-{n}"), zones[n % 6], 10)).collect();
        let zone_of = |name: &Incarnation| {
            let profile = fleet.iter().find(|profile| profile.incarnation == *name);
            profile.expect("one of the fleet").zone.clone()
        };
        let seen = |index: usize| {
            let mut others = fleet.clone();
            let me = others.remove(index);
            watchers(&me, &others, &regions)
        };
        let expected = seen(0);
        let mut by_region: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        expected
            .active
            .iter()
            .for_each(|name| *by_region.entry(region(&zone_of(name))).or_default() += 1);
        assert!(
            by_region.len() == 3 && by_region.values().all(|count| *count >= 2),
            "{by_region:?}"
        );
        for index in (0..boxes).step_by(7) {
            let seen = seen(index);
            assert_eq!(names(&seen.active), names(&expected.active), "as box {index} sees it");
            assert_eq!(names(&seen.roots), names(&expected.roots), "as box {index} sees it");
            let near = |name: &Incarnation| region(&zone_of(name)) == region(&fleet[index].zone);
            assert!(seen.active[..2].iter().all(near), "box {index} subscribes in its region");
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
    directory.apply_list(
        vec![("left".into(), 5, entry("ready")), ("drains".into(), 6, entry("ready"))],
        6,
        0,
    );
    directory.remove("left", 8);
    directory.set("drains".into(), 9, entry("draining"));
    directory.set("new".into(), 12, entry("ready"));
    // A watcher that was suspended sends its state as of version 7.
    let old = vec![("left".into(), 5, entry("ready")), ("drains".into(), 6, entry("ready"))];
    directory.apply_snapshot(old, 7);
    assert_eq!(ready(&directory), BTreeSet::from(["new".into()]));
    // The entry lapsed during an outage and was written again.
    directory.set("left".into(), 13, entry("ready"));
    assert_eq!(ready(&directory), BTreeSet::from(["left".into(), "new".into()]));
}

#[test]
fn newer_snapshot_removes_entries() {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![("a".into(), 5, entry("ready")), ("b".into(), 6, entry("ready"))],
        6,
        0,
    );
    directory.apply_snapshot(vec![("b".into(), 6, entry("ready"))], 8);
    assert_eq!(ready(&directory), BTreeSet::from(["b".into()]));
}

#[test]
fn change_log_returns_changes_or_a_snapshot() {
    let mut change_log = ChangeLog::default();
    assert!(change_log.put("servers", "a", 1, Some("{}")));
    assert!(change_log.put("servers", "b", 2, Some("{}")));
    let position = change_log.last();
    assert!(!change_log.put("servers", "b", 2, Some("{}")), "unchanged");
    assert!(!change_log.put("servers", "a", 0, Some("older")), "older than the known version");
    assert!(change_log.put("servers", "a", 1, None));
    let (changes, is_snapshot) = change_log.since(position);
    assert!(!is_snapshot && changes.len() == 1 && changes[0].value.is_none(), "{changes:?}");
    let (changes, is_snapshot) = change_log.since(0);
    assert!(is_snapshot && changes.len() == 2, "removals are included: {changes:?}");
    let (_, is_snapshot) = change_log.since(position + 9);
    assert!(is_snapshot, "a position of another incarnation");
}

#[test]
fn truncated_change_log_returns_a_snapshot() {
    let mut change_log = ChangeLog::default();
    for n in 0..3_000 {
        change_log.put("servers", &format!("i-{n}"), n, Some("{}"));
        change_log.put("servers", &format!("i-{n}"), n, None);
    }
    let (changes, is_snapshot) = change_log.since(3);
    assert!(is_snapshot && changes.len() < 2_000, "{} changes", changes.len());
    let (changes, is_snapshot) = change_log.since(change_log.last() - 1);
    assert!(!is_snapshot && changes.len() == 1);
}

/// Guards against a box that gets no snapshot at all: with 10,000 endpoints it is larger than a message between boxes
/// may be, so that each box listed the store instead.
#[test]
fn snapshot_of_a_large_fleet_arrives_in_parts_that_fit_into_messages() {
    let mut change_log = ChangeLog::default();
    let text = |n: u64, state: &str| format!("{{\"state\":\"{state}\",\"pad\":\"{n:0>200}\"}}");
    const ENDPOINTS: u64 = 20_000;
    for n in 0..ENDPOINTS {
        change_log.put("servers", &format!("i-{n}"), n + 1, Some(&text(n, "ready")));
    }
    let (mut parts, mut received): (u64, Option<Update>) = (0, None);
    loop {
        let since = received.as_ref().map_or(0, |update| update.last);
        let part = change_log.part_since(since, |_| true);
        let update = Update {
            last: part.last,
            is_snapshot: part.is_snapshot,
            changes: part.changes,
            endpoints_at: 0,
            boxes_at: 0,
            store_unreachable_ms: None,
        };
        let message = Message {
            from: Incarnation::new("watcher", 1),
            stamp: Default::default(),
            frame: Frame::UpdatePart(update.clone()),
        };
        assert!(wire::encode(&message, wire::NEWEST_FORMAT).is_ok(), "part {parts} fits");
        match &mut received {
            Some(received) => received.append(update),
            None => received = Some(update),
        }
        parts += 1;
        // Meanwhile one endpoint that was sent already leaves, and one that was not begins to drain.
        let (gone, drains) = (parts, ENDPOINTS - parts);
        change_log.put("servers", &format!("i-{gone}"), ENDPOINTS + parts, None);
        let draining = text(drains, "draining");
        change_log.put("servers", &format!("i-{drains}"), ENDPOINTS + parts, Some(&draining));
        if part.is_complete {
            break;
        }
    }
    let received = received.expect("at least one part");
    assert!(parts > 4 && received.is_snapshot, "{parts} parts");
    let newest: BTreeMap<&str, Option<&str>> =
        received.changes.iter().map(|change| (&*change.name, change.value.as_deref())).collect();
    assert_eq!(newest.len() as u64, ENDPOINTS, "each endpoint is included");
    for part in 1..parts {
        assert_eq!(newest[&*format!("i-{part}")], None, "it left after it was sent");
        let drains = newest[&*format!("i-{}", ENDPOINTS - part)].expect("it has not left");
        assert!(drains.contains("draining"), "its newest state: {drains}");
    }
}

/// An answer in parts begins anew if the watcher no longer knows what came after the last part.
#[test]
fn another_first_part_replaces_what_came_before() {
    let update = |is_snapshot, last, names: &[&str]| Update {
        last,
        is_snapshot,
        changes: names
            .iter()
            .map(|name| Change {
                kind: "servers".into(),
                name: (*name).into(),
                version: 1,
                value: None,
            })
            .collect(),
        endpoints_at: last,
        boxes_at: last,
        store_unreachable_ms: None,
    };
    let mut received = update(true, 3, &["a", "b"]);
    received.append(update(false, 5, &["c"]));
    assert_eq!(received, update(true, 5, &["a", "b", "c"]));
    received.append(update(true, 2, &["d"]));
    assert_eq!(received, update(true, 2, &["d"]));
    let mut changes = update(false, 7, &["e"]);
    changes.append(update(false, 8, &["f"]));
    assert_eq!(changes, update(false, 8, &["e", "f"]));
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
    LateWrite { id: u8, ago: usize },
    /// Another writer overwrites the entry with garbage.
    Overwrite { id: u8 },
    /// A watcher lists the store.
    List { watcher: usize },
    /// The subscriber receives changes since the last time, or a snapshot.
    Receive { watcher: usize, is_snapshot: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..6u8, any::<bool>()).prop_map(|(id, ready)| Step::Write { id, ready }),
        2 => (0..6u8).prop_map(|id| Step::Remove { id }),
        1 => (0..6u8).prop_map(|id| Step::Restart { id }),
        1 => (0..6u8, 0..4usize).prop_map(|(id, ago)| Step::LateWrite { id, ago }),
        1 => (0..6u8).prop_map(|id| Step::Overwrite { id }),
        3 => (0..2usize).prop_map(|watcher| Step::List { watcher }),
        3 => (0..2usize, any::<bool>()).prop_map(|(watcher, is_snapshot)| Step::Receive { watcher, is_snapshot }),
    ]
}

/// A watcher: its view, the version of the store it is from, and its change log.
#[derive(Default)]
struct Watcher {
    directory: Directory,
    change_log: ChangeLog,
    at: u64,
    position: u64,
}

/// A running endpoint.
#[derive(Debug, Clone)]
struct Endpoint {
    instance: u64,
    heartbeat: u64,
    ready: bool,
}

impl Endpoint {
    fn text(&self) -> String {
        let address = "127.0.0.1:1".parse().expect("an address");
        let registration = registration("engines", address);
        let entry = Registration {
            ready: self.ready,
            started_ms: Some(self.instance),
            heartbeat: self.heartbeat,
            ..registration
        };
        entry.entry().to_string()
    }
}

/// The store: entries with their versions, and the running endpoints.
#[derive(Default)]
struct StoreModel {
    entries: BTreeMap<Arc<str>, (u64, String)>,
    version: u64,
    starts: u64,
    running: BTreeMap<Arc<str>, Endpoint>,
    /// Ended instances: id, instance, version of the store at the end.
    ended: Vec<(Arc<str>, u64, u64)>,
    /// All writes of each endpoint.
    written: BTreeMap<Arc<str>, Vec<String>>,
}

impl StoreModel {
    fn write_text(&mut self, id: &Arc<str>, text: String) {
        self.version += 1;
        self.entries.insert(id.clone(), (self.version, text));
    }

    /// A heartbeat of an endpoint, which starts if it is not running.
    fn write(&mut self, id: &Arc<str>, ready: bool) {
        let starts = &mut self.starts;
        let endpoint = self.running.entry(id.clone()).or_insert_with(|| {
            *starts += 1;
            Endpoint { instance: *starts, heartbeat: 0, ready: true }
        });
        endpoint.heartbeat += 1;
        // A draining endpoint never becomes ready again.
        endpoint.ready &= ready;
        let text = endpoint.text();
        self.written.entry(id.clone()).or_default().push(text.clone());
        self.write_text(id, text);
    }

    /// An endpoint ends.
    fn end(&mut self, id: &Arc<str>) {
        self.version += 1;
        if let Some(endpoint) = self.running.remove(id) {
            self.ended.push((id.clone(), endpoint.instance, self.version));
        }
    }

    /// Ready endpoints, with their instances.
    fn ready(&self) -> BTreeSet<(Arc<str>, u64)> {
        let ready = self.running.iter().filter(|(_, endpoint)| endpoint.ready);
        ready.map(|(id, endpoint)| (id.clone(), endpoint.instance)).collect()
    }
}

#[derive(Default)]
struct Run {
    store: StoreModel,
    watchers: [Watcher; 2],
    subscriber: Directory,
    /// Instances whose removal the subscriber has received.
    removed: BTreeSet<(Arc<str>, u64)>,
}

/// Endpoints that are ready in a view, with their instances.
fn ready_instances(directory: &Directory) -> BTreeSet<(Arc<str>, u64)> {
    let instance = |entry: &Entry| entry.started.expect("each entry has a start time").to_string();
    let ready = directory.ready();
    ready.map(|(id, entry)| (id.clone(), instance(entry).parse().expect("a number"))).collect()
}

impl Run {
    fn step(&mut self, step: &Step) {
        let name = |id: &u8| -> Arc<str> { format!("i-{id}").into() };
        match step {
            Step::Write { id, ready } => self.store.write(&name(id), *ready),
            Step::Remove { id } => {
                self.store.end(&name(id));
                self.store.entries.remove(&name(id));
            }
            Step::Restart { id } => {
                self.store.end(&name(id));
                self.store.write(&name(id), true);
            }
            Step::LateWrite { id, ago } => {
                let written = self.store.written.get(&name(id));
                if let Some(text) = written.and_then(|written| written.iter().rev().nth(*ago)) {
                    self.store.write_text(&name(id), text.clone());
                }
            }
            Step::Overwrite { id } => self.store.write_text(&name(id), "[\"not\", 1, {}]".into()),
            Step::List { watcher } => self.list_store(*watcher),
            Step::Receive { watcher, is_snapshot } => self.receive(*watcher, *is_snapshot),
        }
    }

    fn list_store(&mut self, watcher: usize) {
        let watcher = &mut self.watchers[watcher];
        let mut list = Vec::new();
        for (id, (version, text)) in &self.store.entries {
            match Entry::read(text) {
                Ok(entry) => list.push((id.clone(), *version, entry)),
                Err(_) => watcher.directory.remove(id, *version),
            }
        }
        watcher.directory.apply_list(list, self.store.version, 0);
        for (id, (version, text)) in &self.store.entries {
            if watcher.directory.version(id) == Some(*version) {
                watcher.change_log.put("servers", id, *version, Some(text));
            }
        }
        for (id, version) in watcher.change_log.names("servers") {
            if watcher.directory.version(&id).is_none() {
                let removed_at = watcher.directory.removed_at(&id).unwrap_or(version);
                watcher.change_log.put("servers", &id, removed_at, None);
            }
        }
        watcher.at = self.store.version;
    }

    fn receive(&mut self, at: usize, is_snapshot: bool) {
        let watcher = &mut self.watchers[at];
        let (changes, is_snapshot) =
            watcher.change_log.since(if is_snapshot { 0 } else { watcher.position });
        watcher.position = watcher.change_log.last();
        let mut entries = Vec::new();
        for change in changes {
            match change.value {
                Some(text) => {
                    let read = Entry::read(&text).expect("an entry");
                    entries.push((change.name, change.version, read));
                }
                None => {
                    self.subscriber.remove(&change.name, change.version);
                    let ended = self.store.ended.iter();
                    let removed =
                        ended.filter(|(id, _, at)| *id == change.name && *at <= change.version);
                    self.removed.extend(removed.map(|(id, instance, _)| (id.clone(), *instance)));
                }
            }
        }
        match is_snapshot {
            true => self.subscriber.apply_snapshot(entries, watcher.at),
            false => {
                for (id, version, entry) in entries {
                    self.subscriber.set(id, version, entry);
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
            for (id, instance) in ready_instances(&run.subscriber) {
                let known = newest.entry(id.clone()).or_default();
                prop_assert!(*known <= instance, "{id} went back from instance {known} to {instance}");
                *known = instance;
            }
        }
        for (id, endpoint) in run.store.running.clone() {
            run.store.write(&id, endpoint.ready);
        }
        let is_ended = |id: &Arc<str>| !run.store.running.contains_key(id);
        // Late writes of ended endpoints lapse.
        let lapsed: Vec<Arc<str>> = run.store.entries.keys().filter(|id| is_ended(id)).cloned().collect();
        for id in lapsed {
            run.store.version += 1;
            run.store.entries.remove(&id);
        }
        run.list_store(last);
        run.receive(last, true);
        prop_assert_eq!(ready_instances(&run.subscriber), run.store.ready());
    }

    /// An instance whose removal was received never becomes ready again, unless its entry is written again.
    #[test]
    fn removed_instance_stays_removed(steps in prop::collection::vec(step(), 1..60)) {
        let mut run = Run::default();
        for step in steps.iter().filter(|step| {
            !matches!(step, Step::LateWrite { .. } | Step::Overwrite { .. })
        }) {
            run.step(step);
            let known = ready_instances(&run.subscriber);
            prop_assert!(known.is_disjoint(&run.removed), "{known:?} ready after the removal of {:?}", run.removed);
        }
    }
}

/// Regression cases of the property above.
#[test]
fn removed_instance_stays_removed_in_regression_cases() {
    let (list_store, receive) =
        (|watcher| Step::List { watcher }, |watcher| Step::Receive { watcher, is_snapshot: false });
    let ready = |id| Step::Write { id, ready: true };
    let orders = [
        vec![
            ready(4),
            list_store(1),
            list_store(0),
            Step::Remove { id: 4 },
            list_store(1),
            receive(1),
            receive(0),
        ],
        vec![
            ready(2),
            list_store(0),
            ready(2),
            Step::Write { id: 0, ready: false },
            list_store(1),
            Step::Remove { id: 2 },
            list_store(0),
            receive(0),
            receive(1),
        ],
    ];
    for steps in orders {
        let mut run = Run::default();
        steps.iter().for_each(|step| run.step(step));
        let known = ready_instances(&run.subscriber);
        assert!(!run.removed.is_empty() && known.is_disjoint(&run.removed), "{known:?}");
    }
}

/// Arbitrary JSON.
fn arbitrary_json() -> impl Strategy<Value = Value> {
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
        garbage in arbitrary_json(),
        field in 0..ENTRY_FIELDS.len(),
        value in arbitrary_json(),
        started_ms in arbitrary_json(),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let sound = || registration("engines", "127.0.0.1:1".parse().expect("an address")).entry();
        prop_assert!(Entry::read(&garbage.to_string()).is_err());
        prop_assert!(Entry::read(&String::from_utf8_lossy(&bytes)).is_err());
        let mut without = sound();
        without.as_object_mut().expect("an object").remove(ENTRY_FIELDS[field]);
        prop_assert!(Entry::read(&without.to_string()).is_err(), "without {}", ENTRY_FIELDS[field]);
        let mut modified = sound();
        let of_type = match (&modified[ENTRY_FIELDS[field]], &value) {
            (Value::String(_), Value::String(_)) => ENTRY_FIELDS[field] != "address",
            (Value::Number(_), Value::Number(number)) => number.as_u64().is_some(),
            _ => false,
        };
        modified[ENTRY_FIELDS[field]] = value;
        prop_assert!(of_type || Entry::read(&modified.to_string()).is_err(), "{modified}");
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
        let entry =
            Registration { started_ms, heartbeat, ..registration("engines", address) }.entry();
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
