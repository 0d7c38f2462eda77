//! Size of a full update about 3,000 endpoints, which must reach subscribers behind a slow link
//! within their timeout.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use ledger::Incarnation;
use timeline::Timestamp;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use wire::{
    Answer, Change, Frame, Message, Peer, Server, StreamKey, StreamOrigin, StreamRecord, Subscribe,
    Update, encode,
};

/// Number of endpoints in the update.
const ENDPOINTS: u64 = 3_000;

fn message(frame: Frame) -> Message {
    Message { from: Incarnation::new("box-1", 1), stamp: Timestamp::default(), frame }
}

/// A full update.
fn full_update(endpoints: u64) -> Frame {
    let change = |n: u64| {
        Change {
        kind: "endpoints".into(),
        name: format!("i-{:08x}", n.wrapping_mul(2_654_435_761) % (1 << 32)).into(),
        version: 400 + n,
        value: Some(
            format!(
                r#"{{"service":"engines","address":"10.{}.64.{}:8745","zone":"z{}","slots":24,"state":"ready","beat":{},"cold_for":0,"part":"both","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#,
                n % 6,
                n % 250,
                n % 6,
                n % 40
            )
            .into(),
        ),
    }
    };
    let changes = (0..endpoints).map(change).collect();
    let (last, at) = (endpoints, endpoints + 400);
    Frame::Update(Update {
        last,
        is_snapshot: true,
        changes,
        endpoints_at: at,
        boxes_at: at,
        store_unreachable_ms: None,
    })
}

/// Answers each request with a full update about this many endpoints.
struct FullUpdate(u64);

#[async_trait::async_trait]
impl Answer for FullUpdate {
    async fn answer(&self, _: Message) -> Message {
        message(full_update(self.0))
    }
}

fn subscribe_message() -> Message {
    let watcher = Incarnation::new("box-1", 1);
    let subscribe =
        Subscribe { watcher, since: Some(0), config: 0, is_store_unreachable: false, wait_ms: 0 };
    message(Frame::Subscribe(subscribe))
}

/// Forwards one connection to `to` and counts the bytes that come back.
async fn counting_proxy(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    tokio::spawn(async move {
        let (near, _) = listener.accept().await.expect("a connection");
        let far = TcpStream::connect(to).await.expect("the server listens");
        let (mut from_near, mut to_near) = near.into_split();
        let (mut from_far, mut to_far) = far.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut from_near, &mut to_far).await });
        let mut bytes = vec![0; 64 << 10];
        while let Ok(read @ 1..) = from_far.read(&mut bytes).await {
            counted.fetch_add(read, Ordering::Relaxed);
            if to_near.write_all(&bytes[..read]).await.is_err() {
                return;
            }
        }
    });
    (address, count)
}

async fn server(endpoints: u64) -> Server {
    let any = "127.0.0.1:0".parse().expect("an address");
    Server::bind(any, Arc::new(FullUpdate(endpoints))).await.expect("a free port")
}

#[tokio::test]
async fn a_full_update_is_compressed_to_a_fifth() {
    let server = server(ENDPOINTS).await;
    let (address, count) = counting_proxy(server.address()).await;
    let peer = Peer::new(address, address.ip());
    let answer = peer.ask(&subscribe_message(), Duration::from_secs(30)).await.expect("an answer");
    assert_eq!(answer, message(full_update(ENDPOINTS)), "decompression restores the message");
    let plain = encode(&answer, wire::NEWEST_FORMAT).expect("below the size limit").len();
    let transferred = count.load(Ordering::Relaxed);
    // A fifth of the plain size passes a 10 Mbit/s link within the subscriber's timeout of 0.6 s.
    assert!(transferred * 5 < plain, "{transferred} of {plain} bytes transferred");
}

#[tokio::test]
async fn clients_without_compression_get_plain_answers() {
    let server = server(ENDPOINTS).await;
    let stream = TcpStream::connect(server.address()).await.expect("the server listens");
    let (sender, connection) = h2::client::handshake(stream).await.expect("a connection");
    tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("a stream");
    let request = http::Request::post("http://peer/").body(()).expect("a valid request");
    let (response, mut stream) =
        sender.send_request(request, false).expect("the connection is open");
    let bytes = encode(&subscribe_message(), wire::NEWEST_FORMAT).expect("below the size limit");
    stream.send_data(bytes.into(), true).expect("the connection is open");
    let response = response.await.expect("an answer");
    assert!(!response.headers().contains_key("content-encoding"));
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.expect("a body part");
        body.flow_control().release_capacity(part.len()).expect("received capacity");
        bytes.extend_from_slice(&part);
    }
    let (answer, _) = wire::decode(&bytes).expect("a valid message");
    assert_eq!(answer, message(full_update(ENDPOINTS)));
}

#[test]
fn origins_of_streams_take_few_bytes() {
    let bytes = |count: u128| {
        let origin = StreamOrigin { service: "engines".into(), version: "2026.12.1".into() };
        let record = |key| StreamRecord { key: StreamKey(key), origin: origin.clone(), age_ms: 10 };
        let records = (0..count).map(record).collect();
        let to = message(Frame::Done).from;
        let frame = Frame::StreamsBegan { to, records };
        encode(&message(frame), wire::NEWEST_FORMAT).expect("below the size limit").len()
    };
    assert_eq!((bytes(1), bytes(100)), (142, 5_686));
}
