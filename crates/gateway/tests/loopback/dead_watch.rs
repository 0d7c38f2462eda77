//! Connections to the store that die without a sign while new ones work.
//!
//! Guards against watches that stay on dead connections because the store answers a box's other calls.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use gateway::{Gateway, Seen};
use platform::{
    fixtures::{self, CallerHead, Registration, Resumed},
    store::{Client, Options},
};
use standin::{Link, Platform, ReceivedRequest, Reply, ScriptedEndpoint};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::harness::{Harness, answer_ok, call, settings, wait_until, wait_until_within};

/// Requests in a row that miss an endpoint, to show that it receives none.
const REQUESTS: usize = 24;
/// Longest time until the endpoint that left receives no more requests; shorter than a watch, which lasts
/// 20 s, and longer than the two probes of the store on a busy machine.
const MAX_DELAY: Duration = Duration::from_secs(12);
/// Time after which a watch has taken a connection.
const WATCH_BEGUN: Duration = Duration::from_secs(1);
/// Timeout of a probe that gets no answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of a copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// What a forwarder withholds.
#[derive(Debug, Default)]
struct Faults {
    /// Whether the watches that wait now get no more answers.
    watches_are_dead: AtomicBool,
    /// Probes that get no answer.
    probes_to_lose: AtomicUsize,
    /// Whether nothing but probes gets answers.
    answers_probes_only: AtomicBool,
    /// Watches that wait.
    watches: AtomicUsize,
}

impl Faults {
    /// Whether the answer to a probe is lost.
    fn loses_probe(&self) -> bool {
        let lose = |left: usize| left.checked_sub(1);
        self.probes_to_lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, lose).is_ok()
    }
}

/// A forwarder to the store that lets chosen requests wait for ever on connections that look open.
pub struct Forwarder {
    address: SocketAddr,
    faults: Arc<Faults>,
    task: JoinHandle<()>,
}

impl Forwarder {
    pub async fn bind(store: SocketAddr) -> Forwarder {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let faults = Arc::new(Faults::default());
        let of_connections = faults.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, store, of_connections.clone()));
            }
        });
        Forwarder { address, faults, task }
    }

    /// Address under which boxes reach the store through it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets the watches that wait now wait for ever; probes are answered.
    pub fn kill_watches_only(&self) {
        self.faults.watches_are_dead.store(true, Ordering::SeqCst);
    }

    /// Answers probes and nothing else: lists and watches wait for ever, also those that wait now.
    pub fn answer_probes_only(&self) {
        self.faults.answers_probes_only.store(true, Ordering::SeqCst);
    }

    /// Lets the watches that wait now and the next probe wait for ever.
    fn kill_watches(&self) {
        self.faults.watches_are_dead.store(true, Ordering::SeqCst);
        self.faults.probes_to_lose.store(1, Ordering::SeqCst);
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(mut client: TcpStream, store: SocketAddr, faults: Arc<Faults>) {
    let Ok(mut server) = TcpStream::connect(store).await else { return };
    let (mut sent, mut answered) = ([0; BUFFER_BYTES], [0; BUFFER_BYTES]);
    // Whether a watch waits on this connection that was opened before the watches died.
    let mut waits = false;
    loop {
        tokio::select! {
            read = client.read(&mut sent) => {
                let Ok(read @ 1..) = read else { break };
                let text = String::from_utf8_lossy(&sent[..read]);
                let is_probe = text.starts_with("GET /objects/boxes/") && text.contains("allow_stale");
                waits = text.contains("?watch=") && !faults.watches_are_dead.load(Ordering::SeqCst);
                if waits {
                    faults.watches.fetch_add(1, Ordering::SeqCst);
                }
                let is_withheld = !is_probe && faults.answers_probes_only.load(Ordering::SeqCst);
                if is_withheld || is_probe && faults.loses_probe() {
                    // Open until the client gives up.
                    let _ = client.read(&mut sent).await;
                    break;
                }
                if server.write_all(&sent[..read]).await.is_err() {
                    break;
                }
            }
            read = server.read(&mut answered) => {
                let Ok(read @ 1..) = read else { break };
                let is_withheld = faults.answers_probes_only.load(Ordering::SeqCst);
                if waits && (is_withheld || faults.watches_are_dead.load(Ordering::SeqCst)) {
                    let _ = client.read(&mut sent).await;
                    break;
                }
                if waits {
                    faults.watches.fetch_sub(1, Ordering::SeqCst);
                    waits = false;
                }
                if client.write_all(&answered[..read]).await.is_err() {
                    break;
                }
            }
        }
    }
    if waits {
        faults.watches.fetch_sub(1, Ordering::SeqCst);
    }
}

#[tokio::test]
async fn leaving_endpoint_gets_no_requests_although_only_the_first_probe_is_lost() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let leaving = harness.endpoint("i-1", "plain", answer_ok).await;
    let stays = harness.endpoint("i-2", "plain", answer_ok).await;
    let forwarder = Forwarder::bind(harness.platform.socket()).await;
    let gateway = harness.gateway_with_store("box-1", forwarder.address).await;
    let send = async || {
        call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
    };
    wait_until("both endpoints are in use", async || {
        send().await;
        !leaving.arrived().is_empty() && !stays.arrived().is_empty()
    })
    .await;
    // Of the configuration, evacuations, crashes and endpoints.
    wait_until("the watches wait", async || forwarder.faults.watches.load(Ordering::SeqCst) == 4)
        .await;
    forwarder.kill_watches();
    harness.write_entry("i-1", "plain", leaving.address(), false).await;
    let mut missed = 0;
    wait_until_within(MAX_DELAY, "the endpoint that leaves gets no more requests", async || {
        let before = leaving.arrived().len();
        send().await;
        missed = if leaving.arrived().len() == before { missed + 1 } else { 0 };
        missed > REQUESTS
    })
    .await;
}

/// A watch that took the connection of the previous probe would leave the next one a new connection, on which
/// the store answers.
#[tokio::test]
async fn probe_notices_that_open_connections_died_while_a_watch_waits() {
    let platform = Platform::spawn(1).await;
    let link = Link::bind(platform.socket(), Duration::ZERO).await.expect("a link");
    let client = Client::open(Options {
        address: format!("http://{}", link.address()),
        timeout: Duration::from_secs(10),
        watch_timeout: Duration::from_secs(20),
    });
    client.ping("boxes", "box-1", MAX_DELAY).await.expect("an answer");
    let watch = client.watch_kind("boxes", 0);
    let waiting = tokio::time::timeout(2 * WATCH_BEGUN, watch);
    let died = async {
        tokio::time::sleep(WATCH_BEGUN).await;
        link.stall_open_connections();
        client.ping("boxes", "box-1", PROBE_TIMEOUT).await
    };
    let (_, probed) = tokio::join!(waiting, died);
    assert!(probed.is_err(), "the connection of the probe died too");
    client.reset_connections();
    client.ping("boxes", "box-1", MAX_DELAY).await.expect("an answer on a new connection");
}

/// Guards against boxes that vouch for the only version of a service while they miss what registers.
#[tokio::test]
async fn a_box_whose_watches_are_dead_does_not_vouch_for_a_version() {
    const MEMORY_MS: u64 = 1_500;
    let harness = Harness::start(1_000_000, &["resume"]).await;
    let endpoint = harness.endpoint("engine-1", "engines", answer_ok).await;
    let forwarder = Forwarder::bind(harness.platform.socket()).await;
    let mut settings = settings("box-1", forwarder.address);
    settings.streams.memory_ms = MEMORY_MS;
    let gateway = Gateway::spawn(settings, 1).await.expect("the gateway starts");
    let sole_version = async || {
        let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
        gateway.sole_version("engines", deadline).await
    };
    wait_until("the only version", async || sole_version().await.is_some()).await;
    wait_until("the watches wait", async || forwarder.faults.watches.load(Ordering::SeqCst) == 4)
        .await;
    tokio::time::sleep(Duration::from_millis(2 * MEMORY_MS)).await;
    // Probes are still answered, each on a connection of its own.
    forwarder.faults.watches_are_dead.store(true, Ordering::SeqCst);
    let registration =
        Registration { version: "v2", ..fixtures::registration("engines", endpoint.address()) };
    harness.write_raw_entry("engine-2", registration.entry().to_string()).await;
    // Longer than the longest break of a history.
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(sole_version().await, None, "an endpoint of v2 registered 5 s ago");
}

/// Guards against callers that are refused for good by a box that does not know the endpoints of a new version yet.
#[tokio::test]
async fn a_stream_of_a_version_that_the_box_does_not_see_yet_may_come_back() {
    let begin = |request: &ReceivedRequest| {
        let mut headers = fixtures::response_headers(&request.head.id, None);
        headers.insert("content-type", "text/event-stream".parse().expect("a value"));
        Reply::Truncated(headers, vec!["id: 1\ndata: x\n\n".into()])
    };
    let harness = Harness::start(1_000_000, &["resume"]).await;
    let v1 = harness.endpoint("engine-1", "engines", begin).await;
    let v2 = ScriptedEndpoint::spawn(begin).await;
    let forwarder = Forwarder::bind(harness.platform.socket()).await;
    let current = harness.gateway("box-1").await;
    // Has nothing confirmed while the test runs, by the store or by a root before it in the order of the fleet, so that it
    // keeps missing what its watches miss.
    let mut unconfirmed = settings("box-0", forwarder.address);
    unconfirmed.store.max_age_ms = 600_000;
    let late = Gateway::spawn(unconfirmed, 1).await.expect("the gateway starts");
    wait_until("the boxes know each other", async || {
        current.peer_count() == 1 && late.peer_count() == 1
    })
    .await;
    for gateway in [&current, &late] {
        wait_until("the route is served", async || {
            let request = harness.new_request("key-b", 1, 1);
            call(gateway.callers(), "/resume/x", &request).await.status == 200
        })
        .await;
    }
    forwarder.faults.watches_are_dead.store(true, Ordering::SeqCst);
    let registration =
        Registration { version: "v2", ..fixtures::registration("engines", v2.address()) };
    harness.write_raw_entry("engine-2", registration.entry().to_string()).await;
    let mut began = None;
    wait_until("a stream of v2", async || {
        let request = harness.new_request("key-b", 1, 1);
        call(current.callers(), "/resume/x", &request).await;
        let is_v2 = v2.arrived().iter().any(|arrived| arrived.head.id == request.id);
        began = is_v2.then_some(request.id);
        began.is_some()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(late.versions_seen("engines"), current_sole("v1", &late), "it sees v1 only");
    let resumed = Some(Resumed { first_attempt: began, last_event: Some(1) });
    let request = CallerHead { resumed, ..harness.new_request("key-b", 1, 1) };
    let response = call(late.callers(), "/resume/x", &request).await;
    assert!(v1.arrived().iter().all(|arrived| arrived.head.id != request.id));
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.headers.contains_key("retry-after"), "refused for good: {response:?}");
}

/// The only version with the time that the box says.
fn current_sole(version: &str, gateway: &Gateway) -> Seen {
    let since_ms = match gateway.versions_seen("engines") {
        Seen::Sole { since_ms, .. } => since_ms,
        Seen::Several | Seen::Nothing => 0,
    };
    Seen::Sole { version: version.into(), since_ms }
}
