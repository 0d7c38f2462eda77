//! An endpoint in trouble.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use http::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use platform::fixtures;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use standin::ReceivedRequest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Semaphore, watch},
    task::{JoinHandle, JoinSet},
};

use super::{
    conduct::{Conduct, Copy, End},
    work::Log,
};

/// Requests that an endpoint works on at a time.
const SLOTS: usize = 4;
/// Requests that wait; further ones are refused.
const MAX_WAITING: usize = 4;
/// Step in which work goes on, between which the endpoint may be suspended.
const STEP: Duration = Duration::from_millis(10);
/// Longest wait in the queue of a request that names no deadline.
const DEFAULT_WAIT: Duration = Duration::from_secs(5);

/// What an endpoint is, as its entry in the store says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the instance, which it has for one life.
    pub name: Arc<str>,
    pub service: &'static str,
}

impl Identity {
    fn is_engine(&self) -> bool {
        self.service == ENGINES
    }
}

/// Service of the engines in trouble.
pub const ENGINES: &str = "troubled-engines";
/// Service of the plain endpoints in trouble.
pub const PLAIN: &str = "troubled-plain";

/// What is wrong with an endpoint for a while.
#[derive(Debug, Clone, Default)]
struct State {
    is_suspended: bool,
    /// Boxes whose packets do not arrive.
    unheard: BTreeSet<Ipv4Addr>,
    /// Boxes that responses do not reach.
    unreached: BTreeSet<Ipv4Addr>,
}

/// A running endpoint.
pub struct Endpoint {
    pub identity: Identity,
    address: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

struct Shared {
    identity: Identity,
    log: Log,
    slots: Semaphore,
    waiting: Mutex<usize>,
    random: Mutex<ChaCha8Rng>,
    /// Whether it keeps to the protocol.
    is_proper: bool,
}

impl Endpoint {
    /// Starts an endpoint at an address; port 0 takes any free port.
    pub async fn bind(
        identity: Identity,
        address: SocketAddr,
        log: Log,
        seed: u64,
        is_proper: bool,
    ) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, changes) = watch::channel(State::default());
        let shared = Arc::new(Shared {
            identity: identity.clone(),
            log,
            slots: Semaphore::new(SLOTS),
            waiting: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            is_proper,
        });
        let task = tokio::spawn(accept(listener, shared, changes));
        Ok(Endpoint { identity, address, state, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Suspends the endpoint, or ends that: its system goes on accepting connections and bytes.
    pub fn set_suspended(&self, is_suspended: bool) {
        self.state.send_modify(|state| state.is_suspended = is_suspended);
    }

    /// Loses all packets of a box, or ends that; what the endpoint sends arrives.
    pub fn set_unheard(&self, source: Ipv4Addr, is_unheard: bool) {
        self.state.send_modify(|state| set(&mut state.unheard, source, is_unheard));
    }

    /// Holds back all bytes to a box, or ends that; what the box sends arrives.
    pub fn set_unreached(&self, source: Ipv4Addr, is_unreached: bool) {
        self.state.send_modify(|state| set(&mut state.unreached, source, is_unreached));
    }

    /// Ends the endpoint at once, with its port, its connections and its work.
    pub async fn crash(mut self) {
        self.task.abort();
        // Fails as it was aborted.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn set(sources: &mut BTreeSet<Ipv4Addr>, source: Ipv4Addr, is_in: bool) {
    match is_in {
        true => sources.insert(source),
        false => sources.remove(&source),
    };
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut changes: watch::Receiver<State>) {
    // Dropping the set closes all open connections and ends all work.
    let mut open = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, source)) = accepted else { return };
                let connection = Connection::new(stream, source.ip(), changes.clone());
                open.spawn(connection.serve(shared.clone()));
            }
            Ok(()) = changes.changed() => {
                let unheard = changes.borrow_and_update().unheard.clone();
                standin::drop_sources(&listener, &unheard).expect("the filter is valid");
            }
        }
        while open.try_join_next().is_some() {}
    }
}

type Writer = Arc<tokio::sync::Mutex<Option<OwnedWriteHalf>>>;

/// A connection of a box.
struct Connection {
    reader: Option<OwnedReadHalf>,
    /// Shared with copies that are due later.
    writer: Writer,
    source: Option<Ipv4Addr>,
    buffer: Vec<u8>,
    changes: watch::Receiver<State>,
}

impl Connection {
    fn new(stream: TcpStream, source: IpAddr, changes: watch::Receiver<State>) -> Connection {
        // Fails on a connection that is closed already.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let source = match source {
            IpAddr::V4(source) => Some(source),
            IpAddr::V6(_) => None,
        };
        let writer = Arc::new(tokio::sync::Mutex::new(Some(writer)));
        Connection { reader: Some(reader), writer, source, buffer: Vec::new(), changes }
    }

    async fn serve(mut self, shared: Arc<Shared>) {
        while let Some(arrived) = self.read().await {
            running(&mut self.changes).await;
            if !self.respond(&shared, &arrived).await {
                return;
            }
        }
    }

    /// Reads a request, while the packets of some boxes may be lost.
    async fn read(&mut self) -> Option<ReceivedRequest> {
        loop {
            let reader = self.reader.as_mut()?;
            tokio::select! {
                arrived = ReceivedRequest::read(reader, &mut self.buffer, 0) => return arrived,
                Ok(()) = self.changes.changed() => self.filter(),
            }
        }
    }

    fn filter(&mut self) {
        let unheard = self.changes.borrow_and_update().unheard.clone();
        if let Some(reader) = &self.reader {
            standin::drop_sources(reader.as_ref(), &unheard).expect("the filter is valid");
        }
    }

    /// Waits until the box closes the connection; what it sends until then stays in the buffer.
    async fn closed(&mut self) {
        loop {
            let Some(reader) = self.reader.as_mut() else { return };
            tokio::select! {
                read = reader.read_buf(&mut self.buffer) => {
                    if !matches!(read, Ok(1..)) {
                        return;
                    }
                }
                Ok(()) = self.changes.changed() => self.filter(),
            }
        }
    }

    /// Handles a request; returns whether the connection stays open.
    async fn respond(&mut self, shared: &Shared, arrived: &ReceivedRequest) -> bool {
        let id = &arrived.head.id;
        let Identity { name, .. } = &shared.identity;
        let drawn = Conduct::draw(&mut shared.random.lock(), shared.identity.is_engine());
        let conduct = if shared.is_proper { drawn.kept_to_protocol() } else { drawn };
        if arrived.head.instance.as_deref() != Some(&**name) {
            let (status, headers) = fixtures::misdirected_response(id);
            return self.send(status, headers, id, conduct.copy).await;
        }
        let (status, headers) = fixtures::not_run_response(id);
        if conduct.refuses || *shared.waiting.lock() >= MAX_WAITING {
            return self.send(status, headers, id, conduct.copy).await;
        }
        *shared.waiting.lock() += 1;
        let wait = arrived.head.remaining.unwrap_or(DEFAULT_WAIT);
        let slot = tokio::select! {
            slot = shared.slots.acquire() => Ok(slot),
            () = tokio::time::sleep(wait) => Err(true),
            () = self.closed() => Err(false),
        };
        *shared.waiting.lock() -= 1;
        let _slot = match slot {
            Ok(slot) => slot,
            // Its deadline passed in the queue.
            Err(true) => return self.send(status, headers, id, conduct.copy).await,
            Err(false) => return false,
        };
        let _work = shared.log.begin(id, name, shared.identity.is_engine());
        self.work(&conduct, id).await
    }

    /// Works on a request and ends as its conduct says; returns whether the connection stays open.
    async fn work(&mut self, conduct: &Conduct, id: &str) -> bool {
        let is_midway = matches!(conduct.end, End::ResetMidway | End::CloseMidway);
        let before = if is_midway { conduct.work / 2 } else { conduct.work };
        let mut state = self.changes.clone();
        if conduct.outlasts_close {
            work_for(&mut state, before).await;
        } else {
            tokio::select! {
                () = work_for(&mut state, before) => {}
                () = self.closed() => return false,
            }
        }
        let headers = fixtures::response_headers(id, None);
        match conduct.end {
            End::Answer => self.send(StatusCode::OK, headers, id, conduct.copy).await,
            End::Fail => {
                self.send(StatusCode::INTERNAL_SERVER_ERROR, headers, id, conduct.copy).await
            }
            End::Mute => {
                self.send(StatusCode::SERVICE_UNAVAILABLE, headers, id, conduct.copy).await
            }
            End::Reset | End::ResetMidway | End::CloseMidway => {
                self.close(conduct.end != End::CloseMidway).await;
                work_for(&mut state, conduct.work - before).await;
                false
            }
            End::Silence => {
                self.closed().await;
                false
            }
        }
    }

    /// Sends a response, and once more later where that is due; returns whether the connection stays open.
    async fn send(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        id: &str,
        copy: Option<Copy>,
    ) -> bool {
        let body = format!("done {id}");
        if !send(
            &self.writer,
            &mut self.changes,
            self.source,
            standin::response(status, &headers, &body),
        )
        .await
        {
            return false;
        }
        if let Some(copy) = copy {
            let kept = headers.iter().filter(|(_, value)| copy.has_id || *value != id);
            let headers = kept.map(|(name, value)| (name.clone(), value.clone())).collect();
            let bytes = standin::response(status, &headers, &body);
            let (writer, source, mut changes) =
                (self.writer.clone(), self.source, self.changes.clone());
            tokio::spawn(async move {
                tokio::time::sleep(copy.delay).await;
                send(&writer, &mut changes, source, bytes).await
            });
        }
        true
    }

    /// Closes the connection, in order or with a reset.
    async fn close(&mut self, is_reset: bool) {
        running(&mut self.changes).await;
        if let (true, Some(reader)) = (is_reset, &self.reader) {
            // Fails on a connection that is closed already.
            let _ = SockRef::from(reader.as_ref()).set_linger(Some(Duration::ZERO));
        }
        self.reader.take();
        self.writer.lock().await.take();
    }
}

/// Sends bytes once the endpoint runs and reaches the box; returns whether the connection is open.
async fn send(
    writer: &Writer,
    changes: &mut watch::Receiver<State>,
    source: Option<Ipv4Addr>,
    bytes: String,
) -> bool {
    let passes = |state: &State| {
        !state.is_suspended && !source.is_some_and(|source| state.unreached.contains(&source))
    };
    if changes.wait_for(passes).await.is_err() {
        return false;
    }
    match writer.lock().await.as_mut() {
        Some(writer) => writer.write_all(bytes.as_bytes()).await.is_ok(),
        None => false,
    }
}

/// Waits until the endpoint is not suspended.
async fn running(changes: &mut watch::Receiver<State>) {
    // Fails while the endpoint is being dropped, and this task with it.
    let _ = changes.wait_for(|state| !state.is_suspended).await;
}

/// Works for a time, in which the endpoint's suspension does not count.
async fn work_for(changes: &mut watch::Receiver<State>, time: Duration) {
    let mut left = time;
    while !left.is_zero() {
        running(changes).await;
        let step = left.min(STEP);
        tokio::time::sleep(step).await;
        left -= step;
    }
    running(changes).await;
}
