//! What a connection may be used for after each way in which an endpoint answers.

use std::time::Duration;

use bytes::Bytes;
use forward::{Answer, Connections, Fault, Options, Request};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt;
use standin::{Reply, ScriptedEndpoint};
use tokio::net::TcpListener;

/// Longest that anything here waits; reached only when a test fails.
const BOUND: Duration = Duration::from_secs(20);

fn connections() -> Connections {
    Connections::new(Options {
        connect_timeout: Duration::from_secs(2),
        ack_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(60),
        idle_margin: Duration::from_secs(1),
    })
}

fn request() -> Request {
    let mut headers = HeaderMap::new();
    headers.insert(header::HOST, HeaderValue::from_static("desk.example"));
    Request {
        method: Method::GET,
        target: "/cancel/1".parse().expect("a path"),
        headers,
        body: Bytes::new(),
    }
}

fn whole() -> Reply {
    Reply::Complete(StatusCode::OK, HeaderMap::new(), "done".into())
}

async fn text(answer: Answer) -> Result<String, Fault> {
    let body = answer.body.collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends two requests, one after the other; returns what the first came to and how many
/// connections the endpoint saw.
async fn two(first: Reply) -> (Result<String, Fault>, usize) {
    let script = move |arrived: &standin::ReceivedRequest| match arrived.line.contains("first") {
        true => first.clone(),
        false => whole(),
    };
    let endpoint = ScriptedEndpoint::spawn(script).await;
    let connections = connections();
    let mut one = request();
    one.target = "/first".parse().expect("a path");
    let came = match connections.send(endpoint.address(), 4, one).await {
        Ok(answer) => text(answer).await,
        Err(fault) => Err(fault),
    };
    // Bytes that follow an answer arrive a moment after it.
    tokio::time::sleep(Duration::from_millis(30)).await;
    let answer =
        connections.send(endpoint.address(), 4, request()).await.expect("the second is answered");
    assert_eq!(text(answer).await.as_deref(), Ok("done"), "the second answer is its own");
    (came, endpoint.connections())
}

#[tokio::test]
async fn a_connection_is_used_again_only_after_a_whole_answer() {
    let mut closes = HeaderMap::new();
    closes.insert(header::CONNECTION, HeaderValue::from_static("close"));
    let mut short = HeaderMap::new();
    short.insert("keep-alive", HeaderValue::from_static("timeout=1"));
    let ok = StatusCode::OK;
    let none = HeaderMap::new();
    let late = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate".to_owned();
    let events = vec!["data: 1\n\n".to_owned()];
    let cases = [
        ("a whole answer", whole(), Some("done"), 1),
        (
            "a whole stream",
            Reply::Events(none.clone(), events.clone(), Duration::ZERO),
            Some("data: 1\n\n"),
            1,
        ),
        ("the endpoint ends it", Reply::Complete(ok, closes, "done".into()), Some("done"), 2),
        ("it may not rest for long", Reply::Complete(ok, short, "done".into()), Some("done"), 2),
        (
            "an answer too many",
            Reply::TrailingData(ok, none.clone(), "done".into(), late),
            Some("done"),
            2,
        ),
        (
            "bytes too many",
            Reply::TrailingData(ok, none.clone(), "done".into(), "xx".into()),
            Some("done"),
            2,
        ),
        ("without a length", Reply::Unframed(none.clone(), "done".into()), Some("done"), 2),
        ("without a length, reset", Reply::UnframedReset(none.clone(), "do".into()), None, 2),
        ("a torn stream", Reply::Truncated(none, events), None, 2),
        ("no answer", Reply::Close, None, 2),
    ];
    for (name, reply, want, connections) in cases {
        let (came, used) = tokio::time::timeout(BOUND, two(reply)).await.expect(name);
        assert_eq!(came.as_deref().ok(), want, "{name}: {came:?}");
        assert_eq!(used, connections, "{name}: connections");
        if let Err(fault) = came {
            assert!(!fault.is_unsent(), "{name}: it was sent, so it may have run");
        }
    }
}

#[tokio::test]
async fn a_dead_port_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let fault = connections().send(address, 4, request()).await.expect_err("nobody listens");
    assert!(fault.is_unsent(), "{fault}");
}

#[tokio::test]
async fn a_request_that_is_given_up_closes_its_connection() {
    let endpoint = ScriptedEndpoint::spawn(|_| Reply::Silent).await;
    let connections = connections();
    let sending = connections.send(endpoint.address(), 4, request());
    let given_up = tokio::time::timeout(Duration::from_millis(100), sending).await;
    assert!(given_up.is_err(), "the endpoint never answers");
    let closed = async {
        while endpoint.closed() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOUND, closed).await.expect("the endpoint sees the close");
    assert_eq!(connections.open(endpoint.address()), 0);
}

#[tokio::test]
async fn a_body_that_is_dropped_closes_its_connection() {
    let events: Vec<String> = (0..1_000).map(|n| format!("data: {n}\n\n")).collect();
    let reply = Reply::Events(HeaderMap::new(), events, Duration::from_millis(20));
    let endpoint = ScriptedEndpoint::spawn(move |_| reply.clone()).await;
    let connections = connections();
    let mut answer = connections.send(endpoint.address(), 4, request()).await.expect("a head");
    answer.body.frame().await.expect("an event").expect("a whole one");
    drop(answer);
    let closed = async {
        while endpoint.closed() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOUND, closed).await.expect("the endpoint sees the close");
}

#[tokio::test]
async fn no_more_connections_than_allowed() {
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
    let fault = connections.send(address, 2, request()).await.expect_err("both are in use");
    assert_eq!(fault, Fault::Full { most: 2 });
    busy.iter().for_each(tokio::task::JoinHandle::abort);
}
