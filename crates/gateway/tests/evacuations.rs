//! Which availability zones are evacuated, learned in any order from the store and from peers.

use std::{collections::BTreeMap, sync::Arc};

use gateway::{Evacuations, Zones};
use objects::Change;
use proptest::prelude::*;

/// An event in the store, at one of two watchers, or at the subscriber.
#[derive(Debug, Clone)]
enum Step {
    /// The operator evacuates a zone or ends its evacuation.
    Write { zone: u8, empty: bool },
    /// A watcher lists the store.
    List { home: usize },
    /// A watcher receives some of the changes since its version.
    Watch { home: usize, most: usize },
    /// The subscriber receives the state of a watcher.
    Hear { home: usize },
    /// A state that a watcher sent earlier arrives late.
    HearLate { home: usize, ago: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4u8, any::<bool>()).prop_map(|(zone, empty)| Step::Write { zone, empty }),
        (0..2usize).prop_map(|home| Step::List { home }),
        (0..2usize, 1..4usize).prop_map(|(home, most)| Step::Watch { home, most }),
        (0..2usize).prop_map(|home| Step::Hear { home }),
        (0..2usize, 0..5usize).prop_map(|(home, ago)| Step::HearLate { home, ago }),
    ]
}

#[derive(Default)]
struct Run {
    version: u64,
    /// Evacuated zones at each version of the store.
    truth: BTreeMap<u64, Zones>,
    log: Vec<Change>,
    watchers: [Evacuations; 2],
    /// Version up to which each watcher has seen changes.
    watched: [u64; 2],
    told: [Vec<(Zones, u64)>; 2],
    listener: Evacuations,
}

impl Run {
    fn now(&self) -> Zones {
        self.truth.values().last().cloned().unwrap_or_default()
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Write { zone, empty } => self.write(format!("z{zone}").into(), empty),
            Step::List { home } => {
                self.watchers[home].replace(self.now(), self.version);
                self.watched[home] = self.version;
            }
            Step::Watch { home, most } => {
                let from = self.watched[home];
                let fresh = self.log.iter().filter(|change| change.version > from);
                let fresh: Vec<Change> = fresh.take(most).cloned().collect();
                self.watchers[home].change(&fresh);
                self.watched[home] = fresh.last().map_or(from, |change| change.version);
            }
            Step::Hear { home } => {
                let home_knows = &self.watchers[home];
                let told = (home_knows.zones().clone(), home_knows.at());
                self.listener.replace(told.0.clone(), told.1);
                self.told[home].push(told);
            }
            Step::HearLate { home, ago } => {
                let told = self.told[home].iter().rev().nth(ago).cloned();
                if let Some((zones, at)) = told {
                    self.listener.replace(zones, at);
                }
            }
        }
    }

    fn write(&mut self, zone: Arc<str>, empty: bool) {
        let mut zones = self.now();
        let changed = if empty { zones.insert(zone.clone()) } else { zones.remove(&zone) };
        if changed {
            self.version += 1;
            self.truth.insert(self.version, zones);
            let value = empty.then(|| "{}".into());
            let kind = platform::EVACUATIONS.into();
            self.log.push(Change { kind, name: zone, version: self.version, value });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// In any order of events, every box has a state that the store had at some version, and the subscriber never goes
    /// back to an older one.
    #[test]
    fn view_is_always_a_stored_version_and_never_goes_back(steps in prop::collection::vec(step(), 1..60)) {
        let mut run = Run::default();
        // A watch needs the version of a list to start from.
        run.step(&Step::List { home: 0 });
        run.step(&Step::List { home: 1 });
        let mut before = 0;
        for step in &steps {
            run.step(step);
            for known in run.watchers.iter().chain([&run.listener]) {
                let truth = run.truth.get(&known.at()).cloned().unwrap_or_default();
                prop_assert_eq!(known.zones(), &truth, "as at version {}", known.at());
            }
            prop_assert!(run.listener.at() >= before, "the subscriber went back to an older version");
            before = run.listener.at();
        }
        run.step(&Step::List { home: 0 });
        run.step(&Step::Hear { home: 0 });
        prop_assert_eq!(run.listener.zones(), &run.now());
    }
}

#[test]
fn replayed_changes_are_ignored() {
    let change = |version, value: Option<&str>| Change {
        kind: platform::EVACUATIONS.into(),
        name: "bornova".into(),
        version,
        value: value.map(Into::into),
    };
    let mut known = Evacuations::default();
    assert!(known.replace(Zones::new(), 0), "the first state is a change, even if it is empty");
    assert!(known.change(&[change(3, Some("{}")), change(5, None)]));
    assert!(known.replace(Zones::new(), 9));
    assert!(!known.change(&[change(3, Some("{}"))]), "the evacuation has ended since");
    assert!(known.zones().is_empty());
    assert!(
        known.change(&[change(11, Some("bytes that nobody can read"))]),
        "the entry counts whatever its content"
    );
    assert!(known.zones().contains("bornova"));
}
