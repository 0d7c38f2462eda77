//! A model of boxes, endpoints and the store: at which version a stream goes on, whichever of them are lost.
//!
//! Two rules hold after any series of releases, lapses, deaths, late and lost writes and returns from copies: a stream
//! never goes on at another version than its own (order), and it goes on where somebody can know that (loss). Each fault
//! that can be planted breaks one of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use gateway::{Known, Listed, Record, Seen, VersionHistory};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner},
};

const SERVICE: &str = "engines";
/// How long a version counts after it was last seen.
const MEMORY_MS: u64 = 60_000;
/// How long a stream can be taken up. With the age of what a box knows, less than [`MEMORY_MS`].
const STREAM_MS: u64 = 45_000;
/// Longest time without a look at the store of a box that runs.
const MAX_AGE_MS: u64 = 2_000;
const BOXES: usize = 2;
const VERSIONS: u8 = 2;
const CASES: u32 = 6_000;
const SEED: RngSeed = RngSeed::Fixed(80);

/// A mistake that breaks a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Streams begin at versions that the record does not have open.
    BeginsAnywhere,
    /// A box answers from what it has seen.
    TrustsItsView,
    /// A box answers from the record that it knows.
    TrustsItsRecord,
    /// The era of a record is not looked at.
    IgnoresEra,
    /// A version without endpoints is taken out by one write.
    TakesOutAtOnce,
    /// A record that the store has lost is taken for the first one.
    TrustsNoRecord,
    /// Origins are not written to the store.
    StoresNothing,
    /// Streams of unknown origin are refused, also where there was one version only.
    RefusesUnknown,
}

const FAULTS: [Fault; 8] = [
    Fault::BeginsAnywhere,
    Fault::TrustsItsView,
    Fault::TrustsItsRecord,
    Fault::IgnoresEra,
    Fault::TakesOutAtOnce,
    Fault::TrustsNoRecord,
    Fault::StoresNothing,
    Fault::RefusesUnknown,
];

/// What becomes of a write.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Landed,
    Unanswered,
    Late,
    Lost,
}

#[derive(Debug, Clone)]
enum Step {
    /// An endpoint of a version starts.
    Start(u8),
    /// The endpoints of a version end; their entries go.
    End(u8),
    /// All entries go, and come back with [`Step::Register`].
    Lapse,
    Register,
    Wait(u64),
    Sync(usize),
    Write(usize, Fate),
    /// Late writes land, those of origins too.
    Land,
    Flush,
    Begin(usize, u8),
    Kill(usize),
    KillAll,
    Copy,
    Return,
    TakeUp(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Landed),
        1 => Just(Fate::Unanswered),
        2 => Just(Fate::Late),
        1 => Just(Fate::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..VERSIONS).prop_map(Step::Start),
        3 => (0..VERSIONS).prop_map(Step::End),
        1 => Just(Step::Lapse),
        1 => Just(Step::Register),
        3 => prop_oneof![Just(500), Just(11_000), Just(30_000), Just(61_000)].prop_map(Step::Wait),
        5 => (0..BOXES).prop_map(Step::Sync),
        8 => (0..BOXES, fate()).prop_map(|(n, fate)| Step::Write(n, fate)),
        2 => Just(Step::Land),
        3 => Just(Step::Flush),
        7 => (0..BOXES, 0..VERSIONS).prop_map(|(n, version)| Step::Begin(n, version)),
        1 => (0..BOXES).prop_map(Step::Kill),
        3 => Just(Step::KillAll),
        1 => Just(Step::Copy),
        2 => Just(Step::Return),
        4 => (0..BOXES).prop_map(Step::TakeUp),
    ]
}

/// Steps that often follow each other.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let release = |(n, version, fate)| {
        vec![Step::Start(version), Step::Sync(n), Step::Write(n, fate), Step::Begin(n, version)]
    };
    let removal = |(n, version, fate)| {
        let (end, wait) = (Step::End(version), Step::Wait(61_000));
        vec![end, Step::Wait(11_000), Step::Write(n, Fate::Landed), wait, Step::Write(n, fate)]
    };
    let death = |(n, other)| vec![Step::Kill(n), Step::TakeUp(other)];
    let death_of_all = |n| vec![Step::KillAll, Step::Sync(n), Step::TakeUp(n)];
    let copy = |n| {
        let (write, take_up) = (Step::Write(n, Fate::Landed), Step::TakeUp(n));
        vec![Step::Return, Step::KillAll, Step::Register, Step::Sync(n), write, take_up]
    };
    let one = || (0..BOXES, 0..VERSIONS, fate());
    prop_oneof![
        8 => step().prop_map(|step| vec![step]),
        3 => one().prop_map(release),
        1 => one().prop_map(removal),
        2 => (0..BOXES, 0..BOXES).prop_map(death),
        2 => (0..BOXES).prop_map(death_of_all),
        2 => (0..BOXES).prop_map(copy),
    ]
}

/// A fleet that has just started, or that has had one version for long enough.
fn beginning() -> impl Strategy<Value = Vec<Step>> {
    let started = vec![Step::Start(0), Step::Sync(0), Step::Write(0, Fate::Landed)];
    let lasting = [&started[..], &[Step::Wait(61_000)]].concat();
    prop_oneof![Just(Vec::new()), Just(vec![Step::Copy]), Just(started), Just(lasting)]
}

/// A store, with the versions of the endpoints that are entered.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    record: Option<(Record, u64)>,
    entries: BTreeSet<u8>,
    origins: BTreeMap<usize, u8>,
}

impl Store {
    /// Ordered over the eras.
    fn version(&self, revision: u64) -> u64 {
        self.era << 32 | revision
    }

    fn write(&mut self, next: &Record, expect: Option<u64>) -> bool {
        let is_expected = self.record.as_ref().map(|(_, version)| *version) == expect;
        if is_expected {
            self.revision += 1;
            self.record = Some((next.clone(), self.version(self.revision)));
        }
        is_expected
    }
}

struct Member {
    history: VersionHistory,
    known: Option<Known>,
    /// Versions in its view.
    view: BTreeSet<u8>,
    era: u64,
    memory: BTreeMap<usize, u8>,
    synced_ms: u64,
}

/// A stream that began.
#[derive(Clone, Copy)]
struct Stream {
    version: u8,
    began_ms: u64,
    /// Whether its box knew of two versions.
    is_mixed: bool,
}

struct World {
    fault: Option<Fault>,
    now_ms: u64,
    store: Store,
    copy: Option<Store>,
    /// Versions whose endpoints run.
    running: BTreeSet<u8>,
    members: Vec<Member>,
    streams: Vec<Stream>,
    late: Vec<(Record, Option<u64>)>,
    /// Origins that a box has to write.
    unwritten: BTreeMap<usize, u8>,
    /// Versions that ever ran.
    ever: BTreeSet<u8>,
}

fn name(version: u8) -> Arc<str> {
    format!("v{version}").into()
}

fn member(now_ms: u64) -> Member {
    let mut history = VersionHistory::new(MEMORY_MS);
    history.look(now_ms);
    let (view, memory) = Default::default();
    Member { history, known: None, view, era: 0, memory, synced_ms: now_ms }
}

impl World {
    fn new(fault: Option<Fault>) -> World {
        let members = (0..BOXES).map(|_| member(0)).collect();
        let (running, streams, late, unwritten, ever) = Default::default();
        let (store, copy) = Default::default();
        World { fault, now_ms: 0, store, copy, running, members, streams, late, unwritten, ever }
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }

    fn learn(&mut self, n: usize) {
        let now_ms = self.now_ms;
        let member = &mut self.members[n];
        member.era = member.era.max(self.store.era);
        let Some((record, version)) = &self.store.record else { return };
        if member.known.as_ref().is_none_or(|known| known.version < *version) {
            let (record, version) = (record.clone(), *version);
            member.known = Some(Known { record, version, learned_ms: now_ms });
        }
    }

    /// A box reads all entries, and the record.
    fn sync(&mut self, n: usize) {
        let (now_ms, entries) = (self.now_ms, self.store.entries.clone());
        let member = &mut self.members[n];
        let listed = |version: &u8| Listed { service: SERVICE.into(), version: name(*version) };
        let changes = (0..VERSIONS).map(|v| (name(v), entries.get(&v).map(listed))).collect();
        member.history.apply(changes, now_ms);
        member.history.look(now_ms);
        (member.view, member.synced_ms) = (entries, now_ms);
        self.learn(n);
    }

    /// Time passes; boxes look at the store now and then.
    fn wait(&mut self, time_ms: u64) {
        let until = self.now_ms + time_ms;
        while self.now_ms < until {
            self.now_ms = until.min(self.now_ms + MAX_AGE_MS);
            for n in 0..BOXES {
                if self.now_ms - self.members[n].synced_ms >= MAX_AGE_MS {
                    self.sync(n);
                }
            }
        }
    }

    fn next(&self, n: usize) -> Option<Record> {
        let Member { history, known, era, .. } = &self.members[n];
        let mut next = Record::next(known.as_ref(), SERVICE, history, *era, self.now_ms)?;
        if self.has(Fault::TakesOutAtOnce) {
            next.closed.clear();
        }
        if self.has(Fault::TrustsNoRecord) && known.is_none() {
            next.is_partial = false;
        }
        Some(next)
    }

    fn write(&mut self, n: usize, fate: Fate) {
        let Some(next) = self.next(n) else { return };
        let expect = self.members[n].known.as_ref().map(|known| known.version);
        // A client does not write on the condition of an earlier era.
        if expect.is_some_and(|version| version >> 32 != self.store.era) && !self.late.is_empty() {
            return self.learn(n);
        }
        match fate {
            Fate::Lost => {}
            Fate::Late => self.late.push((next, expect)),
            Fate::Landed | Fate::Unanswered => {
                self.store.write(&next, expect);
                if matches!(fate, Fate::Landed) {
                    self.learn(n);
                }
            }
        }
    }

    fn is_settled(&self, n: usize) -> bool {
        let Member { known, era, .. } = &self.members[n];
        let sole = known.as_ref().and_then(|known| known.record.sole(*era));
        sole.is_some() && sole == self.present(n)
    }

    fn present(&self, n: usize) -> Option<Arc<str>> {
        match self.members[n].history.seen(SERVICE, self.now_ms) {
            Seen::Sole { version, .. } => Some(version),
            Seen::Several | Seen::Nothing => None,
        }
    }

    fn begin(&mut self, n: usize, version: u8) {
        let Member { view, known, .. } = &self.members[n];
        let is_open = known.as_ref().is_some_and(|it| it.record.open.contains(&name(version)));
        let can_serve = view.contains(&version) && self.running.contains(&version);
        if !can_serve || !(is_open || self.has(Fault::BeginsAnywhere)) {
            return;
        }
        let stream = self.streams.len();
        let is_mixed = known.as_ref().is_some_and(|known| known.record.open.len() > 1);
        self.streams.push(Stream { version, began_ms: self.now_ms, is_mixed });
        self.members[n].memory.insert(stream, version);
        if !self.is_settled(n) {
            self.unwritten.insert(stream, version);
        }
    }

    /// At which version a box goes on with a stream.
    fn origin(&mut self, stream: usize, n: usize) -> Option<Arc<str>> {
        let remembered = self.members.iter().find_map(|member| member.memory.get(&stream));
        if let Some(version) = remembered {
            return Some(name(*version));
        }
        let stored = self.store.origins.get(&stream).map(|version| name(*version));
        self.sole(n).or(stored)
    }

    fn sole(&mut self, n: usize) -> Option<Arc<str>> {
        let present = self.present(n)?;
        let read = self.store.record.as_ref().map(|(record, _)| record);
        let known = self.members[n].known.as_ref().map(|known| &known.record);
        let proved = match self.fault {
            Some(Fault::RefusesUnknown) => None,
            Some(Fault::TrustsItsView) => {
                let lasting = self.members[n].history.lasting(SERVICE, self.now_ms);
                lasting.or_else(|| read?.sole(self.store.era))
            }
            Some(Fault::TrustsItsRecord) => known?.sole(self.members[n].era),
            Some(Fault::IgnoresEra) => {
                Record { is_partial: false, ..read?.clone() }.sole(read?.era)
            }
            _ => read?.sole(self.store.era),
        };
        proved.filter(|version| *version == present)
    }

    fn take_up(&mut self, n: usize) -> Result<(), TestCaseError> {
        for stream in 0..self.streams.len() {
            let Stream { version, began_ms, is_mixed } = self.streams[stream];
            if self.now_ms >= began_ms + STREAM_MS {
                continue;
            }
            let origin = self.origin(stream, n);
            if let Some(origin) = &origin {
                prop_assert_eq!(&**origin, &*name(version), "order");
            }
            let is_written = self.store.origins.contains_key(&stream);
            let was_ever_alone = self.ever.len() == 1 && self.store.era == 0;
            let serves = self.running.contains(&version) && self.store.entries.contains(&version);
            if is_written || (was_ever_alone && serves && self.present(n).is_some()) {
                prop_assert!(origin.is_some(), "loss");
            }
            // Once the store has taken what boxes had to write, it knows all that began while versions differed.
            let is_due = is_mixed && self.unwritten.is_empty() && self.store.era == 0;
            if is_due && serves {
                prop_assert!(origin.is_some(), "loss while versions differ");
            }
        }
        Ok(())
    }

    fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Start(version) => {
                self.running.insert(version);
                self.ever.insert(version);
                self.store.entries.insert(version);
            }
            Step::End(version) => {
                self.running.remove(&version);
                self.store.entries.remove(&version);
            }
            Step::Lapse => self.store.entries.clear(),
            Step::Register => self.store.entries = self.running.clone(),
            Step::Wait(time_ms) => self.wait(time_ms),
            Step::Sync(n) => self.sync(n),
            Step::Write(n, fate) => self.write(n, fate),
            Step::Land => {
                for (next, expect) in std::mem::take(&mut self.late) {
                    self.store.write(&next, expect);
                }
            }
            Step::Flush if self.has(Fault::StoresNothing) => self.unwritten.clear(),
            Step::Flush => self.store.origins.append(&mut self.unwritten),
            Step::Begin(n, version) => self.begin(n, version),
            Step::Kill(n) => self.members[n] = member(self.now_ms),
            Step::KillAll => (0..BOXES).for_each(|n| self.members[n] = member(self.now_ms)),
            Step::Copy => self.copy = Some(self.store.clone()),
            Step::Return => {
                if let Some(copy) = self.copy.clone() {
                    self.store = Store { era: self.store.era + 1, ..copy };
                }
            }
            Step::TakeUp(n) => return self.take_up(n),
        }
        Ok(())
    }
}

/// Plays random series of steps; returns what broke a rule.
fn broken(fault: Option<Fault>) -> Option<String> {
    let config = Config {
        cases: CASES,
        rng_seed: SEED,
        max_shrink_iters: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let all = (beginning(), proptest::collection::vec(steps(), 1..30));
    let played = runner.run(&all, |(beginning, steps)| {
        let mut world = World::new(fault);
        beginning.iter().chain(steps.iter().flatten()).try_for_each(|step| world.play(step))
    });
    match played {
        Ok(()) => None,
        Err(TestError::Fail(reason, steps)) => Some(format!("{reason} after {steps:?}")),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// Guards against streams that go on at another version, or not at all, whatever is lost or late.
#[test]
fn streams_go_on_at_their_own_version_or_not_at_all() {
    assert_eq!(broken(None), None);
}

/// Guards against a model in which no mistake would show.
#[test]
fn each_planted_fault_breaks_a_rule() {
    for fault in FAULTS {
        let found = broken(Some(fault));
        println!("{fault:?}: {found:?}");
        assert!(found.is_some(), "{fault:?} breaks no rule");
    }
}
