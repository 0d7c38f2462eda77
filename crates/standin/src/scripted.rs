//! An endpoint that responds to each request as a script decides, even in violation of the
//! protocol.

use std::{
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Weak},
    time::Duration,
};

use http::{HeaderMap, StatusCode};
use parking_lot::Mutex;
use platform::fixtures::ForwardedHead;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::{JoinHandle, JoinSet},
    time::Instant,
};

use crate::source_filter;

/// Largest head of a request, in bytes; a larger one ends the connection.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request as the endpoint received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Request line.
    pub line: String,
    /// Headers that the router sets.
    pub head: ForwardedHead,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the connection that it arrived on, from 1.
    pub connection: usize,
}

/// How an endpoint responds to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends a complete response with a length.
    Complete(StatusCode, HeaderMap, String),
    /// Sends a complete response with a length, followed by further bytes.
    TrailingData(StatusCode, HeaderMap, String, String),
    /// Sends a response without a length and closes the connection.
    Unframed(HeaderMap, String),
    /// Sends a response without a length and resets the connection.
    UnframedReset(HeaderMap, String),
    /// Sends a complete chunked response, one event in each chunk, with a pause after each.
    Events(HeaderMap, Vec<String>, Duration),
    /// Sends events in chunks and closes the connection without the last chunk.
    Truncated(HeaderMap, Vec<String>),
    /// Sends these bytes as they are, waits, and ends the connection.
    Raw(Vec<u8>, Duration, Ending),
    /// Sends these parts as they are, waits after each, and ends the connection.
    RawParts(Vec<Vec<u8>>, Duration, Ending),
    /// Sends the first bytes once, and the others again and again until the connection is closed.
    Endless(Vec<u8>, Vec<u8>),
    /// Sends one reply, waits, and sends another one, unless the first ends the connection.
    Two(Box<Reply>, Duration, Box<Reply>),
    /// Closes the connection without a response.
    Close,
    /// Never responds, but goes on reading.
    Silent,
    /// Closes its port and all its connections, without a response.
    End,
    /// Begins a chunked response, and after the duration closes its port and all its connections.
    Crash(HeaderMap, Duration),
    /// The same, with a response without a length.
    CrashUnframed(HeaderMap, Duration),
}

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Its bytes end, as they do after a whole response.
    Close,
    /// With a reset.
    Reset,
    /// It stays open.
    Stay,
}

type Script = dyn Fn(&ReceivedRequest) -> Reply + Send + Sync;

#[derive(Default)]
struct State {
    arrived: Vec<ReceivedRequest>,
    connections: usize,
    closed: usize,
    broken_by_cuts: Vec<Broken>,
    endless_bytes: u64,
    /// What each open connection replies to, by the source of the connection.
    current: Vec<(IpAddr, Weak<Mutex<Option<String>>>)>,
}

/// A request whose connection was closed before the end of the reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Its id.
    pub id: String,
    /// When the connection was closed.
    pub at: Instant,
}

/// Id of the request that a connection replies to.
type Current = Arc<Mutex<Option<String>>>;

/// A running endpoint on loopback; it stops when dropped.
pub struct ScriptedEndpoint {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Sources that are cut off.
    cut_off: watch::Sender<BTreeSet<Ipv4Addr>>,
    task: JoinHandle<()>,
}

impl ScriptedEndpoint {
    /// Binds a free loopback port and responds to each request as `script` returns.
    pub async fn spawn(
        script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let address = listener.local_addr().expect("a bound socket has an address");
        let state: Arc<Mutex<State>> = Arc::default();
        let (script, shared): (Arc<Script>, _) = (Arc::new(script), state.clone());
        let (cut_off, mut cuts) = watch::channel(BTreeSet::new());
        let task = tokio::spawn(async move {
            let crash = Arc::new(Notify::new());
            // Dropping the set closes all open connections.
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, source)) = accepted else { return };
                        let (script, crash) = (script.clone(), crash.clone());
                        let (shared, current) = (shared.clone(), Current::default());
                        let serving = serve(stream, script, shared.clone(), crash, current.clone());
                        let cut = wait_cut(source.ip(), cuts.clone());
                        shared.lock().current.push((source.ip(), Arc::downgrade(&current)));
                        open.spawn(until_cut(serving, cut, shared, current));
                    }
                    Ok(()) = cuts.changed() => {
                        let sources = cuts.borrow_and_update().clone();
                        source_filter::drop_sources(&listener, &sources).expect("the filter is valid");
                    }
                    () = crash.notified() => return,
                }
            }
        });
        ScriptedEndpoint { address, state, cut_off, task }
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts a source off, or ends that: its open connections are closed, and new ones get no answer.
    pub fn set_cut_off(&self, source: Ipv4Addr, is_cut_off: bool) {
        self.cut_off.send_modify(|sources| {
            match is_cut_off {
                true => sources.insert(source),
                false => sources.remove(&source),
            };
        });
    }

    /// A source is killed now: its connections break, also those that it carries for others.
    pub fn note_killed(&self, source: Ipv4Addr) {
        let mut state = self.state.lock();
        state.current.retain(|(_, current)| current.strong_count() > 0);
        let of_source = state.current.iter().filter(|(other, _)| *other == source);
        let ids = of_source.filter_map(|(_, current)| current.upgrade()?.lock().clone());
        let broken: Vec<Broken> = ids.map(|id| Broken { id, at: Instant::now() }).collect();
        state.broken_by_cuts.extend(broken);
    }

    /// Requests whose connections cuts and kills of their sources closed so far, in order.
    pub fn broken_by_cuts(&self) -> Vec<Broken> {
        self.state.lock().broken_by_cuts.clone()
    }

    /// All requests received so far, in order.
    pub fn arrived(&self) -> Vec<ReceivedRequest> {
        self.state.lock().arrived.clone()
    }

    /// Whether the endpoint has crashed.
    pub fn has_crashed(&self) -> bool {
        self.task.is_finished()
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.state.lock().connections
    }

    /// Bytes that were sent again and again so far.
    pub fn endless_bytes(&self) -> u64 {
        self.state.lock().endless_bytes
    }

    /// Number of connections that have ended.
    pub fn closed(&self) -> usize {
        self.state.lock().closed
    }
}

impl Drop for ScriptedEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves a connection until its source is cut off, and records the request that this breaks.
async fn until_cut(
    serving: impl Future<Output = ()>,
    cut: impl Future<Output = ()>,
    state: Arc<Mutex<State>>,
    current: Current,
) {
    tokio::select! {
        () = serving => {}
        () = cut => {
            let broken = current.lock().take().map(|id| Broken { id, at: Instant::now() });
            state.lock().broken_by_cuts.extend(broken);
        }
    }
}

/// Waits until a source is cut off.
async fn wait_cut(source: IpAddr, mut cuts: watch::Receiver<BTreeSet<Ipv4Addr>>) {
    let is_cut = |sources: &BTreeSet<Ipv4Addr>| matches!(source, IpAddr::V4(source) if sources.contains(&source));
    if cuts.wait_for(is_cut).await.is_err() {
        // The endpoint is being dropped, and this task with it.
        std::future::pending().await
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Arc<Script>,
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
    current: Current,
) {
    let _ = stream.set_nodelay(true);
    let connection = {
        let mut state = state.lock();
        state.connections += 1;
        state.connections
    };
    let mut buffer = Vec::new();
    while let Some(arrived) = ReceivedRequest::read(&mut stream, &mut buffer, connection).await {
        let reply = script(&arrived);
        *current.lock() = Some(arrived.head.id.clone());
        state.lock().arrived.push(arrived);
        let crashes = matches!(reply, Reply::End | Reply::Crash(..) | Reply::CrashUnframed(..));
        let stays_open = match reply {
            Reply::Endless(start, repeated) => {
                send_endless(&mut stream, &start, &repeated, &state).await;
                false
            }
            reply => send_reply(&mut stream, reply).await,
        };
        current.lock().take();
        if crashes {
            crash.notify_one();
        }
        if !stays_open {
            break;
        }
    }
    state.lock().closed += 1;
}

impl ReceivedRequest {
    /// Reads a request; what follows it stays in the buffer. `None` if the connection ends or the head is malformed.
    pub async fn read(
        stream: &mut (impl AsyncRead + Unpin),
        buffer: &mut Vec<u8>,
        connection: usize,
    ) -> Option<ReceivedRequest> {
        let end = loop {
            let found = buffer.windows(4).position(|window| window == b"\r\n\r\n");
            match found {
                Some(at) => break at + 4,
                None if buffer.len() > MAX_HEAD_BYTES => return None,
                None if stream.read_buf(buffer).await.ok()? == 0 => return None,
                None => {}
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let mut lines = head.lines();
        let line = lines.next()?.to_owned();
        let mut headers = HeaderMap::new();
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let name: http::HeaderName = name.trim().parse().ok()?;
            headers.append(name, value.trim().parse().ok()?);
        }
        let length = headers.get(http::header::CONTENT_LENGTH);
        let length: usize = length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
        while buffer.len() < end + length {
            if stream.read_buf(buffer).await.ok()? == 0 {
                return None;
            }
        }
        let body = buffer[end..end + length].to_vec();
        buffer.drain(..end + length);
        Some(ReceivedRequest { line, head: ForwardedHead::read(&headers), body, connection })
    }
}

fn head(status: StatusCode, headers: &HeaderMap, framing: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n{framing}");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap_or_default()));
    }
    text + "\r\n"
}

/// A complete response with a length, as text.
pub fn response(status: StatusCode, headers: &HeaderMap, body: &str) -> String {
    head(status, headers, &format!("content-length: {}\r\n", body.len())) + body
}

fn chunk(event: &str) -> String {
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Sends a reply; returns whether the connection stays open.
async fn send_reply(stream: &mut TcpStream, reply: Reply) -> bool {
    const CHUNKED: &str = "transfer-encoding: chunked\r\n";
    match reply {
        Reply::Complete(status, headers, body) => {
            stream.write_all(response(status, &headers, &body).as_bytes()).await.is_ok()
        }
        Reply::TrailingData(status, headers, body, extra) => {
            let bytes = response(status, &headers, &body) + &extra;
            stream.write_all(bytes.as_bytes()).await.is_ok()
        }
        Reply::Unframed(headers, body) => {
            let bytes = head(StatusCode::OK, &headers, "") + &body;
            let _ = stream.write_all(bytes.as_bytes()).await;
            false
        }
        Reply::UnframedReset(headers, body) => {
            let bytes = head(StatusCode::OK, &headers, "") + &body;
            let _ = stream.write_all(bytes.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            false
        }
        Reply::Events(headers, events, pause) => {
            let mut bytes = head(StatusCode::OK, &headers, CHUNKED);
            for event in events {
                bytes.push_str(&chunk(&event));
                if stream.write_all(bytes.as_bytes()).await.is_err() {
                    return false;
                }
                bytes.clear();
                tokio::time::sleep(pause).await;
            }
            stream.write_all(b"0\r\n\r\n").await.is_ok()
        }
        Reply::Truncated(headers, events) => {
            let chunks: String = events.iter().map(|event| chunk(event)).collect();
            let bytes = head(StatusCode::OK, &headers, CHUNKED) + &chunks;
            let _ = stream.write_all(bytes.as_bytes()).await;
            false
        }
        Reply::Crash(headers, after) => {
            let bytes = head(StatusCode::OK, &headers, CHUNKED);
            let _ = stream.write_all(bytes.as_bytes()).await;
            tokio::time::sleep(after).await;
            false
        }
        Reply::CrashUnframed(headers, after) => {
            let bytes = head(StatusCode::OK, &headers, "") + "a part";
            let _ = stream.write_all(bytes.as_bytes()).await;
            tokio::time::sleep(after).await;
            false
        }
        Reply::Two(first, pause, second) => {
            let stays_open = Box::pin(send_reply(stream, *first)).await;
            tokio::time::sleep(pause).await;
            stays_open && Box::pin(send_reply(stream, *second)).await
        }
        Reply::Raw(bytes, pause, ending) => send_parts(stream, vec![bytes], pause, ending).await,
        Reply::RawParts(parts, pause, ending) => send_parts(stream, parts, pause, ending).await,
        // Counted where it is sent.
        Reply::Endless(..) | Reply::End | Reply::Close => false,
        Reply::Silent => {
            let mut rest = Vec::new();
            while matches!(stream.read_buf(&mut rest).await, Ok(read) if read > 0) {}
            false
        }
    }
}

/// Sends bytes again and again until the connection is closed.
async fn send_endless(stream: &mut TcpStream, start: &[u8], repeated: &[u8], state: &Mutex<State>) {
    let mut sent = stream.write_all(start).await;
    while sent.is_ok() {
        sent = stream.write_all(repeated).await;
        state.lock().endless_bytes += repeated.len() as u64;
    }
}

/// Sends parts with a pause after each, then ends the connection; returns whether it stays open.
async fn send_parts(
    stream: &mut TcpStream,
    parts: Vec<Vec<u8>>,
    pause: Duration,
    ending: Ending,
) -> bool {
    for part in parts {
        if stream.write_all(&part).await.is_err() {
            return false;
        }
        tokio::time::sleep(pause).await;
    }
    if ending == Ending::Reset {
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
    }
    ending == Ending::Stay
}
