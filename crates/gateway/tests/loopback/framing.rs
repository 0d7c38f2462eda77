//! Framing of responses, as raw bytes: what a caller takes for a whole response was one.

use std::{net::SocketAddr, time::Instant};

use standin::{Ending, ReceivedRequest, Reply};
use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::{
    endpoint_cut::Cut,
    harness::{MAX_WAIT, answer_ok, wait_until, wait_until_served},
    raw::{
        CHUNKED, IN_EVENT, LONG_PAUSE, PAUSE, WHOLE, chunk, connect, raw, raw_after, read_until,
        request, start,
    },
};

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

impl Frame {
    /// The header lines and the bytes of a body in this frame.
    fn apply(self, body: &str) -> (String, String) {
        let length = |length: usize| format!("content-length: {length}\r\n");
        match self {
            Frame::Close => (String::new(), body.to_owned()),
            Frame::Chunks => (CHUNKED.to_owned(), chunk(body) + "0\r\n\r\n"),
            Frame::OpenChunks => (CHUNKED.to_owned(), chunk(body)),
            Frame::Length => (length(body.len()), body.to_owned()),
            Frame::TooLong => (length(body.len() + 7), body.to_owned()),
            Frame::Trailing => (length(body.len()), format!("{body}extra")),
        }
    }
}

/// A connection of a caller that has sent a request.
async fn send(address: SocketAddr, version: &str, path: &str, id: &str) -> TcpStream {
    connect(address, &request(version, path, id, "")).await
}

/// Reads the rest of a response of which `bytes` have come; returns how it looks, and its body.
async fn finish(mut caller: TcpStream, mut bytes: Vec<u8>) -> (Seen, String) {
    let until = Instant::now() + MAX_WAIT;
    loop {
        if let Some(body) = framed_body(&bytes) {
            return (Seen::Framed, body);
        }
        let left = until.saturating_duration_since(Instant::now());
        let read = tokio::time::timeout(left, caller.read_buf(&mut bytes)).await;
        match read.expect("the response ends in time") {
            Ok(0) if is_framed(&bytes) => return (Seen::Broken, body(&bytes)),
            Ok(0) => return (Seen::Closed, body(&bytes)),
            Ok(_) => {}
            Err(_) => return (Seen::Broken, body(&bytes)),
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
    let has_whole_head = bytes.windows(4).any(|window| window == b"\r\n\r\n");
    let (head, body) = has_whole_head.then(|| split(bytes))?;
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
        let (extra, body) = frame.apply(text);
        raw(request, &extra, &body, ending)
    })
    .await;
    let mut wrong = Vec::new();
    for (number, (path, frame, text, ending, expected)) in cases.iter().enumerate() {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let id = format!("case-{number}-{}", &version[5..]);
            let caller = send(fleet.gateway.callers(), version, path, &id).await;
            let (seen, body) = finish(caller, Vec::new()).await;
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
        true => raw_after(request, "", WHOLE, LONG_PAUSE, Ending::Close),
        false => answer_ok(request),
    }
}

/// Guards against responses without a frame that end like whole ones because the box dies.
#[tokio::test]
async fn a_response_without_a_frame_breaks_with_its_box() {
    let fleet = start(held_open).await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let process = fleet.second_box(|_| ()).await;
        let address = process.gateway().callers();
        let mut caller = send(address, version, "/stream/x", "held-1").await;
        let bytes = read_until(&mut caller, "data: y\n\n").await;
        process.kill();
        let (seen, _) = finish(caller, bytes).await;
        assert_eq!(seen, Seen::Broken, "{version}");
    }
}

/// Guards against responses without a frame that end like whole ones because a planned stop runs out of time.
#[tokio::test]
async fn a_response_without_a_frame_breaks_when_a_planned_stop_runs_out_of_time() {
    let fleet = start(held_open).await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let process = fleet.second_box(|settings| settings.limits.stop_ms = 300).await;
        let address = process.gateway().callers();
        let mut caller = send(address, version, "/stream/x", "held-1").await;
        let bytes = read_until(&mut caller, "data: y\n\n").await;
        process.stop().await;
        let (seen, _) = finish(caller, bytes).await;
        assert_eq!(seen, Seen::Broken, "{version}");
    }
}

/// Guards against a close that comes before the last bytes of a response without a frame, where its caller reads slowly.
#[tokio::test]
async fn a_slow_caller_gets_all_of_a_response_without_a_frame() {
    let text = WHOLE.repeat(200_000);
    let sent = text.clone();
    let fleet = start(move |request| match &*request.head.id {
        "large" => raw(request, "", &sent, Ending::Close),
        _ => answer_ok(request),
    })
    .await;
    let caller = send(fleet.gateway.callers(), "HTTP/1.1", "/stream/x", "large").await;
    tokio::time::sleep(PAUSE * 10).await;
    let (seen, body) = finish(caller, Vec::new()).await;
    assert_eq!((seen, body.len()), (Seen::Closed, text.len()));
}

/// Guards against responses without a frame that change their end on the way through another box.
#[tokio::test]
async fn a_detour_passes_on_how_a_response_ends() {
    let fleet = start(|request| match &*request.head.id {
        "closed" => raw(request, "", WHOLE, Ending::Close),
        "reset" => raw(request, "", WHOLE, Ending::Reset),
        _ => held_open(request),
    })
    .await;
    let (cut_box, cut) = fleet.harness.gateway_with_endpoint_cut("cut").await;
    wait_until("the boxes know each other", async || cut_box.peer_count() == 1).await;
    wait_until_served(&fleet.harness, &cut_box, "/stream/x").await;
    cut.begin(Cut::Reset);
    wait_until_served(&fleet.harness, &cut_box, "/stream/x").await;
    for (id, expected) in [("closed", Seen::Closed), ("reset", Seen::Broken)] {
        let caller = send(cut_box.callers(), "HTTP/1.1", "/stream/x", id).await;
        let (seen, _) = finish(caller, Vec::new()).await;
        assert_eq!(seen, expected, "{id}");
    }
    let mut caller = send(cut_box.callers(), "HTTP/1.1", "/stream/x", "held-1").await;
    let bytes = read_until(&mut caller, "data: y\n\n").await;
    drop(fleet.gateway);
    let (seen, _) = finish(caller, bytes).await;
    assert_eq!(seen, Seen::Broken, "the box between died");
}
