//! Which availability zones are evacuated, learned in any order from the store and from peers.

use std::{collections::BTreeMap, sync::Arc};

use gateway::{Evacuations, Zones};
use objects::Change;
use proptest::prelude::*;

/// An event in the store, at one of two watchers, or at the subscriber.
#[derive(Debug, Clone)]
enum Step {
    /// The operator evacuates a zone or ends its evacuation.
    Write { zone: u8, evacuated: bool },
    /// A watcher lists the store.
    List { watcher: usize },
    /// A watcher receives some of the changes since its version.
    Watch { watcher: usize, max_changes: usize },
    /// The subscriber receives the state of a watcher.
    Receive { watcher: usize },
    /// A state that a watcher sent earlier arrives late.
    ReceiveLate { watcher: usize, ago: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4u8, any::<bool>()).prop_map(|(zone, evacuated)| Step::Write { zone, evacuated }),
        (0..2usize).prop_map(|watcher| Step::List { watcher }),
        (0..2usize, 1..4usize)
            .prop_map(|(watcher, max_changes)| Step::Watch { watcher, max_changes }),
        (0..2usize).prop_map(|watcher| Step::Receive { watcher }),
        (0..2usize, 0..5usize).prop_map(|(watcher, ago)| Step::ReceiveLate { watcher, ago }),
    ]
}

#[derive(Default)]
struct Run {
    version: u64,
    /// Evacuated zones at each version of the store.
    stored: BTreeMap<u64, Zones>,
    log: Vec<Change>,
    watchers: [Evacuations; 2],
    /// Version up to which each watcher has seen changes.
    watched: [u64; 2],
    sent: [Vec<(Zones, u64)>; 2],
    subscriber: Evacuations,
}

impl Run {
    fn current_zones(&self) -> Zones {
        self.stored.values().last().cloned().unwrap_or_default()
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Write { zone, evacuated } => self.write(format!("z{zone}").into(), evacuated),
            Step::List { watcher } => {
                self.watchers[watcher].replace(self.current_zones(), self.version);
                self.watched[watcher] = self.version;
            }
            Step::Watch { watcher, max_changes } => {
                let from = self.watched[watcher];
                let fresh = self.log.iter().filter(|change| change.version > from);
                let fresh: Vec<Change> = fresh.take(max_changes).cloned().collect();
                self.watchers[watcher].change(&fresh);
                self.watched[watcher] = fresh.last().map_or(from, |change| change.version);
            }
            Step::Receive { watcher } => {
                let state = &self.watchers[watcher];
                let sent = (state.zones().clone(), state.at());
                self.subscriber.replace(sent.0.clone(), sent.1);
                self.sent[watcher].push(sent);
            }
            Step::ReceiveLate { watcher, ago } => {
                let sent = self.sent[watcher].iter().rev().nth(ago).cloned();
                if let Some((zones, at)) = sent {
                    self.subscriber.replace(zones, at);
                }
            }
        }
    }

    fn write(&mut self, zone: Arc<str>, evacuated: bool) {
        let mut zones = self.current_zones();
        let changed = if evacuated { zones.insert(zone.clone()) } else { zones.remove(&zone) };
        if changed {
            self.version += 1;
            self.stored.insert(self.version, zones);
            let value = evacuated.then(|| "{}".into());
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
        run.step(&Step::List { watcher: 0 });
        run.step(&Step::List { watcher: 1 });
        let mut before = 0;
        for step in &steps {
            run.step(step);
            for view in run.watchers.iter().chain([&run.subscriber]) {
                let stored = run.stored.get(&view.at()).cloned().unwrap_or_default();
                prop_assert_eq!(view.zones(), &stored, "view of version {}", view.at());
            }
            prop_assert!(run.subscriber.at() >= before, "the subscriber went back to an older version");
            before = run.subscriber.at();
        }
        run.step(&Step::List { watcher: 0 });
        run.step(&Step::Receive { watcher: 0 });
        prop_assert_eq!(run.subscriber.zones(), &run.current_zones());
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
    let mut view = Evacuations::default();
    assert!(view.replace(Zones::new(), 0), "the first state is a change, even if it is empty");
    assert!(view.change(&[change(3, Some("{}")), change(5, None)]));
    assert!(view.replace(Zones::new(), 9));
    assert!(!view.change(&[change(3, Some("{}"))]), "the evacuation has ended since");
    assert!(view.zones().is_empty());
    assert!(
        view.change(&[change(11, Some("bytes that nobody can read"))]),
        "the entry counts whatever its content"
    );
    assert!(view.zones().contains("bornova"));
}
