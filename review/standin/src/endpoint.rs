//! Endpoints: model engines that stream events, and plain services.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    client,
    http::{self, Head},
    record::Record,
};

/// Time between two writes of an entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How an endpoint answers.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// Streams as many events as the request's most tokens fill.
    Engine { event_tokens: u64, event_time: Duration },
    /// Answers some bytes after this time.
    Plain { time: Duration },
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    record: Record,
    /// Requests that ran, by `Attempt-Id`, in order.
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A request that ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    pub tenant: Option<String>,
    /// Tokens of the prompt, and those handed out.
    pub tokens: (u64, u64),
}

impl Endpoint {
    pub fn spawn(id: &str, work: Work, record: &Record) -> Endpoint {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        Endpoint::spawn_at(any, id, work, record)
    }

    /// Serves at this address.
    pub fn spawn_at(at: SocketAddr, id: &str, work: Work, record: &Record) -> Endpoint {
        let listener = TcpListener::bind(at).expect("a free loopback port");
        let address = listener.local_addr().expect("a bound address");
        let (record, runs) = (record.clone(), Arc::default());
        let endpoint = Endpoint { id: id.into(), address, work, record, runs };
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                thread::spawn(move || drop(endpoint.serve(stream)));
            }
        });
        endpoint
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Writes its entry to the store at each heartbeat, as a sound endpoint does; the first time at once.
    pub fn register(&self, store: SocketAddr, service: &str, zone: &str) {
        let (endpoint, service, zone) = (self.clone(), service.to_owned(), zone.to_owned());
        let write = move |method, path: &str, heartbeat| {
            let spec = endpoint.entry(&service, &zone, "ready", heartbeat);
            let id = &endpoint.id;
            let body = format!(r#"{{"metadata":{{"name":"{id}"}},"spec":{spec}}}"#);
            client::write(store, method, path, &body)
        };
        write("POST", "/objects/servers", 1);
        let path = format!("/objects/servers/{}", self.id);
        thread::spawn(move || {
            for heartbeat in 2.. {
                thread::sleep(HEARTBEAT);
                write("PUT", &path, heartbeat);
            }
        });
    }

    /// Its entry in the store, as of a heartbeat.
    pub fn entry(&self, service: &str, zone: &str, state: &str, heartbeat: u64) -> String {
        let engine = match self.work {
            Work::Engine { .. } => {
                r#","stage":"both","models":[{"name":"m","version":1,"adapters":[]}]"#
            }
            Work::Plain { .. } => "",
        };
        let address = self.address;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"{state}","cold_left_ms":0,"seq":{heartbeat}{engine}}}"#
        )
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
            let is_other = head.get("expect-instance").is_some_and(|id| id != self.id);
            if is_other {
                let headers = [("Attempt-Id", &*attempt), ("Instance-Id", &*self.id)];
                http::respond(&mut writer, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            self.run(&head, &attempt, &mut writer)?;
        }
        Ok(())
    }

    fn run(&self, head: &Head, attempt: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let counts = head.get("token-counts").and_then(|text| text.split_once(','));
        let parse = |text: &str| text.trim().parse().unwrap_or(0);
        let (prompt, most) = counts.map_or((0, 0), |(prompt, most)| (parse(prompt), parse(most)));
        let tenant = head.get("tenant").map(str::to_owned);
        let at = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { attempt: attempt.into(), tenant, tokens: (prompt, 0) });
            runs.len() - 1
        };
        self.record.add(format!("endpoint {}: runs {attempt}, {prompt} tokens in", self.id));
        let seal = format!("{}.{at}", self.id);
        match self.work {
            Work::Plain { time } => {
                thread::sleep(time);
                let headers = [("Attempt-Id", attempt), ("Response-Seal", &*seal)];
                http::respond(writer, "200 OK", &headers, b"done")?;
            }
            Work::Engine { event_tokens, event_time } => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {seal}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                for number in 1..=most.div_ceil(event_tokens) {
                    thread::sleep(event_time);
                    let event = format!("id: {number}\ndata: text\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    writer.write_all(chunk.as_bytes())?;
                    self.runs.lock().unwrap()[at].tokens.1 += event_tokens;
                }
                writer.write_all(b"0\r\n\r\n")?;
            }
        }
        Ok(())
    }
}
