//! The platform's store: objects by kind and name, conditional writes, lists and watches.
//!
//! It answers in some milliseconds. A case may have it leave some writes unanswered, which are done at once or later.

use std::{
    collections::BTreeMap,
    io::{BufReader, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{endpoint::HEARTBEAT, http, json, record::Record};

/// Time that each call takes.
const LATENCY: Duration = Duration::from_millis(4);
const MAX_WAIT: Duration = Duration::from_secs(30);

/// What happens to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Answered,
    /// Done after this time if its condition holds then, and never answered.
    Lost(Duration),
}

/// Decides on a write of an object.
pub type Judge = Box<dyn Fn(&str, &str) -> Fate + Send + Sync>;

#[derive(Clone)]
pub struct Store(Arc<Inner>);

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    judge: Mutex<Option<Judge>>,
    record: Record,
    address: SocketAddr,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Changes with their revisions, oldest first.
    log: Vec<Change>,
    /// When each endpoint wrote its entry last.
    heartbeats: BTreeMap<String, Instant>,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

struct Change {
    revision: u64,
    kind: String,
    text: String,
}

/// A write that was received.
#[derive(Clone)]
struct Write {
    method: String,
    kind: String,
    name: String,
    revision: Option<u64>,
    spec: String,
}

type Answer = (u16, String);

impl Store {
    /// Serves an empty store on a free port.
    pub fn spawn(record: Record) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address");
        let store = Store(Arc::new(Inner {
            state: Mutex::default(),
            changed: Condvar::new(),
            judge: Mutex::default(),
            record,
            address,
        }));
        let (serving, expiring) = (store.clone(), store.clone());
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire();
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Has some writes left unanswered.
    pub fn set_judge(&self, judge: Judge) {
        *self.0.judge.lock().unwrap() = Some(judge);
    }

    /// Creates or replaces an object, as the operator or an endpoint does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.0.state.lock().unwrap();
        state.put(kind, name, spec);
        self.0.changed.notify_all();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.0.state.lock().unwrap();
        state.delete(kind, name);
        self.0.changed.notify_all();
    }

    /// The text of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.0.state.lock().unwrap();
        state.objects.get(&(kind.into(), name.into())).map(|object| object.spec.clone())
    }

    /// Removes entries of endpoints after three heartbeats of silence.
    fn expire(&self) {
        let mut state = self.0.state.lock().unwrap();
        let silent = state.heartbeats.iter().filter(|(_, at)| at.elapsed() > 3 * HEARTBEAT);
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in silent {
            state.heartbeats.remove(&name);
            state.delete("servers", &name);
            self.0.record.add(format!("store: servers/{name} lapsed"));
            self.0.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (method, target) = head.request();
            thread::sleep(LATENCY);
            let answer = self.answer(method, target, &String::from_utf8_lossy(&body));
            let Some((status, text)) = answer else {
                // The connection says nothing more.
                let _ = reader.read_to_end(&mut Vec::new());
                return Ok(());
            };
            let status = format!("{status} X");
            let headers = [("Content-Type", "application/json")];
            http::respond(&mut writer, &status, &headers, text.as_bytes())?;
        }
        Ok(())
    }

    /// `None` if the answer is lost.
    fn answer(&self, method: &str, target: &str, body: &str) -> Option<Answer> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/objects/") else {
            return Some((404, "{}".into()));
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        if method == "GET" {
            return Some(match (name, query.get("watch").and_then(|from| from.parse().ok())) {
                (Some(name), _) => self.read(kind, name),
                (None, Some(from)) => {
                    let wait = query.get("wait_ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                (None, None) => self.list(kind, query.get("after").copied()),
            });
        }
        let metadata = json::field(body, "metadata").unwrap_or("{}");
        let in_query = query.get("revision").and_then(|revision| revision.parse().ok());
        let write = Write {
            method: method.into(),
            kind: kind.into(),
            name: name.or(json::text(metadata, "name")).unwrap_or_default().into(),
            revision: json::number(metadata, "revision").or(in_query),
            spec: json::field(body, "spec").unwrap_or("null").into(),
        };
        self.write(write)
    }

    fn write(&self, write: Write) -> Option<Answer> {
        let fate = match &*self.0.judge.lock().unwrap() {
            Some(judge) => judge(&write.kind, &write.name),
            None => Fate::Answered,
        };
        let what =
            format!("{} {}/{} at {:?}", write.method, write.kind, write.name, write.revision);
        match fate {
            Fate::Answered => {
                let answer = self.apply(&write);
                if write.kind != "servers" {
                    self.0.record.add(format!("store: {what}: {}", answer.0));
                }
                Some(answer)
            }
            Fate::Lost(after) => {
                let store = self.clone();
                self.0.record.add(format!("store: {what}: no answer, to be done in {after:?}"));
                thread::spawn(move || {
                    thread::sleep(after);
                    let (status, _) = store.apply(&write);
                    store.0.record.add(format!("store: {what}: late, {status}"));
                });
                None
            }
        }
    }

    fn apply(&self, write: &Write) -> Answer {
        let mut state = self.0.state.lock().unwrap();
        if write.kind == "servers" {
            state.heartbeats.insert(write.name.clone(), Instant::now());
        }
        let key = (write.kind.clone(), write.name.clone());
        let known = state.objects.get(&key).cloned();
        let is_refused = match &known {
            Some(known) => {
                write.method == "POST" || write.revision.is_some_and(|it| it != known.revision)
            }
            None => false,
        };
        match known {
            Some(known) if is_refused => return (409, known.text(&write.name)),
            None if write.method != "POST" => return (404, "{}".into()),
            // A write that changes nothing raises no revision, nor does one that changes only `seq`.
            Some(known)
                if write.method == "PUT"
                    && without_seq(&known.spec) == without_seq(&write.spec) =>
            {
                return (200, known.text(&write.name));
            }
            _ => {}
        }
        if write.method == "DELETE" {
            state.delete(&write.kind, &write.name);
            self.0.changed.notify_all();
            return (200, "{}".into());
        }
        let text = state.put(&write.kind, &write.name, &write.spec);
        self.0.changed.notify_all();
        (200, text)
    }

    fn read(&self, kind: &str, name: &str) -> Answer {
        let state = self.0.state.lock().unwrap();
        match state.objects.get(&(kind.into(), name.into())) {
            Some(object) => (200, object.text(name)),
            None => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Answer {
        let state = self.0.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((known, name), _)| {
            known == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let items: Vec<String> = of_kind.map(|((_, name), object)| object.text(name)).collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"has_more":false,"timestamp":{revision}}}"#))
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Answer {
        let until = Instant::now() + wait.min(MAX_WAIT);
        let mut state = self.0.state.lock().unwrap();
        loop {
            let new = state.log.iter().filter(|it| it.kind == kind && it.revision > from);
            let events: Vec<&str> = new.map(|change| &*change.text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"timestamp":{revision}}}"#));
            }
            state = self.0.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// An object's text without its number of heartbeats.
fn without_seq(spec: &str) -> String {
    match json::field(spec, "seq") {
        Some(seq) => spec.replace(&format!(r#""seq":{seq}"#), ""),
        None => spec.into(),
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let object = Object { revision: self.revision, spec: spec.into() };
        let text = object.text(name);
        self.objects.insert((kind.into(), name.into()), object);
        self.add_change(kind, format!(r#"{{"tombstone":false,"object":{text}}}"#));
        text
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind.into(), name.into())) {
            self.revision += 1;
            object.revision = self.revision;
            let text = object.text(name);
            self.add_change(kind, format!(r#"{{"tombstone":true,"object":{text}}}"#));
        }
    }

    fn add_change(&mut self, kind: &str, text: String) {
        self.log.push(Change { revision: self.revision, kind: kind.into(), text });
    }
}

impl Object {
    fn text(&self, name: &str) -> String {
        let Object { revision, spec } = self;
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created_at":0,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        )
    }
}
