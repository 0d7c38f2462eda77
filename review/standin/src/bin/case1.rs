//! Case 1: answers of the store are lost, and the writes are done a moment later. A keeper then believes that it
//! holds more tokens than the book granted to it, and its customer gets more than it paid for.
//!
//! Exit code: 0 if the customer got no more than its prepaid tokens, 1 if it got more, 2 if the case did not run.

use std::{
    collections::BTreeMap,
    path::Path,
    process::exit,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    client::{self, Request, HOST},
    daemon::{Daemon, Folder},
    endpoint::{Endpoint, Work},
    json,
    record::Record,
    store::{Fate, Store},
};

const ZONE: &str = "bornova";
const BOXES: usize = 3;
const ENGINES: usize = 9;
/// Tokens in an event of a stream.
const EVENT_TOKENS: u64 = 3;
/// Tokens of a prompt, and the most tokens of an answer, which all answers have.
const PROMPT: u64 = 120;
const OUTPUT: u64 = 60;
const PREPAID: u64 = 75_000;
const CLIENTS: usize = 60;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(6_000);
/// Pause after a refusal, which says so (`Retry-After`).
const RETRY: Duration = Duration::from_secs(1);
/// When traffic starts after the boxes.
const TRAFFIC_AT: Duration = Duration::from_secs(10);
/// When answers of the store begin to be lost, in seconds of traffic: with the first write of the book after that.
const LOSSY_FROM_S: [f64; 5] = [4.0, 10.5, 17.0, 23.5, 30.0];
/// How long they are lost each time.
const LOSSY_TIME: Duration = Duration::from_secs(5);
/// Writes of the book in each of them that stay unanswered, the first ones.
const LOST: u64 = 4;
/// When such a write is done.
const LATE: Duration = Duration::from_millis(1_500);
/// Longest run.
const LIMIT: Duration = Duration::from_secs(110);

/// A span in which answers of the store are lost.
#[derive(Default)]
struct Span {
    began: Option<Instant>,
    /// Writes of all kinds, of boxes and endpoints.
    writes: u64,
    /// Those that stayed unanswered.
    lost: u64,
}

impl Span {
    /// What becomes of a write.
    fn judge(&mut self, kind: &str) -> Fate {
        let is_book = kind == "books";
        if is_book {
            self.began.get_or_insert_with(Instant::now);
        }
        if self.began.is_none_or(|began| began.elapsed() > LOSSY_TIME) {
            return Fate::Answered;
        }
        self.writes += 1;
        if !is_book || self.lost >= LOST {
            return Fate::Answered;
        }
        self.lost += 1;
        Fate::Lost(LATE)
    }
}

/// Totals over all clients.
#[derive(Default)]
struct Totals {
    sent: AtomicU64,
    tokens: AtomicU64,
    statuses: Mutex<BTreeMap<u16, u64>>,
    /// Refused for good, one after the other.
    refused: AtomicU64,
}

fn main() {
    exit(run())
}

fn run() -> i32 {
    let is_troubled = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record_path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(Path::new(&record_path));
    record.add(format!("trouble: {is_troubled}; prepaid {PREPAID} tokens"));
    let folder = Folder::create("review-1");
    let store = Store::spawn(record.clone());
    let engines: Vec<Endpoint> = (0..ENGINES)
        .map(|number| {
            let work =
                Work::Engine { event_tokens: EVENT_TOKENS, event_time: Duration::from_millis(1) };
            Endpoint::spawn(&format!("i-{number}"), work, &record)
        })
        .collect();
    engines.iter().for_each(|engine| engine.register(store.address(), "asistan", ZONE));
    store.put("config", "main", &config());
    let boxes: Vec<Daemon> = (1..=BOXES)
        .map(|number| {
            let name = format!("front-{ZONE}-{number}");
            Daemon::start(&name, ZONE, store.address(), folder.path(), &record)
        })
        .collect();
    if !boxes.iter().all(|it| it.wait_ready(Duration::from_secs(15))) {
        record.add("a box is not ready");
        eprintln!("a box is not ready");
        return 2;
    }
    thread::sleep(TRAFFIC_AT.saturating_sub(Duration::from_secs_f64(record.now())));
    let traffic_at = Instant::now();
    let Some(keeper) = keeper(&store, &boxes) else {
        record.add("no box has written the book");
        eprintln!("no box has written the book");
        return 2;
    };
    record.add(format!("clients call box {}, which draws from the book", boxes[keeper].name));
    let spans: Arc<Mutex<[Span; LOSSY_FROM_S.len()]>> = Arc::default();
    if is_troubled {
        let spans = spans.clone();
        store.set_judge(Box::new(move |kind, _| {
            let now = traffic_at.elapsed().as_secs_f64();
            match LOSSY_FROM_S.iter().rposition(|from| now >= *from) {
                Some(span) => spans.lock().unwrap()[span].judge(kind),
                None => Fate::Answered,
            }
        }));
    }
    let totals = Arc::new(Totals::default());
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (totals, stop, record) = (totals.clone(), stop.clone(), record.clone());
            let to = boxes[keeper].callers;
            thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let is_served = ask(to, &format!("{number:02x}{n:014x}"), &totals, &record);
                    thread::sleep(if is_served { PAUSE } else { RETRY });
                }
            })
        })
        .collect();
    // Until the budget is used up for some time.
    while record.now() < LIMIT.as_secs_f64() {
        thread::sleep(Duration::from_millis(200));
        if totals.refused.load(Ordering::SeqCst) > 300 {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let tokens = totals.tokens.load(Ordering::SeqCst);
    let runs: Vec<_> = engines.iter().flat_map(Endpoint::runs).collect();
    let at_engines: u64 = runs.iter().map(|run| run.tokens.0 + run.tokens.1).sum();
    let summary = format!(
        "prepaid {PREPAID}; clients got {tokens} tokens on whole answers; engines ran {} requests with {at_engines} \
         tokens; sent {}; statuses {:?}",
        runs.len(),
        totals.sent.load(Ordering::SeqCst),
        totals.statuses.lock().unwrap(),
    );
    record.add(&summary);
    println!("{summary}");
    for Span { writes, lost, .. } in &*spans.lock().unwrap() {
        record.add(format!("store, 5 s with lost answers: {lost} of {writes} writes unanswered"));
    }
    record.add(format!("book: {}", store.get("books", "main").unwrap_or_default()));
    for daemon in &boxes {
        for line in daemon.log_lines("\"settlement_landed\"") {
            record.add(format!("{}: {line}", daemon.name));
        }
    }
    let served = totals.statuses.lock().unwrap().get(&200).copied().unwrap_or_default();
    match (served > 0, tokens > PREPAID) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}

/// The box that draws tokens from the book for all boxes.
fn keeper(store: &Store, boxes: &[Daemon]) -> Option<usize> {
    let book = store.get("books", "main")?;
    let writers = json::field(&book, "writers")?;
    boxes.iter().position(|it| writers.contains(&format!("{}.", it.name)))
}

fn ask(to: std::net::SocketAddr, id: &str, totals: &Totals, record: &Record) -> bool {
    let part: u64 = u64::from_str_radix(id, 16).unwrap_or(0);
    let headers = [
        ("Attempt-Id", id.to_owned()),
        ("Model", "m".into()),
        ("Token-Counts", format!("{PROMPT},{OUTPUT}")),
        ("Prompt-Prefix", format!("5c1e07a2:100,{part:x}:20")),
        ("Api-Key", "key-of-clinic".into()),
    ];
    let request = Request {
        method: "POST",
        path: "/notes/2f".into(),
        headers: headers.map(|(name, value)| (name.into(), value)).into(),
        body: vec![b'x'; 200],
        deadline: Duration::from_secs(4),
    };
    totals.sent.fetch_add(1, Ordering::SeqCst);
    let seen = client::send(to, &request);
    let events = String::from_utf8_lossy(&seen.body).matches("\ndata:").count() as u64;
    let is_served = seen.status == 200 && seen.sealed && seen.is_whole;
    if is_served {
        totals.tokens.fetch_add(PROMPT + events * EVENT_TOKENS, Ordering::SeqCst);
        totals.refused.store(0, Ordering::SeqCst);
    } else if seen.status == 402 || seen.status == 429 {
        totals.refused.fetch_add(1, Ordering::SeqCst);
    }
    *totals.statuses.lock().unwrap().entry(seen.status).or_default() += 1;
    record.add(format!(
        "client: {id} at {to}: {} whole {} events {events} {}",
        seen.status, seen.is_whole, seen.error
    ));
    is_served
}

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"notes","host":"{HOST}","path_prefix":"/notes/","kind":"streaming","timeout_ms":4000,"target_latency_ms":500,"priority":0,"service":"asistan","max_attempts":1,"public":false,"sticky_sessions":true,"stream_resume":false,"target_gap_ms":300}}],"services":[{{"name":"asistan","health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":374509,"stride":{EVENT_TOKENS}}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clinic","api_keys":["key-of-clinic"],"priority":0,"prepaid":{PREPAID}}}]}}"#
    )
}
