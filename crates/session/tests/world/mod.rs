//! Boxes with real sessions, endpoints that count the truth, and everything that goes wrong.

pub mod faulty;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use config::{Snapshot, Verdict, validate};
use faulty::{Condition, Faulty, Way};
use ledger::{
    Bill, Closing, Ended, Entry, Evidence, Incarnation, Journal, Ledger, Page, Part, Record,
    Transfer,
};
use objects::Store;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use resource::Kind;
use session::{
    Health, Options, Replicas, Sessions, Setup,
    recovery::{self, Finding, Sealed},
};
use standin::Memory;
use tokio::sync::watch;

pub const BUDGET: &str = "bornova";
const BOXES: usize = 3;
const PATIENCE: Duration = Duration::from_millis(300);

/// Rules that a broken variant of the box ignores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Whole,
    /// Dispatches whatever it holds, also once it was told that its journal is sealed, and
    /// without having recorded an intent.
    DispatchUnrecorded,
    /// Frees the offline part of whoever was sealed.
    FreeOffline,
    /// Takes "never saw it" for "did not run".
    BelieveNeverSeen,
}

#[derive(Debug, Clone)]
struct Run {
    key: Arc<str>,
    tokens: u64,
    ended: bool,
}

/// What endpoints counted.
#[derive(Default)]
pub struct Truth {
    runs: BTreeMap<String, Run>,
    refused: BTreeSet<Arc<str>>,
    paid_at_most: u64,
    /// Who remembers offline work, by dispatch: the box itself and its carriers.
    carriers: BTreeMap<String, Vec<Way>>,
}

impl Truth {
    /// Whether everyone who knew of an offline run has died before handing it in.
    fn is_forgotten(&self, id: &str) -> bool {
        let dead = |way: &Way| *way.condition.borrow() == Condition::Dead;
        self.carriers.get(id).is_some_and(|ways| ways.iter().all(dead))
    }
}

struct Node {
    carried: Arc<Replicas>,
    way: Way,
    health: Health,
    sessions: Arc<Sessions>,
    config: watch::Sender<Arc<Snapshot>>,
}

/// What one box is to the others.
type Peer = (Way, Arc<Replicas>, Arc<Sessions>);

/// Peers of one box: they take records while they run, whatever the platform does.
struct Peers {
    me: usize,
    all: Arc<Mutex<Vec<Peer>>>,
    truth: Arc<Mutex<Truth>>,
}

#[async_trait::async_trait]
impl session::Peers for Peers {
    async fn replicate(&self, by: &Incarnation, entry: &Entry) -> usize {
        let all = self.all.lock().clone();
        let mut taken = 0;
        for (index, (way, carried, _)) in all.into_iter().enumerate() {
            let runs = *way.condition.borrow() == Condition::Running;
            if index != self.me && runs && carried.insert(by.clone(), entry.clone()) {
                taken += 1;
                if let Entry::Record(record) = entry {
                    let id = format!("{by}-{}", record.n);
                    self.truth.lock().carriers.entry(id).or_default().push(way);
                }
            }
        }
        taken
    }

    async fn return_surplus(&self, budget: &Arc<str>, _tokens: u64) -> bool {
        let mut returned = false;
        for (_, _, sessions) in self.others() {
            returned |= sessions.current().funds.return_surplus(budget).await;
        }
        returned
    }

    async fn lend(&self, budget: &Arc<str>, tokens: u64, to: &Incarnation) -> Option<Transfer> {
        let mut others = self.others().into_iter();
        let transfer = others.find_map(|(_, _, peer)| peer.lend(budget, tokens, to))?;
        // Every fifth message is lost after its giver debited itself.
        (transfer.n % 5 != 4).then_some(transfer)
    }
}

impl Peers {
    fn others(&self) -> Vec<Peer> {
        let all = self.all.lock().clone();
        let runs = |peer: &Peer| *peer.0.condition.borrow() == Condition::Running;
        let others = all.into_iter().enumerate().filter(|(index, _)| *index != self.me);
        others.map(|(_, peer)| peer).filter(runs).collect()
    }
}

impl Node {
    fn as_peer(&self) -> Peer {
        (self.way.clone(), self.carried.clone(), self.sessions.clone())
    }
}

pub struct World {
    peers: Arc<Mutex<Vec<Peer>>>,
    pub memory: Memory,
    pub truth: Arc<Mutex<Truth>>,
    boxes: Vec<Node>,
    random: ChaCha8Rng,
    variant: Variant,
    lossy: f64,
    paid: u64,
    version: u64,
    keys: u64,
    starts: u64,
}

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Step {
    Request { at: usize, worst: u64, retry: bool },
    Wait(u64),
    Crash(usize),
    Freeze(usize),
    Wake(usize),
    Cut(usize),
    Mend(usize),
    Seal { victim: usize, by: usize },
    TopUp(u64),
    Reduce(u64),
    Keep(usize),
}

impl World {
    pub fn new(seed: u64, lossy: f64, variant: Variant) -> World {
        let mut world = World {
            peers: Arc::default(),
            memory: Memory::default(),
            truth: Arc::default(),
            boxes: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            variant,
            lossy,
            paid: 400,
            version: 1,
            keys: 0,
            starts: 0,
        };
        for index in 0..BOXES {
            let fresh = world.open(index);
            world.peers.lock().push(fresh.as_peer());
            world.boxes.push(fresh);
        }
        world.declare();
        world
    }

    fn open(&mut self, index: usize) -> Node {
        self.starts += 1;
        let seed = self.random.random();
        let way = Arc::new(Faulty::new(self.memory.clone(), self.lossy, seed));
        let log = timeline::Log::open("box");
        let health = Health::open(log.clone());
        let (config, receiver) = watch::channel(Arc::new(Snapshot::default()));
        let setup = Setup {
            box_name: format!("box-{index}").into(),
            store: way.clone(),
            health: health.clone(),
            config: receiver,
            options: Options { online_horizon: 5, offline_horizon: 60, boxes: BOXES as u64 },
            min_write_interval: Duration::ZERO,
            log,
            peers: Some(Arc::new(Peers {
                me: index,
                all: self.peers.clone(),
                truth: self.truth.clone(),
            })),
        };
        let seed = seed ^ self.starts;
        let sessions = Arc::new(Sessions::open(setup, seed));
        Node { carried: Arc::default(), way, health, sessions, config }
    }

    fn declare(&mut self) {
        let spec = format!(r#"{{"customer": "dis", "paid": {}, "offline_share": 300}}"#, self.paid);
        let Verdict::Accept(accepted) =
            validate(Kind::Budget, BUDGET, self.version, Some(&spec), None)
        else {
            panic!("the sample budget is valid");
        };
        let mut truth = self.truth.lock();
        truth.paid_at_most = truth.paid_at_most.max(self.paid);
        for each in &self.boxes {
            let mut snapshot = (**each.config.borrow()).clone();
            snapshot.apply(&accepted).unwrap();
            each.config.send_replace(Arc::new(snapshot));
        }
    }

    pub async fn step(&mut self, step: &Step) {
        match step {
            Step::Request { at, worst, retry } => self.request(*at, *worst, *retry),
            Step::Wait(ms) => tokio::time::sleep(Duration::from_millis(*ms)).await,
            Step::Crash(at) => {
                self.boxes[*at].way.condition.send_replace(Condition::Dead);
                let fresh = self.open(*at);
                self.peers.lock()[*at] = fresh.as_peer();
                self.boxes[*at] = fresh;
                self.declare();
            }
            Step::Freeze(at) => drop(self.boxes[*at].way.condition.send_replace(Condition::Frozen)),
            Step::Wake(at) => drop(self.boxes[*at].way.condition.send_replace(Condition::Running)),
            Step::Cut(at) => *self.boxes[*at].way.cut.lock() = true,
            Step::Mend(at) => {
                *self.boxes[*at].way.cut.lock() = false;
                self.boxes[*at].health.record_success();
            }
            Step::Seal { victim, by } => {
                let name = self.boxes[*victim].sessions.me();
                let way = self.boxes[*by].way.clone();
                tokio::spawn(wind_up(way, name, false, self.truth.clone(), self.variant));
            }
            Step::TopUp(tokens) => {
                self.paid += tokens;
                self.version += 1;
                self.declare();
            }
            Step::Reduce(tokens) => {
                self.paid = self.paid.saturating_sub(*tokens);
                self.version += 1;
                self.declare();
            }
            Step::Keep(at) => {
                let sessions = self.boxes[*at].sessions.clone();
                tokio::spawn(async move { sessions.maintain().await });
            }
        }
    }

    fn request(&mut self, at: usize, worst: u64, retry: bool) {
        if !retry || self.keys == 0 {
            self.keys += 1;
        }
        let key: Arc<str> = format!("k{}", self.keys).into();
        let each = &self.boxes[at];
        let (sessions, way) = (each.sessions.clone(), each.way.clone());
        let used = 1 + self.random.random_range(0..worst);
        let pause = Duration::from_millis(self.random.random_range(0..200));
        let (truth, variant) = (self.truth.clone(), self.variant);
        tokio::spawn(async move {
            let record = Record {
                n: 0,
                budget: BUDGET.into(),
                customer: "dis".into(),
                key: key.clone(),
                part: Part::Online,
                reserved: worst,
                endpoint: "e".into(),
                outcome: None,
            };
            if variant == Variant::DispatchUnrecorded {
                dispatch(&truth, &format!("{key}-unrecorded"), &key, used);
            }
            let hold = match sessions.hold(record, PATIENCE).await {
                Ok(hold) => hold,
                Err(_) => {
                    truth.lock().refused.insert(key);
                    return;
                }
            };
            // Anything may happen between the landed intent and the dispatch.
            tokio::time::sleep(pause).await;
            way.stand().await;
            if hold.is_sealed() {
                truth.lock().refused.insert(key);
                return;
            }
            let id = hold.attempt_id();
            if hold.is_offline() {
                truth.lock().carriers.entry(id.clone()).or_default().push(way.clone());
            }
            dispatch(&truth, &id, &key, used);
            tokio::time::sleep(pause).await;
            way.stand().await;
            if let Some(run) = truth.lock().runs.get_mut(&id) {
                run.ended = true;
            }
            hold.finish(used, Ended::Answered);
        });
    }

    /// Heals everything, winds up the dead, and waits until all is folded.
    pub async fn finish(&mut self) {
        for at in 0..BOXES {
            self.boxes[at].way.condition.send_replace(Condition::Running);
            *self.boxes[at].way.cut.lock() = false;
            self.boxes[at].health.record_success();
        }
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            for each in &self.boxes {
                each.health.record_success();
                each.sessions.maintain().await;
            }
            self.wind_up_dead().await;
        }
    }

    async fn wind_up_dead(&self) {
        let alive: Vec<Incarnation> = self
            .boxes
            .iter()
            .flat_map(|each| each.sessions.former().into_iter().chain([each.sessions.current()]))
            .map(|session| session.incarnation().clone())
            .collect();
        let me = Incarnation::from("sealer.1");
        for each in &self.boxes {
            for name in each.carried.incarnations().iter().filter(|name| !alive.contains(name)) {
                recovery::seal(&*each.way, name, &me).await;
                each.carried.hand_in(&*each.way, name, &me).await;
            }
        }
        for object in self.memory.list("journal", "").await.unwrap() {
            let name = Incarnation::from(&*object.name);
            if !alive.contains(&name) {
                let way = self.boxes[0].way.clone();
                wind_up(way, name, true, self.truth.clone(), self.variant).await;
            }
        }
    }

    async fn ledger(&self) -> Ledger {
        let found = self.memory.get("ledger", BUDGET).await.unwrap();
        found.map(|object| serde_json::from_str(&object.value).unwrap()).unwrap_or_default()
    }

    /// Everything that was written, for whoever looks into a failure.
    async fn books(&self) -> String {
        let mut text = String::new();
        for kind in ["journal", "ledger"] {
            for object in self.memory.list(kind, "").await.unwrap() {
                text.push_str(&format!("{} {}\n", object.name, object.value));
            }
        }
        text
    }

    async fn bills(&self) -> Vec<Bill> {
        let mut bills = Vec::new();
        for object in self.memory.list("bills", "").await.unwrap() {
            bills.extend(serde_json::from_str::<Page>(&object.value).unwrap().bills);
        }
        bills.extend(self.ledger().await.statement.recent);
        bills
    }

    /// What must always hold; the first thing that does not.
    pub async fn fault(&self) -> Option<String> {
        let (ledger, bills, books) = (self.ledger().await, self.bills().await, self.books().await);
        let truth = self.truth.lock();
        let served: u64 = truth.runs.values().map(|run| run.tokens).sum();
        if served > truth.paid_at_most {
            return Some(format!("served {served} of {} paid", truth.paid_at_most));
        }
        if !ledger.is_sound() {
            return Some(format!("the ledger is not sound: {ledger:?}"));
        }
        let total: u64 = bills.iter().map(|bill| bill.tokens).sum();
        if total != ledger.statement.tokens || bills.len() as u64 != ledger.statement.count {
            return Some(format!("bills of {total} against {:?}", ledger.statement));
        }
        let known = truth.runs.iter().filter(|(id, _)| !truth.is_forgotten(id));
        let ran: BTreeSet<&Arc<str>> = known.map(|(_, run)| &run.key).collect();
        let all: BTreeSet<&Arc<str>> = truth.runs.values().map(|run| &run.key).collect();
        for key in &all {
            let count = bills.iter().filter(|bill| bill.key == **key).count();
            if count > 1 || (count == 0 && ran.contains(key)) {
                let runs: Vec<_> = truth.runs.iter().filter(|(_, run)| run.key == **key).collect();
                return Some(format!("{key} ran and is on {count} bills: {runs:?}\n{books}"));
            }
        }
        let forgotten = truth.runs.iter().filter(|(id, _)| truth.is_forgotten(id));
        let forgotten: u64 = forgotten.map(|(_, run)| run.tokens).sum();
        if served > ledger.spent + forgotten {
            return Some(format!("served {served}, but spent only {}", ledger.spent));
        }
        None
    }
}

fn dispatch(truth: &Mutex<Truth>, id: &str, key: &Arc<str>, tokens: u64) {
    let run = Run { key: key.clone(), tokens, ended: false };
    truth.lock().runs.insert(id.to_owned(), run);
}

async fn wind_up(
    way: Way,
    name: Incarnation,
    ruled: bool,
    truth: Arc<Mutex<Truth>>,
    variant: Variant,
) {
    let store: &dyn Store = &*way;
    let journal = match recovery::seal(store, &name, &Incarnation::from("sealer.1")).await {
        Sealed::Now(journal) | Sealed::Before(journal) => journal,
        Sealed::Missing | Sealed::Unknown => return,
    };
    let findings = findings(&journal, ruled, &truth, variant);
    let Some((journal, _)) = recovery::add_findings(store, journal, &findings).await else {
        return;
    };
    let closing = match variant {
        Variant::FreeOffline => Closing::Destroyed,
        _ => Closing::Sealed,
    };
    for budget in recovery::budgets(&journal) {
        recovery::close_grant(store, &budget, &journal, closing).await;
    }
}

fn findings(
    journal: &Journal,
    ruled: bool,
    truth: &Mutex<Truth>,
    variant: Variant,
) -> Vec<Finding> {
    let truth = truth.lock();
    let mut found = Vec::new();
    for record in journal.open_records() {
        let id = format!("{}-{}", journal.incarnation, record.n);
        let run = truth.runs.get(&id);
        let (charged, ended, evidence) = match run {
            Some(run) if run.ended => (run.tokens, Ended::Broken, Evidence::Reported),
            None if variant == Variant::BelieveNeverSeen => (0, Ended::NotRun, Evidence::Reported),
            _ if ruled => (record.reserved, Ended::Broken, Evidence::Ruled),
            _ => continue,
        };
        found.push(Finding { n: record.n, charged, ended, evidence });
    }
    found
}
