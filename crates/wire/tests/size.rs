//! What large answers take on their way.
//!
//! The load: 301 boxes and 3,000 endpoints. The whole of what a home of news knows goes to each of 50
//! listeners, many of them in other availability zones and behind 10 Mbit/s.

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
use wire::{Answer, Change, Frame, Message, Peer, Server, Subscribe, Update, encode};

/// Endpoints of the load.
const ENDPOINTS: u64 = 3_000;

fn message(frame: Frame) -> Message {
    Message { from: Incarnation::new("box-1", 1), stamp: Timestamp::default(), frame }
}

/// All that a home knows.
fn whole(endpoints: u64) -> Frame {
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
        whole: true,
        changes,
        endpoints_at: at,
        boxes_at: at,
        away_ms: None,
    })
}

/// Tells the whole of this many endpoints.
struct Home(u64);

#[async_trait::async_trait]
impl Answer for Home {
    async fn answer(&self, _: Message) -> Message {
        message(whole(self.0))
    }
}

fn question() -> Message {
    let watcher = Incarnation::new("box-1", 1);
    let listen = Subscribe { watcher, since: Some(0), config: 0, away: false, wait_ms: 0 };
    message(Frame::Subscribe(listen))
}

/// Passes everything on to `to`, and counts what comes back.
async fn counting(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
    let address = listener.local_addr().expect("a bound socket has an address");
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
    Server::bind(any, Arc::new(Home(endpoints))).await.expect("loopback has free ports")
}

#[tokio::test]
async fn the_whole_of_many_endpoints_takes_a_narrow_link_a_moment() {
    let server = server(ENDPOINTS).await;
    let (address, count) = counting(server.address()).await;
    let peer = Peer::new(address, address.ip());
    let answer = peer.ask(&question(), Duration::from_secs(30)).await.expect("an answer");
    assert_eq!(answer, message(whole(ENDPOINTS)), "nothing is lost on the way");
    let plain = encode(&answer, wire::NEWEST_FORMAT).expect("it fits").len();
    let took = count.load(Ordering::Relaxed);
    // A fifth: 10 Mbit/s carry it within the 0.6 s that a box waits, with room for what goes beside it.
    assert!(took * 5 < plain, "{took} bytes on the way of {plain}");
}

#[tokio::test]
async fn boxes_that_do_not_unpack_are_answered_as_before() {
    let server = server(ENDPOINTS).await;
    let stream = TcpStream::connect(server.address()).await.expect("it listens");
    let (sender, connection) = h2::client::handshake(stream).await.expect("a connection");
    tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("a stream");
    let request = http::Request::post("http://peer/").body(()).expect("a plain request");
    let (response, mut stream) = sender.send_request(request, false).expect("it is sent");
    let bytes = encode(&question(), wire::NEWEST_FORMAT).expect("it fits");
    stream.send_data(bytes.into(), true).expect("it is sent");
    let response = response.await.expect("an answer");
    assert!(!response.headers().contains_key("content-encoding"));
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.expect("it arrives");
        body.flow_control().release_capacity(part.len()).expect("it was counted");
        bytes.extend_from_slice(&part);
    }
    let (answer, _) = wire::decode(&bytes).expect("it can be read");
    assert_eq!(answer, message(whole(ENDPOINTS)));
}
