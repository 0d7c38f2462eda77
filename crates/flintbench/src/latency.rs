//! Latency that a router adds to the first byte, and requests per core.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use standin::Speed;
use tokio::time::Instant;
use trial::{Caller, Fleet, Outcome, Plan, Request};

use crate::{cli::Options, report::Report, stats::Durations};

/// Concurrent requests in the throughput measurement.
const CONCURRENCY: usize = 64;
/// Platform delay of the second latency measurement.
const PLATFORM_DELAY: Duration = Duration::from_millis(3);

/// Measures the added latency with platform delays of 0 ms and 3 ms, then requests per core.
pub async fn run(options: &Options) -> Report {
    let requests = options.requests.unwrap_or(1_000);
    let mut report = Report { is_sound: true, ..Report::default() };
    for (name, delay) in [("platform_0ms", Duration::ZERO), ("platform_3ms", PLATFORM_DELAY)] {
        let fleet = start_fleet(options, delay).await;
        let (direct, routed) = latencies(&fleet, requests).await;
        let added = |quantile: f64| {
            let added = routed.quantile_ms(quantile) - direct.quantile_ms(quantile);
            (added * 1_000.0).round() / 1_000.0
        };
        let figures = json!({
            "direct_first_byte": direct.summary(), "routed_first_byte": routed.summary(),
            "added_p50_ms": added(0.5), "added_p95_ms": added(0.95), "added_p99_ms": added(0.99),
        });
        report.add(name, figures);
    }
    let fleet = start_fleet(options, Duration::ZERO).await;
    let (per_second, per_core, cpu_us) = throughput(&fleet, requests * 4).await;
    report.add_rounded("requests_per_s", per_second);
    report.add_rounded("requests_per_s_per_core", per_core);
    report.add_rounded("router_cpu_us_per_request", cpu_us);
    report
}

async fn start_fleet(options: &Options, delay: Duration) -> Fleet {
    let speed = Speed {
        step: Duration::ZERO,
        step_per_request: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        slots: 1_024,
        prefill_chunk: 1 << 20,
    };
    let mut plan = Plan {
        seed: options.seed,
        boxes: 1,
        zones: 1,
        engines: 1,
        engine: standin::Settings { speed, ..standin::Settings::default() },
        platform_delay: delay,
        customers: vec![("dental".into(), vec![("bornova".into(), 1_000_000_000)])],
        ..Plan::default()
    };
    plan.money.fold_ms = 1_000;
    let fleet = Fleet::spawn(plan).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    fleet
}

/// Measures times to first byte, alternately directly at the endpoint and through the router.
async fn latencies(fleet: &Fleet, requests: u64) -> (Durations, Durations) {
    let caller = Caller::new(Duration::from_secs(10));
    let (mut direct, mut routed) = (Durations::default(), Durations::default());
    let engine = fleet.engines[0].address();
    for number in 0..requests {
        let chat = Request::chat("dental", "bornova", &format!("lat-{number}"));
        let request = Request { output: 1, max_tokens: 1, ..chat };
        let direct_response = caller.send(engine, &request).await;
        let routed_response = caller.send(fleet.callers_address(0), &request).await;
        // Warm-up: the first requests open connections.
        if number >= 20 {
            direct.add(direct_response.time_to_first_byte);
            routed.add(routed_response.time_to_first_byte);
        }
    }
    (direct, routed)
}

async fn throughput(fleet: &Fleet, requests: u64) -> (f64, f64, f64) {
    let address = fleet.callers_address(0);
    let cpu_before = thread_cpu_seconds("box-0");
    let start = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for lane in 0..CONCURRENCY as u64 {
        let per_lane = requests / CONCURRENCY as u64;
        tasks.spawn(send_sequentially(address, lane, per_lane));
    }
    let mut answered = 0;
    while let Some(done) = tasks.join_next().await {
        answered += done.unwrap_or(0);
    }
    let wall = start.elapsed().as_secs_f64();
    let cpu = thread_cpu_seconds("box-0") - cpu_before;
    let answered = answered as f64;
    (answered / wall, answered / cpu.max(0.001), cpu * 1e6 / answered.max(1.0))
}

async fn send_sequentially(address: SocketAddr, lane: u64, count: u64) -> u64 {
    let caller = Caller::new(Duration::from_secs(20));
    let mut answered = 0;
    for number in 0..count {
        let chat = Request::chat("dental", "bornova", &format!("lane-{lane}-{number}"));
        let request = Request { output: 1, max_tokens: 1, ..chat };
        let response = caller.send(address, &request).await;
        answered += u64::from(response.outcome == Outcome::Answered);
    }
    answered
}

/// Returns the CPU seconds used by all threads of this process with this name.
///
/// Each router of a fleet runs on one thread, named after its box.
pub fn thread_cpu_seconds(name: &str) -> f64 {
    /// Clock ticks per second in `/proc`, fixed by the kernel's user-space interface.
    const TICKS_PER_S: f64 = 100.0;
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return 0.0 };
    let mut ticks = 0.0;
    for task in tasks.flatten() {
        let Ok(stat) = std::fs::read_to_string(task.path().join("stat")) else { continue };
        let Some((head, rest)) = stat.rsplit_once(") ") else { continue };
        if !head.ends_with(&format!("({name}")) {
            continue;
        }
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
        ticks += field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
    }
    ticks / TICKS_PER_S
}
