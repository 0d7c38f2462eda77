//! Signals of endpoints, in any order and mixed with changes of their entries, and which endpoints are chosen then.

use std::{sync::Arc, time::Duration};

use balance::{Filter, Prefix};
use gateway::{Changes, Chosen, Clock, Endpoints, settings};
use platform::{
    answer::Head,
    endpoint::Entry,
    fixtures::{self, Registration, registration},
    signal::{Signal, Signals},
};
use proptest::prelude::*;

const SERVICE: &str = "plain";
/// Choices made to show that an endpoint is never chosen.
const CHOICES: usize = 40;
/// Longer than any time for which a leaving endpoint may still be chosen.
const LONG_TIME: Duration = Duration::from_secs(60);
/// Age of a response to a request that was sent just now.
const JUST_NOW: Duration = Duration::ZERO;

/// One box's view of some endpoints, and its clock.
struct View {
    endpoints: Endpoints,
    clock: Clock,
    listed: Vec<(Arc<str>, Entry)>,
}

impl View {
    fn open(ids: &[&str]) -> View {
        let clock = Clock::manual();
        let endpoints = Endpoints::new("z1".into(), settings::Cold::default(), &clock, 7);
        let mut view = View { endpoints, clock, listed: Vec::new() };
        let entries = ids.iter().enumerate().map(|(n, id)| ((*id).into(), entry(n as u16, |_| {})));
        view.listed = entries.collect();
        view.update();
        view
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
        self.endpoints.choose(SERVICE, Filter::ALL, &Prefix::of_parts([]), &[])
    }

    /// Repeats the choice until it falls on the endpoint.
    fn chosen(&self, id: &str) -> Chosen {
        let mut tries = (0..1_000).filter_map(|_| self.choose());
        tries.find(|chosen| &*chosen.id == id).expect("the endpoint is available")
    }

    fn is_chosen(&self, id: &str) -> bool {
        (0..CHOICES).filter_map(|_| self.choose()).any(|chosen| &*chosen.id == id)
    }

    fn receive(&self, chosen: &Chosen, signals: &Signals) -> Changes {
        self.receive_after(chosen, signals, JUST_NOW)
    }

    /// Receives a response to a request that was sent `ago`.
    fn receive_after(&self, chosen: &Chosen, signals: &Signals, ago: Duration) -> Changes {
        let head = Head { id: None, not_run: false, signals: signals.clone(), instance: None };
        self.endpoints.receive_signals(SERVICE, chosen, &head, ago)
    }
}

fn entry(n: u16, change: impl Fn(&mut Registration)) -> Entry {
    let mut entry = registration(SERVICE, ([127, 0, 0, 1], 1_000 + n).into());
    change(&mut entry);
    Entry::read(&entry.entry().to_string()).expect("an entry")
}

fn leaving(leaving: bool) -> Signals {
    Signals { leaves: Some(Signal::Valid(leaving)), ..Signals::default() }
}

#[test]
fn leaving_signal_is_final() {
    type Later = fn(&mut View, &Chosen);
    let later: [(&str, Later); 8] = [
        ("a response to an earlier request", |view, chosen| {
            view.receive_after(chosen, &Signals::default(), LONG_TIME);
        }),
        ("a response without the signal", |view, chosen| {
            view.receive(chosen, &Signals::default());
        }),
        ("a response that says it stays", |view, chosen| {
            view.receive(chosen, &leaving(false));
        }),
        ("the same entry", |view, _| view.update()),
        ("an entry of a later heartbeat", |view, _| view.relist(0, |entry| entry.heartbeat = 99)),
        ("an entry that lapsed and came back", |view, _| {
            let lapsed = view.listed.remove(0);
            view.update();
            view.listed.insert(0, lapsed);
            view.update();
        }),
        ("a suspension of the box", |view, _| view.clock.suspend(LONG_TIME)),
        ("the signal, forwarded by a peer as new", |view, chosen| {
            view.endpoints.receive_departure(&chosen.instance, chosen.address, true);
        }),
    ];
    for (what, later) in later {
        let mut view = View::open(&["i-1", "i-2"]);
        let chosen = view.chosen("i-1");
        assert_eq!(view.receive(&chosen, &leaving(true)), Changes { leaves: true, limit: false });
        assert_eq!(view.receive(&chosen, &leaving(true)), Changes::default(), "already known");
        later(&mut view, &chosen);
        assert!(!view.is_chosen("i-1"), "after {what}");
        view.clock.suspend(LONG_TIME);
        view.listed.remove(1);
        view.update();
        assert!(view.choose().is_none(), "after {what}, with no other endpoint");
        assert!(view.endpoints.refuses_requests(SERVICE, &chosen), "after {what}");
    }
}

#[test]
fn restarted_endpoint_is_chosen_again() {
    let mut view = View::open(&["i-1", "i-2"]);
    view.relist(0, |entry| entry.started_ms = Some(5));
    view.clock.suspend(LONG_TIME);
    let chosen = view.chosen("i-1");
    view.receive(&chosen, &leaving(true));
    view.clock.suspend(LONG_TIME);
    assert!(!view.is_chosen("i-1"));
    view.relist(0, |entry| entry.started_ms = Some(6));
    view.clock.suspend(LONG_TIME);
    assert!(view.is_chosen("i-1"), "a new instance under the same id");
    let chosen = view.chosen("i-2");
    view.receive(&chosen, &leaving(true));
    view.clock.suspend(LONG_TIME);
    assert!(!view.is_chosen("i-2"));
    view.relist(1, |entry| entry.address = ([127, 0, 0, 1], 9).into());
    view.clock.suspend(LONG_TIME);
    assert!(view.is_chosen("i-2"), "an instance without a start time, at another address");
}

#[test]
fn unreadable_signal_is_ignored_and_counted() {
    let view = View::open(&["i-1"]);
    let chosen = view.chosen("i-1");
    let leaves = Some(Signal::Unreadable("soon".into()));
    let unknown = vec![("server-mood".into(), "low".into())];
    for _ in 0..3 {
        let signals =
            Signals { leaves: leaves.clone(), unknown: unknown.clone(), ..Signals::default() };
        assert_eq!(view.receive(&chosen, &signals), Changes::default());
    }
    view.clock.suspend(LONG_TIME);
    assert!(view.is_chosen("i-1"));
    let counted: Vec<(Arc<str>, u64)> =
        [(fixtures::LEAVING, 3), ("server-mood", 3)].map(|(name, n)| (name.into(), n)).into();
    assert_eq!(view.endpoints.unread_headers(), counted);
}

#[test]
fn leaving_endpoint_is_a_last_resort_for_a_moment() {
    let view = View::open(&["i-1", "i-2"]);
    for id in ["i-1", "i-2"] {
        let chosen = view.chosen(id);
        view.receive(&chosen, &leaving(true));
    }
    view.clock.suspend(Duration::from_millis(balance::LAST_RESORT_MS / 2));
    assert!(view.choose().is_some(), "a last resort until its successors are known");
    assert_eq!(view.endpoints.retry_delay(SERVICE, None, 0), None, "all endpoints are leaving");
    view.clock.suspend(Duration::from_millis(balance::LAST_RESORT_MS));
    assert!(view.choose().is_none(), "the last resort has ended");
}

#[test]
fn departure_learned_at_start_excludes_at_once() {
    let view = View::open(&["i-1"]);
    let chosen = view.chosen("i-1");
    view.endpoints.receive_departure(&chosen.instance, chosen.address, false);
    assert!(view.choose().is_none(), "its peers have known the departure for some time");
}

#[test]
fn number_of_remembered_departures_is_bounded() {
    let view = View::open(&["i-1", "i-2"]);
    let chosen = view.chosen("i-1");
    view.receive(&chosen, &leaving(true));
    view.clock.suspend(LONG_TIME);
    view.update();
    for n in 0..6_000 {
        let instance: Arc<str> = format!("i-gone-{n}").into();
        view.endpoints.receive_departure(&instance, ([127, 0, 0, 2], 1).into(), true);
    }
    let remembered =
        (0..6_000).filter(|n| view.endpoints.remembers_departure(&format!("i-gone-{n}")));
    assert!(remembered.count() <= 4_096);
    view.clock.suspend(LONG_TIME);
    assert!(!view.is_chosen("i-1"), "the departure of a listed endpoint is not evicted");
}

proptest! {
    /// Signals of one endpoint never exclude another one.
    #[test]
    fn signals_affect_only_their_endpoint(signals in prop::collection::vec(any::<Option<bool>>(), 1..20)) {
        let view = View::open(&["i-1", "i-2"]);
        let sender = view.chosen("i-1");
        for signal in signals {
            view.receive(&sender, &Signals { leaves: signal.map(Signal::Valid), ..Signals::default() });
        }
        prop_assert!(view.is_chosen("i-2"));
    }
}

fn back_off(ms: u64) -> Signals {
    Signals { back_off: Some(Signal::Valid(Duration::from_millis(ms))), ..Signals::default() }
}

#[test]
fn back_off_is_never_shortened() {
    type Later = fn(&mut View, &Chosen);
    let later: [(&str, Later); 6] = [
        ("a response to an earlier request", |view, chosen| {
            view.receive_after(chosen, &Signals::default(), LONG_TIME);
        }),
        ("a response", |view, chosen| {
            view.receive(chosen, &Signals::default());
        }),
        ("a shorter back-off", |view, chosen| {
            view.receive(chosen, &back_off(100));
        }),
        ("a back-off of 0", |view, chosen| {
            view.receive(chosen, &back_off(0));
        }),
        ("an entry that lapsed and came back", |view, _| {
            let lapsed = view.listed.remove(0);
            view.update();
            view.listed.insert(0, lapsed);
            view.update();
        }),
        ("a suspension of the box", |view, _| view.clock.suspend(Duration::from_millis(900))),
    ];
    for (what, later) in later {
        let mut view = View::open(&["i-1", "i-2"]);
        let chosen = view.chosen("i-1");
        assert_eq!(
            view.receive(&chosen, &back_off(3_000)),
            Changes::default(),
            "a back-off is not announced to peers"
        );
        later(&mut view, &chosen);
        assert!(!view.is_chosen("i-1"), "after {what}");
        assert!(view.endpoints.refuses_requests(SERVICE, &chosen), "after {what}");
        view.clock.suspend(Duration::from_millis(2_000));
        assert!(!view.is_chosen("i-1"), "after {what}");
        view.clock.suspend(Duration::from_millis(1_100));
        assert!(
            !view.endpoints.refuses_requests(SERVICE, &chosen),
            "the back-off is over, after {what}"
        );
        view.clock.suspend(LONG_TIME);
        assert!(view.is_chosen("i-1"), "well after the back-off, after {what}");
    }
}

#[test]
fn new_instance_starts_without_back_off_and_unreadable_back_off_is_short() {
    let mut view = View::open(&["i-1"]);
    let chosen = view.chosen("i-1");
    let signals =
        Signals { back_off: Some(Signal::Unreadable("a while".into())), ..Signals::default() };
    view.receive(&chosen, &signals);
    assert!(view.choose().is_none());
    assert!(view.endpoints.retry_delay(SERVICE, None, 0).is_some_and(|wait| wait > Duration::ZERO));
    view.clock.suspend(Duration::from_millis(1_000));
    assert!(view.is_chosen("i-1"), "an unreadable back-off is short");
    view.receive(&chosen, &back_off(86_400_000));
    view.clock.suspend(LONG_TIME);
    assert!(view.choose().is_none(), "a back-off of a day");
    view.relist(0, |entry| entry.started_ms = Some(5));
    assert!(view.is_chosen("i-1"), "a new instance");
}
