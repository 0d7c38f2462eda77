//! The platform's object API over HTTP, with faults on demand.

use std::{collections::HashSet, net::IpAddr, sync::Arc, time::Duration};

use objects::{Expect, Host, Write};
use parking_lot::Mutex;
use platform::store_server::{self, Answer, Call};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode, http::header};
use tokio::time::Instant;

use crate::{Memory, Server};

/// Bytes of an answer that a limited link carries before it turns to the next call.
const PIECE_BYTES: usize = 4 << 10;

/// Faults of the platform.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Never responds to any call.
    pub down: bool,
    /// Delay of every call but a watch.
    pub delay: Duration,
    /// Probability, from 0 to 1, that a write is applied but answered with 504.
    pub drop_responses: f64,
    /// Delay of a write that is answered with 504; zero means that it is applied before that.
    pub dropped_write_delay: Duration,
    /// Sources whose calls are rejected with 503, also while `down` is set.
    pub rejected_sources: HashSet<IpAddr>,
    /// Watches look for changes only when they begin and when their wait ends.
    pub deaf_watches: bool,
    /// Bytes of answers a second that the platform's link carries, shared by the calls under way; 0
    /// means no limit.
    pub link_bytes_per_s: u64,
    /// No history is kept, so that each watch has a gap.
    pub forgets_history: bool,
    /// Limit of writes a second; 0 means no limit.
    pub writes_per_s: u32,
    /// Limit of reads a second, watches included; 0 means no limit.
    pub reads_per_s: u32,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: u32) -> bool {
        if rate == 0 {
            return true;
        }
        let rate = f64::from(rate);
        self.tokens = (self.tokens + self.at.elapsed().as_secs_f64() * rate).min(rate);
        self.at = Instant::now();
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

struct Shared {
    memory: Memory,
    faults: Mutex<PlatformFaults>,
    random: Mutex<ChaCha8Rng>,
    writes: Mutex<Bucket>,
    reads: Mutex<Bucket>,
    /// Taken for each piece of an answer on a limited link.
    link: tokio::sync::Mutex<()>,
}

/// A platform on loopback.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl Platform {
    /// Starts a platform without objects; `seed` determines which responses are dropped.
    pub async fn spawn(seed: u64) -> Platform {
        let bucket = || Mutex::new(Bucket { tokens: 1.0, at: Instant::now() });
        let shared = Arc::new(Shared {
            memory: Memory::default(),
            faults: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            writes: bucket(),
            reads: bucket(),
            link: tokio::sync::Mutex::default(),
        });
        let handler = Api(shared.clone());
        let server = Server::spawn(Router::with_path("{**rest}").goal(handler)).await;
        Platform { shared, server: Arc::new(server) }
    }

    /// Base URL of the API.
    pub fn address(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Address that it listens on.
    pub fn socket(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Changes the faults.
    pub fn set(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.faults.lock());
    }

    /// The objects themselves, without faults.
    pub fn memory(&self) -> &Memory {
        &self.shared.memory
    }

    /// Sets the list of boxes.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.shared.memory.set_hosts(hosts);
    }
}

struct Api(Arc<Shared>);

#[async_trait::async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let (status, body) = self.serve(request).await;
        self.transmit(body.len()).await;
        response.status_code(status);
        let _ = response.add_header(header::CONTENT_TYPE, "application/json", true);
        let era = self.0.memory.era().to_string();
        let _ = response.add_header(platform::store_server::ERA, era, true);
        let _ = response.write_body(body);
    }
}

impl Api {
    async fn serve(&self, request: &mut Request) -> Answer {
        let faults = self.0.faults.lock().clone();
        let from = request.remote_addr().as_ipv4().map(|address| (*address.ip()).into());
        let rejects = from.is_some_and(|from: IpAddr| faults.rejected_sources.contains(&from));
        if faults.down && !rejects {
            std::future::pending::<()>().await;
        }
        if rejects {
            return (StatusCode::SERVICE_UNAVAILABLE, "busy".into());
        }
        let body = request.payload_with_max_size(2 << 20).await.map(|body| body.to_vec());
        let query = request.queries().iter().map(|(name, value)| (name.clone(), value.clone()));
        let query = query.collect();
        let path = request.uri().path().to_owned();
        let read = Call::read(request.method(), &path, &query, &body.unwrap_or_default());
        let Some(call) = read else {
            return (StatusCode::BAD_REQUEST, "no such call".into());
        };
        if !self.admit(call.is_write(), &faults) {
            return (StatusCode::TOO_MANY_REQUESTS, "too many calls".into());
        }
        match call {
            Call::Watch { kind, from, wait } => self.watch(&kind, from, wait).await,
            Call::Get { kind, name } => {
                pause(faults.delay).await;
                store_server::object_response(self.0.memory.read(&kind, &name).as_ref())
            }
            Call::List { kind, after } => {
                pause(faults.delay).await;
                let (objects, version) = self.0.memory.read_all(&kind, "");
                store_server::list_response(&objects, after.as_deref(), version)
            }
            Call::Put { kind, name, value, expect } => {
                self.write(&kind, &name, Some(value), expect, &faults).await
            }
            Call::Delete { kind, name, version } => {
                self.write(&kind, &name, None, Expect::Version(version), &faults).await
            }
        }
    }

    /// Waits for as long as an answer takes on the link.
    async fn transmit(&self, bytes: usize) {
        for at in (0..bytes).step_by(PIECE_BYTES) {
            let rate = self.0.faults.lock().link_bytes_per_s;
            if rate == 0 {
                return;
            }
            // In turn with the other calls: the lock is fair.
            let _turn = self.0.link.lock().await;
            let piece = PIECE_BYTES.min(bytes - at);
            pause(Duration::from_secs_f64(piece as f64 / rate as f64)).await;
        }
    }

    fn admit(&self, write: bool, faults: &PlatformFaults) -> bool {
        match write {
            true => self.0.writes.lock().take(faults.writes_per_s),
            false => self.0.reads.lock().take(faults.reads_per_s),
        }
    }

    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Answer {
        let PlatformFaults { deaf_watches: is_deaf, forgets_history, .. } = *self.0.faults.lock();
        if forgets_history {
            return store_server::watch_response(&[], from, true);
        }
        let watch = match is_deaf {
            true => self.0.memory.wait_deaf(&[kind], from, wait).await,
            false => self.0.memory.wait(&[kind], from, wait).await,
        };
        if self.0.faults.lock().down {
            std::future::pending::<()>().await;
        }
        store_server::watch_response(&watch.changes, watch.next, watch.gap)
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        value: Option<Arc<str>>,
        expect: Expect,
        faults: &PlatformFaults,
    ) -> Answer {
        let dropped = faults.drop_responses > 0.0
            && self.0.random.lock().random_bool(faults.drop_responses.min(1.0));
        let delay =
            if dropped { faults.dropped_write_delay.max(faults.delay) } else { faults.delay };
        let applied = self.apply_later(kind, name, value, expect, delay);
        if dropped {
            // With a delay, the write is applied after this response.
            if faults.dropped_write_delay.is_zero() {
                applied.await;
            }
            return (StatusCode::GATEWAY_TIMEOUT, "no answer".into());
        }
        match applied.await {
            Write::Landed(version) => match self.0.memory.read(kind, name) {
                Some(object) if object.version == version => {
                    store_server::object_response(Some(&object))
                }
                _ => store_server::object_response(Some(&objects::Object {
                    kind: kind.into(),
                    name: name.into(),
                    version,
                    value: "null".into(),
                })),
            },
            Write::Refused => {
                store_server::conflict_response(self.0.memory.read(kind, name).as_ref())
            }
            _ => (StatusCode::PAYLOAD_TOO_LARGE, "too large".into()),
        }
    }

    /// Applies a write in a task of its own, so that it is applied even if the caller disconnects.
    fn apply_later(
        &self,
        kind: &str,
        name: &str,
        value: Option<Arc<str>>,
        expect: Expect,
        delay: Duration,
    ) -> impl Future<Output = Write> + use<> {
        let memory = self.0.memory.clone();
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let task = tokio::spawn(async move {
            pause(delay).await;
            memory.apply(&kind, &name, value, expect)
        });
        async move { task.await.unwrap_or(Write::Unknown) }
    }
}

/// Sleeps, but not for a zero delay, for which `sleep` would wait for the next tick of the timer.
async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}
