//! Reuse and limits of connections to endpoints.

use std::{collections::HashMap, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri, Version, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    Body, Dialer, Fault, Framing,
    connection::{self, Connection},
    detour::{Detour, Way},
    host::{CHECK_INTERVAL, Host},
    opener::{Opened, Opener, Port},
    options::Options,
    tag::Tag,
};

/// How long the detour to an endpoint is not tried again after it failed.
const DETOUR_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without anything from an endpoint, after a request on a kept connection, after which the direct way to it is checked:
/// most responses of a busy endpoint begin earlier, and each check costs a connection.
const MAX_SILENCE: Duration = Duration::from_millis(400);
/// Maximum number of endpoints that are checked at a time because another one was cut off.
const MAX_SWEPT: usize = 32;

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers, which must include `Content-Length`.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub tag: Tag,
}

/// The response of an endpoint.
#[derive(Debug)]
pub struct Answer {
    pub head: response::Parts,
    /// Reading it to its end releases the connection; dropping it earlier closes the connection.
    pub body: Body,
    /// What marks the end of the body.
    pub framing: Framing,
    /// Number of requests that the connection had carried before.
    pub carried_before: u64,
}

/// All connections to endpoints.
#[derive(Debug, Clone)]
pub struct Connections {
    opener: Opener,
    hosts: Arc<Mutex<HashMap<SocketAddr, Host>>>,
    /// When kept connections to other endpoints were last checked.
    swept_at: Arc<Mutex<Option<Instant>>>,
}

impl Connections {
    /// Starts without connections.
    pub fn new(options: Options, dialer: Dialer, detour: Detour) -> Connections {
        let opener = Opener { options: Arc::new(options), dialer, detour };
        Connections { opener, hosts: Arc::default(), swept_at: Arc::default() }
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
        self.connect(address, max_open, &request.tag).await?.send(request).await
    }

    /// Reuses an idle connection to an address or opens one, without sending anything. At most `max_open` may be open. No late
    /// response to an earlier request on the connection can be taken for that to the request with this tag.
    pub async fn connect(
        &self,
        address: SocketAddr,
        max_open: usize,
        tag: &Tag,
    ) -> Result<ReadyConnection, Fault> {
        let mut slot = self.reserve_slot(address, max_open, tag)?;
        let reused = slot.connection.is_some();
        let expected = self.expected_way(address);
        if !reused {
            let opened = self.open(address, expected).await?;
            slot.connection = Some(opened);
        }
        Ok(ReadyConnection { slot, reused, max_open, connections: self.clone() })
    }

    /// Opens a connection. If neither way worked just now, only the direct one is tried: an endpoint that is down or
    /// overloaded does not get the attempts of other boxes as well.
    async fn open(&self, address: SocketAddr, expected: Way) -> Result<Connection, Fault> {
        let is_recent = |at: Instant| at.elapsed() < DETOUR_RETRY_DELAY;
        let has_failed = {
            let hosts = self.hosts.lock();
            hosts.get(&address).and_then(|host| host.detour_failed_at).is_some_and(is_recent)
        };
        let opened = match has_failed {
            true => self.opener.open_directly(address).await?,
            false => {
                let opened = self.opener.open(address, expected).await;
                self.hosts.lock().entry(address).or_default().detour_failed_at =
                    opened.is_err().then(Instant::now);
                opened?
            }
        };
        self.record_opened(address, &opened);
        Ok(opened.connection)
    }

    /// The way that is expected to reach an address. Now and then, tries whether the direct one does again.
    fn expected_way(&self, address: SocketAddr) -> Way {
        let mut hosts = self.hosts.lock();
        let Some(host) = hosts.get_mut(&address) else { return Way::Direct };
        if host.take_check(Instant::now()) {
            let (connections, opening) = (self.clone(), self.opener.begin(address, Way::Direct));
            tokio::spawn(async move {
                match opening.await {
                    Ok(_) => connections.end_cut(address),
                    Err(_) => connections.confirm_cut(address),
                }
            });
        }
        host.expected_way()
    }

    /// Learns from an opened connection whether the box is cut off from the endpoint.
    fn record_opened(&self, address: SocketAddr, opened: &Opened) {
        self.hosts.lock().entry(address).or_default().opened += 1;
        match opened.connection.way {
            Way::Direct => self.end_cut(address),
            Way::Detour => self.begin_cut(address, opened.direct_hangs),
        }
    }

    /// The detour reaches an address and the direct way does not.
    fn begin_cut(&self, address: SocketAddr, hangs: bool) {
        {
            let mut hosts = self.hosts.lock();
            let host = hosts.entry(address).or_default();
            if hangs {
                host.close_idle(|connection| connection.way == Way::Direct);
            }
            if !host.begin_cut(Instant::now()) {
                return;
            }
        }
        tracing::warn!(event = "endpoint_cut_off", %address, hangs);
        self.sweep(address);
    }

    /// The direct way to an address still does not work.
    fn confirm_cut(&self, address: SocketAddr) {
        if let Some(host) = self.hosts.lock().get_mut(&address) {
            host.confirm_cut(Instant::now());
        }
    }

    /// The direct way to an address works.
    fn end_cut(&self, address: SocketAddr) {
        let mut hosts = self.hosts.lock();
        let ended = hosts.get_mut(&address).and_then(Host::end_cut);
        if ended.is_some() {
            tracing::info!(event = "endpoint_reached_again", %address);
        }
    }

    /// Checks the direct way to other endpoints to which idle connections are kept: a cut seldom concerns a single
    /// one, and a request that is sent on a dead connection is lost.
    fn sweep(&self, except: SocketAddr) {
        let now = Instant::now();
        {
            let mut swept_at = self.swept_at.lock();
            if swept_at.is_some_and(|at| now < at + CHECK_INTERVAL) {
                return;
            }
            *swept_at = Some(now);
        }
        let addresses: Vec<SocketAddr> = {
            let hosts = self.hosts.lock();
            let at_risk = hosts.iter().filter(|(address, host)| {
                **address != except && host.cut_off.is_none() && !host.idle.is_empty()
            });
            at_risk.map(|(address, _)| *address).take(MAX_SWEPT).collect()
        };
        for address in addresses {
            self.hosts.lock().entry(address).or_default().open += 1;
            self.check(Slot { address, connection: None, hosts: self.hosts.clone() });
        }
    }

    /// Opens a connection to see which way works, and keeps it.
    fn check(&self, mut slot: Slot) {
        let connections = self.clone();
        tokio::spawn(async move {
            let opened = connections.open(slot.address, Way::Direct).await;
            let Ok(connection) = opened else { return };
            slot.connection = Some(connection);
            slot.keep_idle(Instant::now() + connections.opener.options.reuse_time());
        });
    }

    /// Checks the direct way to an address from which nothing came since a request was sent on a kept connection: new
    /// connections show a cut by themselves, and there may be no need of one while kept ones are left.
    fn check_silence(&self, address: SocketAddr, max_open: usize, sent_at: Instant) {
        let mut hosts = self.hosts.lock();
        let Some(host) = hosts.get_mut(&address).filter(|host| host.open < max_open) else {
            return;
        };
        if !host.take_silence_check(sent_at, Instant::now()) {
            return;
        }
        host.open += 1;
        drop(hosts);
        tracing::debug!(event = "silence_checked", %address);
        self.check(Slot { address, connection: None, hosts: self.hosts.clone() });
    }

    /// Whether this box was cut off just now from an endpoint that others reach.
    pub fn is_cut_off(&self, address: SocketAddr) -> bool {
        let hosts = self.hosts.lock();
        hosts.get(&address).is_some_and(Host::is_cut_off)
    }

    /// Number of endpoints that this box was cut off from just now.
    pub fn count_cut_off(&self) -> usize {
        self.hosts.lock().values().filter(|host| host.is_cut_off()).count()
    }

    /// Sets the options of a connection to an endpoint that is opened for another box.
    pub fn configure(&self, stream: &TcpStream) -> std::io::Result<()> {
        connection::configure(stream, self.opener.options.ack_timeout)
    }

    /// Looks at the port of an endpoint, from here and, if it is closed, from other boxes.
    pub async fn probe(&self, address: SocketAddr) -> Port {
        let probe = self.opener.probe(address).await;
        if probe.is_cut_off {
            self.begin_cut(address, false);
        }
        probe.port
    }

    /// Reserves one of the connections allowed to an address, with an idle connection if there is one for this request.
    fn reserve_slot(&self, address: SocketAddr, max_open: usize, tag: &Tag) -> Result<Slot, Fault> {
        let mut hosts = self.hosts.lock();
        let host = hosts.entry(address).or_default();
        let now = Instant::now();
        host.close_idle(|connection| connection.is_closed() || connection.reusable_until <= now);
        let position = host.ready_position(tag, now);
        let connection = position.map(|at| host.idle.remove(at));
        if connection.is_none() && host.open >= max_open {
            // An idle connection that this request cannot use makes room for one that it can.
            host.close_one_idle();
        }
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
            host.close_idle(|_| true);
        }
        hosts.retain(|known, host| host.open > 0 || (*known != address && host.is_cut_off()));
    }

    /// Closes all idle connections, which may have broken unnoticed.
    pub fn close_idle(&self) {
        let mut hosts = self.hosts.lock();
        hosts.values_mut().for_each(|host| host.close_idle(|_| true));
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
    max_open: usize,
    connections: Connections,
}

impl ReadyConnection {
    /// Sends a request. Dropping the future closes the connection.
    pub async fn send(mut self, request: Request) -> Result<Answer, Fault> {
        let carried_before = self.slot.carried_before();
        let response = self.exchange(request).await?;
        self.slot.hear();
        let options = self.connections.opener.options;
        let idle_time = idle_time(&response, &options);
        let lease = Lease { slot: self.slot, idle_time, options };
        let (head, body) = response.into_parts();
        let framing = Framing::of(&head.headers, http_body::Body::is_end_stream(&body));
        let body = Body::new(body, lease);
        Ok(Answer { head, body, framing, carried_before })
    }

    /// Sends a request and waits for the head of its response. A direct connection that was kept and stays silent has the
    /// direct way checked meanwhile.
    async fn exchange(&mut self, request: Request) -> Result<Response<Incoming>, Fault> {
        let (is_direct, address) = (!self.is_detour(), self.slot.address);
        let connection = self.slot.connection.as_mut().expect("a ready connection is present");
        let sent_at = Instant::now();
        let tag = request.tag.clone();
        let mut sending = pin!(connection.send(outgoing(request), &tag));
        if let Ok(response) = timeout(MAX_SILENCE, &mut sending).await {
            return response;
        }
        if is_direct && self.reused {
            self.connections.check_silence(address, self.max_open, sent_at);
        }
        sending.await
    }

    /// Whether another box carries the connection.
    pub fn is_detour(&self) -> bool {
        self.slot.connection.as_ref().is_some_and(|connection| connection.way == Way::Detour)
    }

    /// Returns the connection unused.
    pub fn release(self) {
        let previous = self.slot.connection.as_ref().map(|connection| connection.reusable_until);
        let until = previous.filter(|_| self.reused);
        let fresh = Instant::now() + self.connections.opener.options.reuse_time();
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
    /// Number of requests that the connection has carried.
    fn carried_before(&self) -> u64 {
        self.connection.as_ref().map_or(0, |connection| connection.carried().count())
    }

    /// A part of a response came on the connection.
    fn hear(&self) {
        self.connection.iter().for_each(Connection::hear);
        if self.connection.as_ref().is_some_and(|connection| connection.way == Way::Direct)
            && let Some(host) = self.hosts.lock().get_mut(&self.address)
        {
            host.hear(Instant::now());
        }
    }

    /// Keeps the connection idle for the next request.
    fn keep_idle(mut self, until: Instant) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.reusable_until = until;
        let mut hosts = self.hosts.lock();
        let host = hosts.entry(self.address).or_default();
        if !host.keeps(&connection) || connection.carried().is_full() {
            return;
        }
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
    /// A part of the response came.
    pub fn hear(&self) {
        self.slot.hear();
    }

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
