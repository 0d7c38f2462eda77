//! Measures the cost of each mechanism at three or more sizes and fits a line to it.

use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Duration};

use balance::{Pool, Prefix, Weights};
use config::{Snapshot, Verdict, validate};
use ledger::{Draw, Ended, Evidence, Incarnation, Journal, Ledger, Outcome, Part, Record};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use resource::Kind;
use serde_json::{Value, json};
use standin::Speed;
use timeline::Timestamp;
use tokio::time::Instant;
use trial::{Caller, Fleet, Plan, Request};

use crate::{cli::Options, latency::thread_cpu_seconds, report::Report};

/// Measured sizes and costs of one mechanism.
pub struct Series {
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    pub fn of(unit: &'static str, points: Vec<(f64, f64)>) -> Series {
        Series { unit, points }
    }

    /// Fits a line by least squares. Returns the slope, the cost at size 0 and the coefficient of
    /// determination (R²).
    fn fit(&self) -> (f64, f64, f64) {
        let count = self.points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| self.points.iter().map(part).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xy: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let sum_xx: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let base = y - slope * x;
        let residual_sum: f64 =
            self.points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
        let total: f64 = self.points.iter().map(|p| (p.1 - y).powi(2)).sum();
        (slope, base, if total > 0.0 { 1.0 - residual_sum / total } else { 1.0 })
    }

    pub fn value(&self) -> Value {
        let (slope, base, r_squared) = self.fit();
        let round = |value: f64| (value * 1_000.0).round() / 1_000.0;
        let points: Vec<Value> = self.points.iter().map(|p| json!([p.0, round(p.1)])).collect();
        json!({
            "unit": self.unit, "per_unit": round(slope), "base": round(base),
            "r2": round(r_squared), "points": points,
        })
    }
}

/// Runs all measurements.
pub async fn run(options: &Options) -> Report {
    let mut report = Report { is_sound: true, ..Report::default() };
    let mut add = |name: &str, series: Series| report.add(name, series.value());
    add("journal_bytes", journal_bytes());
    add("journal_write_us", journal_write_micros());
    add("ledger_bytes_by_holder", ledger_bytes());
    add("fold_us", fold_micros());
    add("choose_us", choose_micros());
    add("exchange_bytes", exchange_bytes());
    add("account_bytes", account_bytes());
    add("config_bytes", config_bytes());
    add("router_us_by_output_tokens", request_micros(options).await);
    let (cpu, writes, reads) = idle_usage(options).await;
    add("idle_cpu_percent_by_boxes", cpu);
    add("idle_platform_writes_per_s_by_boxes", writes);
    add("idle_platform_reads_per_s_by_boxes", reads);
    report
}

fn record(n: u64) -> Record {
    Record {
        n,
        budget: "budget-00017".into(),
        customer: "customer-017".into(),
        key: format!("5f0c9a1e-7b1d-4c55-9d1f-{n:012}").into(),
        part: Part::Online,
        reserved: 1_400,
        endpoint: "engine-0117".into(),
        outcome: None,
    }
}

fn journal(records: u64) -> Journal {
    let mut journal = Journal::new(Incarnation::new("box-17", 17));
    for n in 1..=records {
        journal.intend(record(n)).expect("an open journal accepts intents");
    }
    journal
}

fn journal_bytes() -> Series {
    let point = |n: u64| (n as f64, journal(n).to_json().len() as f64);
    Series::of("bytes by record", [10, 100, 1_000].map(point).to_vec())
}

/// Returns the microseconds per call, from the fastest of five rounds of `times` calls.
pub fn micros_per_call(times: u32, mut work: impl FnMut()) -> f64 {
    let once = |work: &mut dyn FnMut()| {
        let start = std::time::Instant::now();
        (0..times).for_each(|_| work());
        start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
    };
    (0..5).map(|_| once(&mut work)).fold(f64::INFINITY, f64::min)
}

fn journal_write_micros() -> Series {
    let point = |n: u64| {
        let base = journal(n);
        let cost = micros_per_call(40, || {
            let mut next = base.clone();
            next.intend(record(n + 1)).expect("an open journal accepts intents");
            black_box(next.to_json());
        });
        (n as f64, cost)
    };
    Series::of("us by record", [10, 100, 1_000].map(point).to_vec())
}

fn ledger(holders: u64) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply_paid(1 << 40, 1);
    for holder in 0..holders {
        let draw = Draw { online: 10_000, offline: 2_000, ..Draw::default() };
        let name = Incarnation::new(&format!("box-{holder}"), holder);
        ledger.draw(&name, draw, 1).expect("enough tokens are paid");
    }
    ledger
}

fn ledger_bytes() -> Series {
    let point = |n: u64| (n as f64, ledger(n).to_json().len() as f64);
    Series::of("bytes by holder", [1, 8, 100, 390].map(point).to_vec())
}

fn fold_micros() -> Series {
    let point = |n: u64| {
        let mut journal_of_bills = Journal::new(Incarnation::new("box-0", 0));
        for number in 1..=n {
            let outcome = Outcome {
                position: number,
                charged: 10,
                ended: Ended::Answered,
                evidence: Evidence::Recorded,
            };
            journal_of_bills.records.push(Record { outcome: Some(outcome), ..record(number) });
        }
        let mut base = Ledger::default();
        base.apply_paid(1 << 40, 1);
        let draw = Draw { online: n * 10, ..Draw::default() };
        base.draw(&journal_of_bills.incarnation, draw, 1).expect("enough tokens are paid");
        let cost = micros_per_call(10, || {
            let mut ledger = base.clone();
            black_box(ledger.fold("budget-00017", &journal_of_bills));
        });
        (n as f64, cost)
    };
    Series::of("us by bill", [100, 1_000, 4_000].map(point).to_vec())
}

fn choose_micros() -> Series {
    let point = |n: usize| {
        let mut pool = Pool::new("zone-0".into(), Weights::default());
        let name = |i: usize| (Arc::from(format!("e{i}")), Arc::from(format!("zone-{}", i % 8)));
        pool.update((0..n).map(name), 0);
        let text = "the whole chair calendar of the week ".repeat(100);
        let prefix = Prefix::of([text.as_str()]);
        pool.start(&"e1".into(), &prefix, 1);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let cost =
            micros_per_call(200, || drop(black_box(pool.choose(&prefix, &[], 10, &mut random))));
        (n as f64, cost)
    };
    Series::of("us by endpoint", [12, 150, 1_500].map(point).to_vec())
}

fn exchange_bytes() -> Series {
    let point = |n: usize| {
        let busy =
            |i: usize| balance::Snapshot { name: format!("engine-{i:04}").into(), in_flight: 3 };
        let status = wire::Status {
            in_flight: vec![("models".into(), (0..n).map(busy).collect())],
            newest_version: 1,
            version_sum: 1,
            is_platform_reachable: true,
        };
        let from = Incarnation::new("box-17", 17);
        let frame = wire::Frame::Status(status);
        let message = wire::Message { from, stamp: Timestamp::default(), frame };
        let bytes = wire::encode(&message, wire::NEWEST_FORMAT).map_or(0, |bytes| bytes.len());
        (n as f64, bytes as f64)
    };
    Series::of("bytes by busy endpoint", [0, 50, 500].map(point).to_vec())
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    /// Assumed page size, in bytes.
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Returns by how much resident memory grows when a value is created. The value is leaked, since
/// the next measurement would reuse its memory otherwise.
fn resident_growth<T>(create: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    let value = create();
    let after = resident_bytes();
    std::mem::forget(black_box(value));
    (after - before).max(0.0)
}

fn config_bytes() -> Series {
    let point = |n: u64| {
        let cost = resident_growth(|| {
            let mut snapshot = Snapshot::default();
            for number in 0..n {
                let spec =
                    format!(r#"{{"customer": "customer-{}", "paid": 1000000}}"#, number % 290);
                let name = format!("budget-{number:05}");
                let verdict = validate(Kind::Budget, &name, number + 1, Some(&spec), None);
                if let Verdict::Accept(accepted) = verdict {
                    let _ = snapshot.apply(&accepted);
                }
            }
            snapshot
        });
        (n as f64, cost)
    };
    // A point is too low by the freed memory of earlier points that it reuses.
    let mut points = vec![point(10_000), point(30_000), point(91_000)];
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    Series::of("bytes by budget declared", points)
}

fn account_bytes() -> Series {
    let point = |n: u64| {
        let cost = resident_growth(|| {
            let entry = |number: u64| {
                let name: Arc<str> = format!("budget-{number:05}").into();
                (name, (ledger::Account::default(), ledger(8)))
            };
            (0..n).map(entry).collect::<BTreeMap<_, _>>()
        });
        (n as f64, cost)
    };
    Series::of("bytes by budget held", vec![point(10_000), point(20_000), point(60_000)])
}

async fn request_micros(options: &Options) -> Series {
    let speed = Speed {
        step: Duration::from_micros(500),
        step_per_request: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        slots: 1_024,
        prefill_chunk: 1 << 20,
    };
    let mut points = Vec::new();
    for output in [1, 32, 128, 512] {
        let mut plan = Plan {
            seed: options.seed,
            boxes: 1,
            zones: 1,
            engines: 1,
            engine: standin::Settings { speed, ..standin::Settings::default() },
            customers: vec![("dental".into(), vec![("bornova".into(), 1_000_000_000)])],
            ..Plan::default()
        };
        plan.money.fold_ms = 1_000;
        let fleet = Fleet::spawn(plan).await;
        tokio::time::sleep(Duration::from_millis(800)).await;
        let before = thread_cpu_seconds("box-0");
        let requests = 800;
        let mut tasks = tokio::task::JoinSet::new();
        for lane in 0..16 {
            let address = fleet.callers_address(0);
            tasks.spawn(async move {
                let caller = Caller::new(Duration::from_secs(30));
                for number in 0..requests / 16 {
                    let request = Request {
                        output,
                        max_tokens: output,
                        ..Request::chat("dental", "bornova", &format!("l{lane}-{number}"))
                    };
                    caller.send(address, &request).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let cpu = thread_cpu_seconds("box-0") - before;
        points.push((output as f64, cpu * 1e6 / f64::from(requests)));
    }
    Series::of("us by output token", points)
}

/// Measures the CPU usage of one box, and the platform writes and reads of all, without load.
async fn idle_usage(options: &Options) -> (Series, Series, Series) {
    const IDLE_DURATION: Duration = Duration::from_secs(5);
    let (mut cpu, mut writes, mut reads) = (Vec::new(), Vec::new(), Vec::new());
    for boxes in [2, 8, 24] {
        let mut plan = Plan { seed: options.seed, boxes, ..Plan::default() };
        plan.money = router::Money::default();
        let fleet = Fleet::spawn(plan).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        let (usage, start) = (fleet.platform.memory().usage(), Instant::now());
        let before = thread_cpu_seconds("box-0");
        tokio::time::sleep(IDLE_DURATION).await;
        let seconds = start.elapsed().as_secs_f64();
        let after = fleet.platform.memory().usage();
        cpu.push((boxes as f64, (thread_cpu_seconds("box-0") - before) * 100.0 / seconds));
        writes.push((boxes as f64, (after.writes - usage.writes) as f64 / seconds));
        reads.push((boxes as f64, (after.reads - usage.reads) as f64 / seconds));
    }
    (
        Series::of("percent of a core by box", cpu),
        Series::of("writes/s by box", writes),
        Series::of("reads/s by box", reads),
    )
}
