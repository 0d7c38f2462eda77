//! Start and stop of a box on the users' platform.

mod sockets;

pub use sockets::Error;
use sockets::{Sockets, admin_bounds, bind_peers};

use std::{net::SocketAddr, sync::Arc, time::Duration};

use forward::{Connections, Detour, Dialer};
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
    fleet::{entry::Entry, peers::Peers, profile::Profile, streams::Streams},
    freshness::Freshness,
    inbound::{admin, peer_service::PeerService, serve},
    metrics::Metrics,
    outage::Recovery,
    proxy::{
        announcer::Announcer,
        context::Context,
        crashes::{Crashes, connect_prober},
        endpoints::Endpoints,
        exits::Exits,
        link::Link,
        origins::tell_when_versions_differ,
        permits::{self, Permits},
    },
    settings::Settings,
    sole_versions::{handle::SoleVersions, history::Seen},
    sync::{
        discovery::Discovery,
        reporter::Reporter,
        setup, signals,
        subscriber::Subscriber,
        version_writer::VersionWriter,
        view::{Consumers, View},
    },
    tokens::{
        acquirer::Acquirer,
        bills::{Bills, replicator::Replicator, writer},
        borrower::Borrower,
        funds::{Balance, Funds},
        settle::{Settler, Setup},
        witness::{Promiser, Selector},
    },
};

/// Concurrent connections of the balancer, and of scrapers.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// Time for the last settlement of a planned stop, beyond the limit for requests.
const FINAL_SETTLEMENT_TIMEOUT: Duration = Duration::from_millis(600);

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
    /// Connections to endpoints that are carried for other boxes.
    tunnels: TaskTracker,
    /// Deadline of the last settlement; set once the box stops.
    settle_deadline: watch::Sender<Option<Instant>>,
    settler: Option<JoinHandle<()>>,
    /// Serves other boxes until dropped.
    peer_server: Option<wire::Server>,
    /// Accepts connections of callers.
    accepting: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a box. `seed` feeds its random choices, including its incarnation, and must be
    /// different at each start.
    pub async fn spawn(settings: Settings, seed: u64) -> Result<Gateway, Error> {
        // Endpoints see each box under its own address.
        let dialer = Dialer::system(settings.listen.peers.map(|peers| peers.ip()));
        Gateway::spawn_with(settings, seed, Clock::system(), dialer).await
    }

    /// Starts a box with a given clock and a given way to open connections to endpoints.
    pub async fn spawn_with(
        settings: Settings,
        seed: u64,
        clock: Clock,
        dialer: Dialer,
    ) -> Result<Gateway, Error> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation::new(&settings.box_name, random.random());
        let store = Client::open(settings.store());
        let calls = store.calls();
        let metrics = Metrics::open();
        let recovery = Recovery::open();
        let (in_force, table) = watch::channel(None);
        let (stopping, stops) = watch::channel(false);
        let (closing, closes) = watch::channel(false);
        let (zone, seed) = (settings.zone.clone(), random.random());
        let profile = Profile {
            incarnation: incarnation.clone(),
            zone: settings.zone.clone(),
            capacity: settings.machine.capacity(),
        };
        let peers = Peers::open(profile, settings.listen.peers, random.random());
        peers.set_regions(settings.regions.clone());
        let by_peers = peers.clone();
        let detour = Detour::new(move |address| {
            let peers = by_peers.clone();
            Box::pin(async move { peers.open_tunnel(address).await })
        });
        let connections = Connections::new(settings.connections(), dialer.clone(), detour);
        let (to_store, to_endpoints) = (store.clone(), connections.clone());
        let watchdog = Watchdog::open(clock.clone(), move || {
            to_store.reset_connections();
            to_endpoints.close_idle();
        });
        let endpoints = Arc::new(Endpoints::new(zone, settings.cold, &clock, seed));
        let prober = connect_prober(connections.clone());
        let (crashes, reports) =
            Crashes::open(incarnation.clone(), settings.quarantine(), prober, &clock);
        let funds = Funds::open();
        let bills = Bills::open(incarnation.clone());
        let (in_force_settings, settings_updates) = watch::channel(Arc::new(settings.clone()));
        let borrower = Borrower::new(funds.clone(), peers.clone());
        let freshness = Freshness::open(&clock, settings.freshness());
        let acquirer = Acquirer::new(
            funds.clone(),
            peers.clone(),
            borrower.clone(),
            freshness.clone(),
            settings_updates.clone(),
        );
        let sole_versions =
            SoleVersions::open(store.clone(), clock.now(), settings.streams.memory_ms);
        let view = View::open(Consumers {
            freshness: freshness.clone(),
            in_force,
            funds: funds.clone(),
            endpoints: endpoints.clone(),
            connections: connections.clone(),
            peers: peers.clone(),
            crashes: crashes.clone(),
            sole_versions: sole_versions.clone(),
            recovery: recovery.clone(),
            watchdog: watchdog.clone(),
            started: clock.now(),
        });
        let (announcer, announcements) = Announcer::open();
        let permits = Permits::open(permits::Setup {
            endpoints: endpoints.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            stopping: stops.clone(),
            started: clock.now(),
            announcer: announcer.clone(),
        });
        let tunnels = TaskTracker::new();
        let exits = Exits {
            dialer,
            connect_timeout: settings.connections().connect_timeout,
            endpoints: endpoints.clone(),
            connections: connections.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            stopping: stops.clone(),
            tunnels: tunnels.clone(),
            slots: Exits::slots(),
        };
        let streams = Streams::open(peers.clone(), store.clone());
        let peer_service = PeerService {
            exits,
            streams: streams.clone(),
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
        let peer_server = bind_peers(settings.listen.peers, peer_service, &peers).await?;
        let context = Arc::new(Context {
            table: table.clone(),
            endpoints: endpoints.clone(),
            freshness: freshness.clone(),
            sole_versions: sole_versions.clone(),
            crashes,
            permits,
            announcer,
            connections: connections.clone(),
            funds: funds.clone(),
            bills: bills.clone(),
            peers: peers.clone(),
            streams: streams.clone(),
            acquirer: acquirer.clone(),
            link: Arc::new(Link::new(settings.machine.link_mbps)),
            retries: Mutex::default(),
            metrics: metrics.clone(),
            body_bytes: Arc::new(Semaphore::new(settings.limits.bodies)),
            stopping: stops,
            started: clock.now(),
            clock,
            watchdog: watchdog.clone(),
            dropped_log_lines: Mutex::default(),
            settings: in_force_settings,
        });
        let sockets = Sockets::bind(&settings.listen)?;
        let [callers, ready, operators] = sockets.addresses();
        let tasks = TaskTracker::new();
        let (settle_deadline, deadline) = watch::channel(None);
        let discovery = peers.address().map(|peer| {
            let me = Entry {
                incarnation: incarnation.clone(),
                zone: settings.zone.clone(),
                peer,
                capacity: settings.machine.capacity(),
            };
            let seed = random.random();
            Discovery::new(store.clone(), me, peers.clone(), view.clone(), recovery.clone(), seed)
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
            first_read_at: random.random(),
            settings: settings_updates,
        };
        let settler = Settler::new(setup, recovery.clone());
        let grace = Duration::from_millis(settings.limits.lapse_ms);
        let name = settings.box_name.clone();
        let replicator =
            Replicator::new(context.bills.clone(), context.peers.clone(), random.random());
        let write_bills = writer::run(context.bills.clone(), store.clone(), recovery.clone());
        let reporter = Reporter {
            store: store.clone(),
            peers: context.peers.clone(),
            view: view.clone(),
            recovery: recovery.clone(),
        };
        let version_writer = VersionWriter {
            store: store.clone(),
            view: view.clone(),
            peers: context.peers.clone(),
            sole_versions,
            table,
            recovery: recovery.clone(),
        };
        let watcher_setup = setup::Setup {
            store: store.clone(),
            peers: context.peers.clone(),
            view: view.clone(),
            recovery,
            watchdog: watchdog.clone(),
            name,
            grace,
        };
        let subscriber =
            Subscriber::new(context.peers.clone(), watcher_setup, registered, random.random());
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
            MAX_ADMIN_CONNECTIONS,
            admin_bounds,
            TaskTracker::new(),
            closes.clone(),
            metrics.clone(),
            admin::answer_ready(context.clone()),
        );
        let for_operators = serve::accept(
            sockets.operators,
            MAX_ADMIN_CONNECTIONS,
            admin_bounds,
            TaskTracker::new(),
            closes,
            metrics,
            admin::answer_metrics(context.clone(), view.clone(), calls.clone()),
        );
        let mut background = vec![
            tokio::spawn(subscriber.run()),
            tokio::spawn(reporter.run(reports)),
            tokio::spawn(version_writer.run()),
            tokio::spawn(signals::publish(
                view.clone(),
                context.peers.clone(),
                endpoints.clone(),
                announcements,
            )),
            tokio::spawn(watchdog.run()),
            tokio::spawn(freshness.log_outdated()),
            tokio::spawn(promiser.run()),
            tokio::spawn(acquirer.run()),
            tokio::spawn(replicator.run()),
            tokio::spawn(write_bills),
            tokio::spawn(tell_when_versions_differ(streams.clone(), context.sole_versions.clone())),
            tokio::spawn(streams.clone().run_pages()),
            tokio::spawn(streams.run()),
            tokio::spawn(for_balancer),
            tokio::spawn(for_operators),
        ];
        background.extend(discovery.map(|discovery| tokio::spawn(discovery.run())));
        let settler = Some(tokio::spawn(settle(settler, deadline)));
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
            tunnels,
            settle_deadline,
            settler,
            peer_server,
            accepting,
            background,
        })
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for readiness checks.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Address for metrics.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for other boxes, if this one serves them.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peer_server.as_ref().map(wire::Server::address)
    }

    /// Incarnation of this start.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Counters of calls to the store.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Tokens that this box holds of a customer's budget.
    pub fn balance(&self, customer: &str) -> Balance {
        self.context.funds.balance(customer)
    }

    /// Number of bills that are not written yet, plus pages handed over by other boxes.
    pub fn bills_waiting(&self) -> usize {
        self.context.bills.waiting()
    }

    /// Number of other known boxes.
    pub fn peer_count(&self) -> usize {
        self.context.peers.len()
    }

    /// Limits that endpoints name, by instance, in requests per second.
    pub fn limits(&self) -> Vec<(Arc<str>, f64)> {
        self.context.endpoints.limits()
    }

    /// Number of listed endpoints that announced that they leave.
    pub fn leaving(&self) -> usize {
        self.context.endpoints.count_leaving()
    }

    /// The version at which every stream of a service began that can still be taken up, if there is
    /// only one and this box can find it out by `deadline`.
    pub async fn sole_version(&self, service: &str, deadline: Instant) -> Option<Arc<str>> {
        self.context.sole_versions.sole_version(&service.into(), deadline).await
    }

    /// What this box has seen of the versions of a service.
    pub fn versions_seen(&self, service: &str) -> Seen {
        self.context.sole_versions.seen(service)
    }

    /// Number of endpoints in a back-off towards this box.
    pub fn backing_off(&self) -> usize {
        self.context.endpoints.count_backing_off()
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        self.context.metrics.text()
    }

    /// Sets the source of the counter of dropped log lines.
    pub fn count_dropped_lines(&self, count: impl Fn() -> usize + Send + Sync + 'static) {
        *self.context.dropped_log_lines.lock() = Some(Box::new(count));
    }

    /// Applies settings that were read again. Grant sizes, retries and the times of a planned stop
    /// take effect at once, everything else at the next start.
    pub fn reload(&self, settings: Settings) {
        let later = self.context.settings().restart_only_changes(&settings);
        let changed = *self.context.settings() != settings;
        tracing::info!(event = "settings_read_again", changed, at_next_start = later.join(","));
        self.context.settings.send_replace(Arc::new(settings));
    }

    /// Planned stop: reports not ready, finishes all requests, then returns all tokens.
    pub async fn stop(mut self) {
        let began = self.context.clock.now();
        let settings = self.context.settings();
        let limits = &settings.limits;
        let limit = Duration::from_millis(limits.stop_ms);
        tracing::info!(event = "stopping", limit_ms = limits.stop_ms);
        self.stopping.send_replace(true);
        self.context.peers.stop_witnessing();
        self.tasks.close();
        let notice = Duration::from_millis(limits.notice_ms);
        // The balancer keeps sending connections until it notices; all are served.
        tokio::time::sleep(notice.min(limit)).await;
        self.accepting.abort();
        self.closing.send_replace(true);
        let remaining = limit.saturating_sub(began.elapsed());
        self.tunnels.close();
        let ends = async { tokio::join!(self.tasks.wait(), self.tunnels.wait()) };
        let finished = tokio::time::timeout(remaining, ends).await.is_ok();
        let Context { streams, sole_versions, .. } = &*self.context;
        streams
            .hand_over(|service| sole_versions.is_settled(service) && sole_versions.reaches_store())
            .await;
        let remaining = limit.saturating_sub(began.elapsed());
        self.settle_deadline
            .send_replace(Some(Instant::now() + remaining + FINAL_SETTLEMENT_TIMEOUT));
        if let Some(settler) = self.settler.take() {
            // The task bounds its own time, and a panic in it was already printed.
            let _ = settler.await;
        }
        let took_ms = began.elapsed().as_millis() as u64;
        tracing::info!(event = "stopped", finished, took_ms);
    }
}

impl Drop for Gateway {
    /// Ends at once, as in a crash: no tokens are returned.
    fn drop(&mut self) {
        self.accepting.abort();
        for task in self.background.iter().chain(&self.settler) {
            task.abort();
        }
    }
}

async fn settle(mut settler: Settler, mut deadline: watch::Receiver<Option<Instant>>) {
    let until = tokio::select! {
        () = settler.run() => None,
        until = deadline.wait_for(Option::is_some) => until.ok().and_then(|until| *until),
    };
    if let Some(until) = until {
        settler.leave(until).await;
    }
}
