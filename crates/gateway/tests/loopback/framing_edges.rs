//! Framing of responses at the edges, as raw bytes: trailers, two frames at once, breaks that come with the data, callers
//! that pipeline or close their side.

use std::time::Duration;

use gateway::Gateway;
use standin::{Ending, Reply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    harness::{MAX_WAIT, answer_ok, wait_until_served},
    raw::{
        CHUNKED, IN_EVENT, LONG_PAUSE, PAUSE, WHOLE, chunk, connect, head, raw, raw_after,
        read_until, request, start,
    },
};

/// The first of the two events of a stream.
const FIRST: &str = "id: 1\ndata: x\n\n";

/// Events of a response of 1.5 MB.
const EVENTS: usize = 100_000;

/// How a connection ended for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    InOrder,
    Reset,
    /// Nothing came for a while.
    Open,
}

/// Reads until the connection ends, or nothing more comes for some time.
async fn read_all(stream: &mut TcpStream, idle: Duration) -> (End, String) {
    let mut bytes = Vec::new();
    let end = loop {
        match tokio::time::timeout(idle, stream.read_buf(&mut bytes)).await {
            Err(_) => break End::Open,
            Ok(Ok(0)) => break End::InOrder,
            Ok(Ok(_)) => {}
            Ok(Err(_)) => break End::Reset,
        }
    };
    (end, String::from_utf8_lossy(&bytes).into_owned())
}

/// The body of a response, without its chunks.
fn body(response: &str) -> String {
    let (head, mut rest) = response.split_once("\r\n\r\n").unwrap_or_default();
    if !head.contains("transfer-encoding") {
        return rest.to_owned();
    }
    let mut whole = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size").min(after.len());
        whole.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    whole
}

/// Requests that ended with this outcome, from the metrics.
fn outcomes(gateway: &Gateway) -> Vec<String> {
    let metrics = gateway.metrics();
    let lines = metrics.lines().filter(|line| line.starts_with("flintstall_requests"));
    lines.map(str::to_owned).collect()
}

fn count_answered(gateway: &Gateway) -> u64 {
    let lines = outcomes(gateway);
    let answered = lines.iter().filter(|line| line.contains("outcome=\"answered\""));
    answered.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Guards against whole responses with trailers that end as broken, or never.
#[tokio::test]
async fn a_response_with_trailers_is_whole() {
    let fleet = start(|request| match request.head.id.starts_with("trailers") {
        true => {
            let body = chunk(WHOLE) + "0\r\nx-sum: 1\r\n\r\n";
            let extra = "transfer-encoding: chunked\r\ntrailer: x-sum\r\n";
            raw(request, extra, &body, Ending::Stay)
        }
        false => answer_ok(request),
    })
    .await;
    let mut wrong = Vec::new();
    for (version, extra) in [("HTTP/1.1", ""), ("HTTP/1.1", "te: trailers\r\n"), ("HTTP/1.0", "")] {
        for path in ["/stream/x", "/confirm/x"] {
            let before = count_answered(&fleet.gateway);
            let id = format!("trailers-{version}-{}{path}", extra.len()).replace('/', "-");
            let text = request(version, path, &id, extra);
            let mut caller = connect(fleet.gateway.callers(), &text).await;
            let (end, seen) = read_all(&mut caller, Duration::from_secs(2)).await;
            drop(caller);
            tokio::time::sleep(PAUSE).await;
            let is_answered = count_answered(&fleet.gateway) == before + 1;
            let is_whole = match version {
                "HTTP/1.0" => end == End::InOrder && seen.ends_with(WHOLE),
                _ => seen.contains("\r\n0\r\n"),
            };
            if !is_answered || !is_whole {
                wrong.push(format!(
                    "{version} {extra:?} {path}: answered {is_answered}, whole {is_whole}, {end:?} {seen:?}"
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a stream that stops inside an event and looks whole because trailers follow.
#[tokio::test]
async fn trailers_after_half_an_event_do_not_make_it_whole() {
    let fleet = start(|request| match request.head.id.starts_with("trailers") {
        true => {
            let body = chunk(IN_EVENT) + "0\r\nx-sum: 1\r\n\r\n";
            raw(request, CHUNKED, &body, Ending::Stay)
        }
        false => answer_ok(request),
    })
    .await;
    for extra in ["", "te: trailers\r\n"] {
        let id = format!("trailers-{}", extra.len());
        let text = request("HTTP/1.1", "/stream/x", &id, extra);
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        let (end, seen) = read_all(&mut caller, Duration::from_secs(2)).await;
        assert!(end != End::Open && !seen.contains("\r\n0\r\n"), "{extra:?}: {end:?} {seen:?}");
    }
}

/// Guards against a length beside chunks, which does not count, as the frame of the response to the caller.
#[tokio::test]
async fn a_length_beside_chunks_does_not_frame_the_response() {
    let fleet = start(|request| match &*request.head.id {
        "whole" => {
            let extra = "transfer-encoding: chunked\r\ncontent-length: 15\r\n";
            raw(request, extra, &(chunk(WHOLE) + "0\r\n\r\n"), Ending::Stay)
        }
        "broken" => {
            let extra = "transfer-encoding: chunked\r\ncontent-length: 15\r\n";
            raw(request, extra, &chunk(FIRST), Ending::Close)
        }
        "coded" => {
            let extra = "transfer-encoding: gzip\r\ncontent-length: 15\r\n";
            raw(request, extra, FIRST, Ending::Reset)
        }
        _ => answer_ok(request),
    })
    .await;
    let mut wrong = Vec::new();
    for id in ["whole", "broken", "coded"] {
        let text = request("HTTP/1.1", "/stream/x", id, "");
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        let (end, seen) = read_all(&mut caller, Duration::from_secs(1)).await;
        let (head, body) = seen.split_once("\r\n\r\n").unwrap_or_default();
        let is_whole_by_length = head.contains("content-length: 15") && body.len() >= 15;
        let is_right = match id {
            "whole" => body.contains("data: y") || end != End::Open,
            _ => !is_whole_by_length,
        };
        if !is_right || is_whole_by_length {
            wrong.push(format!("{id}: {end:?} {seen:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against whole events that are lost because the break comes right after them.
#[tokio::test]
async fn whole_events_before_a_break_reach_the_caller() {
    let fleet = start(|request| {
        let now = Duration::ZERO;
        match &*request.head.id {
            "length" => raw(
                request,
                &format!("content-length: {}\r\n", IN_EVENT.len()),
                IN_EVENT,
                Ending::Stay,
            ),
            "chunks" => raw(request, CHUNKED, &(chunk(IN_EVENT) + "0\r\n\r\n"), Ending::Stay),
            "close" => raw_after(request, "", IN_EVENT, now, Ending::Close),
            "open-chunks" => raw_after(request, CHUNKED, &chunk(WHOLE), now, Ending::Close),
            _ => answer_ok(request),
        }
    })
    .await;
    let mut wrong = Vec::new();
    for id in ["length", "chunks", "close", "open-chunks"] {
        let text = request("HTTP/1.1", "/resume/x", id, "");
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        let (end, seen) = read_all(&mut caller, Duration::from_secs(2)).await;
        if !seen.contains("data: x") || end == End::Open {
            wrong.push(format!("{id}: {end:?} {seen:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a whole response that is lost because the next one on its connection breaks off.
#[tokio::test]
async fn a_break_does_not_take_an_earlier_response_with_it() {
    let large = "y".repeat(3 << 20);
    let sent = large.clone();
    let fleet = start(move |request| match &*request.head.id {
        "first" => {
            raw(request, &format!("content-length: {}\r\n", sent.len()), &sent, Ending::Stay)
        }
        "second" => raw(request, "", WHOLE, Ending::Reset),
        _ => answer_ok(request),
    })
    .await;
    let both = request("HTTP/1.1", "/confirm/x", "first", "")
        + &request("HTTP/1.1", "/stream/x", "second", "");
    let mut caller = connect(fleet.gateway.callers(), &both).await;
    // A slow caller.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (end, seen) = read_all(&mut caller, Duration::from_secs(2)).await;
    let (_, body) = seen.split_once("\r\n\r\n").unwrap_or_default();
    assert!(body.len() >= large.len(), "{end:?}: {} of {} bytes", body.len(), large.len());
}

/// What a caller sees that closes its side after its request.
#[tokio::test]
async fn a_caller_that_closes_its_side_sees_no_whole_response_that_is_not() {
    let fleet = start(|request| match request.head.id.starts_with("half") {
        true => raw_after(request, "", WHOLE, Duration::from_millis(500), Ending::Close),
        false => answer_ok(request),
    })
    .await;
    for (number, delay) in [0, 100].into_iter().enumerate() {
        let text = request("HTTP/1.1", "/stream/x", &format!("half-{number}"), "");
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        caller.shutdown().await.expect("it closes");
        let (end, seen) = read_all(&mut caller, MAX_WAIT).await;
        eprintln!("half-close after {delay} ms: {end:?} {seen:?}");
        assert!(end == End::Reset || !seen.starts_with("HTTP/") || seen.ends_with(WHOLE));
    }
    eprintln!("{:?}", outcomes(&fleet.gateway));
}

/// Guards against responses that end as whole ones while their box's tasks end one by one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_response_looks_whole_when_its_box_ends() {
    const ROUNDS: usize = 20;
    const CALLERS: usize = 24;
    let fleet = start(|request| match &*request.head.id {
        id if id.starts_with("held-close") => {
            raw_after(request, "", WHOLE, LONG_PAUSE, Ending::Close)
        }
        id if id.starts_with("held-chunks") => {
            raw_after(request, CHUNKED, &chunk(WHOLE), LONG_PAUSE, Ending::Close)
        }
        _ => answer_ok(request),
    })
    .await;
    let mut wrong = Vec::new();
    for round in 0..ROUNDS {
        let process = fleet.second_box(|_| ()).await;
        let address = process.gateway().callers();
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let kind = if number % 2 == 0 { "close" } else { "chunks" };
            let id = format!("held-{kind}-{round}-{number}");
            let text = request("HTTP/1.1", "/stream/x", &id, "");
            let mut caller = connect(address, &text).await;
            read_until(&mut caller, "data: y\n\n").await;
            callers.push((kind, caller));
        }
        process.kill();
        for (kind, caller) in &mut callers {
            let (end, seen) = read_all(caller, MAX_WAIT).await;
            let is_whole = match *kind {
                "close" => end == End::InOrder,
                _ => seen.contains("0\r\n\r\n"),
            };
            if is_whole {
                wrong.push(format!("{round}: {kind} {end:?} {seen:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), ROUNDS * CALLERS);
}

/// Guards against whole events that a caller loses because the response is reset behind them.
#[tokio::test]
async fn a_caller_gets_the_whole_events_of_a_broken_response() {
    let events = FIRST.repeat(EVENTS);
    let sent = events.clone() + "id: 2\nda";
    let pause = Duration::from_millis(300);
    let fleet = start(move |request| match request.head.id.split('-').next() {
        Some("close") => raw_after(request, "", &sent, pause, Ending::Close),
        Some("chunks") => raw_after(request, CHUNKED, &chunk(&events), pause, Ending::Close),
        _ => answer_ok(request),
    })
    .await;
    let mut lost = Vec::new();
    for (id, delay) in
        [("close-fast", 0), ("chunks-fast", 0), ("close-slow", 1), ("chunks-slow", 1)]
    {
        let text = request("HTTP/1.1", "/resume/x", id, "");
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        tokio::time::sleep(Duration::from_secs(delay)).await;
        let (end, seen) = read_all(&mut caller, MAX_WAIT).await;
        let got = body(&seen).matches("data: x\n\n").count();
        if got != EVENTS {
            lost.push(format!("{id}: {got} of {EVENTS} events, {end:?}"));
        }
    }
    assert!(lost.is_empty(), "{}", lost.join("\n"));
}

/// Guards against responses without a body that are passed on as ones that end with their connection.
#[tokio::test]
async fn a_response_without_a_body_keeps_the_connection() {
    let fleet = start(|request| {
        let text = head(request, "");
        let text = match &*request.head.id {
            "none-204" => text.replace("200 OK", "204 No Content"),
            "none-304" => text.replace("200 OK", "304 Not Modified"),
            "none-head" => text,
            _ => return answer_ok(request),
        };
        Reply::Raw(text.into_bytes(), PAUSE, Ending::Stay)
    })
    .await;
    let mut wrong = Vec::new();
    for id in ["none-204", "none-304", "none-head"] {
        let mut text = request("HTTP/1.1", "/open/x", id, "");
        if id == "none-head" {
            text = text.replace("POST ", "HEAD ");
        }
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        let (end, seen) = read_all(&mut caller, Duration::from_secs(1)).await;
        if end != End::Open || !seen.ends_with("\r\n\r\n") {
            wrong.push(format!("{id}: {end:?} {seen:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a response without a frame that looks whole because the deadline of its request passed.
#[tokio::test]
async fn a_response_that_meets_its_deadline_is_broken() {
    let fleet = start(|request| match &*request.head.id {
        "late" => raw_after(request, "", WHOLE, LONG_PAUSE, Ending::Close),
        _ => answer_ok(request),
    })
    .await;
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let text = request(version, "/stream/x", "late", "");
        let text = text.replace("deadline-ms: 20000", "deadline-ms: 400");
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        let (end, seen) = read_all(&mut caller, MAX_WAIT).await;
        assert!(end == End::Reset && seen.ends_with(WHOLE), "{end:?} {seen:?}");
    }
}

/// What a caller sees of a response whose head was sent and whose body never begins.
#[tokio::test]
async fn an_empty_response_without_a_frame_ends_as_it_did() {
    let fleet = start(|request| match &*request.head.id {
        "empty-close" => raw(request, "", "", Ending::Close),
        "empty-reset" => raw(request, "", "", Ending::Reset),
        _ => answer_ok(request),
    })
    .await;
    for (id, expected) in [("empty-close", End::InOrder), ("empty-reset", End::Reset)] {
        let text = request("HTTP/1.1", "/stream/x", id, "");
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        let (end, seen) = read_all(&mut caller, MAX_WAIT).await;
        assert_eq!((end, seen.contains("content-length")), (expected, false), "{id}: {seen:?}");
    }
}

/// Guards against a whole response without a frame that is broken by a planned stop, or by a further request behind it.
#[tokio::test]
async fn a_response_without_a_frame_ends_in_order() {
    let fleet = start(|request| match request.head.id.starts_with("soon") {
        true => raw_after(request, "", WHOLE, Duration::from_millis(600), Ending::Close),
        false => answer_ok(request),
    })
    .await;
    let process = fleet.second_box(|_| ()).await;
    let address = process.gateway().callers();
    let one = request("HTTP/1.1", "/stream/x", "soon-1", "");
    let both = request("HTTP/1.1", "/stream/x", "soon-2", "")
        + &request("HTTP/1.1", "/open/x", "behind-1", "");
    let mut callers = [connect(address, &one).await, connect(address, &both).await];
    let mut late = connect(address, &request("HTTP/1.1", "/stream/x", "soon-3", "")).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let behind = request("HTTP/1.1", "/open/x", "behind-2", "");
    late.write_all(behind.as_bytes()).await.expect("the box reads");
    process.stop().await;
    let mut ends = Vec::new();
    for caller in callers.iter_mut().chain([&mut late]) {
        let (end, seen) = read_all(caller, MAX_WAIT).await;
        ends.push((end, seen.ends_with(WHOLE)));
    }
    assert_eq!(ends, [(End::InOrder, true); 3]);
}

/// Guards against responses that an endpoint gives before it has read the request, and whose end changes on the way.
#[tokio::test]
async fn an_early_response_ends_as_it_did() {
    const BODY: usize = 50_000;
    let fleet = start(answer_ok).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    fleet.harness.remove_entry("i-1").await;
    let address = listener.local_addr().expect("an address");
    fleet.harness.write_entry("i-9", "plain", address, true).await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_early(stream));
        }
    });
    wait_until_served(&fleet.harness, &fleet.gateway, "/open/x").await;
    let mut wrong = Vec::new();
    for (id, expected) in [("early-order", End::InOrder), ("early-reset", End::Reset)] {
        let text = request("HTTP/1.1", "/confirm/x", id, "");
        let text =
            text.replace("content-length: 1\r\n\r\nx", &format!("content-length: {BODY}\r\n\r\n"));
        let mut caller = connect(fleet.gateway.callers(), &text).await;
        caller.write_all(&vec![b'x'; BODY]).await.expect("the box reads");
        let (end, seen) = read_all(&mut caller, MAX_WAIT).await;
        let is_whole = seen.ends_with("all of it");
        let is_right = match expected {
            End::InOrder => end == End::InOrder && is_whole,
            _ => end == End::Reset || !seen.contains(" 200 "),
        };
        if !is_right {
            wrong.push(format!("{id}: {end:?} {seen:?}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Answers after the head of a request; then ends its side and reads on, or closes with bytes unread.
async fn respond_early(mut stream: TcpStream) {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        if matches!(stream.read_buf(&mut head).await, Ok(0) | Err(_)) {
            return;
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("attempt-id: ")).unwrap_or_default();
    let answer =
        format!("HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nresponse-seal: s\r\n\r\nall of it");
    let _ = stream.write_all(answer.as_bytes()).await;
    if id != "early-reset" {
        let _ = stream.shutdown().await;
        let _ =
            tokio::time::timeout(MAX_WAIT, tokio::io::copy(&mut stream, &mut tokio::io::sink()))
                .await;
    }
}
