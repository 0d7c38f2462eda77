//! Starting and stopping a box on the users' platform.

mod sockets;

pub use sockets::Error;
use sockets::{Sockets, bind_lender, few_bounds};

use std::{net::SocketAddr, sync::Arc, time::Duration};

use forward::Connections;
use ledger::Incarnation;
use objects::Calls;
use parking_lot::Mutex;
use platform::store::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::{Semaphore, watch},
    task::JoinHandle,
    time::Instant,
};
use tokio_util::task::TaskTracker;

use crate::{
    clock::{Clock, Watchdog},
    fleet::{entry::Entry, keepers::Profile, peers::Peers},
    inbound::{admin, peer_service::PeerService, serve},
    metrics::Metrics,
    outage::Recovery,
    proxy::{
        announcer::Announcer,
        context::Context,
        crashes::{Crashes, connect_prober},
        endpoints::Endpoints,
        link::Link,
        permits::{self, Permits},
    },
    settings::Settings,
    sync::{
        discovery::Discovery,
        reporter::Reporter,
        signals,
        subscriber::Subscriber,
        view::{Consumers, View},
        watcher,
    },
    tokens::{
        acquirer::Acquirer,
        bills::Bills,
        borrower::Borrower,
        funds::{Balance, Funds},
        settle::{Settler, Setup},
        witness::{Promiser, Selector},
    },
};

/// Connections of the balancer and of scrapers at once.
const FEW: usize = 64;
/// Time for the last settlement of a planned stop, beyond the time for requests.
const LEAVE: Duration = Duration::from_millis(600);

/// A running box.
pub struct Gateway {
    context: Arc<Context>,
    callers: SocketAddr,
    ready: SocketAddr,
    operators: SocketAddr,
    incarnation: Incarnation,
    calls: Calls,
    stopping: watch::Sender<bool>,
    closing: watch::Sender<bool>,
    /// Connections of callers.
    tasks: TaskTracker,
    /// When the last settlement is given up, once this box leaves.
    leaving: watch::Sender<Option<Instant>>,
    settler: Option<JoinHandle<()>>,
    /// Answers other boxes; it ends when dropped.
    lender: Option<wire::Server>,
    /// Accepts callers' connections.
    accepting: JoinHandle<()>,
    loops: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a box. `seed` feeds its random choices, its incarnation among them: it must be
    /// fresh.
    pub async fn spawn(settings: Settings, seed: u64) -> Result<Gateway, Error> {
        Gateway::spawn_with(settings, seed, Clock::system()).await
    }

    /// Starts a box by a clock that says for how long it was suspended.
    pub async fn spawn_with(settings: Settings, seed: u64, clock: Clock) -> Result<Gateway, Error> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation::new(&settings.box_name, random.random());
        let store = Client::open(settings.store());
        let calls = store.calls();
        let metrics = Metrics::open();
        let recovery = Recovery::open();
        let (in_force, table) = watch::channel(None);
        let (stopping, stops) = watch::channel(false);
        let (closing, closes) = watch::channel(false);
        let connections = Connections::new(settings.connections());
        let (to_store, to_endpoints) = (store.clone(), connections.clone());
        let watchdog = Watchdog::open(clock.clone(), move || {
            to_store.reset_connections();
            to_endpoints.close_idle();
        });
        let (zone, seed) = (settings.zone.clone(), random.random());
        let endpoints = Arc::new(Endpoints::new(zone, settings.cold, &clock, seed));
        let prove = connect_prober(settings.connections().connect_timeout);
        let (crashes, reports) =
            Crashes::open(incarnation.clone(), settings.quarantine(), prove, &clock);
        let funds = Funds::open();
        let bills = Bills::open(incarnation.clone());
        let profile = Profile {
            name: incarnation.clone(),
            zone: settings.zone.clone(),
            strength: settings.machine.strength(),
        };
        let peers = Peers::open(profile, settings.listen.peers, random.random());
        let (in_force_settings, read_settings) = watch::channel(Arc::new(settings.clone()));
        let borrower = Borrower::new(funds.clone(), peers.clone());
        let acquirer =
            Acquirer::new(funds.clone(), peers.clone(), borrower.clone(), read_settings.clone());
        let view = View::open(Consumers {
            in_force,
            funds: funds.clone(),
            endpoints: endpoints.clone(),
            connections: connections.clone(),
            peers: peers.clone(),
            crashes: crashes.clone(),
            recovery: recovery.clone(),
            watchdog: watchdog.clone(),
            started: clock.now(),
        });
        let (announcer, told) = Announcer::open();
        let permits = Permits::open(permits::Setup {
            endpoints: endpoints.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            stopping: stops.clone(),
            started: clock.now(),
            announcer: announcer.clone(),
        });
        let peer_service = PeerService {
            me: incarnation.clone(),
            funds: funds.clone(),
            peers: peers.clone(),
            borrower,
            endpoints: endpoints.clone(),
            bills: bills.clone(),
            view: view.clone(),
            permits: permits.clone(),
            stopping: stops.clone(),
        };
        let lender = bind_lender(settings.listen.peers, peer_service, &peers).await?;
        let context = Arc::new(Context {
            table,
            endpoints: endpoints.clone(),
            crashes,
            permits,
            announcer,
            connections: connections.clone(),
            funds: funds.clone(),
            bills: bills.clone(),
            peers: peers.clone(),
            acquirer: acquirer.clone(),
            link: Arc::new(Link::new(settings.machine.link_mbps)),
            retries: Mutex::default(),
            metrics: metrics.clone(),
            bodies: Arc::new(Semaphore::new(settings.limits.bodies)),
            stopping: stops,
            started: clock.now(),
            clock,
            watchdog: watchdog.clone(),
            dropped_lines: Mutex::default(),
            settings: in_force_settings,
        });
        let sockets = Sockets::bind(&settings.listen)?;
        let [callers, ready, operators] = sockets.addresses();
        let tasks = TaskTracker::new();
        let (leaving, leaves) = watch::channel(None);
        let discovery = peers.address().map(|peer| {
            let me = Entry {
                incarnation: incarnation.clone(),
                zone: settings.zone.clone(),
                peer,
                strength: settings.machine.strength(),
            };
            Discovery::new(store.clone(), me, peers.clone(), view.clone(), recovery.clone())
        });
        let registered = discovery
            .as_ref()
            .map_or_else(|| watch::channel(None).1, |discovery| discovery.registered());
        let selector = Selector::open();
        let promiser =
            Promiser { funds: funds.clone(), peers: peers.clone(), selector: selector.clone() };
        let setup = Setup {
            store: store.clone(),
            funds: funds.clone(),
            peers,
            selector,
            acquirer: acquirer.clone(),
            metrics: metrics.clone(),
            registered: registered.clone(),
            bills,
            holder: incarnation.clone(),
            settings: read_settings,
        };
        let settler = Settler::new(setup, recovery.clone());
        let lapse = Duration::from_millis(settings.limits.lapse_ms);
        let name = settings.box_name.clone();
        let reporter = Reporter {
            store: store.clone(),
            peers: context.peers.clone(),
            view: view.clone(),
            recovery: recovery.clone(),
        };
        let looks = watcher::Setup {
            store: store.clone(),
            view: view.clone(),
            recovery,
            watchdog: watchdog.clone(),
            name,
            lapse,
        };
        let subscriber = Subscriber::new(context.peers.clone(), looks, registered, random.random());
        let (serving, bounding) = (context.clone(), context.clone());
        let accepting = tokio::spawn(serve::accept(
            sockets.callers,
            settings.limits.connections,
            move || bounding.bounds(),
            tasks.clone(),
            closes.clone(),
            metrics.clone(),
            move |request| serving.clone().handle(request),
        ));
        let for_balancer = serve::accept(
            sockets.ready,
            FEW,
            few_bounds,
            TaskTracker::new(),
            closes.clone(),
            metrics.clone(),
            admin::answer_ready(context.clone()),
        );
        let for_operators = serve::accept(
            sockets.operators,
            FEW,
            few_bounds,
            TaskTracker::new(),
            closes,
            metrics,
            admin::answer_metrics(context.clone(), view.clone(), calls.clone()),
        );
        let mut loops = vec![
            tokio::spawn(subscriber.run()),
            tokio::spawn(reporter.run(reports)),
            tokio::spawn(signals::publish(
                view.clone(),
                context.peers.clone(),
                endpoints.clone(),
                told,
            )),
            tokio::spawn(watchdog.run()),
            tokio::spawn(promiser.run()),
            tokio::spawn(acquirer.run()),
            tokio::spawn(for_balancer),
            tokio::spawn(for_operators),
        ];
        loops.extend(discovery.map(|discovery| tokio::spawn(discovery.run())));
        let settler = Some(tokio::spawn(settle(settler, leaves)));
        tracing::info!(
            event = "started",
            incarnation = incarnation.as_str(),
            zone = &*settings.zone,
            %callers,
            store = %settings.store.address,
        );
        Ok(Gateway {
            context,
            callers,
            ready,
            operators,
            incarnation,
            calls,
            stopping,
            closing,
            tasks,
            leaving,
            settler,
            lender,
            accepting,
            loops,
        })
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where the balancer asks whether the box takes requests.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Where metrics are read.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Where other boxes ask for tokens, if they may.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.lender.as_ref().map(wire::Server::address)
    }

    /// The incarnation of this start.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// The counters of its calls to the store.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// What this box holds of a customer's budget.
    pub fn balance(&self, customer: &str) -> Balance {
        self.context.funds.balance(customer)
    }

    /// Bills that are not written yet, with pages that other boxes handed over.
    pub fn bills_waiting(&self) -> usize {
        self.context.bills.waiting()
    }

    /// Number of other boxes that this one can ask for tokens.
    pub fn peer_count(&self) -> usize {
        self.context.peers.len()
    }

    /// Limits that endpoints name, by their lives, in requests a second.
    pub fn limits(&self) -> Vec<(Arc<str>, f64)> {
        self.context.endpoints.limits()
    }

    /// Endpoints that said that they leave and are still listed.
    pub fn leaving(&self) -> usize {
        self.context.endpoints.count_leaving()
    }

    /// Endpoints that want nothing from this box for now.
    pub fn backing_off(&self) -> usize {
        self.context.endpoints.count_backing_off()
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        self.context.metrics.text()
    }

    /// Tells the metrics how many log lines were dropped so far.
    pub fn count_dropped_lines(&self, count: impl Fn() -> usize + Send + Sync + 'static) {
        *self.context.dropped_lines.lock() = Some(Box::new(count));
    }

    /// Takes over settings that were read again: sizes of grants, repeats, and the times of a
    /// planned stop are in force at once; the rest is at the next start of the process.
    pub fn reload(&self, settings: Settings) {
        let later = self.context.settings().restart_only_changes(&settings);
        let changed = *self.context.settings() != settings;
        tracing::info!(event = "settings_read_again", changed, at_next_start = later.join(","));
        self.context.settings.send_replace(Arc::new(settings));
    }

    /// The planned stop: not ready first, then every request to its end, then all tokens returned.
    pub async fn stop(mut self) {
        let began = self.context.clock.now();
        let settings = self.context.settings();
        let limits = &settings.limits;
        let limit = Duration::from_millis(limits.stop_ms);
        tracing::info!(event = "stopping", limit_ms = limits.stop_ms);
        self.stopping.send_replace(true);
        self.context.peers.forget_promises();
        self.tasks.close();
        let notice = Duration::from_millis(limits.notice_ms);
        // The balancer sends connections until it has noticed; they are all served.
        tokio::time::sleep(notice.min(limit)).await;
        self.accepting.abort();
        self.closing.send_replace(true);
        let rest = limit.saturating_sub(began.elapsed());
        let finished = tokio::time::timeout(rest, self.tasks.wait()).await.is_ok();
        let rest = limit.saturating_sub(began.elapsed());
        self.leaving.send_replace(Some(Instant::now() + rest + LEAVE));
        if let Some(settler) = self.settler.take() {
            // It bounds itself in time; a panic in it was printed already.
            let _ = settler.await;
        }
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(event = "stopped", finished, took_ms);
    }
}

impl Drop for Gateway {
    /// Ends at once, as a crash would: nothing is returned.
    fn drop(&mut self) {
        self.accepting.abort();
        for task in self.loops.iter().chain(&self.settler) {
            task.abort();
        }
    }
}

async fn settle(mut settler: Settler, mut leaving: watch::Receiver<Option<Instant>>) {
    let until = tokio::select! {
        () = settler.run() => None,
        until = leaving.wait_for(Option::is_some) => until.ok().and_then(|until| *until),
    };
    if let Some(until) = until {
        settler.leave(until).await;
    }
}
