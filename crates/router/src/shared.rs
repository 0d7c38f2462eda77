//! State shared by all tasks of one router.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

use config::Snapshot;
use ledger::Incarnation;
use member::Members;
use objects::{Calls, Store};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{Health, Options, Replicas, Sessions, Setup};
use timeline::Log;
use tokio::{sync::watch, time::Instant};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use wire::{Frame, Location, Place};

use crate::{
    accepted::AcceptedObjects, endpoints::Endpoints, fallback::Fallback, metrics::Metrics,
    peers::Peers, places::Places, queues::Queues, requests::Requests, settings::Settings,
    tickets::Tickets,
};

/// Source address of requests to peers, if the box itself accepts none.
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Shared state of one router.
pub struct Shared {
    pub settings: Settings,
    /// The platform, directly or through a peer.
    pub store: Arc<dyn Store>,
    /// The platform, over the direct connection only.
    pub direct: Arc<dyn Store>,
    pub fallback: Arc<Fallback>,
    pub peers: Peers,
    pub replicas: Replicas,
    pub places: Places,
    pub tickets: Tickets,
    pub queues: Queues,
    /// Address announced to other boxes.
    pub advertised: Mutex<Arc<str>>,
    /// Accepted objects, to serve peers.
    pub accepted: Mutex<AcceptedObjects>,
    pub calls: Calls,
    pub health: Health,
    pub config: watch::Sender<Arc<Snapshot>>,
    /// Platform version up to which configuration is applied, 0 before the first.
    pub watched: watch::Sender<u64>,
    pub endpoints: Endpoints,
    pub requests: Arc<Requests>,
    pub sessions: Sessions,
    pub members: Mutex<Members>,
    pub log: Log,
    pub metrics: Metrics,
    pub http: reqwest::Client,
    /// Whether a graceful shutdown has started.
    pub stopping: watch::Sender<bool>,
    /// Cancelled when the router has stopped.
    pub ended: CancellationToken,
    pub tasks: TaskTracker,
    random: Mutex<ChaCha8Rng>,
    started: Instant,
}

impl Shared {
    /// Creates the state; starts no tasks.
    pub fn open(
        settings: Settings,
        direct: Arc<dyn Store>,
        calls: Calls,
        seed: u64,
    ) -> Arc<Shared> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let log = Log::open(&*settings.box_name);
        let health = Health::open(log.clone());
        let source = settings.listen.peers.map_or(LOOPBACK, |address| address.ip());
        let peers = Peers::new(source, settings.zone.clone(), log.clone(), random.random());
        let fallback = Arc::new(Fallback::new(direct.clone(), peers.clone()));
        let store: Arc<dyn Store> = fallback.clone();
        let (config, _) = watch::channel(Arc::new(Snapshot::default()));
        let setup = Setup {
            box_name: settings.box_name.clone(),
            store: store.clone(),
            health: health.clone(),
            config: config.subscribe(),
            options: Options {
                online_horizon: settings.money.online_horizon_s,
                offline_horizon: settings.money.offline_horizon_s,
                boxes: 1,
            },
            min_write_interval: Duration::from_millis(settings.money.spacing_ms),
            log: log.clone(),
            peers: Some(Arc::new(peers.clone())),
        };
        let sessions = Sessions::open(setup, random.random());
        peers.set_incarnation(sessions.me());
        let limits = &settings.limits;
        let requests = Requests::new(limits.replay_bytes, Duration::from_millis(limits.replay_ms));
        let http = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(limits.connect_ms))
            .tcp_nodelay(true)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("a client without TLS settings always builds");
        Arc::new(Shared {
            endpoints: Endpoints::new(settings.zone.clone(), random.random()),
            requests: Arc::new(requests),
            members: Mutex::default(),
            metrics: Metrics::open(),
            stopping: watch::channel(false).0,
            watched: watch::channel(0).0,
            ended: CancellationToken::new(),
            tasks: TaskTracker::new(),
            sessions,
            replicas: Replicas::default(),
            places: Places::default(),
            queues: Queues::default(),
            tickets: Tickets::new(random.random()),
            advertised: Mutex::new("".into()),
            accepted: Mutex::default(),
            direct,
            fallback,
            peers,
            random: Mutex::new(random),
            started: Instant::now(),
            settings,
            store,
            calls,
            health,
            config,
            log,
            http,
        })
    }

    /// Milliseconds since the router started.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The current incarnation.
    pub fn me(&self) -> Incarnation {
        self.sessions.me()
    }

    /// Number of live boxes, as this one sees it.
    pub fn boxes(&self) -> u64 {
        self.members.lock().boxes(self.now(), self.settings.money.seal_after_ms)
    }

    /// This box's rank for `key` among the live ones; 0 owns it.
    pub fn rank(&self, key: &str) -> usize {
        let me = self.me();
        self.members.lock().rank(key, &me, self.now(), self.settings.money.seal_after_ms)
    }

    /// The peer that owns a request's key, by rendezvous hashing; `None` if this box does.
    fn key_owner(&self, customer: &str, key: &str) -> Option<Incarnation> {
        let me = self.me();
        let id = format!("{customer}/{key}");
        let weight = |name: &Incarnation| member::weight(&id, name.box_name());
        let owner = self.peers.reachable_names().into_iter().max_by_key(|name| weight(name))?;
        (weight(&owner) > weight(&me)).then_some(owner)
    }

    /// Where a request with a key runs or ran, according to the key's owner.
    pub async fn find_place(&self, customer: &Arc<str>, key: &Arc<str>) -> Location {
        let Some(owner) = self.key_owner(customer, key) else {
            return self.places.find(customer, key, &self.me(), self.now());
        };
        let request = Frame::Locate { customer: customer.clone(), key: key.clone() };
        match self.peers.ask_one(&owner, request).await {
            Some(Frame::Location(location)) => location,
            // The owner is unreachable: run the request here.
            _ => Location::Nowhere,
        }
    }

    /// Reports to the owner of a request's key where the request runs.
    pub fn report_place(self: &Arc<Self>, customer: &Arc<str>, key: &Arc<str>, place: Place) {
        match self.key_owner(customer, key) {
            None => self.places.record(customer.clone(), key.clone(), place),
            Some(owner) => {
                let frame = Frame::Note { customer: customer.clone(), key: key.clone(), place };
                let peers = self.peers.clone();
                self.tasks.spawn(async move { peers.ask_one(&owner, frame).await });
            }
        }
    }

    /// A random duration up to `max`, so that boxes do not act at the same time.
    pub fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(self.random.lock().random())
    }

    /// A random number.
    pub fn random_u64(&self) -> u64 {
        self.random.lock().random()
    }
}
