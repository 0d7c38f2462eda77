//! All connections of this box to endpoints.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, Version, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{Body, Fault, connection::Connection};

/// Bounds on connections.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time for a connection to come up.
    pub connect_timeout: Duration,
    /// A connection on which sent bytes stay unacknowledged for this long is given up.
    pub ack_timeout: Duration,
    /// Rest of a connection where the endpoint does not say how long it keeps one.
    pub idle_timeout: Duration,
    /// A connection is not used again this long before the endpoint may close it.
    pub idle_margin: Duration,
}

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers, the length of the body among them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The answer of an endpoint.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// Body; reading it to its end frees the connection, dropping it closes the connection.
    pub body: Body,
    /// Whether it came on a connection that was used before.
    pub reused: bool,
}

/// All connections of this box to endpoints.
#[derive(Debug, Clone)]
pub struct Connections {
    options: Arc<Options>,
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

#[derive(Debug, Default)]
struct Peer {
    resting: Vec<Connection>,
    open: usize,
    opened: u64,
}

impl Connections {
    /// No connections yet.
    pub fn new(options: Options) -> Connections {
        Connections { options: Arc::new(options), peers: Arc::default() }
    }

    /// Sends a request on a connection of its own, at most `most` of them to this address.
    ///
    /// Dropping the future closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        most: usize,
        request: Request,
    ) -> Result<Answer, Fault> {
        self.connect(address, most).await?.send(request).await
    }

    /// Finds a resting connection to an address or opens one, at most `most` of them; nothing is sent yet.
    pub async fn connect(&self, address: SocketAddr, most: usize) -> Result<Ready, Fault> {
        let mut place = self.place(address, most)?;
        let reused = place.connection.is_some();
        if !reused {
            let opened =
                Connection::open(address, self.options.connect_timeout, self.options.ack_timeout)
                    .await?;
            self.peers.lock().entry(address).or_default().opened += 1;
            place.connection = Some(opened);
        }
        Ok(Ready { place, reused, options: self.options.clone() })
    }

    /// A place among the connections to an address, with a resting connection if there is one.
    fn place(&self, address: SocketAddr, most: usize) -> Result<Place, Fault> {
        let mut peers = self.peers.lock();
        let peer = peers.entry(address).or_default();
        let now = Instant::now();
        let before = peer.resting.len();
        peer.resting.retain(|connection| !connection.is_closed() && connection.rests_until > now);
        peer.open -= before - peer.resting.len();
        let ready = peer.resting.iter().rposition(Connection::is_ready);
        let connection = ready.map(|at| peer.resting.remove(at));
        match connection {
            Some(_) => {}
            None if peer.open >= most => return Err(Fault::Full { most }),
            None => peer.open += 1,
        }
        Ok(Place { address, connection, peers: self.peers.clone() })
    }

    /// Closes the resting connections to an address that is of no more use.
    pub fn forget(&self, address: SocketAddr) {
        let mut peers = self.peers.lock();
        if let Some(peer) = peers.get_mut(&address) {
            peer.open -= peer.resting.len();
            peer.resting.clear();
        }
        peers.retain(|_, peer| peer.open > 0);
    }

    /// Closes all resting connections: they may be dead without a sign of it.
    pub fn close_idle(&self) {
        let mut peers = self.peers.lock();
        for peer in peers.values_mut() {
            peer.open -= peer.resting.len();
            peer.resting.clear();
        }
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.peers.lock().values().map(|peer| peer.opened).sum()
    }

    /// Connections open to an address.
    pub fn open(&self, address: SocketAddr) -> usize {
        self.peers.lock().get(&address).map_or(0, |peer| peer.open)
    }
}

/// A connection on which a request may be sent.
#[derive(Debug)]
pub struct Ready {
    place: Place,
    reused: bool,
    options: Arc<Options>,
}

impl Ready {
    /// Sends a request. Dropping the future closes the connection.
    pub async fn send(mut self, request: Request) -> Result<Answer, Fault> {
        let connection = self.place.connection.as_mut().expect("it is there until it is given up");
        let response = connection.send(outgoing(request)).await?;
        let rest = rest(&response, &self.options);
        let lease = Lease { place: self.place, rest, options: self.options };
        let (head, body) = response.into_parts();
        Ok(Answer { head, body: Body::new(body, lease), reused: self.reused })
    }

    /// Gives the connection back unused.
    pub fn release(self) {
        let connection = self.place.connection.as_ref().map(|connection| connection.rests_until);
        let until = connection.filter(|_| self.reused);
        let fresh =
            Instant::now() + self.options.idle_timeout.saturating_sub(self.options.idle_margin);
        self.place.keep(until.unwrap_or(fresh));
    }
}

/// How long the connection of an answer may rest; `None` if it ends with the answer.
fn rest(response: &Response<Incoming>, options: &Options) -> Option<Duration> {
    let headers = response.headers();
    let ends = headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().to_ascii_lowercase().windows(5).any(|w| w == b"close"));
    let rest = kept_for(headers).unwrap_or(options.idle_timeout);
    (!ends).then(|| rest.saturating_sub(options.idle_margin))
}

/// One of the connections that may be open to an address, counted while this lives.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    connection: Option<Connection>,
    peers: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

impl Place {
    /// Keeps the connection for the next request.
    fn keep(mut self, until: Instant) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.rests_until = until;
        let mut peers = self.peers.lock();
        let peer = peers.entry(self.address).or_default();
        // What `drop` counts down when this ends stays counted for the resting connection.
        peer.open += 1;
        peer.resting.push(connection);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut peers = self.peers.lock();
        if let Some(peer) = peers.get_mut(&self.address) {
            peer.open = peer.open.saturating_sub(1);
        }
    }
}

/// The connection of an answer that is being read.
#[derive(Debug)]
pub struct Lease {
    place: Place,
    rest: Option<Duration>,
    options: Arc<Options>,
}

impl Lease {
    /// The answer was read to its end.
    pub fn end(self) {
        debug_assert!(self.options.idle_margin <= self.options.idle_timeout);
        if let Some(rest) = self.rest {
            self.place.keep(Instant::now() + rest);
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

/// Seconds that `Keep-Alive: timeout=N` grants.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
