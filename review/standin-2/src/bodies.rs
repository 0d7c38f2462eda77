//! Long bodies in chunks, and the loss of machines: the boxes that are left get all callers.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case,
    balancer::Balancer,
    caller::{Body, End, Request, connect, exchange},
    fleet::Gateway,
    store::Store,
    worker::{Runs, Setup, Work, Worker},
};

const ZONES: [&str; 3] = ["pasila", "vantaa", "espoo"];
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Memory of a machine, in MB: the sheet of Revontuli.
const MEMORY_MB: f64 = 110.0;
/// Callers with long bodies: twelve for each machine.
const UPLOADERS: usize = 36;
/// Size of a long body, within `max_body_bytes`.
const BODY_BYTES: usize = 4_000_000;
const CHUNK_BYTES: usize = 16_000;
/// Time in which a caller sends a long body: 1.3 MB a second.
const UPLOAD_TIME: Duration = Duration::from_millis(3_000);
/// Callers with plain requests on kept connections.
const PLAIN_CALLERS: usize = 24;
const TROUBLE_AT: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(30);
/// Delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
/// Answers that the rule lets a machine owe.
const MAX_LOST: usize = 3;

/// What callers with plain requests saw, by box: requests that ran, and whose kept connection ended without an answer.
type Lost = Arc<Mutex<HashMap<String, Vec<String>>>>;

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"/review/","kind":"streaming","timeout_ms":6000,"target_latency_ms":600,"priority":1,"service":"malli","max_attempts":1,"public":false,"sticky_sessions":true,"stream_resume":false,"target_gap_ms":400}},{{"name":"r-2","host":"{HOST}","path_prefix":"/status/","kind":"unsafe","target_latency_ms":150,"priority":2,"service":"valitys-api","max_attempts":1,"public":false}}],"services":[{{"name":"malli","health_check":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":253336,"stride":4,"models":[{{"name":"m"}}]}}}},{{"name":"valitys-api","health_check":"/health","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1,"prepaid":900000000}}]}}"#
    )
}

pub fn play(case: &Case) -> Option<bool> {
    let record = &case.record;
    let store = Store::spawn();
    store.put("config", "main", &config());
    let runs = Runs::default();
    for (at, zone) in ZONES.iter().enumerate() {
        let engine =
            Work { time: Duration::from_millis(300), gap: Duration::from_millis(40), stride: 4 };
        let id = format!("i-engine{at}");
        Worker::spawn(
            &store,
            record,
            &runs,
            Setup {
                service: "malli",
                zone,
                id: &id,
                work: engine,
                slots: 64,
                is_engine: true,
                proxy: None,
            },
        );
        let plain = Work { time: Duration::from_millis(100), gap: Duration::ZERO, stride: 1 };
        let id = format!("i-plain{at}");
        Worker::spawn(
            &store,
            record,
            &runs,
            Setup {
                service: "valitys-api",
                zone,
                id: &id,
                work: plain,
                slots: 6,
                is_engine: false,
                proxy: None,
            },
        );
    }
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
    let balancer = Balancer::default();
    for (gateway, zone) in boxes.iter().zip(ZONES) {
        balancer.add(zone, gateway.callers, gateway.ready);
    }
    balancer.run();
    // The boxes draw their first tokens.
    thread::sleep(Duration::from_secs(3));

    let names: HashMap<_, _> =
        boxes.iter().map(|gateway| (gateway.callers, gateway.name.clone())).collect();
    let (lost, stop) = (Lost::default(), Arc::new(AtomicBool::new(false)));
    let counts = Arc::new([(); 4].map(|()| AtomicU64::new(0)));
    let mut callers = Vec::new();
    for number in 0..PLAIN_CALLERS {
        let (balancer, stop, runs, lost, names, record, counts) = (
            balancer.clone(),
            stop.clone(),
            runs.clone(),
            lost.clone(),
            names.clone(),
            record.clone(),
            counts.clone(),
        );
        callers.push(thread::spawn(move || {
            let zone = ZONES[number % ZONES.len()];
            let mut sent = 0;
            while !stop.load(Ordering::SeqCst) {
                let address = balancer.pick(zone, number);
                let Ok(mut connection) = connect(address) else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                for on_connection in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    sent += 1;
                    let id = format!("p{number:02}-{sent:05}");
                    let request = Request {
                        method: "POST",
                        path: "/status/car",
                        host: HOST,
                        id: &id,
                        key: KEY,
                        deadline: Duration::from_millis(2_500),
                        more: "",
                        body: Body::Sized(b"where is the car"),
                    };
                    let end = exchange(&mut connection, &request);
                    match &end {
                        End::Answered { status: 200, .. } => {
                            counts[0].fetch_add(1, Ordering::SeqCst);
                            thread::sleep(Duration::from_millis(50));
                            continue;
                        }
                        End::Answered { status, retry_after, .. } => {
                            counts[1].fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("caller of {id} gets {status}"));
                            let wait = retry_after.unwrap_or(0.1).min(0.8);
                            thread::sleep(Duration::from_secs_f64(wait));
                            continue;
                        }
                        _ => {}
                    }
                    let has_run = runs.lock().unwrap().contains_key(&id);
                    let name = &names[&address];
                    record.line(&format!("caller of {id} at {name}: {end:?}, ran: {has_run}"));
                    if matches!(end, End::ClosedWithoutAnswer) && has_run && on_connection > 0 {
                        lost.lock().unwrap().entry(name.clone()).or_default().push(id);
                    }
                    break;
                }
            }
        }));
    }
    for number in 0..UPLOADERS {
        let (balancer, stop, record, counts) =
            (balancer.clone(), stop.clone(), record.clone(), counts.clone());
        callers.push(thread::spawn(move || {
            let zone = ZONES[number % ZONES.len()];
            let body = vec![b'a' + (number % 26) as u8; BODY_BYTES];
            let mut sent = 0;
            // They do not begin at the same moment.
            thread::sleep(Duration::from_millis(100 * number as u64));
            while !stop.load(Ordering::SeqCst) {
                sent += 1;
                let id = format!("u{number:02}-{sent:05}");
                let request = Request {
                    method: "POST",
                    path: "/review/shift",
                    host: HOST,
                    id: &id,
                    key: KEY,
                    deadline: Duration::from_millis(6_000),
                    more: "Model: m\r\nToken-Counts: 2890,52\r\nPrompt-Prefix: 5c1e07a2:800\r\n",
                    body: Body::Chunked { bytes: &body, chunk: CHUNK_BYTES, over: UPLOAD_TIME },
                };
                let address = balancer.pick(zone, number);
                let end = match connect(address) {
                    Ok(mut connection) => exchange(&mut connection, &request),
                    Err(_) => End::NotSent,
                };
                let (is_whole, end) = match end {
                    End::Answered { status, .. } => (status == 200, format!("{status}")),
                    other => (false, format!("{other:?}")),
                };
                counts[if is_whole { 2 } else { 3 }].fetch_add(1, Ordering::SeqCst);
                record.line(&format!("upload {id}: {end}"));
                if !is_whole {
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }));
    }

    let began = Instant::now();
    record.say("traffic begins");
    let mut peaks = vec![0.0_f64; boxes.len()];
    let mut ends = vec![0; boxes.len()];
    let mut restart_at: Vec<Option<Instant>> = vec![None; boxes.len()];
    let mut is_gone = vec![false; boxes.len()];
    let mut is_done = false;
    while began.elapsed() < LENGTH {
        if case.trouble && !is_done && began.elapsed() >= TROUBLE_AT {
            is_done = true;
            for at in 1..boxes.len() {
                record.say(&format!("box {} is lost for good", boxes[at].name));
                boxes[at].kill();
                is_gone[at] = true;
            }
        }
        for at in 0..boxes.len() {
            if is_gone[at] {
                continue;
            }
            if restart_at[at].is_some_and(|due| due <= Instant::now()) {
                restart_at[at] = None;
                boxes[at].start(&case.program, record);
            }
            let Some(used) = boxes[at].memory_mb() else { continue };
            peaks[at] = peaks[at].max(used);
            if used > MEMORY_MB && restart_at[at].is_none() {
                // A process that goes over its memory is killed.
                record.say(&format!("box {} uses {used:.0} MB and is killed", boxes[at].name));
                boxes[at].kill();
                ends[at] += 1;
                restart_at[at] = Some(Instant::now() + RESTART_DELAY);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(boxes);

    let count = |at: usize| counts[at].load(Ordering::SeqCst);
    record.say(&format!(
        "plain requests: {} answered, {} refused or failed; long ones: {} whole, {} not",
        count(0),
        count(1),
        count(2),
        count(3)
    ));
    let lost = lost.lock().unwrap();
    let mut is_broken = false;
    for (at, zone) in ZONES.iter().enumerate() {
        let name = format!("front-{zone}-1");
        let owed = if is_gone[at] { 0 } else { lost.get(&name).map_or(0, Vec::len) };
        record.say(&format!(
            "box {name}: at most {:.0} MB, killed {} times for its memory, {owed} kept connections closed without an answer to a request that had run{}",
            peaks[at],
            ends[at],
            if is_gone[at] { " (lost by plan, not counted)" } else { "" }
        ));
        is_broken |= owed > MAX_LOST;
    }
    record.say(if is_broken { "LOST is broken" } else { "LOST held" });
    Some(is_broken)
}
