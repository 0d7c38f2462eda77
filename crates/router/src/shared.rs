//! What all parts of one router share.

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
    endpoints::Endpoints, lanes::Lanes, metrics::Metrics, peers::Peers, places::Places,
    relayed::Relayed, requests::Requests, settings::Settings, texts::Texts, tickets::Tickets,
};

/// Where questions to peers leave from, if the box takes none itself.
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Shared state of one router.
pub struct Shared {
    pub settings: Settings,
    /// The platform, directly or through a peer.
    pub store: Arc<dyn Store>,
    /// The platform, directly only.
    pub direct: Arc<dyn Store>,
    pub relayed: Arc<Relayed>,
    pub peers: Peers,
    pub replicas: Replicas,
    pub places: Places,
    pub tickets: Tickets,
    pub lanes: Lanes,
    pub advertised: Mutex<Arc<str>>,
    pub accepted: Mutex<Texts>,
    pub calls: Calls,
    pub health: Health,
    pub config: watch::Sender<Arc<Snapshot>>,
    pub watched: watch::Sender<u64>,
    pub endpoints: Endpoints,
    pub requests: Arc<Requests>,
    pub sessions: Sessions,
    pub members: Mutex<Members>,
    pub log: Log,
    pub metrics: Metrics,
    pub http: reqwest::Client,
    pub stopping: watch::Sender<bool>,
    pub ended: CancellationToken,
    pub tasks: TaskTracker,
    random: Mutex<ChaCha8Rng>,
    started: Instant,
}

impl Shared {
    /// Opens everything; nothing runs yet.
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
        let relayed = Arc::new(Relayed::new(direct.clone(), peers.clone()));
        let store: Arc<dyn Store> = relayed.clone();
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
        peers.rename(sessions.me());
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
            lanes: Lanes::default(),
            tickets: Tickets::new(random.random()),
            advertised: Mutex::new("".into()),
            accepted: Mutex::default(),
            direct,
            relayed,
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

    /// Boxes that live, as this one sees it.
    pub fn boxes(&self) -> u64 {
        self.members.lock().boxes(self.now(), self.settings.money.seal_after_ms)
    }

    /// This box's position among the live ones for `key`.
    pub fn rank(&self, key: &str) -> usize {
        let me = self.me();
        self.members.lock().rank(key, &me, self.now(), self.settings.money.seal_after_ms)
    }

    /// The peer that is home to a request's key; `None` if it is this box.
    fn key_home(&self, customer: &str, key: &str) -> Option<Incarnation> {
        let me = self.me();
        let id = format!("{customer}/{key}");
        let weight = |name: &Incarnation| member::weight(&id, name.box_name());
        let home = self.peers.in_reach().into_iter().max_by_key(|name| weight(name))?;
        (weight(&home) > weight(&me)).then_some(home)
    }

    /// Where a request with a key is or was run, as its home knows.
    pub async fn find_place(&self, customer: &Arc<str>, key: &Arc<str>) -> Location {
        let Some(home) = self.key_home(customer, key) else {
            return self.places.find(customer, key, &self.me(), self.now());
        };
        let question = Frame::Locate { customer: customer.clone(), key: key.clone() };
        match self.peers.ask_one(&home, question).await {
            Some(Frame::Location(there)) => there,
            // A home out of reach knows nothing: the request is run here.
            _ => Location::Nowhere,
        }
    }

    /// Tells the home of a request's key where it is run.
    pub fn note_place(self: &Arc<Self>, customer: &Arc<str>, key: &Arc<str>, place: Place) {
        match self.key_home(customer, key) {
            None => self.places.note(customer.clone(), key.clone(), place),
            Some(home) => {
                let frame = Frame::Note { customer: customer.clone(), key: key.clone(), place };
                let peers = self.peers.clone();
                self.tasks.spawn(async move { peers.ask_one(&home, frame).await });
            }
        }
    }

    /// A random part of `most`, against everyone acting at once.
    pub fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(self.random.lock().random())
    }

    /// A fresh random number.
    pub fn fresh(&self) -> u64 {
        self.random.lock().random()
    }
}
