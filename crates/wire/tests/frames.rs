//! Messages survive encoding and decoding; malformed input gives a typed error, never a panic.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

use ledger::Incarnation;
use proptest::prelude::*;
use timeline::Timestamp;
use wire::{
    Answer, Error, Frame, MAX_MESSAGE_BYTES, Message, NEWEST_FORMAT, OLDEST_FORMAT, Peer,
    PlatformCall, Server, Status, StreamKey, StreamOrigin, StreamRecord, decode, encode,
};

fn message(frame: Frame) -> Message {
    Message { from: Incarnation::from("a.1"), stamp: Timestamp { ms: 5, count: 1 }, frame }
}

fn stream_record(key: u128, service: &str, version: &str, age_ms: u64) -> StreamRecord {
    let origin = StreamOrigin { service: service.into(), version: version.into() };
    StreamRecord { key: StreamKey(key), origin, age_ms }
}

fn stream_records() -> impl Strategy<Value = Vec<StreamRecord>> {
    let record = (any::<u128>(), "[a-z]{0,12}", "[a-z0-9.]{0,12}", any::<u64>())
        .prop_map(|(key, service, version, age_ms)| stream_record(key, &service, &version, age_ms));
    prop::collection::vec(record, 0..5)
}

fn frame() -> impl Strategy<Value = Frame> {
    let word = "[a-z]{0,12}";
    prop_oneof![
        Just(Frame::Done),
        (word, any::<u64>())
            .prop_map(|(budget, tokens)| Frame::Lend { budget: budget.into(), tokens }),
        (word, word, any::<u64>()).prop_map(|(kind, name, version)| {
            let (kind, name) = (kind.into(), name.into());
            Frame::Call(PlatformCall::Put { kind, name, value: "{}".into(), version })
        }),
        any::<u64>().prop_map(|newest_version| Frame::Status(Status {
            in_flight: vec![("pool".into(), Vec::new())],
            newest_version,
            version_sum: 1,
            is_platform_reachable: true,
        })),
        prop::collection::vec(word, 0..5).prop_map(|objects| Frame::Objects {
            objects: objects.into_iter().map(Into::into).collect(),
        }),
        stream_records().prop_map(|records| Frame::StreamsBegan { to: "box-2.1".into(), records }),
        stream_records().prop_map(|records| Frame::StreamsFound { records }),
        prop::collection::vec(any::<u128>(), 0..5).prop_map(|keys| Frame::FindStreams {
            to: "box-2.1".into(),
            keys: keys.into_iter().map(StreamKey).collect(),
        }),
    ]
}

proptest! {
    #[test]
    fn messages_round_trip_in_every_format(frame in frame(), format in OLDEST_FORMAT..=NEWEST_FORMAT) {
        let sent = message(frame);
        let bytes = encode(&sent, format).unwrap();
        prop_assert_eq!(decode(&bytes).unwrap(), (sent, format));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_flipped_byte_never_panics(frame in frame(), at in any::<usize>(), with in any::<u8>()) {
        let mut bytes = encode(&message(frame), NEWEST_FORMAT).unwrap();
        let at = at % bytes.len();
        bytes[at] = with;
        let _ = decode(&bytes);
    }
}

#[test]
fn newer_formats_and_large_messages_are_typed_errors() {
    let mut bytes = encode(&message(Frame::Done), NEWEST_FORMAT).unwrap();
    bytes[0] = (NEWEST_FORMAT + 1) as u8;
    assert!(matches!(decode(&bytes), Err(Error::Format { format }) if format == NEWEST_FORMAT + 1));
    assert!(matches!(decode(&vec![0; MAX_MESSAGE_BYTES + 1]), Err(Error::TooLarge { .. })));
    let large = Frame::Refused { reason: "x".repeat(MAX_MESSAGE_BYTES).into() };
    assert!(encode(&message(large), NEWEST_FORMAT).is_err());
}

/// Number of a frame. It stands where that of a frame without content does, which ends the message.
fn number(frame: Frame) -> u32 {
    let empty = encode(&message(Frame::Done), NEWEST_FORMAT).expect("below the size limit");
    let bytes = encode(&message(frame), NEWEST_FORMAT).expect("below the size limit");
    let at = empty.len() - size_of::<u32>();
    u32::from_le_bytes(bytes[at..][..4].try_into().expect("four bytes"))
}

#[test]
fn frames_about_streams_keep_their_numbers() {
    let frames = [
        Frame::Objects { objects: Vec::new() },
        Frame::StreamsBegan { to: "box-2.1".into(), records: Vec::new() },
        Frame::FindStreams { to: "box-2.1".into(), keys: Vec::new() },
        Frame::StreamsFound { records: Vec::new() },
    ];
    assert!(frames[1..].iter().all(|frame| frame.topic() == "streams"));
    assert_eq!(frames.map(number), [4, 38, 39, 40]);
}

#[test]
fn a_frame_of_a_later_version_is_a_typed_error() {
    let last = Frame::StreamsFound { records: Vec::new() };
    let mut bytes = encode(&message(last), NEWEST_FORMAT).expect("below the size limit");
    let at = bytes.len() - size_of::<u64>() - size_of::<u32>();
    bytes[at] += 1;
    assert!(matches!(decode(&bytes), Err(Error::Malformed { .. })));
}

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

struct Echo;

#[async_trait::async_trait]
impl Answer for Echo {
    async fn answer(&self, request: Message) -> Message {
        request
    }
}

#[tokio::test]
async fn all_supported_formats_are_answered() {
    let server = Server::bind(([127, 0, 0, 1], 0).into(), Arc::new(Echo)).await.unwrap();
    for format in OLDEST_FORMAT..=NEWEST_FORMAT {
        let peer = Peer::new(server.address(), LOOPBACK).with_format(format);
        let answer = peer.ask(&message(Frame::Accepted), Duration::from_secs(5)).await.unwrap();
        assert_eq!(answer.frame, Frame::Accepted);
    }
    let newer = Peer::new(server.address(), LOOPBACK).with_format(NEWEST_FORMAT + 1);
    let refused = newer.ask(&message(Frame::Done), Duration::from_secs(5)).await;
    assert!(matches!(refused, Err(Error::Malformed { .. })), "{refused:?}");
}

#[tokio::test]
async fn a_stopped_peer_is_a_typed_error() {
    let server = Server::bind(([127, 0, 0, 1], 0).into(), Arc::new(Echo)).await.unwrap();
    let peer = Peer::new(server.address(), LOOPBACK);
    peer.ask(&message(Frame::Done), Duration::from_secs(5)).await.unwrap();
    drop(server);
    tokio::task::yield_now().await;
    let gone = peer.ask(&message(Frame::Done), Duration::from_secs(5)).await;
    assert!(gone.is_err(), "{gone:?}");
}

/// Forwards connections to `target`. Those opened before `lost` last grew stay open but forward no
/// more data.
async fn lossy_link(
    target: std::net::SocketAddr,
    lost: tokio::sync::watch::Receiver<u64>,
) -> std::net::SocketAddr {
    let listener =
        tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut lost = lost.clone();
            tokio::spawn(async move {
                let opened = *lost.borrow_and_update();
                let mut far =
                    tokio::net::TcpStream::connect(target).await.expect("the target listens");
                let silent = async { lost.wait_for(|now| *now > opened).await.is_ok() };
                let silent = tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut near, &mut far) => false,
                    silent = silent => silent,
                };
                if silent {
                    // Keeps both ends open.
                    std::future::pending::<()>().await;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_half_open_connection_is_replaced() {
    let server =
        Server::bind((Ipv4Addr::LOCALHOST, 0).into(), Arc::new(Echo)).await.expect("a free port");
    let (lose, lost) = tokio::sync::watch::channel(0);
    let peer = Peer::new(lossy_link(server.address(), lost).await, IpAddr::V4(Ipv4Addr::LOCALHOST));
    let ask = async |within| peer.ask(&message(Frame::Done), Duration::from_millis(within)).await;
    assert!(ask(5_000).await.is_ok());
    lose.send_replace(1);
    assert!(matches!(ask(100).await, Err(Error::Timeout)), "the connection is half-open");
    assert!(ask(5_000).await.is_ok(), "a new connection replaces it");
}
