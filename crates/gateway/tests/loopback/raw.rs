//! Responses and requests as raw bytes, for tests of their framing.
//!
//! `start` starts a fleet of one box whose endpoints, one for streams and one for other routes, run the same script;
//! `Fleet::second_box` adds a box that the test can end. `raw` and `raw_after` are the replies of such a script: a head, a
//! body and how the connection ends. A caller is a plain connection to a box: `request` is the text of its request,
//! `connect` sends it, `read_until` reads the beginning of the response. What a test reads beyond that, and how it judges
//! the end, is its own.

use std::{net::SocketAddr, time::Duration};

use gateway::{Gateway, Settings};
use platform::fixtures;
use standin::{Ending, ReceivedRequest, Reply, ScriptedEndpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    harness::{Harness, MAX_WAIT, settings, shared, wait_until_served},
    process::Process,
};

/// Routes that the tests use; the first two are streams.
const ROUTES: [&str; 4] = ["stream", "resume", "confirm", "open"];
/// Time between the last bytes of an endpoint and the end of its connection.
pub const PAUSE: Duration = Duration::from_millis(30);
/// Time for which a response is held open that is to be cut from outside.
pub const LONG_PAUSE: Duration = Duration::from_secs(10);

/// The header line of a response in chunks.
pub const CHUNKED: &str = "transfer-encoding: chunked\r\n";
/// Two events of a stream.
pub const WHOLE: &str = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
/// A stream that stops inside its second event.
pub const IN_EVENT: &str = "id: 1\ndata: x\n\nid: 2\nda";

/// A box and its endpoints.
pub struct Fleet {
    pub gateway: Gateway,
    _endpoints: [ScriptedEndpoint; 2],
    pub harness: Harness,
}

/// Starts a fleet whose endpoints run this script; returns once its routes are served.
pub async fn start(script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static) -> Fleet {
    let harness = Harness::start(1_000_000, &ROUTES).await;
    let script = shared(script);
    let plain = harness.endpoint("i-1", "plain", script.clone()).await;
    let engine = harness.endpoint("i-2", "engines", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    wait_until_served(&harness, &gateway, "/stream/x").await;
    Fleet { gateway, _endpoints: [plain, engine], harness }
}

impl Fleet {
    /// Starts a second box that can end as a process does, with changed settings; returns once it serves streams.
    pub async fn second_box(&self, change: impl FnOnce(&mut Settings)) -> Process {
        let mut settings = settings("box-2", self.harness.platform.socket());
        change(&mut settings);
        let process = Process::start(settings).await;
        wait_until_served(&self.harness, process.gateway(), "/stream/x").await;
        process
    }
}

/// The head of a response, with these lines in addition.
pub fn head(request: &ReceivedRequest, extra: &str) -> String {
    let headers = fixtures::response_headers(&request.head.id, None);
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        format!("{name}: {}\r\n", value.to_str().expect("text"))
    };
    let lines: String = headers.iter().map(line).collect();
    let is_stream = ["/stream/", "/resume/"].iter().any(|route| request.line.contains(route));
    let media_type = if is_stream { "text/event-stream" } else { "text/plain" };
    format!("HTTP/1.1 200 OK\r\n{extra}{lines}content-type: {media_type}\r\n\r\n")
}

/// A response whose connection ends soon after it.
pub fn raw(request: &ReceivedRequest, extra: &str, body: &str, end: Ending) -> Reply {
    raw_after(request, extra, body, PAUSE, end)
}

/// A response whose connection ends after a pause.
pub fn raw_after(
    request: &ReceivedRequest,
    extra: &str,
    body: &str,
    pause: Duration,
    end: Ending,
) -> Reply {
    Reply::Raw((head(request, extra) + body).into_bytes(), pause, end)
}

/// One chunk of a body.
pub fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// The text of a request, with these header lines in addition.
pub fn request(version: &str, path: &str, id: &str, extra: &str) -> String {
    format!(
        "POST {path} {version}\r\nhost: desk.example\r\nattempt-id: {id}\r\napi-key: key-b\r\n\
         token-counts: 1,1\r\ndeadline-ms: 20000\r\n{extra}content-length: 1\r\n\r\nx"
    )
}

/// A connection of a caller that has sent this text.
pub async fn connect(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the box listens");
    stream.write_all(request.as_bytes()).await.expect("the box reads");
    stream
}

/// Reads until the response has this text; returns what came.
pub async fn read_until(stream: &mut TcpStream, text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(text) {
        let read = tokio::time::timeout(MAX_WAIT, stream.read_buf(&mut bytes)).await;
        let count = read.expect("in time").expect("more bytes");
        assert_ne!(count, 0, "the response goes on: {:?}", String::from_utf8_lossy(&bytes));
    }
    bytes
}
