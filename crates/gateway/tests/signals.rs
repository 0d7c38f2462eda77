//! Signals of endpoints, in any order and mixed with changes of their entries, and which endpoints are chosen then.

use std::{sync::Arc, time::Duration};

use balance::{Candidates, Prefix};
use gateway::{Changes, Chosen, Clock, Endpoints, settings};
use platform::{
    answer::Head,
    endpoint::Entry,
    fixtures::{self, Registration, listed},
    signal::{Signals, Signal},
};
use proptest::prelude::*;

const SERVICE: &str = "plain";
/// Choices made to show that an endpoint is never chosen.
const MANY: usize = 40;
/// Longer than any time for which a leaving endpoint may still be chosen.
const LONG: Duration = Duration::from_secs(60);
/// Age of a response to a request that was sent just now.
const AT_ONCE: Duration = Duration::ZERO;

/// One box's view of some endpoints, and its clock.
struct Known {
    endpoints: Endpoints,
    clock: Clock,
    listed: Vec<(Arc<str>, Entry)>,
}

impl Known {
    fn open(ids: &[&str]) -> Known {
        let clock = Clock::manual();
        let endpoints = Endpoints::new("z1".into(), settings::Cold::default(), &clock, 7);
        let mut known = Known { endpoints, clock, listed: Vec::new() };
        let entries = ids.iter().enumerate().map(|(n, id)| ((*id).into(), entry(n as u16, |_| {})));
        known.listed = entries.collect();
        known.update();
        known
    }

    fn update(&self) {
        self.endpoints.update(self.listed.iter().map(|(id, entry)| (id, entry)));
    }

    /// Changes the entry of endpoint `n`.
    fn relist(&mut self, n: usize, change: impl Fn(&mut Registration)) {
        self.listed[n].1 = entry(n as u16, change);
        self.update();
    }

    fn choose(&self) -> Option<Chosen> {
        self.endpoints.choose(SERVICE, Candidates::All, &Prefix::of_parts([]), &[])
    }

    /// Repeats the choice until it falls on the endpoint.
    fn chosen(&self, id: &str) -> Chosen {
        let mut tries = (0..1_000).filter_map(|_| self.choose());
        tries.find(|chosen| &*chosen.id == id).expect("it takes work")
    }

    fn gets_some(&self, id: &str) -> bool {
        (0..MANY).filter_map(|_| self.choose()).any(|chosen| &*chosen.id == id)
    }

    fn hears(&self, chosen: &Chosen, signals: &Signals) -> Changes {
        self.hears_of(chosen, signals, AT_ONCE)
    }

    /// Receives a response to a request that was sent `ago`.
    fn hears_of(&self, chosen: &Chosen, signals: &Signals, ago: Duration) -> Changes {
        let head = Head { id: None, not_run: false, signals: signals.clone(), instance: None };
        self.endpoints.receive_signals(SERVICE, chosen, &head, ago)
    }
}

fn entry(n: u16, change: impl Fn(&mut Registration)) -> Entry {
    let mut entry = listed(SERVICE, ([127, 0, 0, 1], 1_000 + n).into());
    change(&mut entry);
    Entry::read(&entry.entry().to_string()).expect("an entry")
}

fn leaves(leaves: bool) -> Signals {
    Signals { leaves: Some(Signal::Valid(leaves)), ..Signals::default() }
}

#[test]
fn leaving_signal_is_final() {
    type Later = fn(&mut Known, &Chosen);
    let later: [(&str, Later); 8] = [
        ("a response to an earlier request", |known, chosen| {
            known.hears_of(chosen, &Signals::default(), LONG);
        }),
        ("a response without the signal", |known, chosen| {
            known.hears(chosen, &Signals::default());
        }),
        ("a response that says it stays", |known, chosen| {
            known.hears(chosen, &leaves(false));
        }),
        ("the same entry", |known, _| known.update()),
        ("an entry of a later heartbeat", |known, _| known.relist(0, |entry| entry.heartbeat = 99)),
        ("an entry that lapsed and came back", |known, _| {
            let lapsed = known.listed.remove(0);
            known.update();
            known.listed.insert(0, lapsed);
            known.update();
        }),
        ("a suspension of the box", |known, _| known.clock.suspend(LONG)),
        ("the signal, forwarded by a peer as new", |known, chosen| {
            known.endpoints.receive_departure(&chosen.instance, chosen.address, true);
        }),
    ];
    for (what, later) in later {
        let mut known = Known::open(&["i-1", "i-2"]);
        let chosen = known.chosen("i-1");
        assert_eq!(known.hears(&chosen, &leaves(true)), Changes { leaves: true, limit: false });
        assert_eq!(known.hears(&chosen, &leaves(true)), Changes::default(), "already known");
        later(&mut known, &chosen);
        assert!(!known.gets_some("i-1"), "after {what}");
        known.clock.suspend(LONG);
        known.listed.remove(1);
        known.update();
        assert!(known.choose().is_none(), "after {what}, with no other endpoint");
        assert!(known.endpoints.refuses_requests(SERVICE, &chosen), "after {what}");
    }
}

#[test]
fn restarted_endpoint_is_chosen_again() {
    let mut known = Known::open(&["i-1", "i-2"]);
    known.relist(0, |entry| entry.started_ms = Some(5));
    known.clock.suspend(LONG);
    let chosen = known.chosen("i-1");
    known.hears(&chosen, &leaves(true));
    known.clock.suspend(LONG);
    assert!(!known.gets_some("i-1"));
    known.relist(0, |entry| entry.started_ms = Some(6));
    known.clock.suspend(LONG);
    assert!(known.gets_some("i-1"), "a new instance under the same id");
    let chosen = known.chosen("i-2");
    known.hears(&chosen, &leaves(true));
    known.clock.suspend(LONG);
    assert!(!known.gets_some("i-2"));
    known.relist(1, |entry| entry.address = ([127, 0, 0, 1], 9).into());
    known.clock.suspend(LONG);
    assert!(known.gets_some("i-2"), "an instance without a start time, at another address");
}

#[test]
fn unreadable_signal_is_ignored_and_counted() {
    let known = Known::open(&["i-1"]);
    let chosen = known.chosen("i-1");
    let leaves = Some(Signal::Unreadable("soon".into()));
    let unknown = vec![("server-mood".into(), "low".into())];
    for _ in 0..3 {
        let signals = Signals { leaves: leaves.clone(), unknown: unknown.clone(), ..Signals::default() };
        assert_eq!(known.hears(&chosen, &signals), Changes::default());
    }
    known.clock.suspend(LONG);
    assert!(known.gets_some("i-1"));
    let counted: Vec<(Arc<str>, u64)> =
        [(fixtures::LEAVING, 3), ("server-mood", 3)].map(|(name, n)| (name.into(), n)).into();
    assert_eq!(known.endpoints.unread(), counted);
}

#[test]
fn leaving_endpoint_is_a_last_resort_for_a_moment() {
    let known = Known::open(&["i-1", "i-2"]);
    for id in ["i-1", "i-2"] {
        let chosen = known.chosen(id);
        known.hears(&chosen, &leaves(true));
    }
    known.clock.suspend(Duration::from_millis(balance::LAST_RESORT_MS / 2));
    assert!(known.choose().is_some(), "the last resort until its successors are known");
    assert_eq!(known.endpoints.retry_delay(SERVICE, 0), None, "no endpoint stays");
    known.clock.suspend(Duration::from_millis(balance::LAST_RESORT_MS));
    assert!(known.choose().is_none(), "the last resort has ended");
}

#[test]
fn departure_learned_at_start_excludes_at_once() {
    let known = Known::open(&["i-1"]);
    let chosen = known.chosen("i-1");
    known.endpoints.receive_departure(&chosen.instance, chosen.address, false);
    assert!(known.choose().is_none(), "its peers have known the departure for some time");
}

#[test]
fn number_of_remembered_departures_is_bounded() {
    let known = Known::open(&["i-1", "i-2"]);
    let chosen = known.chosen("i-1");
    known.hears(&chosen, &leaves(true));
    known.clock.suspend(LONG);
    known.update();
    for n in 0..6_000 {
        let instance: Arc<str> = format!("i-gone-{n}").into();
        known.endpoints.receive_departure(&instance, ([127, 0, 0, 2], 1).into(), true);
    }
    let remembered =
        (0..6_000).filter(|n| known.endpoints.remembers_departure(&format!("i-gone-{n}")));
    assert!(remembered.count() <= 4_096);
    known.clock.suspend(LONG);
    assert!(!known.gets_some("i-1"), "the departure of a listed endpoint is not evicted");
}

proptest! {
    /// Signals of one endpoint never exclude another one.
    #[test]
    fn signals_affect_only_their_endpoint(words in prop::collection::vec(any::<Option<bool>>(), 1..20)) {
        let known = Known::open(&["i-1", "i-2"]);
        let liar = known.chosen("i-1");
        for signal in words {
            known.hears(&liar, &Signals { leaves: signal.map(Signal::Valid), ..Signals::default() });
        }
        prop_assert!(known.gets_some("i-2"));
    }
}

fn rests(ms: u64) -> Signals {
    Signals { back_off: Some(Signal::Valid(Duration::from_millis(ms))), ..Signals::default() }
}

#[test]
fn back_off_is_never_shortened() {
    type Later = fn(&mut Known, &Chosen);
    let later: [(&str, Later); 6] = [
        ("a response to an earlier request", |known, chosen| {
            known.hears_of(chosen, &Signals::default(), LONG);
        }),
        ("a response", |known, chosen| {
            known.hears(chosen, &Signals::default());
        }),
        ("a shorter back-off", |known, chosen| {
            known.hears(chosen, &rests(100));
        }),
        ("a back-off of 0", |known, chosen| {
            known.hears(chosen, &rests(0));
        }),
        ("an entry that lapsed and came back", |known, _| {
            let lapsed = known.listed.remove(0);
            known.update();
            known.listed.insert(0, lapsed);
            known.update();
        }),
        ("a suspension of the box", |known, _| known.clock.suspend(Duration::from_millis(900))),
    ];
    for (what, later) in later {
        let mut known = Known::open(&["i-1", "i-2"]);
        let chosen = known.chosen("i-1");
        assert_eq!(
            known.hears(&chosen, &rests(3_000)),
            Changes::default(),
            "a back-off is not announced to peers"
        );
        later(&mut known, &chosen);
        assert!(!known.gets_some("i-1"), "after {what}");
        assert!(known.endpoints.refuses_requests(SERVICE, &chosen), "after {what}");
        known.clock.suspend(Duration::from_millis(2_000));
        assert!(!known.gets_some("i-1"), "after {what}");
        known.clock.suspend(Duration::from_millis(1_100));
        assert!(
            !known.endpoints.refuses_requests(SERVICE, &chosen),
            "the back-off is over, after {what}"
        );
        known.clock.suspend(LONG);
        assert!(known.gets_some("i-1"), "well after the back-off, after {what}");
    }
}

#[test]
fn new_instance_starts_without_back_off_and_unreadable_back_off_is_short() {
    let mut known = Known::open(&["i-1"]);
    let chosen = known.chosen("i-1");
    let signals = Signals { back_off: Some(Signal::Unreadable("a while".into())), ..Signals::default() };
    known.hears(&chosen, &signals);
    assert!(known.choose().is_none());
    assert!(known.endpoints.retry_delay(SERVICE, 0).is_some_and(|wait| wait > Duration::ZERO));
    known.clock.suspend(Duration::from_millis(1_000));
    assert!(known.gets_some("i-1"), "an unreadable back-off is short");
    known.hears(&chosen, &rests(86_400_000));
    known.clock.suspend(LONG);
    assert!(known.choose().is_none(), "a back-off of a day");
    known.relist(0, |entry| entry.started_ms = Some(5));
    assert!(known.gets_some("i-1"), "a new instance");
}
