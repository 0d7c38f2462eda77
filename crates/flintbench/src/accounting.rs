//! Experiments on token accounting under faults, each with baselines over the same arrivals.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use trial::{Audit, Fleet, Outcome, Plan, Request};

use crate::{
    baseline::{Fault, Scenario},
    cli::Options,
    load::{Arrival, Balancer, Mix, send},
    report::Report,
    stats::Durations,
};

/// Timeout for all requests to be settled after the load.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Tokens paid for each budget in experiments that must not exhaust it.
const AMPLE_TOKENS: u64 = 2_000_000;
/// Maximum number of violations of the audit that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 5;
/// Delay until the balancer notices that a box has died.
const BALANCER_DELAY: Duration = Duration::from_millis(300);

/// A fleet with the load of an experiment.
struct Testbed {
    fleet: Fleet,
    balancer: Balancer,
    mix: Mix,
    seed: u64,
    paid: u64,
    boxes: usize,
    writes_before: u64,
    calls_before: u64,
}

/// A load that was sent, for the report.
struct LoadResult {
    arrivals: Vec<Arrival>,
    faults: Vec<Fault>,
    duration_ms: u64,
    /// Additional figures for the report.
    extra_figures: Vec<(&'static str, serde_json::Value)>,
}

impl Testbed {
    async fn start(options: &Options, paid: u64, change: impl FnOnce(&mut Plan)) -> Testbed {
        let boxes = options.boxes.unwrap_or(8);
        let seconds = options.seconds.unwrap_or(10);
        let requests = options.requests.unwrap_or(seconds * 100);
        let names = ["bornova", "buca"];
        let budgets: Vec<(String, u64)> =
            names.iter().map(|name| ((*name).to_owned(), paid)).collect();
        let mut plan = Plan {
            seed: options.seed,
            boxes,
            zones: 3,
            engines: 4,
            services: 2,
            customers: vec![("dental".into(), budgets)],
            request_timeout: Duration::from_secs(15),
            ..Plan::default()
        };
        plan.money.fold_ms = 2_000;
        plan.money.beat_ms = 1_000;
        plan.money.seal_after_ms = 3_000;
        plan.money.spacing_ms = 40;
        change(&mut plan);
        let fleet = Fleet::spawn(plan).await;
        let balancer = Balancer::of(&fleet);
        let mix = Mix {
            budgets: names.iter().map(|name| ("dental".to_owned(), (*name).to_owned())).collect(),
            rate: requests as f64 / seconds as f64,
            duration: Duration::from_secs(seconds),
            repeatable_share: 0.15,
            unrepeatable_share: 0.1,
            max_output: 16,
        };
        // Boxes draw their first tokens before faults begin.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let usage = fleet.platform.memory().usage();
        Testbed {
            fleet,
            balancer,
            mix,
            seed: options.seed,
            paid: paid * names.len() as u64,
            boxes,
            writes_before: usage.writes,
            calls_before: usage.writes + usage.reads,
        }
    }

    /// Starts the load in the background.
    fn spawn_load(&self) -> tokio::task::JoinHandle<Vec<Arrival>> {
        let (caller, balancer) = (self.fleet.caller.clone(), self.balancer.clone());
        let (mix, seed) = (self.mix.clone(), self.seed);
        tokio::spawn(async move { send(&caller, &balancer, &mix, seed).await })
    }

    /// Returns the duration of a share of the load.
    fn load_fraction(&self, share: f64) -> Duration {
        self.mix.duration.mul_f64(share)
    }

    fn load_fraction_ms(&self, share: f64) -> u64 {
        self.load_fraction(share).as_millis() as u64
    }

    /// Waits until all requests are settled, audits them and runs the baselines.
    async fn finish(self, result: LoadResult) -> Report {
        let usage = self.fleet.platform.memory().usage();
        let seconds = result.duration_ms as f64 / 1_000.0;
        let settle_start = Instant::now();
        let settled = self.fleet.settle(SETTLE_TIMEOUT).await;
        let audit = Audit::of(&self.fleet).await;
        for violation in audit.faults().iter().take(MAX_PRINTED_VIOLATIONS) {
            eprintln!("{violation}");
        }
        let figures = audit.figures();
        let mut report = Report::of(&figures);
        report.is_sound &= settled;
        report.add("settled", settled);
        report.add_rounded("settle_s", settle_start.elapsed().as_secs_f64());
        report.add("false_refusals", false_refusals(&self.fleet));
        let writes = (usage.writes - self.writes_before) as f64;
        let calls = (usage.writes + usage.reads - self.calls_before) as f64;
        report.add_rounded("platform_writes_per_s", writes / seconds);
        report.add_rounded("platform_calls_per_s", calls / seconds);
        report.add("writes_by_kind", json!(self.fleet.platform.memory().writes_by_kind()));
        for (name, value) in result.extra_figures {
            report.add(name, value);
        }
        let scenario = Scenario {
            arrivals: &result.arrivals,
            faults: &result.faults,
            boxes: self.boxes,
            paid: self.paid,
            duration_ms: result.duration_ms,
        };
        report.add("baselines", scenario.run());
        report
    }
}

/// Counts refused requests. All are false where budgets are not exhausted.
fn false_refusals(fleet: &Fleet) -> u64 {
    let responses = fleet.caller.responses();
    responses.iter().filter(|response| response.outcome == Outcome::NotRun).count() as u64
}

/// Cuts a zone off from all other boxes and the platform.
pub async fn partition(options: &Options) -> Report {
    let testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    let zone: Vec<usize> = (0..testbed.boxes).filter(|index| index % 3 == 0).collect();
    let load = testbed.spawn_load();
    tokio::time::sleep(testbed.load_fraction(0.2)).await;
    testbed.fleet.set_partition(&zone, true);
    tokio::time::sleep(testbed.load_fraction(0.6)).await;
    testbed.fleet.set_partition(&zone, false);
    let arrivals = load.await.expect("the load runs to its end");
    let (from, to) = (testbed.load_fraction_ms(0.2), testbed.load_fraction_ms(0.8));
    let faults =
        zone.iter().map(|index| Fault::PlatformUnreachable { index: *index, from, to }).collect();
    let duration_ms = testbed.load_fraction_ms(1.0);
    testbed.finish(LoadResult { arrivals, faults, duration_ms, extra_figures: Vec::new() }).await
}

/// Kills boxes with requests in flight and restarts them.
pub async fn crash(options: &Options) -> Report {
    let mut testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    let load = testbed.spawn_load();
    let mut faults = Vec::new();
    for nth in 0..2 {
        tokio::time::sleep(testbed.load_fraction(0.25)).await;
        let index = nth * 3 % testbed.boxes;
        testbed.fleet.nodes[index].kill();
        faults.push(Fault::Crash { index, at: testbed.load_fraction_ms(0.25 * (nth + 1) as f64) });
        tokio::time::sleep(BALANCER_DELAY).await;
        testbed.balancer.set(index, None);
        testbed.fleet.restart(index).await;
        testbed.balancer.set(index, Some(testbed.fleet.callers_address(index)));
    }
    let arrivals = load.await.expect("the load runs to its end");
    let duration_ms = testbed.load_fraction_ms(1.0);
    let reclaimed = online_tokens_of_sealed(&testbed.fleet).await;
    let paid = testbed.paid;
    let mut report = testbed
        .finish(LoadResult {
            arrivals,
            faults,
            duration_ms,
            extra_figures: vec![("online_not_reclaimed", reclaimed)],
        })
        .await;
    let stranded = report.figures["stranded_tokens"].as_u64().unwrap_or(0);
    report.add_rounded("stranded_percent", stranded as f64 * 100.0 / paid as f64);
    report
}

/// Returns the online tokens that sealed holders still have after the load.
async fn online_tokens_of_sealed(fleet: &Fleet) -> serde_json::Value {
    let mut online = 0;
    for (_, budgets) in &fleet.plan.customers {
        for (budget, _) in budgets {
            let ledger = fleet.ledger(budget).await;
            let sealed = ledger.grants.values().filter(|grant| grant.sealed);
            online += sealed.map(|grant| grant.online).sum::<u64>();
        }
    }
    json!(online)
}

/// Suspends a box, by default for long enough to be sealed, then resumes it.
pub async fn pause(options: &Options) -> Report {
    let mut testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    let load = testbed.spawn_load();
    tokio::time::sleep(testbed.load_fraction(0.2)).await;
    testbed.fleet.nodes[0].pause();
    tokio::time::sleep(testbed.load_fraction(0.5)).await;
    testbed.fleet.nodes[0].resume();
    let arrivals = load.await.expect("the load runs to its end");
    let faults = vec![Fault::Suspended {
        index: 0,
        from: testbed.load_fraction_ms(0.2),
        to: testbed.load_fraction_ms(0.7),
    }];
    let duration_ms = testbed.load_fraction_ms(1.0);
    testbed.finish(LoadResult { arrivals, faults, duration_ms, extra_figures: Vec::new() }).await
}

/// Takes the platform down for all boxes.
pub async fn outage(options: &Options) -> Report {
    let testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    let load = testbed.spawn_load();
    tokio::time::sleep(testbed.load_fraction(0.2)).await;
    testbed.fleet.platform.set(|faults| faults.down = true);
    tokio::time::sleep(testbed.load_fraction(0.6)).await;
    testbed.fleet.platform.set(|faults| faults.down = false);
    let arrivals = load.await.expect("the load runs to its end");
    let (from, to) = (testbed.load_fraction_ms(0.2), testbed.load_fraction_ms(0.8));
    let faults =
        (0..testbed.boxes).map(|index| Fault::PlatformUnreachable { index, from, to }).collect();
    let duration_ms = testbed.load_fraction_ms(1.0);
    let unrepeatable = unrepeatable_refused(&testbed.fleet);
    testbed
        .finish(LoadResult {
            arrivals,
            faults,
            duration_ms,
            extra_figures: vec![("refused_unrepeatable", json!(unrepeatable))],
        })
        .await
}

fn unrepeatable_refused(fleet: &Fleet) -> usize {
    let responses = fleet.caller.responses();
    responses.iter().filter(|response| response.reason == "claim_unreachable").count()
}

/// Loses responses to writes that the platform has applied.
pub async fn lost_answers(options: &Options) -> Report {
    let testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    testbed.fleet.platform.set(|faults| faults.drop_responses = 0.2);
    let load = testbed.spawn_load();
    let arrivals = load.await.expect("the load runs to its end");
    testbed.fleet.platform.set(|faults| faults.drop_responses = 0.0);
    let duration_ms = testbed.load_fraction_ms(1.0);
    testbed
        .finish(LoadResult { arrivals, faults: Vec::new(), duration_ms, extra_figures: Vec::new() })
        .await
}

/// Sends each request ten times concurrently, distributed over all boxes.
pub async fn retry_storm(options: &Options) -> Report {
    let testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    let count = options.requests.unwrap_or(100);
    let start = Instant::now();
    for number in 0..count {
        let key = format!("storm-{number}");
        let request = match number % 3 {
            0 => Request::service("dental", "bornova", "cancel", &key),
            1 => Request { stream: false, ..Request::chat("dental", "bornova", &key) },
            _ => Request::chat("dental", "bornova", &key),
        };
        let mut tasks = tokio::task::JoinSet::new();
        for nth in 0..10 {
            let (caller, request) = (testbed.fleet.caller.clone(), request.clone());
            let address = testbed.fleet.callers_address(nth % testbed.boxes);
            tasks.spawn(async move { caller.send(address, &request).await });
        }
        while tasks.join_next().await.is_some() {}
    }
    let duration_ms = start.elapsed().as_millis() as u64;
    let runs: usize = testbed.fleet.engines.iter().map(|engine| engine.truth().runs.len()).sum();
    let extra_figures = vec![("engine_runs", json!(runs)), ("keys", json!(count))];
    testbed
        .finish(LoadResult { arrivals: Vec::new(), faults: Vec::new(), duration_ms, extra_figures })
        .await
}

/// Exhausts budgets, and tops them up and lowers them under load.
pub async fn top_up(options: &Options) -> Report {
    let paid = 2_500;
    let testbed = Testbed::start(options, paid, |plan| plan.offline_share = Some(100)).await;
    let load = testbed.spawn_load();
    let topped_up = paid * 3;
    let steps = [(0.4, topped_up), (0.2, topped_up / 2), (0.2, topped_up * 2)];
    // Each of the two budgets ends with twice `topped_up`.
    for (share, paid) in steps {
        tokio::time::sleep(testbed.load_fraction(share)).await;
        for budget in ["bornova", "buca"] {
            let mut spec = testbed.fleet.spec("budget", budget).await;
            spec["paid"] = paid.into();
            testbed.fleet.declare("budget", budget, &spec).await;
        }
    }
    let arrivals = load.await.expect("the load runs to its end");
    let duration_ms = testbed.load_fraction_ms(1.0);
    let responses = testbed.fleet.caller.responses();
    let exhausted =
        responses.iter().filter(|response| response.reason == "budget_exhausted").count();
    let extra_figures = vec![("refused_exhausted", json!(exhausted))];
    let mut report = testbed
        .finish(LoadResult { arrivals, faults: Vec::new(), duration_ms, extra_figures })
        .await;
    // Refusals of exhausted budgets are assessed by `paid_and_not_served` instead.
    let refused = report.figures["refused_not_run"].as_u64().unwrap_or(0);
    report.add("false_refusals", refused - exhausted as u64);
    let served = report.figures["served_tokens"].as_u64().unwrap_or(0);
    report.add("paid_and_not_served", (topped_up * 4).saturating_sub(served));
    report
}

/// Combines partitions, crashes, suspensions, outages and lost responses.
pub async fn all_at_once(options: &Options) -> Report {
    let mut testbed = Testbed::start(options, AMPLE_TOKENS, |_| {}).await;
    let load = testbed.spawn_load();
    testbed.fleet.platform.set(|faults| faults.drop_responses = 0.1);
    tokio::time::sleep(testbed.load_fraction(0.15)).await;
    let cut = [1, 2];
    testbed.fleet.set_partition(&cut, true);
    testbed.fleet.nodes[3].pause();
    tokio::time::sleep(testbed.load_fraction(0.15)).await;
    testbed.fleet.nodes[4].kill();
    testbed.balancer.set(4, None);
    testbed.fleet.platform.set(|faults| faults.down = true);
    tokio::time::sleep(testbed.load_fraction(0.15)).await;
    testbed.fleet.nodes[3].resume();
    tokio::time::sleep(testbed.load_fraction(0.15)).await;
    testbed.fleet.platform.set(|faults| faults.down = false);
    testbed.fleet.set_partition(&cut, false);
    testbed.fleet.restart(4).await;
    testbed.balancer.set(4, Some(testbed.fleet.callers_address(4)));
    let arrivals = load.await.expect("the load runs to its end");
    testbed.fleet.platform.set(|faults| faults.drop_responses = 0.0);
    let (from, to) = (testbed.load_fraction_ms(0.3), testbed.load_fraction_ms(0.6));
    let mut faults: Vec<Fault> =
        (0..testbed.boxes).map(|index| Fault::PlatformUnreachable { index, from, to }).collect();
    faults.extend(cut.map(|index| Fault::PlatformUnreachable {
        index,
        from: testbed.load_fraction_ms(0.15),
        to: from,
    }));
    faults.push(Fault::Suspended {
        index: 3,
        from: testbed.load_fraction_ms(0.15),
        to: testbed.load_fraction_ms(0.45),
    });
    faults.push(Fault::Crash { index: 4, at: from });
    let duration_ms = testbed.load_fraction_ms(1.0);
    testbed.finish(LoadResult { arrivals, faults, duration_ms, extra_figures: Vec::new() }).await
}

/// Measures platform writes and latency under steady load, at several intervals of journal writes.
pub async fn steady(options: &Options) -> Report {
    let mut last = Report::default();
    let mut rows = Vec::new();
    let mut is_sound = true;
    for spacing in [0, 40, 80, 120] {
        let mut testbed = Testbed::start(options, AMPLE_TOKENS, |plan| {
            plan.money.spacing_ms = spacing;
            plan.platform_delay = Duration::from_millis(3);
        })
        .await;
        testbed.mix.unrepeatable_share = 0.0;
        let arrivals = testbed.spawn_load().await.expect("the load runs to its end");
        let duration_ms = testbed.load_fraction_ms(1.0);
        let mut first_byte = Durations::default();
        first_byte.extend(
            testbed.fleet.caller.responses().iter().map(|response| response.time_to_first_byte),
        );
        let result =
            LoadResult { arrivals, faults: Vec::new(), duration_ms, extra_figures: Vec::new() };
        last = testbed.finish(result).await;
        is_sound &= last.is_sound;
        rows.push(json!({
            "spacing_ms": spacing, "platform_writes_per_s": last.figures["platform_writes_per_s"],
            "first_byte": first_byte.summary(),
        }));
    }
    last.is_sound = is_sound;
    last.add("spacings", rows);
    last
}
