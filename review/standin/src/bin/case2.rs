//! Case 2: all engines of a service crash at once. From then on the boxes refuse the prompts that ran there, with idle
//! engines, also after a restart of all boxes.
//!
//! Exit code: 0 if a quarter or more of the requests is served after the boxes' restart, 1 if fewer are, 2 if the
//! case did not run.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{exit, Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use review_standin::{
    client::{self, Request, HOST},
    daemon::{Daemon, Folder},
    free_address,
    record::Record,
    store::Store,
};

const SERVICE: &str = "asistan";
const ZONES: [&str; 3] = ["bornova", "karsiyaka", "buca"];
const ENGINES: usize = 9;
const EVENT_TOKENS: u64 = 3;
const EVENT_MS: u64 = 15;
const CLIENTS: usize = 30;
/// Tokens of a prompt: a part that all prompts of the customer share, and one of the request itself.
const SHARED: u64 = 172;
const OWN: u64 = 543;
/// The most tokens of an answer, which all answers have: 93 events.
const OUTPUT: u64 = 279;
const PAUSE: Duration = Duration::from_millis(500);
const RETRY: Duration = Duration::from_secs(1);
/// Times in the run, in seconds.
const TRAFFIC_AT_S: f64 = 10.0;
const CRASH_AT_S: f64 = 30.0;
const ENGINES_DOWN_S: f64 = 3.0;
const FINAL_FAULT_AT_S: f64 = 40.0;
const BOXES_DOWN_S: f64 = 1.0;
/// `recovery_s` of the deployment.
const RECOVERY_S: f64 = 12.0;
const END_S: f64 = 70.0;

/// Requests with the time at which they were sent, and the status.
type Outcomes = Arc<Mutex<Vec<(f64, u16, bool)>>>;

/// An engine as a process.
struct Engine {
    address: SocketAddr,
    zone: &'static str,
    child: Child,
}

impl Engine {
    fn start(
        id: &str,
        zone: &'static str,
        at: SocketAddr,
        store: SocketAddr,
        folder: &Path,
    ) -> Engine {
        let program = std::env::current_exe().expect("this program").with_file_name("engine");
        let record: PathBuf = folder.join(format!("{id}.txt"));
        let errors = File::create(folder.join(format!("{id}.log"))).expect("a log file");
        let child = Command::new(program)
            .args([id, &at.to_string(), &store.to_string(), SERVICE, zone])
            .args([&EVENT_TOKENS.to_string(), &EVENT_MS.to_string()])
            .arg(record)
            .stdin(Stdio::null())
            .stderr(errors)
            .spawn()
            .expect("an engine starts");
        Engine { address: at, zone, child }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn main() {
    exit(run())
}

fn run() -> i32 {
    let is_troubled = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record_path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(Path::new(&record_path));
    record.add(format!("trouble: {is_troubled}"));
    let folder = Folder::create("review-2");
    let store = Store::spawn(record.clone());
    store.put("config", "main", &config());
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let id = format!("i-{number}a");
            Engine::start(&id, zone, free_address(), store.address(), folder.path())
        })
        .collect();
    let mut boxes: Vec<Daemon> = ZONES
        .iter()
        .map(|zone| {
            let name = format!("front-{zone}-1");
            Daemon::start(&name, zone, store.address(), folder.path(), &record)
        })
        .collect();
    if !boxes.iter().all(|it| it.wait_ready(Duration::from_secs(8))) {
        record.add("a box is not ready");
        eprintln!("a box is not ready");
        return 2;
    }
    sleep_until(&record, TRAFFIC_AT_S);
    let outcomes: Outcomes = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (outcomes, stop, record) = (outcomes.clone(), stop.clone(), record.clone());
            let to = boxes[number % boxes.len()].callers;
            thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let is_served = ask(to, &format!("{number:02x}{n:014x}"), &outcomes, &record);
                    thread::sleep(if is_served { PAUSE } else { RETRY });
                }
            })
        })
        .collect();
    sleep_until(&record, CRASH_AT_S);
    if is_troubled {
        record.add("all engines crash");
        engines.iter_mut().for_each(Engine::kill);
        sleep_until(&record, CRASH_AT_S + ENGINES_DOWN_S);
        for (number, engine) in engines.iter_mut().enumerate() {
            let id = format!("i-{number}b");
            *engine =
                Engine::start(&id, engine.zone, engine.address, store.address(), folder.path());
        }
        record.add("all engines are back, under new ids");
    }
    sleep_until(&record, FINAL_FAULT_AT_S);
    boxes.iter_mut().for_each(Daemon::kill);
    sleep_until(&record, FINAL_FAULT_AT_S + BOXES_DOWN_S);
    boxes.iter_mut().for_each(Daemon::run);
    let back_at = record.now();
    sleep_until(&record, END_S);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let share = |name: &str, from: f64, to: f64| {
        let sent: Vec<_> = outcomes.iter().filter(|(at, ..)| (from..to).contains(at)).collect();
        let served = sent.iter().filter(|(.., is_served)| *is_served).count();
        let mut statuses: BTreeMap<u16, u64> = BTreeMap::new();
        sent.iter().for_each(|(_, status, _)| *statuses.entry(*status).or_default() += 1);
        let line =
            format!("{name}: {served} of {} requests served; statuses {statuses:?}", sent.len());
        record.add(&line);
        println!("{line}");
        served as f64 / sent.len().max(1) as f64
    };
    let before = share("before the final fault", 0.0, FINAL_FAULT_AT_S);
    share(
        "from 2 s after the engines' return to the final fault",
        CRASH_AT_S + ENGINES_DOWN_S + 2.0,
        FINAL_FAULT_AT_S,
    );
    let after = share("sent later than 12 s after the boxes are back", back_at + RECOVERY_S, END_S);
    for daemon in &boxes {
        let lines = daemon.log_lines("\"quarantined\"");
        record.add(format!(
            "box {}: {} lines with `quarantined`; the last: {:?}",
            daemon.name,
            lines.len(),
            lines.last()
        ));
        daemon.log_lines("crash_reported").iter().take(4).for_each(|line| record.add(line));
    }
    for file in fs::read_dir(folder.path()).into_iter().flatten().flatten() {
        let name = file.file_name().to_string_lossy().into_owned();
        if name.starts_with("i-") && name.ends_with(".txt") {
            let runs = fs::read_to_string(file.path()).unwrap_or_default();
            record.add(format!("engine {name}: ran {} requests:", runs.lines().count()));
            runs.lines().for_each(|run| record.add(format!("  at {}", run.trim())));
        }
    }
    match (before >= 0.25, after < 0.25) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    }
}

fn sleep_until(record: &Record, at_s: f64) {
    thread::sleep(Duration::from_secs_f64((at_s - record.now()).max(0.0)));
}

fn ask(to: SocketAddr, id: &str, outcomes: &Outcomes, record: &Record) -> bool {
    let headers = [
        ("Attempt-Id", id.to_owned()),
        ("Model", "m".into()),
        ("Token-Counts", format!("{},{OUTPUT}", SHARED + OWN)),
        ("Prompt-Prefix", format!("5c1e07a2:{SHARED},{id}:{OWN}")),
        ("Api-Key", "key-of-clinic".into()),
    ];
    let request = Request {
        method: "POST",
        path: "/notes/2f".into(),
        headers: headers.map(|(name, value)| (name.into(), value)).into(),
        body: format!("note {id}").into_bytes(),
        deadline: Duration::from_secs(15),
    };
    let sent_at = record.now();
    let seen = client::send(to, &request);
    let is_served = seen.status == 200 && seen.sealed && seen.is_whole;
    outcomes.lock().unwrap().push((sent_at, seen.status, is_served));
    let text = if seen.status == 200 { "".into() } else { String::from_utf8_lossy(&seen.body) };
    record.add(format!(
        "client: {id} at {to}: {} whole {} {} retry after {} {}",
        seen.status,
        seen.is_whole,
        seen.error,
        seen.retry_after.as_deref().unwrap_or("-"),
        text.trim_end()
    ));
    is_served
}

fn config() -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"notes","host":"{HOST}","path_prefix":"/notes/","kind":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":2,"service":"{SERVICE}","max_attempts":1,"public":false,"sticky_sessions":true,"stream_resume":false,"target_gap_ms":300}}],"services":[{{"name":"{SERVICE}","health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":374509,"stride":{EVENT_TOKENS}}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"clinic","api_keys":["key-of-clinic"],"priority":0,"prepaid":100000000}}]}}"#
    )
}
