//! Reuse and limits of connections to endpoints.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, Version, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{Body, Dialer, Fault, connection::Connection};

/// Timeouts of connections.
#[derive(Debug, Clone)]
pub struct Options {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// A connection fails when sent bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
    pub ack_timeout: Duration,
    /// Idle timeout where the endpoint sends no `Keep-Alive` timeout.
    pub idle_timeout: Duration,
    /// Connections are not reused during this last part of the idle timeout, since the endpoint may close them.
    pub idle_margin: Duration,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers, which must include `Content-Length`.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The response of an endpoint.
#[derive(Debug)]
pub struct Answer {
    pub head: response::Parts,
    /// Reading it to its end releases the connection; dropping it earlier closes the connection.
    pub body: Body,
    /// Whether it arrived on a reused connection.
    pub reused: bool,
}

/// All connections to endpoints.
#[derive(Debug, Clone)]
pub struct Connections {
    options: Arc<Options>,
    dialer: Dialer,
    hosts: Arc<Mutex<HashMap<SocketAddr, Host>>>,
}

#[derive(Debug, Default)]
struct Host {
    idle: Vec<Connection>,
    open: usize,
    opened: u64,
}

impl Connections {
    /// Starts without connections.
    pub fn new(options: Options, dialer: Dialer) -> Connections {
        Connections { options: Arc::new(options), dialer, hosts: Arc::default() }
    }

    /// Sends a request on an exclusive connection; at most `max_open` may be open to this address.
    ///
    /// Dropping the future closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        max_open: usize,
        request: Request,
    ) -> Result<Answer, Fault> {
        self.connect(address, max_open).await?.send(request).await
    }

    /// Reuses an idle connection to an address or opens one, without sending anything. At most `max_open` may be open.
    pub async fn connect(
        &self,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<ReadyConnection, Fault> {
        let mut slot = self.reserve_slot(address, max_open)?;
        let reused = slot.connection.is_some();
        if !reused {
            let Options { connect_timeout, ack_timeout, .. } = *self.options;
            let opened =
                Connection::open(&self.dialer, address, connect_timeout, ack_timeout).await?;
            self.hosts.lock().entry(address).or_default().opened += 1;
            slot.connection = Some(opened);
        }
        Ok(ReadyConnection { slot, reused, options: self.options.clone() })
    }

    /// Reserves one of the connections allowed to an address, with an idle connection if there is one.
    fn reserve_slot(&self, address: SocketAddr, max_open: usize) -> Result<Slot, Fault> {
        let mut hosts = self.hosts.lock();
        let host = hosts.entry(address).or_default();
        let now = Instant::now();
        let before = host.idle.len();
        host.idle.retain(|connection| !connection.is_closed() && connection.reusable_until > now);
        host.open -= before - host.idle.len();
        let position = host.idle.iter().rposition(Connection::is_ready);
        let connection = position.map(|at| host.idle.remove(at));
        match connection {
            Some(_) => {}
            None if host.open >= max_open => return Err(Fault::Full { max: max_open }),
            None => host.open += 1,
        }
        Ok(Slot { address, connection, hosts: self.hosts.clone() })
    }

    /// Closes the idle connections to an address that is no longer used.
    pub fn forget(&self, address: SocketAddr) {
        let mut hosts = self.hosts.lock();
        if let Some(host) = hosts.get_mut(&address) {
            host.open -= host.idle.len();
            host.idle.clear();
        }
        hosts.retain(|_, host| host.open > 0);
    }

    /// Closes all idle connections, which may have broken unnoticed.
    pub fn close_idle(&self) {
        let mut hosts = self.hosts.lock();
        for host in hosts.values_mut() {
            host.open -= host.idle.len();
            host.idle.clear();
        }
    }

    /// Number of connections opened so far to addresses in use.
    pub fn count_opened(&self) -> u64 {
        self.hosts.lock().values().map(|host| host.opened).sum()
    }

    /// Number of open connections to an address.
    pub fn count_open(&self, address: SocketAddr) -> usize {
        self.hosts.lock().get(&address).map_or(0, |host| host.open)
    }
}

/// An established connection, ready for one request.
#[derive(Debug)]
pub struct ReadyConnection {
    slot: Slot,
    reused: bool,
    options: Arc<Options>,
}

impl ReadyConnection {
    /// Sends a request. Dropping the future closes the connection.
    pub async fn send(mut self, request: Request) -> Result<Answer, Fault> {
        let connection = self.slot.connection.as_mut().expect("a ready connection is present");
        let response = connection.send(outgoing(request)).await?;
        let idle_time = idle_time(&response, &self.options);
        let lease = Lease { slot: self.slot, idle_time, options: self.options };
        let (head, body) = response.into_parts();
        Ok(Answer { head, body: Body::new(body, lease), reused: self.reused })
    }

    /// Returns the connection unused.
    pub fn release(self) {
        let previous = self.slot.connection.as_ref().map(|connection| connection.reusable_until);
        let until = previous.filter(|_| self.reused);
        let fresh =
            Instant::now() + self.options.idle_timeout.saturating_sub(self.options.idle_margin);
        self.slot.keep_idle(until.unwrap_or(fresh));
    }
}

/// How long the connection may stay idle after a response; `None` if it closes with the response.
fn idle_time(response: &Response<Incoming>, options: &Options) -> Option<Duration> {
    let headers = response.headers();
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().to_ascii_lowercase().windows(5).any(|w| w == b"close"));
    let timeout = keep_alive_timeout(headers).unwrap_or(options.idle_timeout);
    (!closes).then(|| timeout.saturating_sub(options.idle_margin))
}

/// One of the connections allowed to an address; counted as open until dropped.
#[derive(Debug)]
struct Slot {
    address: SocketAddr,
    connection: Option<Connection>,
    hosts: Arc<Mutex<HashMap<SocketAddr, Host>>>,
}

impl Slot {
    /// Keeps the connection idle for the next request.
    fn keep_idle(mut self, until: Instant) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.reusable_until = until;
        let mut hosts = self.hosts.lock();
        let host = hosts.entry(self.address).or_default();
        // Offsets the decrement in `drop`: the idle connection stays open.
        host.open += 1;
        host.idle.push(connection);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut hosts = self.hosts.lock();
        if let Some(host) = hosts.get_mut(&self.address) {
            host.open = host.open.saturating_sub(1);
        }
    }
}

/// The connection of a response whose body is being read.
#[derive(Debug)]
pub struct Lease {
    slot: Slot,
    idle_time: Option<Duration>,
    options: Arc<Options>,
}

impl Lease {
    /// Releases the connection after the end of the response.
    pub fn release(self) {
        debug_assert!(self.options.idle_margin <= self.options.idle_timeout);
        if let Some(idle_time) = self.idle_time {
            self.slot.keep_idle(Instant::now() + idle_time);
        }
    }
}

fn outgoing(request: Request) -> http::Request<Full<Bytes>> {
    let mut outgoing = http::Request::new(Full::new(request.body));
    *outgoing.method_mut() = request.method;
    *outgoing.uri_mut() = request.target;
    *outgoing.version_mut() = Version::HTTP_11;
    *outgoing.headers_mut() = request.headers;
    outgoing
}

/// The idle timeout of `Keep-Alive: timeout=N`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
