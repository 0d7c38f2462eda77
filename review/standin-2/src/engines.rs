//! Model workers that were cut off for seconds, with connections refused, and later lose answers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case,
    caller::{Body, End, Request, connect, exchange},
    fleet::Gateway,
    proxy::Proxy,
    store::Store,
    worker::{Run, Runs, Setup, Work, Worker},
};

const ZONES: [&str; 3] = ["pasila", "vantaa", "espoo"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ENGINES: usize = 10;
/// Callers of streams that may be resumed.
const CALLERS: usize = 24;
/// From the start of traffic until some engines are cut off, and for how long.
const CUT_AT: f64 = 4.0;
const CUT_TIME: f64 = 3.0;
/// Engines that are cut off, and lose answers later: three in ten.
const CUT_ENGINES: usize = 3;
/// When answers begin to be lost: long after the machines are in touch again.
const LOSSES_AT: f64 = 14.0;
const LOSSES_TIME: f64 = 4.0;
/// How many of a thousand answers are lost.
const LOSSES_PERMILLE: u64 = 400;
const LENGTH: f64 = 22.0;
/// How long an engine may still be at work after another one began.
const ALLOWED_S: f64 = 0.4;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"/note/","kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":0,"service":"malli","max_attempts":2,"public":false,"sticky_sessions":true,"stream_resume":true,"target_gap_ms":400}}],"services":[{{"name":"malli","health_check":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":253336,"stride":4,"models":[{{"name":"m"}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"prepaid":900000000}}]}}"#
    )
}

pub fn play(case: &Case) -> Option<bool> {
    let record = &case.record;
    let store = Store::spawn();
    store.put("config", "main", &config());
    let runs = Runs::default();
    let proxies: Vec<Proxy> = (0..ENGINES).map(|_| Proxy::bind()).collect();
    let engines: Vec<Worker> = proxies
        .iter()
        .enumerate()
        .map(|(at, proxy)| {
            let work = Work {
                time: Duration::from_millis(200),
                gap: Duration::from_millis(60),
                stride: 4,
            };
            let setup = Setup {
                service: "malli",
                zone: ZONES[at % ZONES.len()],
                id: &format!("i-engine{at}"),
                work,
                slots: 64,
                is_engine: true,
                proxy: Some(proxy),
            };
            Worker::spawn(&store, record, &runs, setup)
        })
        .collect();
    let mut boxes: Vec<Gateway> = ZONES
        .iter()
        .map(|zone| {
            Gateway::new(&case.dir, &format!("front-{zone}-1"), zone, &ZONES, store.address)
        })
        .collect();
    boxes.iter_mut().for_each(|gateway| gateway.start(&case.program, record));
    if !boxes.iter().all(|gateway| gateway.wait_ready(Duration::from_secs(20))) {
        record.say("a box did not become ready");
        return None;
    }
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([(); 2].map(|()| AtomicU64::new(0)));
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (stop, record, counts) = (stop.clone(), record.clone(), counts.clone());
        let address = boxes[number % boxes.len()].callers;
        callers.push(thread::spawn(move || {
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                let Ok(mut connection) = connect(address) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                while !stop.load(Ordering::SeqCst) {
                    sent += 1;
                    let id = format!("s{number:02}-{sent:05}");
                    let body = format!("note {id}");
                    let more = format!(
                        "Model: m\r\nToken-Counts: 700,80\r\nPrompt-Prefix: 5c1e{number:04x}:400,{:x}:300\r\n",
                        0x1_0000 * (number + 1) + sent
                    );
                    let request = Request {
                        method: "POST",
                        path: "/note/x",
                        host: HOST,
                        id: &id,
                        key: KEY,
                        deadline: Duration::from_millis(4_000),
                        more: &more,
                        body: Body::Sized(body.as_bytes()),
                    };
                    let end = exchange(&mut connection, &request);
                    let is_served = matches!(end, End::Answered { status: 200, .. });
                    counts[usize::from(!is_served)].fetch_add(1, Ordering::SeqCst);
                    let end = match end {
                        End::Answered { status, .. } => format!("{status}"),
                        other => format!("{other:?}"),
                    };
                    record.line(&format!("caller of {id}: {end}"));
                    thread::sleep(Duration::from_millis(50));
                    if !is_served {
                        break;
                    }
                }
            }
        }));
    }

    record.say("traffic begins");
    let (began, start) = (Instant::now(), record.now());
    let wait_until = |second: f64| {
        let due = began + Duration::from_secs_f64(second);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    if case.trouble {
        wait_until(CUT_AT);
        record.say(&format!("{CUT_ENGINES} engines are cut off; connections are refused"));
        proxies[..CUT_ENGINES].iter().for_each(|proxy| proxy.cut(true));
        wait_until(CUT_AT + CUT_TIME);
        proxies[..CUT_ENGINES].iter().for_each(|proxy| proxy.cut(false));
        record.say("they are reached again");
    }
    wait_until(LOSSES_AT);
    record.say(&format!("{CUT_ENGINES} engines lose {LOSSES_PERMILLE} of 1000 answers"));
    engines[..CUT_ENGINES].iter().for_each(|engine| engine.lose(LOSSES_PERMILLE));
    wait_until(LOSSES_AT + LOSSES_TIME);
    engines.iter().for_each(|engine| engine.lose(0));
    wait_until(LENGTH);
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    thread::sleep(Duration::from_secs(2));
    drop(boxes);

    let count = |at: usize| counts[at].load(Ordering::SeqCst);
    record.say(&format!("streams: {} served, {} not", count(0), count(1)));
    let runs = runs.lock().unwrap();
    let mut ids: Vec<&String> = runs.keys().collect();
    ids.sort();
    let mut broken = 0;
    for id in ids {
        for pair in runs[id].windows(2) {
            let [first, second]: [Run; 2] = [pair[0].clone(), pair[1].clone()];
            let is_late = second.begun > start + LOSSES_AT && first.worker != second.worker;
            let overlap = first.ended.unwrap_or(f64::MAX).min(record.now()) - second.begun;
            if is_late && overlap > ALLOWED_S {
                broken += 1;
                record.line(&format!(
                    "TWICE: {id} began at {} at {:.3}, and {} was at work on it for {overlap:.3} s more",
                    second.worker, second.begun, first.worker
                ));
            }
        }
    }
    let repeats = runs.values().filter(|runs| runs.len() > 1).count();
    record.say(&format!(
        "{} requests ran, {repeats} of them more than once; {broken} continued at another worker while the one before was at work for over {ALLOWED_S} s more",
        runs.len()
    ));
    record.say(if broken > 0 { "TWICE is broken" } else { "TWICE held" });
    Some(broken > 0)
}
