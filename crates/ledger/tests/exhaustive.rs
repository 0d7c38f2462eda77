//! Model check of two boxes and one platform: all orders of their steps, with a lost answer and a
//! pause.
//!
//! Box A draws, records an intent and dispatches. Any of its writes may land late, or land while
//! the answer is lost, and A may pause between any two steps. Box B seals A's journal, takes back
//! what A can no longer use, and spends it. In no order may the two spend more than was paid.
//! Variants with a broken rule must be caught, to show that the check can fail.

use std::collections::{HashSet, VecDeque};

use ledger::{Account, Closing, Draw, Ended, Evidence, Incarnation, Journal, Ledger, Part, Record};

const PAID: u64 = 3;
const GRANT: u64 = 2;

/// The rule that a variant breaks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Broken {
    #[default]
    Nothing,
    /// A draw whose answer was lost counts as landed without reading back.
    NoReadBack,
    /// A seal frees everything, including what open intents reserve.
    FreeHeld,
    /// A dispatches before its intent has landed.
    DispatchFirst,
    /// A seal frees the offline part, too.
    FreeOffline,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Versioned<T> {
    version: u64,
    value: T,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Message {
    Ledger { expect: u64, value: Ledger },
    Journal { expect: u64, value: Journal },
}

/// The progress of A.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Stage {
    Start,
    /// The draw is in flight; its answer may be lost.
    Drawing {
        expect: u64,
        write: u64,
    },
    Drawn,
    /// The intent is in flight.
    Recording {
        expect: u64,
    },
    /// The intent has landed; A may pause here for any time.
    Recorded,
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct World {
    ledger: Versioned<Ledger>,
    journal: Versioned<Journal>,
    in_flight: Vec<Message>,
    account: Account,
    stage: Stage,
    served_a: u64,
    served_offline: u64,
    seen_by_b: Option<Journal>,
    closed_by_b: bool,
    served_b: u64,
}

fn a() -> Incarnation {
    Incarnation::from("a.1")
}

fn b() -> Incarnation {
    Incarnation::from("b.1")
}

fn record() -> Record {
    Record {
        n: 1,
        budget: "x".into(),
        customer: "c".into(),
        key: "k".into(),
        part: Part::Online,
        reserved: 1,
        endpoint: "e".into(),
        outcome: None,
    }
}

impl World {
    fn new() -> World {
        let mut ledger = Ledger::default();
        ledger.apply_paid(PAID, 1);
        let mut journal = Journal::new(a());
        journal.drawn.insert("x".into());
        World {
            ledger: Versioned { version: 1, value: ledger },
            journal: Versioned { version: 1, value: journal },
            in_flight: Vec::new(),
            account: Account::default(),
            stage: Stage::Start,
            served_a: 0,
            served_offline: 0,
            seen_by_b: None,
            closed_by_b: false,
            served_b: 0,
        }
    }

    fn served(&self) -> u64 {
        self.served_a + self.served_offline + self.served_b
    }

    /// Returns all worlds that are one step away.
    fn next(&self, broken: Broken) -> Vec<World> {
        let mut found = Vec::new();
        self.platform_steps(&mut found);
        self.steps_of_a(broken, &mut found);
        self.offline_step(&mut found);
        self.steps_of_b(broken, &mut found);
        found
    }

    /// Delivers each message in flight; one with an outdated version is refused.
    fn platform_steps(&self, found: &mut Vec<World>) {
        for (index, message) in self.in_flight.iter().enumerate() {
            let mut world = self.clone();
            world.in_flight.remove(index);
            match message.clone() {
                Message::Ledger { expect, value } if expect == world.ledger.version => {
                    world.ledger = Versioned { version: expect + 1, value };
                }
                Message::Journal { expect, value } if expect == world.journal.version => {
                    world.journal = Versioned { version: expect + 1, value };
                }
                Message::Ledger { .. } | Message::Journal { .. } => {}
            }
            found.push(world);
        }
    }

    fn steps_of_a(&self, broken: Broken, found: &mut Vec<World>) {
        match &self.stage {
            Stage::Start => found.extend(self.send_draw(1)),
            Stage::Drawing { expect, write } => self.read_back_draw(*expect, *write, broken, found),
            Stage::Drawn => found.extend(self.send_intent(broken)),
            Stage::Recording { expect } => found.extend(self.read_back_intent(*expect)),
            Stage::Recorded => {
                let mut world = self.clone();
                world.served_a += 1;
                world.stage = Stage::Done;
                found.push(world);
            }
            Stage::Done => {}
        }
    }

    fn send_draw(&self, write: u64) -> Option<World> {
        let mut world = self.clone();
        let mut ledger = world.ledger.value.clone();
        let draw = Draw { online: GRANT - 1, offline: 1, ..Draw::default() };
        ledger.draw(&a(), draw, write).ok()?;
        let expect = world.ledger.version;
        world.in_flight.push(Message::Ledger { expect, value: ledger });
        world.stage = Stage::Drawing { expect, write };
        Some(world)
    }

    /// A got no answer and reads the ledger back.
    fn read_back_draw(&self, expect: u64, write: u64, broken: Broken, found: &mut Vec<World>) {
        let own_grant = self.ledger.value.grants.get(&a());
        let marked = own_grant.is_some_and(|grant| grant.write >= write);
        let settled = objects::resolve(expect, self.ledger.version, marked);
        match settled {
            objects::Resolution::Lost if broken != Broken::NoReadBack => {
                found.extend(self.send_draw(write));
            }
            objects::Resolution::Open if broken != Broken::NoReadBack => {}
            _ => {
                let mut world = self.clone();
                world.account.add(Part::Online, GRANT - 1);
                world.account.add(Part::Offline, 1);
                world.stage = Stage::Drawn;
                found.push(world);
            }
        }
    }

    fn send_intent(&self, broken: Broken) -> Option<World> {
        let mut world = self.clone();
        let reservation = world.account.reserve(Part::Online, 1).ok()?;
        assert_eq!(reservation.tokens, 1);
        let mut journal = world.journal.value.clone();
        if journal.intend(record()).is_err() {
            world.stage = Stage::Done;
            return Some(world);
        }
        let expect = world.journal.version;
        world.in_flight.push(Message::Journal { expect, value: journal });
        world.stage = match broken {
            Broken::DispatchFirst => Stage::Recorded,
            _ => Stage::Recording { expect },
        };
        Some(world)
    }

    fn read_back_intent(&self, expect: u64) -> Option<World> {
        let landed = self.journal.value.record(1).is_some();
        let mut world = self.clone();
        world.stage = match (landed, self.journal.value.is_open()) {
            (true, true) => Stage::Recorded,
            // The journal was sealed meanwhile: A dispatches nothing, even if the intent landed.
            (true, false) => Stage::Done,
            (false, _) if self.journal.version != expect => Stage::Done,
            (false, _) => return None,
        };
        Some(world)
    }

    /// A may serve from its offline part at any time.
    fn offline_step(&self, found: &mut Vec<World>) {
        let mut world = self.clone();
        if let Ok(reservation) = world.account.reserve(Part::Offline, 1) {
            world.served_offline += world.account.settle(reservation, 1);
            found.push(world);
        }
    }

    fn steps_of_b(&self, broken: Broken, found: &mut Vec<World>) {
        let mut world = self.clone();
        match &self.seen_by_b {
            None => {
                world.journal.value.seal(&b());
                world.journal.version += 1;
                world.seen_by_b = Some(world.journal.value.clone());
            }
            Some(journal) if !self.closed_by_b => {
                let mut journal = journal.clone();
                if broken == Broken::FreeHeld {
                    journal.records.clear();
                }
                let closing = match broken {
                    Broken::FreeOffline => Closing::Destroyed,
                    _ => Closing::Sealed,
                };
                world.ledger.value.close("x", &journal, closing);
                world.ledger.version += 1;
                world.closed_by_b = true;
            }
            // B spends at once whatever is left.
            Some(_) => {
                let left = self.ledger.value.left();
                let draw = Draw { online: left, ..Draw::default() };
                if left == 0 || world.ledger.value.draw(&b(), draw, 1).is_err() {
                    return;
                }
                world.ledger.version += 1;
                world.served_b += left;
            }
        }
        found.push(world);
    }
}

/// Returns the number of worlds reached, and the first one that violates an invariant.
fn explore(broken: Broken) -> (usize, Option<World>) {
    let start = World::new();
    let mut seen = HashSet::from([format!("{start:?}")]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        if world.served() > PAID || !world.ledger.value.is_sound() {
            return (seen.len(), Some(world));
        }
        for next in world.next(broken) {
            if seen.insert(format!("{next:?}")) {
                queue.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn no_order_of_steps_overspends() {
    let (states, violation) = explore(Broken::Nothing);
    println!("grant and seal: {states} states, none overspends");
    assert_eq!(violation, None);
    assert!(states > 100, "only {states} states were reached");
}

#[test]
fn broken_rules_are_caught() {
    for broken in [Broken::NoReadBack, Broken::FreeHeld, Broken::DispatchFirst, Broken::FreeOffline]
    {
        let (states, violation) = explore(broken);
        println!("{broken:?}: caught after {states} states");
        assert!(violation.is_some(), "{broken:?} was not caught in {states} states");
    }
}

/// Guards against counting an outcome twice when several resolvers race on a sealed journal.
#[test]
fn outcomes_are_folded_once_in_any_order() {
    let mut journal = Journal::new(a());
    journal.intend(record()).unwrap();
    journal.seal(&b());
    let mut ledger = Ledger::default();
    ledger.apply_paid(PAID, 1);
    ledger.draw(&a(), Draw { online: 2, ..Draw::default() }, 1).unwrap();
    assert_eq!(journal.finish(1, 1, Ended::Broken, Evidence::Reported), Ok(true));
    assert_eq!(journal.finish(1, 0, Ended::NotRun, Evidence::Recorded), Ok(false));
    for _ in 0..3 {
        assert!(ledger.fold("x", &journal).whole);
        ledger.close("x", &journal, Closing::Sealed);
    }
    assert_eq!((ledger.spent, ledger.statement.count, ledger.left()), (1, 1, 2));
}

/// Guards against freeing tokens twice: a box that does not know of its seal returns a surplus that
/// the seal has already freed.
#[test]
fn sealed_holder_cannot_return_tokens() {
    let mut journal = Journal::new(a());
    journal.intend(Record { reserved: 2, ..record() }).unwrap();
    journal.seal(&b());
    let mut ledger = Ledger::default();
    ledger.apply_paid(10, 1);
    ledger.draw(&a(), Draw { online: 6, ..Draw::default() }, 1).unwrap();
    assert_eq!(ledger.close("x", &journal, Closing::Sealed), 4);
    let surplus = Draw { return_online: 2, ..Draw::default() };
    assert_eq!(ledger.draw(&a(), surplus, 2), Err(ledger::Error::Sealed));
    assert_eq!(ledger.grants[&a()].online, 2);
}
