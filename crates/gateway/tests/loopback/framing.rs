//! Framing of responses, as raw bytes: what a caller takes for a whole response was one.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gateway::Gateway;
use http::HeaderMap;
use platform::fixtures;
use standin::{Ending, ReceivedRequest, Reply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    endpoint_cut::Cut,
    harness::{Harness, MAX_WAIT, answer_ok, settings, wait_until, wait_until_served},
    process::Process,
};

/// Routes that the tests use; the first two are streams.
const ROUTES: [&str; 4] = ["stream", "resume", "confirm", "open"];
/// Time between the last bytes of an endpoint and the end of its connection.
const PAUSE: Duration = Duration::from_millis(30);
/// Time for which a response is held open that is to be cut from outside.
const LONG_PAUSE: Duration = Duration::from_secs(10);

/// Two events of a stream.
const WHOLE: &str = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
/// A stream that stops inside its second event.
const IN_EVENT: &str = "id: 1\ndata: x\n\nid: 2\nda";
/// A stream that stops after the last line of its second event.
const BEFORE_END: &str = "id: 1\ndata: x\n\nid: 2\ndata: y\n";

/// How an endpoint frames a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frame {
    /// The connection ends it.
    Close,
    /// Chunks and the last one.
    Chunks,
    /// Chunks without the last one.
    OpenChunks,
    /// Its length.
    Length,
    /// A greater length.
    TooLong,
    /// A length, and further bytes.
    Trailing,
}

/// How a response reaches a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    /// Framed by a length or chunks, and whole by that.
    Framed,
    /// Ended by its connection, as one without a frame ends.
    Closed,
    /// Recognizably not whole.
    Broken,
}

/// The bytes of a response with this body.
fn response(request: &ReceivedRequest, frame: Frame, body: &str) -> Vec<u8> {
    let mut headers = fixtures::response_headers(&request.head.id, None);
    let is_stream = ["/stream/", "/resume/"].iter().any(|route| request.line.contains(route));
    let media_type = if is_stream { "text/event-stream" } else { "text/plain" };
    headers.insert("content-type", media_type.parse().expect("a value"));
    let (framing, body) = match frame {
        Frame::Close => (String::new(), body.to_owned()),
        Frame::Chunks => ("transfer-encoding: chunked\r\n".into(), chunk(body) + "0\r\n\r\n"),
        Frame::OpenChunks => ("transfer-encoding: chunked\r\n".into(), chunk(body)),
        Frame::Length => (format!("content-length: {}\r\n", body.len()), body.to_owned()),
        Frame::TooLong => (format!("content-length: {}\r\n", body.len() + 7), body.to_owned()),
        Frame::Trailing => (format!("content-length: {}\r\n", body.len()), format!("{body}extra")),
    };
    format!("HTTP/1.1 200 OK\r\n{framing}{}\r\n{body}", lines(&headers)).into_bytes()
}

fn lines(headers: &HeaderMap) -> String {
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        format!("{name}: {}\r\n", value.to_str().expect("text"))
    };
    headers.iter().map(line).collect()
}

fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// A connection of a caller that has sent a request.
struct Caller(TcpStream);

impl Caller {
    async fn send(address: SocketAddr, version: &str, path: &str, id: &str) -> Caller {
        let mut stream = TcpStream::connect(address).await.expect("the box listens");
        let request = format!(
            "POST {path} {version}\r\nhost: desk.example\r\nattempt-id: {id}\r\napi-key: key-b\r\n\
             token-counts: 1,1\r\ndeadline-ms: 20000\r\ncontent-length: 1\r\n\r\nx"
        );
        stream.write_all(request.as_bytes()).await.expect("the box reads");
        Caller(stream)
    }

    /// Reads until the body has this text.
    async fn read_until(&mut self, text: &str) -> Vec<u8> {
        let mut bytes = Vec::new();
        while !String::from_utf8_lossy(&bytes).contains(text) {
            let read = tokio::time::timeout(MAX_WAIT, self.0.read_buf(&mut bytes)).await;
            assert_ne!(read.expect("in time").expect("more bytes"), 0, "the response goes on");
        }
        bytes
    }

    /// Reads the rest of a response of which `bytes` have come; returns how it looks, and its body.
    async fn finish(mut self, mut bytes: Vec<u8>) -> (Seen, String) {
        let until = Instant::now() + MAX_WAIT;
        loop {
            if let Some(body) = framed_body(&bytes) {
                return (Seen::Framed, body);
            }
            let left = until.saturating_duration_since(Instant::now());
            let read = tokio::time::timeout(left, self.0.read_buf(&mut bytes)).await;
            match read.expect("the response ends in time") {
                Ok(0) if is_framed(&bytes) => return (Seen::Broken, body(&bytes)),
                Ok(0) => return (Seen::Closed, body(&bytes)),
                Ok(_) => {}
                Err(_) => return (Seen::Broken, body(&bytes)),
            }
        }
    }
}

fn split(bytes: &[u8]) -> (String, String) {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&*text, ""));
    (head.to_lowercase(), body.to_owned())
}

fn is_framed(bytes: &[u8]) -> bool {
    let (head, _) = split(bytes);
    // Without a whole head there is no response at all.
    !head.starts_with("http/1.")
        || head.contains("\r\ncontent-length:")
        || head.contains("\r\ntransfer-encoding:")
}

fn body(bytes: &[u8]) -> String {
    split(bytes).1
}

/// The body if it is whole by its length or chunks.
fn framed_body(bytes: &[u8]) -> Option<String> {
    let (head, body) = split(bytes);
    let header = |name: &str| {
        let line = head.lines().find_map(|line| line.strip_prefix(name))?;
        Some(line.trim_start_matches(':').trim().to_owned())
    };
    if let Some(length) = header("content-length") {
        let length: usize = length.parse().expect("a length");
        return (body.len() >= length).then(|| body[..length].to_owned());
    }
    header("transfer-encoding")?;
    let (mut rest, mut whole) = (&*body, String::new());
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return after.starts_with("\r\n").then_some(whole);
        }
        whole.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}

async fn start(script: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static) -> Fleet {
    let harness = Harness::start(1_000_000, &ROUTES).await;
    let script = crate::harness::shared(script);
    let plain = harness.endpoint("i-1", "plain", script.clone()).await;
    let engine = harness.endpoint("i-2", "engines", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    wait_until_served(&harness, &gateway, "/stream/x").await;
    Fleet { gateway, _endpoints: [plain, engine], harness }
}

struct Fleet {
    gateway: Gateway,
    _endpoints: [standin::ScriptedEndpoint; 2],
    harness: Harness,
}

/// Guards against responses that an endpoint broke off and that reach their caller framed as whole ones.
#[tokio::test]
async fn a_response_that_broke_off_does_not_look_whole() {
    use Ending::{Close, Reset, Stay};
    let cases = [
        // A connection that ends may mean either, so the caller has to see just that.
        ("/stream/x", Frame::Close, WHOLE, Close, Seen::Closed),
        ("/resume/x", Frame::Close, WHOLE, Close, Seen::Closed),
        ("/confirm/x", Frame::Close, "half of it", Close, Seen::Closed),
        ("/stream/x", Frame::Close, WHOLE, Reset, Seen::Broken),
        ("/confirm/x", Frame::Close, "half of it", Reset, Seen::Broken),
        // A stream that stops inside an event broke off, whatever its frame says.
        ("/stream/x", Frame::Close, IN_EVENT, Close, Seen::Broken),
        ("/resume/x", Frame::Close, IN_EVENT, Close, Seen::Broken),
        ("/stream/x", Frame::Close, BEFORE_END, Close, Seen::Broken),
        ("/stream/x", Frame::Chunks, IN_EVENT, Stay, Seen::Broken),
        ("/resume/x", Frame::Chunks, BEFORE_END, Stay, Seen::Broken),
        ("/stream/x", Frame::Length, IN_EVENT, Stay, Seen::Broken),
        ("/stream/x", Frame::Length, BEFORE_END, Stay, Seen::Broken),
        // Other bodies have no events.
        ("/confirm/x", Frame::Chunks, IN_EVENT, Stay, Seen::Framed),
        ("/confirm/x", Frame::Length, IN_EVENT, Stay, Seen::Framed),
        ("/stream/x", Frame::Chunks, WHOLE, Stay, Seen::Framed),
        ("/stream/x", Frame::Length, WHOLE, Stay, Seen::Framed),
        ("/stream/x", Frame::OpenChunks, WHOLE, Close, Seen::Broken),
        ("/stream/x", Frame::OpenChunks, WHOLE, Reset, Seen::Broken),
        ("/confirm/x", Frame::OpenChunks, "half of it", Close, Seen::Broken),
        ("/confirm/x", Frame::OpenChunks, "half of it", Reset, Seen::Broken),
        ("/stream/x", Frame::TooLong, WHOLE, Close, Seen::Broken),
        ("/confirm/x", Frame::TooLong, "half of it", Close, Seen::Broken),
        ("/confirm/x", Frame::TooLong, "half of it", Reset, Seen::Broken),
        ("/confirm/x", Frame::Trailing, "all of it", Stay, Seen::Framed),
    ];
    let fleet = start(move |request| {
        let case = request.head.id.strip_prefix("case-").and_then(|n| n.split('-').next());
        let Some(case) = case else { return answer_ok(request) };
        let (_, frame, text, ending, _) = cases[case.parse::<usize>().expect("a case")];
        Reply::Raw(response(request, frame, text), PAUSE, ending)
    })
    .await;
    let mut wrong = Vec::new();
    for (number, (path, frame, text, ending, expected)) in cases.iter().enumerate() {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let id = format!("case-{number}-{}", &version[5..]);
            let caller = Caller::send(fleet.gateway.callers(), version, path, &id).await;
            let (seen, body) = caller.finish(Vec::new()).await;
            // Callers of HTTP/1.0 know no chunks.
            let expected = match expected {
                Seen::Framed if *frame == Frame::Chunks && version == "HTTP/1.0" => Seen::Closed,
                expected => *expected,
            };
            let is_whole = seen == Seen::Broken || body == *text;
            if seen != expected || !is_whole {
                wrong.push(format!(
                    "{version} {path} {frame:?} {text:?} {ending:?}: {seen:?} {body:?}"
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {}:\n{}", wrong.len(), cases.len() * 2, wrong.join("\n"));
}

/// A stream without a frame that stays open after its first events.
fn held_open(request: &ReceivedRequest) -> Reply {
    match request.head.id.starts_with("held") {
        true => Reply::Raw(response(request, Frame::Close, WHOLE), LONG_PAUSE, Ending::Close),
        false => answer_ok(request),
    }
}

/// Guards against responses without a frame that end like whole ones because the box dies.
#[tokio::test]
async fn a_response_without_a_frame_breaks_with_its_box() {
    let fleet = start(held_open).await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let settings = settings("box-2", fleet.harness.platform.socket());
        let process = Process::start(settings).await;
        let address = process.gateway().callers();
        wait_until_served(&fleet.harness, process.gateway(), "/stream/x").await;
        let mut caller = Caller::send(address, version, "/stream/x", "held-1").await;
        let bytes = caller.read_until("data: y\n\n").await;
        process.kill();
        let (seen, _) = caller.finish(bytes).await;
        assert_eq!(seen, Seen::Broken, "{version}");
    }
}

/// Guards against responses without a frame that end like whole ones because a planned stop runs out of time.
#[tokio::test]
async fn a_response_without_a_frame_breaks_when_a_planned_stop_runs_out_of_time() {
    let fleet = start(held_open).await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let mut settings = settings("box-2", fleet.harness.platform.socket());
        settings.limits.stop_ms = 300;
        let process = Process::start(settings).await;
        let address = process.gateway().callers();
        wait_until_served(&fleet.harness, process.gateway(), "/stream/x").await;
        let mut caller = Caller::send(address, version, "/stream/x", "held-1").await;
        let bytes = caller.read_until("data: y\n\n").await;
        process.stop().await;
        let (seen, _) = caller.finish(bytes).await;
        assert_eq!(seen, Seen::Broken, "{version}");
    }
}

/// Guards against a close that comes before the last bytes of a response without a frame, where its caller reads slowly.
#[tokio::test]
async fn a_slow_caller_gets_all_of_a_response_without_a_frame() {
    let text = WHOLE.repeat(200_000);
    let sent = text.clone();
    let fleet = start(move |request| match &*request.head.id {
        "large" => Reply::Raw(response(request, Frame::Close, &sent), PAUSE, Ending::Close),
        _ => answer_ok(request),
    })
    .await;
    let caller = Caller::send(fleet.gateway.callers(), "HTTP/1.1", "/stream/x", "large").await;
    tokio::time::sleep(PAUSE * 10).await;
    let (seen, body) = caller.finish(Vec::new()).await;
    assert_eq!((seen, body.len()), (Seen::Closed, text.len()));
}

/// Guards against responses without a frame that change their end on the way through another box.
#[tokio::test]
async fn a_detour_passes_on_how_a_response_ends() {
    let fleet = start(|request| match &*request.head.id {
        "closed" => Reply::Raw(response(request, Frame::Close, WHOLE), PAUSE, Ending::Close),
        "reset" => Reply::Raw(response(request, Frame::Close, WHOLE), PAUSE, Ending::Reset),
        _ => held_open(request),
    })
    .await;
    let (cut_box, cut) = fleet.harness.gateway_with_endpoint_cut("cut").await;
    wait_until("the boxes know each other", async || cut_box.peer_count() == 1).await;
    wait_until_served(&fleet.harness, &cut_box, "/stream/x").await;
    cut.begin(Cut::Reset);
    wait_until_served(&fleet.harness, &cut_box, "/stream/x").await;
    for (id, expected) in [("closed", Seen::Closed), ("reset", Seen::Broken)] {
        let caller = Caller::send(cut_box.callers(), "HTTP/1.1", "/stream/x", id).await;
        let (seen, _) = caller.finish(Vec::new()).await;
        assert_eq!(seen, expected, "{id}");
    }
    let mut caller = Caller::send(cut_box.callers(), "HTTP/1.1", "/stream/x", "held-1").await;
    let bytes = caller.read_until("data: y\n\n").await;
    drop(fleet.gateway);
    let (seen, _) = caller.finish(bytes).await;
    assert_eq!(seen, Seen::Broken, "the box between died");
}
