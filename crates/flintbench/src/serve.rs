//! Experiments with load during changes: mixed prompts, draining, restarts and configuration.

use std::{collections::BTreeMap, time::Duration};

use serde_json::json;
use standin::Speed;
use tokio::time::Instant;
use trial::{Audit, Fleet, Outcome, Plan, Request};

use crate::{
    cli::Options,
    load::{Balancer, Mix, send},
    report::Report,
    stats::Times,
};

/// Timeout for all requests to be settled after the load.
const SETTLE: Duration = Duration::from_secs(30);
/// Tokens paid; more than any of these experiments uses.
const AMPLE: u64 = 100_000_000;

async fn open(options: &Options, boxes: usize, change: impl FnOnce(&mut Plan)) -> Fleet {
    let mut plan = Plan {
        seed: options.seed,
        boxes: options.boxes.unwrap_or(boxes),
        zones: 3,
        engines: 4,
        customers: vec![("dental".into(), vec![("bornova".into(), AMPLE)])],
        max_output: 1_024,
        ..Plan::default()
    };
    change(&mut plan);
    let fleet = Fleet::spawn(plan).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

async fn close(fleet: &Fleet) -> Report {
    let settled = fleet.settle(SETTLE).await;
    let mut report = Report::of(&Audit::of(fleet).await.figures());
    report.sound &= settled;
    report
}

/// Sends pings and chats, with or without concurrent long prompts. Returns times to first byte and
/// gaps between events, by kind of request.
async fn short_work(fleet: &Fleet, options: &Options, long: bool) -> BTreeMap<String, Times> {
    let seconds = options.seconds.unwrap_or(6);
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut tasks = tokio::task::JoinSet::new();
    let kinds = [("ping", 4), ("chat", 12), ("calendar", if long { 40 } else { 0 })];
    for (kind, lanes) in kinds {
        for lane in 0..lanes {
            let caller = fleet.caller.clone();
            let to = fleet.callers_address(lane % fleet.nodes.len());
            tasks.spawn(async move {
                let mut first = Times::default();
                let mut gaps = Times::default();
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let key = format!("{kind}-{long}-{lane}-{number}");
                    let got = caller.send(to, &work(kind, &key)).await;
                    if got.outcome == Outcome::Answered {
                        first.add(got.time_to_first_byte);
                        gaps.extend(got.gaps);
                    }
                }
                (kind, first, gaps)
            });
        }
    }
    let mut by_kind: BTreeMap<String, Times> = BTreeMap::new();
    while let Some(done) = tasks.join_next().await {
        let Ok((kind, first, gaps)) = done else { continue };
        by_kind.entry(format!("{kind}_first")).or_default().merge(&first);
        by_kind.entry(format!("{kind}_gap")).or_default().merge(&gaps);
    }
    by_kind
}

fn work(kind: &str, key: &str) -> Request {
    let chat = Request::chat("dental", "bornova", key);
    match kind {
        "ping" => Request::service("dental", "bornova", "lookup", key),
        "calendar" => Request {
            route: "calendar".into(),
            prompt: format!("{key} {}", "Mo 09:00 check-up, chair 3. ".repeat(300)),
            output: 200,
            max_tokens: 256,
            ..chat
        },
        _ => Request { output: 20, max_tokens: 32, ..chat },
    }
}

/// Measures pings and chats alone, then together with long prompts.
pub async fn mixed_load(options: &Options) -> Report {
    let engine = standin::Settings {
        speed: Speed { slots: 16, ..Speed::default() },
        ..standin::Settings::default()
    };
    let fleet = open(options, 4, |plan| plan.engine = engine).await;
    let alone = short_work(&fleet, options, false).await;
    let mixed = short_work(&fleet, options, true).await;
    let mut report = close(&fleet).await;
    for (name, times) in [("alone", &alone), ("mixed", &mixed)] {
        let summary: serde_json::Map<_, _> =
            times.iter().map(|(kind, times)| (kind.clone(), times.summary())).collect();
        report.add(name, summary);
    }
    for kind in ["ping_first", "chat_first", "chat_gap"] {
        let p95 = |times: &BTreeMap<String, Times>| times.get(kind).map_or(0.0, |t| t.ms(0.95));
        report.add_rounded(&format!("{kind}_p95_ratio"), p95(&mixed) / p95(&alone).max(0.001));
    }
    report
}

fn mix(options: &Options, rate: f64) -> Mix {
    Mix {
        budgets: vec![("dental".into(), "bornova".into())],
        rate: options.requests.map_or(rate, |r| r as f64 / options.seconds.unwrap_or(8) as f64),
        lasting: Duration::from_secs(options.seconds.unwrap_or(8)),
        lookups: 0.2,
        cancels: 0.1,
        output: 60,
    }
}

/// Marks an endpoint as leaving in its pool under load. Afterwards no request may be cut off, and
/// none sent to it more than 3 s later.
pub async fn drain_endpoint(options: &Options) -> Report {
    let fleet = open(options, 4, |_| {}).await;
    let (caller, balancer) = (fleet.caller.clone(), Balancer::of(&fleet));
    let (mix, seed) = (mix(options, 80.0), options.seed);
    let lasting = mix.lasting;
    let load = tokio::spawn(async move { send(&caller, &balancer, &mix, seed).await });
    tokio::time::sleep(lasting / 3).await;
    let mut spec = fleet.spec("pool", "models").await;
    spec["endpoints"][0]["leaving"] = true.into();
    let left = Instant::now();
    fleet.declare("pool", "models", &spec).await;
    let _ = load.await;
    let runs = fleet.engines[0].truth().runs;
    let after = runs.iter().filter(|run| run.at > left).map(|run| run.at - left);
    let late = after.clone().max().unwrap_or_default();
    let after_3s = after.clone().filter(|late| *late > Duration::from_secs(3)).count();
    let cut = runs.iter().filter(|run| run.cancelled).count();
    let sent_after = after.count();
    let mut report = close(&fleet).await;
    report.add("sent_after_leaving", json!(sent_after));
    report.add_rounded("latest_after_leaving_ms", late.as_secs_f64() * 1_000.0);
    report.add("sent_after_3s", json!(after_3s));
    report.add("requests_cut_off", json!(cut));
    report.sound &= after_3s == 0 && cut == 0;
    report
}

/// Stops and restarts the routers one after the other under load. No request may be cut off and no
/// tokens stranded.
pub async fn rolling_restart(options: &Options) -> Report {
    let mut fleet = open(options, 4, |_| {}).await;
    let (caller, balancer) = (fleet.caller.clone(), Balancer::of(&fleet));
    let (mut mix, seed) = (mix(options, 60.0), options.seed);
    mix.lasting = Duration::from_secs(options.seconds.unwrap_or(12));
    let to = balancer.clone();
    let load = tokio::spawn(async move { send(&caller, &to, &mix, seed).await });
    for index in 0..fleet.nodes.len() {
        // The balancer sees the box as unready before the box stops accepting connections.
        balancer.set(index, None);
        fleet.nodes[index].stop().await;
        fleet.restart(index).await;
        balancer.set(index, Some(fleet.callers_address(index)));
    }
    let _ = load.await;
    let responses = fleet.caller.responses();
    let cut = responses.iter().filter(|got| got.outcome != Outcome::Answered).count();
    let mut report = close(&fleet).await;
    report.add("requests_cut_off", json!(cut));
    let stranded = report.figures["stranded_tokens"].as_u64().unwrap_or(0);
    report.sound &= cut == 0 && stranded == 0;
    report
}

/// Changes one resource repeatedly while a box is cut off from the platform. Every box must receive
/// each version, and none may return to an earlier one.
pub async fn config_race(options: &Options) -> Report {
    let fleet = open(options, 8, |_| {}).await;
    fleet.links[1].set_cut(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut times = Times::default();
    let mut reversions = 0;
    for step in 0..options.requests.unwrap_or(12) {
        let mut spec = fleet.spec("budget", "bornova").await;
        spec["paid"] = (AMPLE + step).into();
        let start = Instant::now();
        let version = fleet.declare("budget", "bornova", &spec).await;
        for node in &fleet.nodes {
            let before = node.version("budget", "bornova").await;
            node.wait_version("budget", "bornova", version).await;
            let after = node.version("budget", "bornova").await;
            reversions += u64::from(after < before || after < version);
        }
        times.add(start.elapsed());
    }
    fleet.links[1].set_cut(false);
    let mut report = close(&fleet).await;
    report.add("to_last_box", times.summary());
    report.add("reversions", reversions);
    report.sound &= reversions == 0;
    report
}
