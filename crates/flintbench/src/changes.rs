//! Experiments under load: long prompts beside short ones, draining, restarts and changes of the
//! configuration.

use std::{collections::BTreeMap, time::Duration};

use serde_json::json;
use standin::Speed;
use tokio::time::Instant;
use trial::{Audit, Fleet, Outcome, Plan, Request};

use crate::{
    cli::Options,
    load::{Balancer, Mix, send},
    report::Report,
    stats::Durations,
};

/// Timeout for all requests to be settled after the load.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens paid; more than any of these experiments uses.
const AMPLE_TOKENS: u64 = 100_000_000;

async fn start_fleet(options: &Options, boxes: usize, change: impl FnOnce(&mut Plan)) -> Fleet {
    let mut plan = Plan {
        seed: options.seed,
        boxes: options.boxes.unwrap_or(boxes),
        zones: 3,
        engines: 4,
        customers: vec![("dental".into(), vec![("bornova".into(), AMPLE_TOKENS)])],
        max_output: 1_024,
        ..Plan::default()
    };
    change(&mut plan);
    let fleet = Fleet::spawn(plan).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

async fn finish(fleet: &Fleet) -> Report {
    let settled = fleet.settle(SETTLE_TIMEOUT).await;
    let mut report = Report::of(&Audit::of(fleet).await.figures());
    report.is_sound &= settled;
    report
}

/// Sends pings and chats, with or without concurrent long prompts. Returns times to first byte and
/// gaps between events, by kind of request.
async fn measure_short_requests(
    fleet: &Fleet,
    options: &Options,
    with_long_prompts: bool,
) -> BTreeMap<String, Durations> {
    let seconds = options.seconds.unwrap_or(6);
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut tasks = tokio::task::JoinSet::new();
    let kinds = [("ping", 4), ("chat", 12), ("calendar", if with_long_prompts { 40 } else { 0 })];
    for (kind, lanes) in kinds {
        for lane in 0..lanes {
            let caller = fleet.caller.clone();
            let to = fleet.callers_address(lane % fleet.nodes.len());
            tasks.spawn(async move {
                let mut first_byte = Durations::default();
                let mut gaps = Durations::default();
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let key = format!("{kind}-{with_long_prompts}-{lane}-{number}");
                    let response = caller.send(to, &request_of_kind(kind, &key)).await;
                    if response.outcome == Outcome::Answered {
                        first_byte.add(response.time_to_first_byte);
                        gaps.extend(response.gaps);
                    }
                }
                (kind, first_byte, gaps)
            });
        }
    }
    let mut by_kind: BTreeMap<String, Durations> = BTreeMap::new();
    while let Some(done) = tasks.join_next().await {
        let Ok((kind, first_byte, gaps)) = done else { continue };
        by_kind.entry(format!("{kind}_first")).or_default().merge(&first_byte);
        by_kind.entry(format!("{kind}_gap")).or_default().merge(&gaps);
    }
    by_kind
}

fn request_of_kind(kind: &str, key: &str) -> Request {
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
    let fleet = start_fleet(options, 4, |plan| plan.engine = engine).await;
    let alone = measure_short_requests(&fleet, options, false).await;
    let mixed = measure_short_requests(&fleet, options, true).await;
    let mut report = finish(&fleet).await;
    for (name, times) in [("alone", &alone), ("mixed", &mixed)] {
        let summary: serde_json::Map<_, _> =
            times.iter().map(|(kind, times)| (kind.clone(), times.summary())).collect();
        report.add(name, summary);
    }
    for kind in ["ping_first", "chat_first", "chat_gap"] {
        let p95 = |times: &BTreeMap<String, Durations>| {
            times.get(kind).map_or(0.0, |t| t.quantile_ms(0.95))
        };
        report.add_rounded(&format!("{kind}_p95_ratio"), p95(&mixed) / p95(&alone).max(0.001));
    }
    report
}

fn mix(options: &Options, rate: f64) -> Mix {
    Mix {
        budgets: vec![("dental".into(), "bornova".into())],
        rate: options.requests.map_or(rate, |r| r as f64 / options.seconds.unwrap_or(8) as f64),
        duration: Duration::from_secs(options.seconds.unwrap_or(8)),
        repeatable_share: 0.2,
        unrepeatable_share: 0.1,
        max_output: 60,
    }
}

/// Marks an endpoint as leaving in its pool under load. No request may be cut off, and none may be
/// sent to the endpoint more than 3 s later.
pub async fn drain_endpoint(options: &Options) -> Report {
    let fleet = start_fleet(options, 4, |_| {}).await;
    let (caller, balancer) = (fleet.caller.clone(), Balancer::of(&fleet));
    let (mix, seed) = (mix(options, 80.0), options.seed);
    let duration = mix.duration;
    let load = tokio::spawn(async move { send(&caller, &balancer, &mix, seed).await });
    tokio::time::sleep(duration / 3).await;
    let mut spec = fleet.spec("pool", "models").await;
    spec["endpoints"][0]["leaving"] = true.into();
    let left_at = Instant::now();
    fleet.declare("pool", "models", &spec).await;
    let _ = load.await;
    let runs = fleet.engines[0].truth().runs;
    let after = runs.iter().filter(|run| run.at > left_at).map(|run| run.at - left_at);
    let latest = after.clone().max().unwrap_or_default();
    let after_3s = after.clone().filter(|delay| *delay > Duration::from_secs(3)).count();
    let cut_off = runs.iter().filter(|run| run.cancelled).count();
    let sent_after = after.count();
    let mut report = finish(&fleet).await;
    report.add("sent_after_leaving", json!(sent_after));
    report.add_rounded("latest_after_leaving_ms", latest.as_secs_f64() * 1_000.0);
    report.add("sent_after_3s", json!(after_3s));
    report.add("requests_cut_off", json!(cut_off));
    report.is_sound &= after_3s == 0 && cut_off == 0;
    report
}

/// Stops and restarts the routers one after the other under load. No request may be cut off and no
/// tokens stranded.
pub async fn rolling_restart(options: &Options) -> Report {
    let mut fleet = start_fleet(options, 4, |_| {}).await;
    let (caller, balancer) = (fleet.caller.clone(), Balancer::of(&fleet));
    let (mut mix, seed) = (mix(options, 60.0), options.seed);
    mix.duration = Duration::from_secs(options.seconds.unwrap_or(12));
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
    let cut_off = responses.iter().filter(|response| response.outcome != Outcome::Answered).count();
    let mut report = finish(&fleet).await;
    report.add("requests_cut_off", json!(cut_off));
    let stranded = report.figures["stranded_tokens"].as_u64().unwrap_or(0);
    report.is_sound &= cut_off == 0 && stranded == 0;
    report
}

/// Changes one resource repeatedly while a box is cut off from the platform. Every box must receive
/// each version, and none may return to an earlier one.
pub async fn config_race(options: &Options) -> Report {
    let fleet = start_fleet(options, 8, |_| {}).await;
    fleet.links[1].set_cut(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut times = Durations::default();
    let mut reversions = 0;
    for step in 0..options.requests.unwrap_or(12) {
        let mut spec = fleet.spec("budget", "bornova").await;
        spec["paid"] = (AMPLE_TOKENS + step).into();
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
    let mut report = finish(&fleet).await;
    report.add("to_last_box", times.summary());
    report.add("reversions", reversions);
    report.is_sound &= reversions == 0;
    report
}
