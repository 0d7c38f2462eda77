//! The platform's store, as its page describes it: objects by kind and name, one revision counter, conditional writes, lists
//! and watches. Bodies are JSON.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, json};

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    tombstone: bool,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A store on a loopback address.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// How long the store takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);

impl Store {
    /// Serves until the process ends.
    pub fn spawn() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = Store { shared: Arc::default(), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object without a condition, as the operator or an endpoint does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.write(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state.objects.keys().filter(|(of, _)| of == kind).count()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            thread::sleep(LATENCY);
            let method = head.first.first().cloned().unwrap_or_default();
            let target = head.first.get(1).cloned().unwrap_or_default();
            let (status, text) = self.answer(&method, &target, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let Some(rest) = path.strip_prefix("/objects/") else { return (404, "{}".into()) };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(unescape(name))),
            None => (rest.to_owned(), None),
        };
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        match (method, name) {
            ("GET", None) => match number("watch") {
                Some(from) => self.watch(&kind, from, number("wait_ms").unwrap_or(0)),
                None => self.list(&kind, query.get("after").map_or("", String::as_str)),
            },
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, object_text(&name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", None) => {
                let name = json::text(json::field(json::field(body, "metadata"), "name"));
                self.write(&kind, &name, json::field(body, "spec"), Some(0))
            }
            ("PUT", Some(name)) => {
                let condition = json::field(json::field(body, "metadata"), "revision");
                let condition = condition.parse().ok().or(number("revision"));
                self.write(&kind, &name, json::field(body, "spec"), condition)
            }
            ("DELETE", Some(name)) => self.delete(&kind, &name, number("revision")),
            _ => (400, "{}".into()),
        }
    }

    /// Writes an object; `Some(0)` asks that there is none.
    fn write(&self, kind: &str, name: &str, spec: &str, condition: Option<u64>) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        match (state.objects.get(&key), condition) {
            (Some(object), Some(revision)) if object.revision != revision => {
                return (409, object_text(name, object));
            }
            (None, Some(revision)) if revision > 0 => return (404, "{}".into()),
            _ => {}
        }
        state.write(kind, name, spec);
        self.shared.1.notify_all();
        (200, object_text(name, &state.objects[&key]))
    }

    fn delete(&self, kind: &str, name: &str, condition: Option<u64>) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        match state.objects.get(&key) {
            None => return (404, "{}".into()),
            Some(object) if condition.is_some_and(|revision| revision != object.revision) => {
                return (409, object_text(name, object));
            }
            Some(_) => {}
        }
        state.delete(kind, name);
        self.shared.1.notify_all();
        (200, "{}".into())
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((of, name), _)| of == kind && **name > *after);
        let items: Vec<String> =
            of_kind.map(|((_, name), object)| object_text(name, object)).collect();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":false,\"timestamp\":{}}}",
            items.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let new =
                state.events.iter().filter(|event| event.kind == kind && event.revision > from);
            let events: Vec<String> = new.map(event_text).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"timestamp\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    /// A write that changes nothing raises no revision and sends no event.
    fn write(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.get(&key).is_some_and(|object| object.spec == spec) {
            return;
        }
        self.revision += 1;
        self.objects.insert(key, Object { revision: self.revision, spec: spec.to_owned() });
        self.log(kind, name, false, spec);
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let found = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(object) = found {
            self.revision += 1;
            self.log(kind, name, true, &object.spec);
        }
    }

    fn log(&mut self, kind: &str, name: &str, tombstone: bool, spec: &str) {
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            tombstone,
            spec: spec.to_owned(),
        });
    }
}

fn metadata(name: &str, revision: u64) -> String {
    format!(
        "\"metadata\":{{\"name\":{},\"revision\":{revision},\"created_at\":1,\"finalizers\":[],\"deleting\":false}}",
        json::quote(name)
    )
}

fn object_text(name: &str, object: &Object) -> String {
    format!("{{{},\"spec\":{},\"status\":null}}", metadata(name, object.revision), object.spec)
}

fn event_text(event: &Event) -> String {
    let object = Object { revision: event.revision, spec: event.spec.clone() };
    format!(
        "{{\"tombstone\":{},\"object\":{}}}",
        event.tombstone,
        object_text(&event.name, &object)
    )
}

/// Undoes the percent encoding of a path or a query.
fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
