//! The platform's object API over HTTP, with faults.

use std::{sync::Arc, time::Duration};

use objects::{Expect, Host, Object, Write};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode, http::header};
use serde_json::{json, value::RawValue};
use tokio::time::Instant;

use crate::{Memory, Server};

/// Longest that one watch may wait.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Fault switches of the platform.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Answers nothing at all.
    pub down: bool,
    /// Delay of every call but a watch.
    pub delay: Duration,
    /// Share of writes that land but whose answer is lost, from 0 to 1.
    pub lose_answers: f64,
    /// Writes a second; 0 means no limit.
    pub writes_per_s: u32,
    /// Reads a second, waiting watches included; 0 means no limit.
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
    faults: Mutex<Faults>,
    random: Mutex<ChaCha8Rng>,
    writes: Mutex<Bucket>,
    reads: Mutex<Bucket>,
}

/// A platform that serves its object API on loopback.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl Platform {
    /// Starts an empty platform; `seed` decides which answers are lost.
    pub async fn spawn(seed: u64) -> Platform {
        let bucket = || Mutex::new(Bucket { tokens: 1.0, at: Instant::now() });
        let shared = Arc::new(Shared {
            memory: Memory::default(),
            faults: Mutex::default(),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            writes: bucket(),
            reads: bucket(),
        });
        let handler = Api(shared.clone());
        let server = Server::spawn(Router::with_path("{**rest}").goal(handler)).await;
        Platform { shared, server: Arc::new(server) }
    }

    /// Base address of the API.
    pub fn address(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Where it listens, for a link in front of it.
    pub fn socket(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Changes the fault switches.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
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
        let faults = self.0.faults.lock().clone();
        if faults.down {
            std::future::pending::<()>().await;
        }
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let write = request.method() != salvo::http::Method::GET;
        if !self.admit(write, &faults) {
            response.status_code(StatusCode::TOO_MANY_REQUESTS);
            return;
        }
        match (parts.as_slice(), write) {
            (["watch"], false) => self.watch(request, response).await,
            (_, false) => {
                wait(faults.delay).await;
                self.read(&parts, request, response);
            }
            (["objects", kind, name], true) => {
                self.write(kind, name, request, response, &faults).await;
            }
            _ => drop(response.status_code(StatusCode::NOT_FOUND)),
        }
    }
}

impl Api {
    fn admit(&self, write: bool, faults: &Faults) -> bool {
        match write {
            true => self.0.writes.lock().take(faults.writes_per_s),
            false => self.0.reads.lock().take(faults.reads_per_s),
        }
    }

    fn read(&self, parts: &[&str], request: &mut Request, response: &mut Response) {
        let memory = &self.0.memory;
        match parts {
            ["objects", kind] => {
                let prefix: String = request.query("prefix").unwrap_or_default();
                let (objects, next) = memory.read_all(kind, &prefix);
                let items = objects.into_iter().map(item).collect();
                page(response, items, next, false);
            }
            ["objects", kind, name] => match memory.read(kind, name) {
                None => drop(response.status_code(StatusCode::NOT_FOUND)),
                Some(object) => {
                    tag(response, object.version);
                    let _ = response.write_body(object.value.to_string());
                }
            },
            ["hosts"] => {
                let hosts = serde_json::to_string(&memory.host_list()).expect("hosts are JSON");
                let _ = response.write_body(hosts);
            }
            _ => drop(response.status_code(StatusCode::NOT_FOUND)),
        }
    }

    async fn watch(&self, request: &mut Request, response: &mut Response) {
        let kinds: String = request.query("kinds").unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        let from = request.query("from").unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let watch = self.0.memory.wait(&kinds, from, wait).await;
        if self.0.faults.lock().down {
            std::future::pending::<()>().await;
        }
        let items = watch.changes.into_iter().map(|change| match change.value {
            Some(value) => item(Object {
                kind: change.kind,
                name: change.name,
                version: change.version,
                value,
            }),
            None => json!({"kind": change.kind, "name": change.name, "version": change.version}),
        });
        page(response, items.collect(), watch.next, watch.gap);
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        request: &mut Request,
        response: &mut Response,
        faults: &Faults,
    ) {
        let Some(expect) = expect(request) else {
            response.status_code(StatusCode::PRECONDITION_REQUIRED);
            return;
        };
        let delete = request.method() == salvo::http::Method::DELETE;
        let body = request.payload_with_max_size(2 << 20).await.map(|b| b.to_vec());
        let text = body.ok().and_then(|body| String::from_utf8(body).ok());
        let value = match (delete, text) {
            (true, _) => None,
            (false, Some(text)) if serde_json::from_str::<&RawValue>(&text).is_ok() => {
                Some(Arc::from(text))
            }
            _ => {
                response.status_code(StatusCode::BAD_REQUEST);
                return;
            }
        };
        let applied = self.apply_later(kind, name, value, expect, faults.delay).await;
        let lost = faults.lose_answers > 0.0
            && self.0.random.lock().random_bool(faults.lose_answers.min(1.0));
        match applied {
            _ if lost => drop(response.status_code(StatusCode::GATEWAY_TIMEOUT)),
            Write::Landed(version) => tag(response, version),
            Write::Refused => drop(response.status_code(StatusCode::PRECONDITION_FAILED)),
            _ => drop(response.status_code(StatusCode::PAYLOAD_TOO_LARGE)),
        }
    }

    /// Applies the write in a task of its own, so that it lands even if the caller gave up.
    async fn apply_later(
        &self,
        kind: &str,
        name: &str,
        value: Option<Arc<str>>,
        expect: Expect,
        delay: Duration,
    ) -> Write {
        let memory = self.0.memory.clone();
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let task = tokio::spawn(async move {
            wait(delay).await;
            memory.apply(&kind, &name, value, expect)
        });
        task.await.unwrap_or(Write::Unknown)
    }
}

/// Sleeping for no time still waits for the timer's next tick.
async fn wait(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

fn expect(request: &Request) -> Option<Expect> {
    let headers = request.headers();
    if headers.get(header::IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Expect::Absent);
    }
    let version = headers.get(header::IF_MATCH)?.to_str().ok()?;
    version.trim_matches('"').parse().ok().map(Expect::Version)
}

fn tag(response: &mut Response, version: u64) {
    let _ = response.add_header(header::ETAG, version.to_string(), true);
}

fn item(object: Object) -> serde_json::Value {
    let value = serde_json::from_str::<serde_json::Value>(&object.value).unwrap_or_default();
    json!({"kind": object.kind, "name": object.name, "version": object.version, "value": value})
}

fn page(response: &mut Response, items: Vec<serde_json::Value>, next: u64, gap: bool) {
    let body = json!({"items": items, "next": next, "gap": gap});
    let _ = response.write_body(body.to_string());
}
