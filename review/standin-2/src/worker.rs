//! A worker of a service: records itself in the store, runs what it is sent, and says what it ran.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Head},
    proxy::Proxy,
    record::Record,
    store::Store,
};

/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How a worker answers.
#[derive(Clone)]
pub struct Work {
    /// Time for one plain request, or until the first event of a stream.
    pub time: Duration,
    /// Time between two events of a stream.
    pub gap: Duration,
    /// Tokens in one event.
    pub stride: u64,
}

/// A worker to be started.
pub struct Setup<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub id: &'a str,
    pub work: Work,
    pub slots: u32,
    pub is_engine: bool,
    /// The network in front of it, if that can be cut.
    pub proxy: Option<&'a Proxy>,
}

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub worker: String,
    pub begun: f64,
    pub ended: Option<f64>,
}

/// Runs of all workers, by the id of the request.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    work: Work,
    runs: Runs,
    record: Record,
    slots: u32,
    running: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    is_engine: bool,
    /// How many of a thousand streams lose their answer, though they run to their end.
    losses: Arc<AtomicU64>,
    streams: Arc<AtomicU64>,
}

impl Worker {
    /// Serves and writes its entry until the process ends.
    pub fn spawn(store: &Store, record: &Record, runs: &Runs, setup: Setup) -> Worker {
        let Setup { service, zone, id, work, slots, is_engine, proxy } = setup;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let own = listener.local_addr().expect("a bound address");
        let worker = Worker {
            id: id.to_owned(),
            address: proxy.map_or(own, |proxy| proxy.address),
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            runs: runs.clone(),
            record: record.clone(),
            slots,
            running: Arc::default(),
            draining: Arc::default(),
            is_engine,
            losses: Arc::default(),
            streams: Arc::default(),
        };
        if let Some(proxy) = proxy {
            proxy.run(own);
        }
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        beating.beat(&store, 1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                beating.beat(&store, seq);
            }
        });
        worker
    }

    /// Sets how many of a thousand streams lose their answer from now on.
    pub fn lose(&self, permille: u64) {
        self.losses.store(permille, Ordering::SeqCst);
    }

    /// Whether the answer of the next stream is lost; evenly spread.
    fn loses_answer(&self) -> bool {
        let losses = self.losses.load(Ordering::SeqCst);
        let number = self.streams.fetch_add(1, Ordering::SeqCst);
        (number + 1) * losses / 1_000 > number * losses / 1_000
    }

    fn beat(&self, store: &Store, seq: u64) {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let engine = match self.is_engine {
            true => {
                "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            }
            false => "",
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,{engine}\"seq\":{seq}}}",
            self.service, self.address, self.zone, self.slots
        );
        store.put("servers", &self.id, &spec);
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            if self.answer(&mut connection, &head, body.len()).is_err() {
                return;
            }
        }
    }

    fn common(&self, id: &str) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!("Attempt-Id: {id}\r\nServer-Load: {running},0,{}\r\n", self.slots)
    }

    fn answer(
        &self,
        connection: &mut Connection,
        head: &Head,
        body_bytes: usize,
    ) -> std::io::Result<()> {
        let id = head.get("attempt-id").unwrap_or_default().to_owned();
        if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
            let common = self.common(&id);
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{common}Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return connection.write(text.as_bytes());
        }
        if self.running.load(Ordering::SeqCst) >= u64::from(self.slots) + 100 {
            let common = self.common(&id);
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{common}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.write(text.as_bytes());
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let begun = self.record.now();
        let tenant = head.get("tenant").unwrap_or("-");
        self.record.line(&format!(
            "worker {} runs {id}: {} {} {body_bytes} B for {tenant}",
            self.id, head.first[0], head.first[1]
        ));
        let run = Run { worker: self.id.clone(), begun, ended: None };
        self.runs.lock().unwrap().entry(id.clone()).or_default().push(run);
        let answered = match head.get("token-counts") {
            Some(counts) => self.stream(connection, head, &id, counts),
            None => self.plain(connection, &id),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let ended = Some(self.record.now());
        let mut runs = self.runs.lock().unwrap();
        let own = runs.get_mut(&id).into_iter().flatten();
        if let Some(run) = own.rev().find(|run| run.worker == self.id && run.ended.is_none()) {
            run.ended = ended;
        }
        drop(runs);
        self.record.line(&format!("worker {} has ended {id}", self.id));
        answered
    }

    fn seal(&self, id: &str) -> String {
        format!("Response-Seal: seal-{id}-{}\r\n", self.id)
    }

    fn plain(&self, connection: &mut Connection, id: &str) -> std::io::Result<()> {
        let until = Instant::now() + self.work.time;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(2));
            if connection.is_closed() {
                self.record.line(&format!("worker {} drops {id}: its connection closed", self.id));
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
        }
        let body = format!("answer to {id} of {}\n", self.id).repeat(10);
        let (common, seal) = (self.common(id), self.seal(id));
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}{seal}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.write(text.as_bytes())
    }

    fn stream(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        counts: &str,
    ) -> std::io::Result<()> {
        let most: u64 = counts.split(',').nth(1).and_then(|it| it.trim().parse().ok()).unwrap_or(1);
        let events = most.div_ceil(self.work.stride);
        let first = head.number("last-event-id").map_or(1, |last| last + 1);
        thread::sleep(self.work.time);
        if self.loses_answer() {
            self.record.line(&format!("worker {} loses the answer to {id}, and runs on", self.id));
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
            let left = events.saturating_sub(first - 1);
            thread::sleep(self.work.gap * left as u32);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if connection.is_closed() {
            self.record.line(&format!("worker {} drops {id}: its connection closed", self.id));
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let (common, seal) = (self.common(id), self.seal(id));
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(text.as_bytes())?;
        for event in first..=events {
            if connection.is_closed() {
                let text = format!("worker {} drops {id} at event {event}", self.id);
                self.record.line(&text);
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(self.work.gap);
        }
        connection.write(b"0\r\n\r\n")
    }
}
