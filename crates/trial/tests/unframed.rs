//! A plain service that breaks off an answer which lacks a frame.

use std::time::Duration;

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use trial::{Fleet, Outcome, Plan, Request};

const HALF: &str = "{\"answer\": \"half of";

/// Sends half of an answer without a length or chunks, and ends as a process that dies does.
async fn break_off(mut stream: TcpStream) {
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("mark=") {
        if matches!(stream.read_buf(&mut received).await, Ok(0) | Err(_)) {
            return;
        }
    }
    let text = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{HALF}");
    stream.write_all(text.as_bytes()).await.expect("the router reads");
    stream.shutdown().await.expect("the router reads");
    let mut rest = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(1), stream.read_to_end(&mut rest)).await;
}

/// Guards against an answer that a service broke off and that its caller gets with a length, and again with its key.
#[tokio::test]
async fn an_unframed_answer_that_broke_off_is_not_stored_as_whole() {
    let fleet = Fleet::spawn(Plan { boxes: 1, ..Plan::default() }).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(break_off(stream));
        }
    });
    let endpoints = json!([{"name": "booking-0", "address": address, "zone": "zone-0"}]);
    let pool = json!({"serves": {"service": {"cost": 5}}, "endpoints": endpoints});
    fleet.declare("pool", "bookings", &pool).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.wait_until_applied().await;
    let to = fleet.callers_address(0);
    let request = Request::service("dis", "bornova", "cancel", "chair-7");
    let first = fleet.caller.send(to, &request).await;
    let second = fleet.caller.send(to, &request).await;
    let seen =
        [&first, &second].map(|response| (response.outcome, response.status, &*response.body));
    assert!(
        seen.iter().all(|(outcome, ..)| *outcome != Outcome::Answered),
        "half an answer was framed as whole: {seen:?}"
    );
}
