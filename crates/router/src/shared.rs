//! What all parts of one router share.

use std::{sync::Arc, time::Duration};

use config::Snapshot;
use ledger::Incarnation;
use member::Members;
use parking_lot::Mutex;
use platform::{Calls, Store};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session::{Health, Options, Sessions, Setup};
use timeline::Log;
use tokio::{sync::watch, time::Instant};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{endpoints::Endpoints, metrics::Metrics, requests::Requests, settings::Settings};

/// Shared state of one router.
pub struct Shared {
    pub settings: Settings,
    pub store: Arc<dyn Store>,
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
    pub fn open(settings: Settings, store: Arc<dyn Store>, calls: Calls, seed: u64) -> Arc<Shared> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let log = Log::open(&*settings.box_name);
        let health = Health::open(log.clone());
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
            spacing: Duration::from_millis(settings.money.spacing_ms),
            log: log.clone(),
            peers: None,
        };
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
            sessions: Sessions::open(setup, random.random()),
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

    /// A random part of `most`, against everyone acting at once.
    pub fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(self.random.lock().random())
    }

    /// A fresh random number.
    pub fn fresh(&self) -> u64 {
        self.random.lock().random()
    }
}
