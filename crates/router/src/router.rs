//! Starting and stopping a router.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use objects::{Calls, Store};
use platform::store::Client;
use salvo::{Server, conn::tcp::TcpAcceptor, fuse::FuseConfig, server::ServerHandle};
use snafu::{ResultExt, Snafu};
use timeline::{EventKind, Log};
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::{
    answers::{self, PeerService},
    api::{Callers, Operators},
    follow, keeper, reports, sealer,
    settings::Settings,
    shared::Shared,
};

/// Time for the balancer to notice that the box is not ready any more.
const NOTICE: Duration = Duration::from_millis(500);
/// Time between probes of the direct way to the platform.
const PROBE_DIRECT: Duration = Duration::from_millis(1_000);

/// Why a router did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
    /// The address for other boxes could not be bound.
    #[snafu(display("cannot listen for other boxes on {address}: {source}"))]
    Peers { address: SocketAddr, source: std::io::Error },
}

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: Option<wire::Server>,
    handle: ServerHandle,
    servers: Vec<JoinHandle<()>>,
    loops: Vec<JoinHandle<()>>,
}

impl Router {
    /// Starts a router that speaks to the platform named in its settings.
    ///
    /// `seed` feeds its random choices, the incarnation's name among them: it must be fresh.
    pub async fn spawn(settings: Settings, seed: u64) -> Result<Router, Error> {
        let client = Client::open(settings.platform_options());
        let calls = client.calls();
        Router::spawn_on(settings, Arc::new(client), calls, seed).await
    }

    /// Starts a router on a given store.
    pub async fn spawn_on(
        settings: Settings,
        store: Arc<dyn Store>,
        calls: Calls,
        seed: u64,
    ) -> Result<Router, Error> {
        let limits = settings.limits.clone();
        let (callers, operators) = (settings.listen.callers, settings.listen.operators);
        let (callers, operators) = (bind(callers).await?, bind(operators).await?);
        let addresses = (address(&callers), address(&operators));
        let shared = Shared::open(settings, store, calls, seed);
        let peers = bind_peers(&shared).await?;
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(Duration::from_millis(limits.header_ms))
            .with_connection_idle_timeout(Duration::from_millis(limits.idle_ms));
        let server = Server::new(callers).fuse_config(fuse).max_connections(limits.connections);
        let handle = server.handle();
        let routes = || salvo::Router::with_path("{**rest}");
        let calls = routes().goal(Callers(shared.clone()));
        let watch = routes().goal(Operators(shared.clone()));
        let servers = vec![
            tokio::spawn(async move { server.serve(calls).await }),
            tokio::spawn(async move { Server::new(operators).serve(watch).await }),
        ];
        shared.log.add(EventKind::Started);
        let loops = spawn_loops(&shared);
        let (callers, operators) = addresses;
        Ok(Router { shared, callers, operators, peers, handle, servers, loops })
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where metrics and health are read.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Where other boxes connect, if it takes peers.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(wire::Server::address)
    }

    /// The events of this router.
    pub fn log(&self) -> Log {
        self.shared.log.clone()
    }

    /// The counters of its platform calls.
    pub fn calls(&self) -> Calls {
        self.shared.calls.clone()
    }

    /// The current incarnation.
    pub fn incarnation(&self) -> ledger::Incarnation {
        self.shared.me()
    }

    /// Waits until configuration up to a platform version is in force here.
    pub async fn wait_for_version(&self, version: u64) {
        let _ = self.shared.watched.subscribe().wait_for(|at| *at >= version).await;
    }

    /// Version of a resource in force here.
    pub fn version(&self, kind: resource::Kind, name: &str) -> u64 {
        self.shared.config.borrow().version(kind, name)
    }

    /// The planned stop: unready first, then every request to its end, then all money returned.
    pub async fn stop(mut self) {
        let shared = self.shared.clone();
        shared.log.add(EventKind::Stopping);
        shared.stopping.send_replace(true);
        tokio::time::sleep(NOTICE).await;
        let limit = Duration::from_millis(shared.settings.limits.stop_ms);
        self.handle.stop_graceful(limit);
        let callers = self.servers.remove(0);
        let _ = callers.await;
        shared.tasks.close();
        let _ = tokio::time::timeout(limit, async {
            while shared.requests.under_way() > 0 || !shared.sessions.is_idle() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
        for task in self.loops.drain(..) {
            task.abort();
        }
        let _ = tokio::time::timeout(limit, keeper::leave(&shared)).await;
        shared.ended.cancel();
        shared.log.add(EventKind::Stopped);
    }

    /// Ends at once, as a crash would: nothing is handed in or returned.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.shared.ended.cancel();
        self.handle.stop_forceful();
        for task in self.servers.iter().chain(&self.loops) {
            task.abort();
        }
    }
}

fn spawn_loops(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(follow::follow(shared.clone())),
        tokio::spawn(follow::follow_members(shared.clone())),
        tokio::spawn(keeper::beat(shared.clone())),
        tokio::spawn(keeper::probe(shared.clone())),
        tokio::spawn(keeper::fold(shared.clone())),
        tokio::spawn(keeper::renew(shared.clone())),
        tokio::spawn(sealer::wind_up(shared.clone())),
        tokio::spawn(reports::poll_reports(shared.clone())),
        tokio::spawn(reports::poll_hosts(shared.clone())),
        tokio::spawn(answers::exchange(shared.clone())),
        tokio::spawn(answers::hand_in(shared.clone())),
        tokio::spawn(probe_direct(shared.clone())),
    ]
}

async fn probe_direct(shared: Arc<Shared>) {
    shared.relayed.probe(PROBE_DIRECT).await;
}

async fn bind_peers(shared: &Arc<Shared>) -> Result<Option<wire::Server>, Error> {
    let listen = &shared.settings.listen;
    let Some(address) = listen.peers else { return Ok(None) };
    let server = wire::Server::bind(address, Arc::new(PeerService(shared.clone()))).await;
    let server = server.context(PeersSnafu { address })?;
    let advertised = listen.advertise.unwrap_or_else(|| server.address());
    *shared.advertised.lock() = advertised.to_string().into();
    Ok(Some(server))
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

async fn bind(address: SocketAddr) -> Result<TcpAcceptor, Error> {
    listen(address).context(BindSnafu { address })
}

/// Listens without Nagle's algorithm: accepted connections inherit that, and the first token of
/// an answer does not wait for the caller to acknowledge the headers.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?).map_err(std::io::Error::other)
}

fn address(acceptor: &TcpAcceptor) -> SocketAddr {
    acceptor.local_addr().expect("a bound socket has an address")
}
