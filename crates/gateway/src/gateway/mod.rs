//! Start and stop of a box on the users' platform.

mod sockets;

pub use sockets::Error;
use sockets::{Sockets, bind_lender, few_bounds};

use std::{net::SocketAddr, sync::Arc, time::Duration};

use forward::Links;
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
    clock::{Clock, Pulse},
    door::{desk::Desk, pages, serve},
    fleet::{entry::Entry, order::Place, peers::Peers},
    metrics::Metrics,
    money::{
        bills::Bills,
        draws::Draws,
        funds::{Balance, Funds},
        lending::Lending,
        settle::{Settler, Setup},
        witness::{Keeper, Naming},
    },
    news::{
        listen::Listener,
        look,
        reporter::Reporter,
        roster::Roster,
        view::{Uses, View},
        words,
    },
    outage::Contact,
    settings::Settings,
    way::{
        crashes::{Crashes, by_connecting},
        endpoints::Endpoints,
        gate::Gate,
        link::Link,
        teller::Teller,
        turns::{self, Turns},
    },
};

/// Concurrent connections of the balancer, and of scrapers.
const FEW: usize = 64;
/// Time for the last settlement of a planned stop, beyond the limit for requests.
const LEAVE: Duration = Duration::from_millis(600);

/// A running box.
pub struct Gateway {
    gate: Arc<Gate>,
    callers: SocketAddr,
    ready: SocketAddr,
    operators: SocketAddr,
    incarnation: Incarnation,
    calls: Calls,
    stopping: watch::Sender<bool>,
    closing: watch::Sender<bool>,
    /// Connections of callers.
    tasks: TaskTracker,
    /// Deadline of the last settlement; set once the box stops.
    leaving: watch::Sender<Option<Instant>>,
    settler: Option<JoinHandle<()>>,
    /// Serves other boxes until dropped.
    lender: Option<wire::Server>,
    /// Accepts connections of callers.
    accepting: JoinHandle<()>,
    loops: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts a box. `seed` feeds its random choices, including its incarnation, and must be
    /// different at each start.
    pub async fn spawn(settings: Settings, seed: u64) -> Result<Gateway, Error> {
        Gateway::spawn_with(settings, seed, Clock::system()).await
    }

    /// Starts a box with a given clock.
    pub async fn spawn_with(settings: Settings, seed: u64, clock: Clock) -> Result<Gateway, Error> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation::new(&settings.box_name, random.random());
        let store = Client::open(settings.store());
        let calls = store.calls();
        let metrics = Metrics::open();
        let contact = Contact::open();
        let (in_force, table) = watch::channel(None);
        let (stopping, stops) = watch::channel(false);
        let (closing, closes) = watch::channel(false);
        let links = Links::new(settings.links());
        let (to_store, to_endpoints) = (store.clone(), links.clone());
        let pulse = Pulse::open(clock.clone(), move || {
            to_store.forget_connections();
            to_endpoints.close_resting();
        });
        let (zone, seed) = (settings.zone.clone(), random.random());
        let endpoints = Arc::new(Endpoints::new(zone, settings.cold, &clock, seed));
        let prove = by_connecting(settings.links().connect);
        let (crashes, reports) =
            Crashes::open(incarnation.clone(), settings.quarantine(), prove, &clock);
        let funds = Funds::open();
        let bills = Bills::open(incarnation.clone());
        let place = Place {
            name: incarnation.clone(),
            zone: settings.zone.clone(),
            strength: settings.machine.strength(),
        };
        let peers = Peers::open(place, settings.listen.peers, random.random());
        let (in_force_settings, read_settings) = watch::channel(Arc::new(settings.clone()));
        let lending = Lending::new(funds.clone(), peers.clone());
        let draws =
            Draws::new(funds.clone(), peers.clone(), lending.clone(), read_settings.clone());
        let view = View::open(Uses {
            in_force,
            funds: funds.clone(),
            endpoints: endpoints.clone(),
            links: links.clone(),
            peers: peers.clone(),
            crashes: crashes.clone(),
            contact: contact.clone(),
            pulse: pulse.clone(),
            started: clock.now(),
        });
        let (teller, told) = Teller::open();
        let turns = Turns::open(turns::Setup {
            endpoints: endpoints.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            stopping: stops.clone(),
            started: clock.now(),
            teller: teller.clone(),
        });
        let desk = Desk {
            me: incarnation.clone(),
            funds: funds.clone(),
            peers: peers.clone(),
            lending,
            endpoints: endpoints.clone(),
            bills: bills.clone(),
            view: view.clone(),
            turns: turns.clone(),
            stopping: stops.clone(),
        };
        let lender = bind_lender(settings.listen.peers, desk, &peers).await?;
        let gate = Arc::new(Gate {
            table,
            endpoints: endpoints.clone(),
            crashes,
            turns,
            teller,
            links: links.clone(),
            funds: funds.clone(),
            bills: bills.clone(),
            peers: peers.clone(),
            draws: draws.clone(),
            link: Arc::new(Link::new(settings.machine.link_mbps)),
            retries: Mutex::default(),
            metrics: metrics.clone(),
            bodies: Arc::new(Semaphore::new(settings.limits.bodies)),
            stopping: stops,
            started: clock.now(),
            clock,
            pulse: pulse.clone(),
            dropped_lines: Mutex::default(),
            settings: in_force_settings,
        });
        let sockets = Sockets::bind(&settings.listen)?;
        let [callers, ready, operators] = sockets.addresses();
        let tasks = TaskTracker::new();
        let (leaving, leaves) = watch::channel(None);
        let roster = peers.address().map(|peer| {
            let me = Entry {
                incarnation: incarnation.clone(),
                zone: settings.zone.clone(),
                peer,
                strength: settings.machine.strength(),
            };
            Roster::new(store.clone(), me, peers.clone(), view.clone(), contact.clone())
        });
        let registered =
            roster.as_ref().map_or_else(|| watch::channel(None).1, |roster| roster.written());
        let naming = Naming::open();
        let keeper = Keeper { funds: funds.clone(), peers: peers.clone(), naming: naming.clone() };
        let setup = Setup {
            store: store.clone(),
            funds: funds.clone(),
            peers,
            naming,
            draws: draws.clone(),
            metrics: metrics.clone(),
            registered: registered.clone(),
            bills,
            holder: incarnation.clone(),
            settings: read_settings,
        };
        let settler = Settler::new(setup, contact.clone());
        let lapse = Duration::from_millis(settings.limits.lapse_ms);
        let name = settings.box_name.clone();
        let reporter = Reporter {
            store: store.clone(),
            peers: gate.peers.clone(),
            view: view.clone(),
            contact: contact.clone(),
        };
        let looks = look::Setup {
            store: store.clone(),
            view: view.clone(),
            contact,
            pulse: pulse.clone(),
            name,
            lapse,
        };
        let listener = Listener::new(gate.peers.clone(), looks, registered, random.random());
        let (serving, bounding) = (gate.clone(), gate.clone());
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
            pages::answer_ready(gate.clone()),
        );
        let for_operators = serve::accept(
            sockets.operators,
            FEW,
            few_bounds,
            TaskTracker::new(),
            closes,
            metrics,
            pages::answer_metrics(gate.clone(), view.clone(), calls.clone()),
        );
        let mut loops = vec![
            tokio::spawn(listener.run()),
            tokio::spawn(reporter.run(reports)),
            tokio::spawn(words::tell(view.clone(), gate.peers.clone(), endpoints.clone(), told)),
            tokio::spawn(pulse.run()),
            tokio::spawn(keeper.run()),
            tokio::spawn(draws.run()),
            tokio::spawn(for_balancer),
            tokio::spawn(for_operators),
        ];
        loops.extend(roster.map(|roster| tokio::spawn(roster.run())));
        let settler = Some(tokio::spawn(settle(settler, leaves)));
        tracing::info!(
            event = "started",
            incarnation = incarnation.as_str(),
            zone = &*settings.zone,
            %callers,
            store = %settings.store.address,
        );
        Ok(Gateway {
            gate,
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
        self.lender.as_ref().map(wire::Server::address)
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
        self.gate.funds.balance(customer)
    }

    /// Number of bills that are not written yet, plus pages handed over by other boxes.
    pub fn bills_waiting(&self) -> usize {
        self.gate.bills.waiting()
    }

    /// Number of other known boxes.
    pub fn knows_peers(&self) -> usize {
        self.gate.peers.len()
    }

    /// Limits that endpoints name, by instance, in requests per second.
    pub fn limits(&self) -> Vec<(Arc<str>, f64)> {
        self.gate.endpoints.limits()
    }

    /// Number of listed endpoints that announced that they leave.
    pub fn leaving(&self) -> usize {
        self.gate.endpoints.count_leaving()
    }

    /// Number of endpoints in a back-off towards this box.
    pub fn resting(&self) -> usize {
        self.gate.endpoints.count_resting()
    }

    /// The metrics as text.
    pub fn metrics(&self) -> String {
        self.gate.metrics.text()
    }

    /// Sets the source of the counter of dropped log lines.
    pub fn count_dropped_lines(&self, count: impl Fn() -> usize + Send + Sync + 'static) {
        *self.gate.dropped_lines.lock() = Some(Box::new(count));
    }

    /// Applies settings that were read again. Grant sizes, retries and the times of a planned stop
    /// take effect at once, everything else at the next start.
    pub fn reload(&self, settings: Settings) {
        let later = self.gate.settings().read_at_start(&settings);
        let changed = *self.gate.settings() != settings;
        tracing::info!(event = "settings_read_again", changed, at_next_start = later.join(","));
        self.gate.settings.send_replace(Arc::new(settings));
    }

    /// Planned stop: reports not ready, finishes all requests, then returns all tokens.
    pub async fn stop(mut self) {
        let began = self.gate.clock.now();
        let settings = self.gate.settings();
        let limits = &settings.limits;
        let limit = Duration::from_millis(limits.stop_ms);
        tracing::info!(event = "stopping", limit_ms = limits.stop_ms);
        self.stopping.send_replace(true);
        self.gate.peers.forget_promises();
        self.tasks.close();
        let notice = Duration::from_millis(limits.notice_ms);
        // The balancer keeps sending connections until it notices; all are served.
        tokio::time::sleep(notice.min(limit)).await;
        self.accepting.abort();
        self.closing.send_replace(true);
        let rest = limit.saturating_sub(began.elapsed());
        let finished = tokio::time::timeout(rest, self.tasks.wait()).await.is_ok();
        let rest = limit.saturating_sub(began.elapsed());
        self.leaving.send_replace(Some(Instant::now() + rest + LEAVE));
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
