//! Which software versions of a service were seen lately, and what follows for its record in the store.

use std::{collections::BTreeMap, sync::Arc};

use gateway::{Known, Listed, Record, Seen, VersionHistory};
use proptest::{prelude::*, test_runner::RngSeed};

/// How long a version counts after it was last seen.
const MEMORY_MS: u64 = 60_000;
const SERVICE: &str = "engines";
/// Interval between two looks of a box that watches.
const LOOK_INTERVAL_MS: u64 = 500;

fn listed(version: &str) -> Option<Listed> {
    Some(Listed { service: SERVICE.into(), version: version.into() })
}

/// A history that watches without a break.
struct Watching {
    history: VersionHistory,
    now_ms: u64,
}

impl Watching {
    fn new() -> Watching {
        let mut history = VersionHistory::new(MEMORY_MS);
        history.look(0);
        Watching { history, now_ms: 0 }
    }

    fn put(&mut self, id: &str, version: &str) -> bool {
        self.history.apply(vec![(id.into(), listed(version))], self.now_ms)
    }

    fn remove(&mut self, id: &str) -> bool {
        self.history.apply(vec![(id.into(), None)], self.now_ms)
    }

    fn watch(&mut self, time_ms: u64) {
        let until = self.now_ms + time_ms;
        while self.now_ms < until {
            self.now_ms = until.min(self.now_ms + LOOK_INTERVAL_MS);
            self.history.look(self.now_ms);
        }
    }

    fn seen(&self) -> Seen {
        self.history.seen(SERVICE, self.now_ms)
    }

    fn lasting(&self) -> Option<Arc<str>> {
        self.history.lasting(SERVICE, self.now_ms)
    }

    /// The record to write in place of `current`, which was learned at `learned_ms`.
    fn next_after(&self, current: Option<Record>, learned_ms: u64, era: u64) -> Option<Record> {
        let known = current.map(|record| Known { record, version: 7, learned_ms });
        Record::next(known.as_ref(), SERVICE, &self.history, era, self.now_ms)
    }

    /// The same in the first era, where the record was learned at the start.
    fn next(&self, current: Option<Record>) -> Option<Record> {
        self.next_after(current, 0, 0)
    }
}

fn record(open: &[&str], closed: &[&str]) -> Record {
    let names = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    Record { open: names(open), closed: names(closed), era: 0, is_partial: false }
}

fn sole(version: &str, since_ms: u64) -> Seen {
    Seen::Sole { version: version.into(), since_ms }
}

#[test]
fn nothing_is_known_of_a_service_without_endpoints() {
    let known = Watching::new();
    assert_eq!(known.seen(), Seen::Nothing);
    assert_eq!(known.lasting(), None);
    assert_eq!(known.next(None), None);
    assert_eq!(known.next(Some(record(&["v1"], &[]))), None);
}

#[test]
fn a_version_is_the_only_one_since_the_first_look() {
    let mut known = Watching::new();
    known.watch(7_000);
    known.put("a", "v1");
    known.put("b", "v1");
    assert_eq!(known.seen(), sole("v1", 7_000));
    known.watch(MEMORY_MS - 1);
    assert_eq!(known.lasting(), None, "what came before the first look may still be taken up");
    known.watch(1);
    assert_eq!(known.lasting(), Some("v1".into()));
}

#[test]
fn a_second_version_counts_until_its_streams_cannot_be_taken_up() {
    let mut known = Watching::new();
    known.put("a", "v1");
    known.watch(MEMORY_MS);
    assert!(known.put("b", "v2"), "a version came");
    assert!(!known.put("c", "v2"), "no further version came");
    assert_eq!((known.seen(), known.lasting()), (Seen::Several, None));
    known.watch(10_000);
    assert!(!known.remove("b"), "another endpoint has its version");
    known.watch(10_000);
    assert!(known.remove("c"), "a version went");
    let gone_ms = known.now_ms;
    known.watch(MEMORY_MS - 1);
    assert_eq!((known.seen(), known.lasting()), (Seen::Several, None));
    known.watch(1);
    assert_eq!(known.seen(), sole("v1", gone_ms));
    assert_eq!(known.lasting(), Some("v1".into()));
}

#[test]
fn an_endpoint_that_restarts_with_another_version_makes_two() {
    let mut known = Watching::new();
    known.put("a", "v1");
    known.watch(MEMORY_MS);
    assert!(known.put("a", "v2"));
    assert_eq!(known.seen(), Seen::Several);
    known.watch(MEMORY_MS);
    assert_eq!(known.lasting(), Some("v2".into()));
}

#[test]
fn a_version_that_comes_back_counts_as_if_it_had_stayed() {
    let mut known = Watching::new();
    known.put("a", "v1");
    known.watch(MEMORY_MS);
    known.remove("a");
    known.watch(MEMORY_MS / 2);
    assert_eq!(known.seen(), sole("v1", 0));
    known.put("a", "v1");
    assert_eq!(known.seen(), sole("v1", 0));
    known.remove("a");
    known.watch(MEMORY_MS);
    assert_eq!(known.seen(), Seen::Nothing);
    known.put("a", "v1");
    assert_eq!(known.seen(), sole("v1", known.now_ms));
}

#[test]
fn other_services_do_not_matter() {
    let mut known = Watching::new();
    known.put("a", "v1");
    let other = Listed { service: "plain".into(), version: "v2".into() };
    known.history.apply(vec![("p".into(), Some(other.clone()))], known.now_ms);
    assert_eq!(known.seen(), sole("v1", 0));
    // An endpoint may change its service.
    known.history.apply(vec![("a".into(), Some(other))], known.now_ms);
    known.watch(MEMORY_MS);
    assert_eq!(known.seen(), Seen::Nothing);
    assert_eq!(known.history.lasting("plain", known.now_ms), Some("v2".into()));
}

/// Guards against a box that was suspended or cut off and vouches for a time in which it saw nothing.
#[test]
fn a_break_in_the_looks_begins_a_new_history() {
    let mut known = Watching::new();
    known.put("a", "v1");
    known.watch(MEMORY_MS);
    assert_eq!(known.lasting(), Some("v1".into()));
    known.now_ms += 10_000;
    assert_eq!(known.lasting(), None, "it has not looked for 10 s");
    known.history.look(known.now_ms);
    assert_eq!(known.seen(), sole("v1", known.now_ms));
    known.watch(MEMORY_MS - 1);
    assert_eq!(known.lasting(), None);
    known.watch(1);
    assert_eq!(known.lasting(), Some("v1".into()));
}

#[test]
fn a_record_opens_the_versions_that_are_listed_at_first() {
    let mut known = Watching::new();
    known.put("a", "v1");
    assert_eq!(known.next(None), Some(record(&["v1"], &[])));
    assert_eq!(record(&["v1"], &[]).sole(0), Some("v1".into()));
    assert_eq!(known.next(Some(record(&["v1"], &[]))), None);
    known.put("b", "v2");
    assert_eq!(known.next(None), Some(record(&["v1", "v2"], &[])));
    assert_eq!(record(&["v1", "v2"], &[]).sole(0), None);
}

#[test]
fn a_record_opens_the_second_version_and_takes_out_the_first_once_it_was_closed_for_long_enough() {
    let (both, closed) = (record(&["v1", "v2"], &[]), record(&["v2"], &["v1"]));
    let mut known = Watching::new();
    known.put("a", "v1");
    known.put("b", "v2");
    assert_eq!(known.next(Some(record(&["v1"], &[]))), Some(both.clone()));
    assert_eq!(known.next(Some(both.clone())), None);
    known.remove("a");
    known.watch(MEMORY_MS / 6 - 1);
    assert_eq!(known.next(Some(both.clone())), None, "its endpoints may be back in a moment");
    known.watch(1);
    assert_eq!(known.next(Some(both)), Some(closed.clone()));
    assert_eq!(closed.sole(0), None);
    let closed_at = known.now_ms;
    known.watch(MEMORY_MS - 1);
    assert_eq!(known.next_after(Some(closed.clone()), closed_at, 0), None);
    known.watch(1);
    let only = Some(record(&["v2"], &[]));
    assert_eq!(known.next_after(Some(closed.clone()), closed_at, 0), only);
    // It comes back.
    known.put("a", "v1");
    assert_eq!(known.next_after(Some(closed), closed_at, 0), Some(record(&["v1", "v2"], &[])));
}

#[test]
fn a_box_that_sees_another_version_than_the_record_opens_that() {
    let mut known = Watching::new();
    known.put("a", "v2");
    let (first, closed) = (record(&["v1"], &[]), record(&["v2"], &["v1"]));
    assert_eq!(known.next(Some(first.clone())), Some(record(&["v1", "v2"], &[])));
    known.watch(MEMORY_MS / 6);
    assert_eq!(known.next(Some(first)), Some(closed.clone()));
    known.watch(MEMORY_MS);
    assert_eq!(known.next(Some(closed)), Some(record(&["v2"], &[])));
}

/// A box that started with a record of several versions trusts only what it has watched itself, and that record.
#[test]
fn a_new_box_waits_before_it_takes_a_version_out() {
    let closed = record(&["v1"], &["v2"]);
    let mut known = Watching::new();
    known.put("a", "v1");
    assert_eq!(known.next(Some(closed.clone())), None);
    known.watch(MEMORY_MS - 1);
    assert_eq!(known.next(Some(closed.clone())), None);
    known.watch(1);
    assert_eq!(known.next(Some(closed.clone())), Some(record(&["v1"], &[])));
    assert_eq!(known.next_after(Some(closed.clone()), 1, 0), None, "it learned of it later");
    known.now_ms += 10_000;
    known.history.look(known.now_ms);
    assert_eq!(known.next(Some(closed)), None, "it has not looked for 10 s");
}

/// Guards against records of a store that came back from a copy, which may have lost a version.
#[test]
fn a_record_of_an_earlier_era_proves_nothing() {
    let before = record(&["v1"], &[]);
    assert_eq!(before.sole(1), None);
    let partial = Record { era: 1, is_partial: true, ..before.clone() };
    let mut known = Watching::new();
    known.put("a", "v1");
    known.watch(MEMORY_MS);
    assert_eq!(known.next_after(Some(before), 0, 1), Some(partial.clone()));
    assert_eq!(known.next_after(None, 0, 1), Some(partial.clone()), "the store may have lost it");
    assert_eq!(partial.sole(1), None);
    let learned_ms = known.now_ms;
    known.watch(MEMORY_MS - 1);
    assert_eq!(known.next_after(Some(partial.clone()), learned_ms, 1), None);
    known.watch(1);
    let whole = Record { is_partial: false, ..partial.clone() };
    assert_eq!(known.next_after(Some(partial), learned_ms, 1), Some(whole.clone()));
    assert_eq!(whole.sole(1), Some("v1".into()));
}

/// One step of a random history: an endpoint gets a version, or none, and time passes.
fn steps() -> impl Strategy<Value = Vec<(u8, Option<u8>, u64)>> {
    let step = (0..4_u8, proptest::option::of(0..3_u8), 0..MEMORY_MS);
    proptest::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(62), ..ProptestConfig::default() })]

    /// The answer is that of a plain recount of all that was listed at any time.
    #[test]
    fn the_history_agrees_with_a_recount(steps in steps()) {
        let mut known = Watching::new();
        let mut endpoints: BTreeMap<u8, u8> = BTreeMap::new();
        let mut last_seen: BTreeMap<u8, u64> = BTreeMap::new();
        for (id, version, time_ms) in steps {
            let before = match version {
                Some(version) => {
                    known.put(&id.to_string(), &version.to_string());
                    endpoints.insert(id, version)
                }
                None => {
                    known.remove(&id.to_string());
                    endpoints.remove(&id)
                }
            };
            last_seen.extend(before.map(|version| (version, known.now_ms)));
            known.watch(time_ms);
            last_seen.extend(endpoints.values().map(|version| (*version, known.now_ms)));
            let now_ms = known.now_ms;
            let counts = |version: &u8| {
                let is_listed = endpoints.values().any(|listed| listed == version);
                is_listed || last_seen.get(version).is_some_and(|at| at + MEMORY_MS > now_ms)
            };
            let counting: Vec<u8> = (0..3).filter(counts).collect();
            match (known.seen(), &counting[..]) {
                (Seen::Nothing, []) => {}
                (Seen::Sole { version, .. }, [only]) => prop_assert_eq!(&*version, only.to_string()),
                (Seen::Several, [_, _, ..]) => {}
                (seen, counting) => prop_assert!(false, "{seen:?} where {counting:?} count"),
            }
        }
    }
}
