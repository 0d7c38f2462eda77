//! Simulated boxes with real sessions, and the faults that they are subject to. What endpoints ran is
//! counted apart, to be compared with ledgers and bills.

pub mod faulty;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use config::{Snapshot, Verdict, validate};
use faulty::{Condition, FaultyStore, StoreHandle};
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
const HOLD_TIMEOUT: Duration = Duration::from_millis(300);

/// Faulty variants of the box, which the tests must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Correct,
    /// Dispatches each request without a recorded intent.
    DispatchUnrecorded,
    /// Frees the offline part of an incarnation whose journal is sealed.
    FreeOffline,
    /// Assumes that a request did not run if endpoints have not seen it.
    AssumeNotRun,
}

#[derive(Debug, Clone)]
struct Run {
    key: Arc<str>,
    tokens: u64,
    ended: bool,
}

/// What endpoints ran, independent of ledgers and journals.
#[derive(Default)]
pub struct Observed {
    runs: BTreeMap<String, Run>,
    refused: BTreeSet<Arc<str>>,
    max_paid: u64,
    /// Boxes that know of an offline request, by attempt: its own box and those with a replica.
    holders: BTreeMap<String, Vec<StoreHandle>>,
}

impl Observed {
    /// Whether all boxes that knew of an offline request have died.
    fn is_forgotten(&self, id: &str) -> bool {
        let dead = |store: &StoreHandle| *store.state.borrow() == Condition::Dead;
        self.holders.get(id).is_some_and(|stores| stores.iter().all(dead))
    }
}

struct Node {
    replicas: Arc<Replicas>,
    store: StoreHandle,
    health: Health,
    sessions: Arc<Sessions>,
    config: watch::Sender<Arc<Snapshot>>,
}

/// One box, as the others use it.
type Peer = (StoreHandle, Arc<Replicas>, Arc<Sessions>);

/// Peers of one box: they accept entries while they run, whether or not the platform is reachable.
struct Peers {
    own_index: usize,
    all: Arc<Mutex<Vec<Peer>>>,
    observed: Arc<Mutex<Observed>>,
}

#[async_trait::async_trait]
impl session::Peers for Peers {
    async fn replicate(&self, owner: &Incarnation, entry: &Entry) -> usize {
        let all = self.all.lock().clone();
        let mut accepted = 0;
        for (index, (store, replicas, _)) in all.into_iter().enumerate() {
            let is_running = *store.state.borrow() == Condition::Running;
            if index != self.own_index
                && is_running
                && replicas.insert(owner.clone(), entry.clone())
            {
                accepted += 1;
                if let Entry::Record(record) = entry {
                    let id = format!("{owner}-{}", record.n);
                    self.observed.lock().holders.entry(id).or_default().push(store);
                }
            }
        }
        accepted
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
        // Every fifth message is lost after the lender has debited its account.
        (transfer.n % 5 != 4).then_some(transfer)
    }
}

impl Peers {
    fn others(&self) -> Vec<Peer> {
        let all = self.all.lock().clone();
        let is_running = |peer: &Peer| *peer.0.state.borrow() == Condition::Running;
        let others = all.into_iter().enumerate().filter(|(index, _)| *index != self.own_index);
        others.map(|(_, peer)| peer).filter(is_running).collect()
    }
}

impl Node {
    fn as_peer(&self) -> Peer {
        (self.store.clone(), self.replicas.clone(), self.sessions.clone())
    }
}

pub struct Simulation {
    peers: Arc<Mutex<Vec<Peer>>>,
    pub memory: Memory,
    pub observed: Arc<Mutex<Observed>>,
    boxes: Vec<Node>,
    random: ChaCha8Rng,
    variant: Variant,
    loss_rate: f64,
    paid: u64,
    version: u64,
    keys: u64,
    starts: u64,
}

/// One event of an interleaving.
#[derive(Debug, Clone)]
pub enum Step {
    Request { at: usize, max_tokens: u64, retry: bool },
    Wait(u64),
    Crash(usize),
    Freeze(usize),
    Resume(usize),
    Disconnect(usize),
    Reconnect(usize),
    Seal { victim: usize, by: usize },
    TopUp(u64),
    Reduce(u64),
    Maintain(usize),
}

impl Simulation {
    pub fn new(seed: u64, loss_rate: f64, variant: Variant) -> Simulation {
        let mut simulation = Simulation {
            peers: Arc::default(),
            memory: Memory::default(),
            observed: Arc::default(),
            boxes: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            variant,
            loss_rate,
            paid: 400,
            version: 1,
            keys: 0,
            starts: 0,
        };
        for index in 0..BOXES {
            let node = simulation.open(index);
            simulation.peers.lock().push(node.as_peer());
            simulation.boxes.push(node);
        }
        simulation.publish_budget();
        simulation
    }

    fn open(&mut self, index: usize) -> Node {
        self.starts += 1;
        let seed = self.random.random();
        let store = Arc::new(FaultyStore::new(self.memory.clone(), self.loss_rate, seed));
        let log = timeline::Log::open("box");
        let health = Health::open(log.clone());
        let (config, receiver) = watch::channel(Arc::new(Snapshot::default()));
        let setup = Setup {
            box_name: format!("box-{index}").into(),
            store: store.clone(),
            health: health.clone(),
            config: receiver,
            options: Options { online_horizon: 5, offline_horizon: 60, boxes: BOXES as u64 },
            min_write_interval: Duration::ZERO,
            log,
            peers: Some(Arc::new(Peers {
                own_index: index,
                all: self.peers.clone(),
                observed: self.observed.clone(),
            })),
        };
        let seed = seed ^ self.starts;
        let sessions = Arc::new(Sessions::open(setup, seed));
        Node { replicas: Arc::default(), store, health, sessions, config }
    }

    fn publish_budget(&mut self) {
        let spec = format!(r#"{{"customer": "dis", "paid": {}, "offline_share": 300}}"#, self.paid);
        let Verdict::Accept(accepted) =
            validate(Kind::Budget, BUDGET, self.version, Some(&spec), None)
        else {
            panic!("the sample budget is valid");
        };
        let mut observed = self.observed.lock();
        observed.max_paid = observed.max_paid.max(self.paid);
        for node in &self.boxes {
            let mut snapshot = (**node.config.borrow()).clone();
            snapshot.apply(&accepted).unwrap();
            node.config.send_replace(Arc::new(snapshot));
        }
    }

    pub async fn step(&mut self, step: &Step) {
        match step {
            Step::Request { at, max_tokens, retry } => self.request(*at, *max_tokens, *retry),
            Step::Wait(ms) => tokio::time::sleep(Duration::from_millis(*ms)).await,
            Step::Crash(at) => {
                self.boxes[*at].store.state.send_replace(Condition::Dead);
                let node = self.open(*at);
                self.peers.lock()[*at] = node.as_peer();
                self.boxes[*at] = node;
                self.publish_budget();
            }
            Step::Freeze(at) => drop(self.boxes[*at].store.state.send_replace(Condition::Frozen)),
            Step::Resume(at) => drop(self.boxes[*at].store.state.send_replace(Condition::Running)),
            Step::Disconnect(at) => *self.boxes[*at].store.is_disconnected.lock() = true,
            Step::Reconnect(at) => {
                *self.boxes[*at].store.is_disconnected.lock() = false;
                self.boxes[*at].health.record_success();
            }
            Step::Seal { victim, by } => {
                let name = self.boxes[*victim].sessions.me();
                let store = self.boxes[*by].store.clone();
                tokio::spawn(recover(store, name, false, self.observed.clone(), self.variant));
            }
            Step::TopUp(tokens) => {
                self.paid += tokens;
                self.version += 1;
                self.publish_budget();
            }
            Step::Reduce(tokens) => {
                self.paid = self.paid.saturating_sub(*tokens);
                self.version += 1;
                self.publish_budget();
            }
            Step::Maintain(at) => {
                let sessions = self.boxes[*at].sessions.clone();
                tokio::spawn(async move { sessions.maintain().await });
            }
        }
    }

    fn request(&mut self, at: usize, max_tokens: u64, retry: bool) {
        if !retry || self.keys == 0 {
            self.keys += 1;
        }
        let key: Arc<str> = format!("k{}", self.keys).into();
        let node = &self.boxes[at];
        let (sessions, store) = (node.sessions.clone(), node.store.clone());
        let tokens = 1 + self.random.random_range(0..max_tokens);
        let pause = Duration::from_millis(self.random.random_range(0..200));
        let (observed, variant) = (self.observed.clone(), self.variant);
        tokio::spawn(async move {
            let record = Record {
                n: 0,
                budget: BUDGET.into(),
                customer: "dis".into(),
                key: key.clone(),
                part: Part::Online,
                reserved: max_tokens,
                endpoint: "e".into(),
                outcome: None,
            };
            if variant == Variant::DispatchUnrecorded {
                dispatch(&observed, &format!("{key}-unrecorded"), &key, tokens);
            }
            let hold = match sessions.hold(record, HOLD_TIMEOUT).await {
                Ok(hold) => hold,
                Err(_) => {
                    observed.lock().refused.insert(key);
                    return;
                }
            };
            // Leaves time for faults between the recorded intent and the dispatch.
            tokio::time::sleep(pause).await;
            store.wait_running().await;
            if hold.is_sealed() {
                observed.lock().refused.insert(key);
                return;
            }
            let id = hold.attempt_id();
            if hold.is_offline() {
                observed.lock().holders.entry(id.clone()).or_default().push(store.clone());
            }
            dispatch(&observed, &id, &key, tokens);
            tokio::time::sleep(pause).await;
            store.wait_running().await;
            if let Some(run) = observed.lock().runs.get_mut(&id) {
                run.ended = true;
            }
            hold.finish(tokens, Ended::Answered);
        });
    }

    /// Ends all faults, recovers dead incarnations, and waits until all outcomes are folded.
    pub async fn finish(&mut self) {
        for at in 0..BOXES {
            self.boxes[at].store.state.send_replace(Condition::Running);
            *self.boxes[at].store.is_disconnected.lock() = false;
            self.boxes[at].health.record_success();
        }
        for _ in 0..40 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            for node in &self.boxes {
                node.health.record_success();
                node.sessions.maintain().await;
            }
            self.recover_dead().await;
        }
    }

    async fn recover_dead(&self) {
        let alive: Vec<Incarnation> = self
            .boxes
            .iter()
            .flat_map(|node| node.sessions.former().into_iter().chain([node.sessions.current()]))
            .map(|session| session.incarnation().clone())
            .collect();
        let me = Incarnation::from("sealer.1");
        for node in &self.boxes {
            for name in node.replicas.incarnations().iter().filter(|name| !alive.contains(name)) {
                recovery::seal(&*node.store, name, &me).await;
                node.replicas.hand_in(&*node.store, name, &me).await;
            }
        }
        for object in self.memory.list("journal", "").await.unwrap() {
            let name = Incarnation::from(&*object.name);
            if !alive.contains(&name) {
                let store = self.boxes[0].store.clone();
                recover(store, name, true, self.observed.clone(), self.variant).await;
            }
        }
    }

    async fn ledger(&self) -> Ledger {
        let found = self.memory.get("ledger", BUDGET).await.unwrap();
        found.map(|object| serde_json::from_str(&object.value).unwrap()).unwrap_or_default()
    }

    /// All journals and ledgers, for the message of a failure.
    async fn dump(&self) -> String {
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

    /// Checks all invariants and returns the first violation.
    pub async fn violation(&self) -> Option<String> {
        let (ledger, bills, dump) = (self.ledger().await, self.bills().await, self.dump().await);
        let observed = self.observed.lock();
        let served: u64 = observed.runs.values().map(|run| run.tokens).sum();
        if served > observed.max_paid {
            return Some(format!(
                "served {served} tokens, but at most {} were paid",
                observed.max_paid
            ));
        }
        if !ledger.is_sound() {
            return Some(format!("the ledger is not sound: {ledger:?}"));
        }
        let total: u64 = bills.iter().map(|bill| bill.tokens).sum();
        if total != ledger.statement.tokens || bills.len() as u64 != ledger.statement.count {
            return Some(format!(
                "bills sum to {total} tokens, but the statement is {:?}",
                ledger.statement
            ));
        }
        let known = observed.runs.iter().filter(|(id, _)| !observed.is_forgotten(id));
        let ran: BTreeSet<&Arc<str>> = known.map(|(_, run)| &run.key).collect();
        let all: BTreeSet<&Arc<str>> = observed.runs.values().map(|run| &run.key).collect();
        for key in &all {
            let count = bills.iter().filter(|bill| bill.key == **key).count();
            if count > 1 || (count == 0 && ran.contains(key)) {
                let runs: Vec<_> =
                    observed.runs.iter().filter(|(_, run)| run.key == **key).collect();
                return Some(format!("{key} ran and is on {count} bills: {runs:?}\n{dump}"));
            }
        }
        let forgotten = observed.runs.iter().filter(|(id, _)| observed.is_forgotten(id));
        let forgotten: u64 = forgotten.map(|(_, run)| run.tokens).sum();
        if served > ledger.spent + forgotten {
            return Some(format!(
                "served {served} tokens, but the ledger shows only {} spent",
                ledger.spent
            ));
        }
        None
    }
}

fn dispatch(observed: &Mutex<Observed>, id: &str, key: &Arc<str>, tokens: u64) {
    let run = Run { key: key.clone(), tokens, ended: false };
    observed.lock().runs.insert(id.to_owned(), run);
}

async fn recover(
    store: StoreHandle,
    name: Incarnation,
    ruled: bool,
    observed: Arc<Mutex<Observed>>,
    variant: Variant,
) {
    let store: &dyn Store = &*store;
    let journal = match recovery::seal(store, &name, &Incarnation::from("sealer.1")).await {
        Sealed::Now(journal) | Sealed::Before(journal) => journal,
        Sealed::Missing | Sealed::Unknown => return,
    };
    let findings = findings(&journal, ruled, &observed, variant);
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
    observed: &Mutex<Observed>,
    variant: Variant,
) -> Vec<Finding> {
    let observed = observed.lock();
    let mut found = Vec::new();
    for record in journal.open_records() {
        let id = format!("{}-{}", journal.incarnation, record.n);
        let run = observed.runs.get(&id);
        let (charged, ended, evidence) = match run {
            Some(run) if run.ended => (run.tokens, Ended::Broken, Evidence::Reported),
            None if variant == Variant::AssumeNotRun => (0, Ended::NotRun, Evidence::Reported),
            _ if ruled => (record.reserved, Ended::Broken, Evidence::Ruled),
            _ => continue,
        };
        found.push(Finding { n: record.n, charged, ended, evidence });
    }
    found
}
