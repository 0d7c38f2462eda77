//! Reuse of connections after each kind of response, and their release.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use forward::{Answer, Connections, Detour, Dialer, Fault, Options, Request, Tag};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt;
use standin::{Reply, ScriptedEndpoint};
use tokio::{net::TcpListener, time::Instant};

/// Timeout of every wait; reached only when a test fails.
const TIMEOUT: Duration = Duration::from_secs(20);

fn connections() -> Connections {
    Connections::new(
        Options {
            connect_timeout: Duration::from_secs(2),
            ack_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            idle_margin: Duration::from_secs(1),
        },
        Dialer::system(None),
        Detour::none(),
    )
}

/// A request with an id of its own.
fn request() -> Request {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = format!("r-{}", NEXT.fetch_add(1, Ordering::Relaxed));
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static("desk.example"));
    Request {
        method: Method::GET,
        target: "/cancel/1".parse().expect("a path"),
        headers,
        body: Bytes::new(),
        tag: Tag { id: Some(id.into()), until: Instant::now() + TIMEOUT },
    }
}

fn complete_reply() -> Reply {
    Reply::Complete(StatusCode::OK, HeaderMap::new(), "done".into())
}

async fn text(answer: Answer) -> Result<String, Fault> {
    let body = answer.body.collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends two requests one after the other; returns the result of the first and the number of connections.
async fn send_two(first: Reply) -> (Result<String, Fault>, usize) {
    let script = move |arrived: &standin::ReceivedRequest| match arrived.line.contains("first") {
        true => first.clone(),
        false => complete_reply(),
    };
    let endpoint = ScriptedEndpoint::spawn(script).await;
    let connections = connections();
    let mut first_request = request();
    first_request.target = "/first".parse().expect("a path");
    let result = match connections.send(endpoint.address(), 4, first_request).await {
        Ok(answer) => text(answer).await,
        Err(fault) => Err(fault),
    };
    // Surplus bytes may arrive shortly after the response.
    tokio::time::sleep(Duration::from_millis(30)).await;
    let answer = connections
        .send(endpoint.address(), 4, request())
        .await
        .expect("the second request gets a response");
    assert_eq!(
        text(answer).await.as_deref(),
        Ok("done"),
        "the second response belongs to the second request"
    );
    (result, endpoint.connections())
}

#[tokio::test]
async fn connection_is_reused_only_after_complete_response() {
    let mut closes = HeaderMap::new();
    closes.insert(header::CONNECTION, HeaderValue::from_static("close"));
    let mut short = HeaderMap::new();
    short.insert("keep-alive", HeaderValue::from_static("timeout=1"));
    let ok = StatusCode::OK;
    let none = HeaderMap::new();
    let late = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate".to_owned();
    let events = vec!["data: 1\n\n".to_owned()];
    let cases = [
        ("complete response", complete_reply(), Some("done"), 1),
        (
            "complete stream",
            Reply::Events(none.clone(), events.clone(), Duration::ZERO),
            Some("data: 1\n\n"),
            1,
        ),
        ("Connection: close", Reply::Complete(ok, closes, "done".into()), Some("done"), 2),
        ("short keep-alive timeout", Reply::Complete(ok, short, "done".into()), Some("done"), 2),
        (
            "surplus response",
            Reply::TrailingData(ok, none.clone(), "done".into(), late),
            Some("done"),
            2,
        ),
        (
            "surplus bytes",
            Reply::TrailingData(ok, none.clone(), "done".into(), "xx".into()),
            Some("done"),
            2,
        ),
        ("without a length", Reply::Unframed(none.clone(), "done".into()), Some("done"), 2),
        ("without a length, reset", Reply::UnframedReset(none.clone(), "do".into()), None, 2),
        ("truncated stream", Reply::Truncated(none, events), None, 2),
        ("no response", Reply::Close, None, 2),
    ];
    for (name, reply, expected, connections) in cases {
        let (result, opened) = tokio::time::timeout(TIMEOUT, send_two(reply)).await.expect(name);
        assert_eq!(result.as_deref().ok(), expected, "{name}: {result:?}");
        assert_eq!(opened, connections, "{name}: connections");
        if let Err(fault) = result {
            assert!(!fault.is_unsent(), "{name}: the request was sent, so it may have run");
        }
    }
}

#[tokio::test]
async fn refused_connection_is_reported_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let fault = connections().send(address, 4, request()).await.expect_err("nobody listens");
    assert!(fault.is_unsent(), "{fault}");
}

#[tokio::test]
async fn cancelled_request_closes_its_connection() {
    let endpoint = ScriptedEndpoint::spawn(|_| Reply::Silent).await;
    let connections = connections();
    let sending = connections.send(endpoint.address(), 4, request());
    let cancelled = tokio::time::timeout(Duration::from_millis(100), sending).await;
    assert!(cancelled.is_err(), "the endpoint never answers");
    let closed = async {
        while endpoint.closed() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, closed).await.expect("the endpoint sees the close");
    assert_eq!(connections.count_open(endpoint.address()), 0);
}

#[tokio::test]
async fn dropped_body_closes_its_connection() {
    let events: Vec<String> = (0..1_000).map(|n| format!("data: {n}\n\n")).collect();
    let reply = Reply::Events(HeaderMap::new(), events, Duration::from_millis(20));
    let endpoint = ScriptedEndpoint::spawn(move |_| reply.clone()).await;
    let connections = connections();
    let mut answer = connections.send(endpoint.address(), 4, request()).await.expect("a head");
    answer.body.frame().await.expect("an event").expect("a complete event");
    drop(answer);
    let closed = async {
        while endpoint.closed() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, closed).await.expect("the endpoint sees the close");
}

#[tokio::test]
async fn connection_limit_is_enforced() {
    let endpoint = ScriptedEndpoint::spawn(|_| Reply::Silent).await;
    let connections = connections();
    let address = endpoint.address();
    let busy: Vec<_> = (0..2)
        .map(|_| {
            let connections = connections.clone();
            tokio::spawn(async move { connections.send(address, 2, request()).await.is_ok() })
        })
        .collect();
    while endpoint.arrived().len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let fault =
        connections.send(address, 2, request()).await.expect_err("both connections are in use");
    assert_eq!(fault, Fault::Full { max: 2 });
    busy.iter().for_each(tokio::task::JoinHandle::abort);
}

/// Guards against a body that ends in order because the task of its connection ended, as tasks do with their runtime.
#[tokio::test]
async fn a_body_whose_connection_task_ended_is_broken() {
    let mut whole = Vec::new();
    for frame in ["", "transfer-encoding: chunked\r\n", "content-length: 99\r\n"] {
        let body = if frame.contains("chunked") { "3\r\nabc\r\n" } else { "abc" };
        let bytes = format!("HTTP/1.1 200 OK\r\n{frame}\r\n{body}").into_bytes();
        let reply = Reply::Raw(bytes, TIMEOUT, standin::Ending::Close);
        let endpoint = ScriptedEndpoint::spawn(move |_| reply.clone()).await;
        let connections = connections();
        let (address, owner) = (endpoint.address(), tokio::runtime::Runtime::new().expect("one"));
        let sent = owner.spawn(async move { connections.send(address, 4, request()).await });
        let answer = sent.await.expect("it runs").expect("an answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
        owner.shutdown_background();
        if let Ok(text) = tokio::time::timeout(TIMEOUT, text(answer)).await.expect("in time") {
            whole.push(format!("{frame:?}: {text:?}"));
        }
    }
    assert!(whole.is_empty(), "whole by their end:\n{}", whole.join("\n"));
}

/// Guards against: a second response to an earlier try is taken for the one to a later try with the same id.
#[tokio::test]
async fn no_connection_carries_an_id_twice_while_its_caller_may_come_back() {
    let hour = Duration::from_secs(3_600);
    // Name, ids of two requests one after the other, how long the caller of the first may come back, connections allowed,
    // connections opened.
    let cases = [
        ("same id", Some("r"), Some("r"), hour, 4, 2),
        ("same id, one connection allowed", Some("r"), Some("r"), hour, 1, 2),
        ("same id, its caller has given up", Some("r"), Some("r"), Duration::ZERO, 4, 1),
        ("other id", Some("r"), Some("s"), hour, 4, 1),
        ("no id", None, None, hour, 4, 2),
        ("no id after another request", Some("r"), None, hour, 4, 2),
    ];
    for (name, first, second, wait, max_open, opened) in cases {
        let endpoint = ScriptedEndpoint::spawn(|_| complete_reply()).await;
        let connections = connections();
        for id in [first, second] {
            let tag = Tag { id: id.map(Into::into), until: Instant::now() + wait };
            let sent = connections.send(endpoint.address(), max_open, Request { tag, ..request() });
            assert_eq!(text(sent.await.expect(name)).await.as_deref(), Ok("done"), "{name}");
        }
        assert_eq!(endpoint.connections(), opened, "{name}");
        assert!(connections.count_open(endpoint.address()) <= max_open, "{name}");
    }
}
