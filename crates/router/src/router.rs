//! Starts and stops a router.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use objects::{Calls, Store};
use platform::store::Client;
use salvo::{Server, conn::tcp::TcpAcceptor, fuse::FuseConfig, server::ServerHandle};
use snafu::{ResultExt, Snafu};
use timeline::{EventKind, Log};
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::{
    api::{Callers, Operators},
    background,
    peer_service::{self, PeerService},
    reports, sealer,
    settings::Settings,
    shared::Shared,
    sync,
};

/// Time for the load balancer to notice that the box is no longer ready.
const READINESS_DELAY: Duration = Duration::from_millis(500);
/// Interval between probes of the direct connection to the platform.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why a router did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address for callers or operators could not be bound.
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
    tasks: Vec<JoinHandle<()>>,
}

impl Router {
    /// Starts a router on the platform named in its settings.
    ///
    /// `seed` must never be reused: the incarnation's name is derived from it.
    pub async fn spawn(settings: Settings, seed: u64) -> Result<Router, Error> {
        let client = Client::open(settings.platform_options());
        let calls = client.calls();
        Router::spawn_with_store(settings, Arc::new(client), calls, seed).await
    }

    /// Starts a router on the given store.
    pub async fn spawn_with_store(
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
        let caller_routes = routes().goal(Callers(shared.clone()));
        let operator_routes = routes().goal(Operators(shared.clone()));
        let servers = vec![
            tokio::spawn(async move { server.serve(caller_routes).await }),
            tokio::spawn(async move { Server::new(operators).serve(operator_routes).await }),
        ];
        shared.log.add(EventKind::Started);
        let tasks = spawn_tasks(&shared);
        let (callers, operators) = addresses;
        Ok(Router { shared, callers, operators, peers, handle, servers, tasks })
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for metrics and health checks.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for other boxes, if this one accepts peers.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(wire::Server::address)
    }

    /// The event log of this router.
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

    /// Waits until all configuration up to a platform version is applied.
    pub async fn wait_for_version(&self, version: u64) {
        let _ = self.shared.watched.subscribe().wait_for(|at| *at >= version).await;
    }

    /// Applied version of a resource, 0 if there is none.
    pub fn version(&self, kind: resource::Kind, name: &str) -> u64 {
        self.shared.config.borrow().version(kind, name)
    }

    /// Shuts down gracefully: reports not ready, finishes all requests, then returns unused tokens.
    pub async fn stop(mut self) {
        let shared = self.shared.clone();
        shared.log.add(EventKind::Stopping);
        shared.stopping.send_replace(true);
        tokio::time::sleep(READINESS_DELAY).await;
        let timeout = Duration::from_millis(shared.settings.limits.stop_ms);
        self.handle.stop_graceful(timeout);
        let callers = self.servers.remove(0);
        let _ = callers.await;
        shared.tasks.close();
        let _ = tokio::time::timeout(timeout, async {
            while shared.requests.in_flight() > 0 || !shared.sessions.is_idle() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
        for task in self.tasks.drain(..) {
            task.abort();
        }
        let _ = tokio::time::timeout(timeout, background::close_sessions(&shared)).await;
        shared.ended.cancel();
        shared.log.add(EventKind::Stopped);
    }

    /// Ends at once, like a crash: no outcome is written and no token returned.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.shared.ended.cancel();
        self.handle.stop_forceful();
        for task in self.servers.iter().chain(&self.tasks) {
            task.abort();
        }
    }
}

fn spawn_tasks(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    vec![
        tokio::spawn(sync::watch_config(shared.clone())),
        tokio::spawn(sync::poll_members(shared.clone())),
        tokio::spawn(background::send_heartbeats(shared.clone())),
        tokio::spawn(background::probe_platform(shared.clone())),
        tokio::spawn(background::fold_outcomes(shared.clone())),
        tokio::spawn(background::renew_sessions(shared.clone())),
        tokio::spawn(sealer::recover_silent(shared.clone())),
        tokio::spawn(reports::poll_reports(shared.clone())),
        tokio::spawn(reports::poll_hosts(shared.clone())),
        tokio::spawn(peer_service::gossip(shared.clone())),
        tokio::spawn(peer_service::write_replicas(shared.clone())),
        tokio::spawn(probe_direct(shared.clone())),
    ]
}

async fn probe_direct(shared: Arc<Shared>) {
    shared.fallback.probe(DIRECT_PROBE_INTERVAL).await;
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

/// Length of the queue of connections not accepted yet.
const BACKLOG: u32 = 1_024;

async fn bind(address: SocketAddr) -> Result<TcpAcceptor, Error> {
    listen(address).context(BindSnafu { address })
}

/// Listens with TCP_NODELAY, which accepted connections inherit: the first token of an answer must
/// not wait for the caller to acknowledge the headers.
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
