//! Experiments on token accounting under faults, each with baselines over the same arrivals.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use trial::{Audit, Fleet, Outcome, Plan, Request};

use crate::{
    baseline::{Fault, World},
    cli::Options,
    load::{Arrival, Balancer, Mix, send},
    report::Report,
    stats::Times,
};

/// Timeout for all requests to be settled after the load.
const SETTLE: Duration = Duration::from_secs(60);
/// Tokens paid for each budget in experiments that must not exhaust it.
const AMPLE: u64 = 2_000_000;
/// Maximum number of violations of the audit that are printed.
const FAULTS_SHOWN: usize = 5;
/// Delay until the balancer notices that a box has died.
const NOTICED: Duration = Duration::from_millis(300);

struct Scene {
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
struct Sent {
    arrivals: Vec<Arrival>,
    faults: Vec<Fault>,
    lasting: u64,
    /// Additional figures for the report.
    extra: Vec<(&'static str, serde_json::Value)>,
}

impl Scene {
    async fn open(options: &Options, paid: u64, change: impl FnOnce(&mut Plan)) -> Scene {
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
            lasting: Duration::from_secs(seconds),
            lookups: 0.15,
            cancels: 0.1,
            output: 16,
        };
        // Boxes draw their first tokens before faults begin.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let usage = fleet.platform.memory().usage();
        Scene {
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

    fn load(&self) -> tokio::task::JoinHandle<Vec<Arrival>> {
        let (caller, balancer) = (self.fleet.caller.clone(), self.balancer.clone());
        let (mix, seed) = (self.mix.clone(), self.seed);
        tokio::spawn(async move { send(&caller, &balancer, &mix, seed).await })
    }

    fn part(&self, share: f64) -> Duration {
        self.mix.lasting.mul_f64(share)
    }

    fn ms(&self, share: f64) -> u64 {
        self.part(share).as_millis() as u64
    }

    /// Waits until all requests are settled, audits them and runs the baselines.
    async fn close(self, sent: Sent) -> Report {
        let usage = self.fleet.platform.memory().usage();
        let seconds = sent.lasting as f64 / 1_000.0;
        let settling = Instant::now();
        let settled = self.fleet.settle(SETTLE).await;
        let audit = Audit::of(&self.fleet).await;
        for fault in audit.faults().iter().take(FAULTS_SHOWN) {
            eprintln!("{fault}");
        }
        let figures = audit.figures();
        let mut report = Report::of(&figures);
        report.sound &= settled;
        report.add("settled", settled);
        report.add_rounded("settle_s", settling.elapsed().as_secs_f64());
        report.add("false_refusals", false_refusals(&self.fleet));
        let writes = (usage.writes - self.writes_before) as f64;
        let calls = (usage.writes + usage.reads - self.calls_before) as f64;
        report.add_rounded("platform_writes_per_s", writes / seconds);
        report.add_rounded("platform_calls_per_s", calls / seconds);
        report.add("writes_by_kind", json!(self.fleet.platform.memory().writes_by_kind()));
        for (name, value) in sent.extra {
            report.add(name, value);
        }
        let world = World {
            arrivals: &sent.arrivals,
            faults: &sent.faults,
            boxes: self.boxes,
            paid: self.paid,
            lasting: sent.lasting,
        };
        report.add("baselines", world.run());
        report
    }
}

/// Counts refused requests. All are false where budgets are not exhausted.
fn false_refusals(fleet: &Fleet) -> u64 {
    let responses = fleet.caller.responses();
    responses.iter().filter(|got| got.outcome == Outcome::NotRun).count() as u64
}

/// Cuts a zone off from all other boxes and the platform.
pub async fn partition(options: &Options) -> Report {
    let scene = Scene::open(options, AMPLE, |_| {}).await;
    let zone: Vec<usize> = (0..scene.boxes).filter(|index| index % 3 == 0).collect();
    let load = scene.load();
    tokio::time::sleep(scene.part(0.2)).await;
    scene.fleet.set_partition(&zone, true);
    tokio::time::sleep(scene.part(0.6)).await;
    scene.fleet.set_partition(&zone, false);
    let arrivals = load.await.expect("the load runs to its end");
    let (from, to) = (scene.ms(0.2), scene.ms(0.8));
    let faults = zone.iter().map(|index| Fault::Cut { index: *index, from, to }).collect();
    let lasting = scene.ms(1.0);
    scene.close(Sent { arrivals, faults, lasting, extra: Vec::new() }).await
}

/// Kills boxes with requests in flight and restarts them.
pub async fn crash(options: &Options) -> Report {
    let mut scene = Scene::open(options, AMPLE, |_| {}).await;
    let load = scene.load();
    let mut faults = Vec::new();
    for nth in 0..2 {
        tokio::time::sleep(scene.part(0.25)).await;
        let index = nth * 3 % scene.boxes;
        scene.fleet.nodes[index].kill();
        faults.push(Fault::Crash { index, at: scene.ms(0.25 * (nth + 1) as f64) });
        tokio::time::sleep(NOTICED).await;
        scene.balancer.set(index, None);
        scene.fleet.restart(index).await;
        scene.balancer.set(index, Some(scene.fleet.callers_address(index)));
    }
    let arrivals = load.await.expect("the load runs to its end");
    let lasting = scene.ms(1.0);
    let reclaimed = online_of_dead(&scene.fleet).await;
    let paid = scene.paid;
    let mut report = scene
        .close(Sent { arrivals, faults, lasting, extra: vec![("online_not_reclaimed", reclaimed)] })
        .await;
    let stranded = report.figures["stranded_tokens"].as_u64().unwrap_or(0);
    report.add_rounded("stranded_percent", stranded as f64 * 100.0 / paid as f64);
    report
}

/// Returns the online tokens that sealed holders still have after the load.
async fn online_of_dead(fleet: &Fleet) -> serde_json::Value {
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

/// Suspends a box for long enough to be sealed, then resumes it.
pub async fn pause(options: &Options) -> Report {
    let mut scene = Scene::open(options, AMPLE, |_| {}).await;
    let load = scene.load();
    tokio::time::sleep(scene.part(0.2)).await;
    scene.fleet.nodes[0].pause();
    tokio::time::sleep(scene.part(0.5)).await;
    scene.fleet.nodes[0].resume();
    let arrivals = load.await.expect("the load runs to its end");
    let faults = vec![Fault::Frozen { index: 0, from: scene.ms(0.2), to: scene.ms(0.7) }];
    let lasting = scene.ms(1.0);
    scene.close(Sent { arrivals, faults, lasting, extra: Vec::new() }).await
}

/// Takes the platform down for all boxes.
pub async fn outage(options: &Options) -> Report {
    let scene = Scene::open(options, AMPLE, |_| {}).await;
    let load = scene.load();
    tokio::time::sleep(scene.part(0.2)).await;
    scene.fleet.platform.set(|faults| faults.down = true);
    tokio::time::sleep(scene.part(0.6)).await;
    scene.fleet.platform.set(|faults| faults.down = false);
    let arrivals = load.await.expect("the load runs to its end");
    let (from, to) = (scene.ms(0.2), scene.ms(0.8));
    let faults = (0..scene.boxes).map(|index| Fault::Cut { index, from, to }).collect();
    let lasting = scene.ms(1.0);
    let unrepeatable = unrepeatable_refused(&scene.fleet);
    scene
        .close(Sent {
            arrivals,
            faults,
            lasting,
            extra: vec![("refused_unrepeatable", json!(unrepeatable))],
        })
        .await
}

fn unrepeatable_refused(fleet: &Fleet) -> usize {
    let responses = fleet.caller.responses();
    responses.iter().filter(|got| got.reason == "claim_unreachable").count()
}

/// Writes land, but their answers are lost.
pub async fn lost_answers(options: &Options) -> Report {
    let scene = Scene::open(options, AMPLE, |_| {}).await;
    scene.fleet.platform.set(|faults| faults.drop_responses = 0.2);
    let load = scene.load();
    let arrivals = load.await.expect("the load runs to its end");
    scene.fleet.platform.set(|faults| faults.drop_responses = 0.0);
    let lasting = scene.ms(1.0);
    scene.close(Sent { arrivals, faults: Vec::new(), lasting, extra: Vec::new() }).await
}

/// Sends each request ten times concurrently, distributed over all boxes.
pub async fn retry_storm(options: &Options) -> Report {
    let scene = Scene::open(options, AMPLE, |_| {}).await;
    let count = options.requests.unwrap_or(100);
    let start = Instant::now();
    for number in 0..count {
        let key = format!("storm-{number}");
        let ask = match number % 3 {
            0 => Request::service("dental", "bornova", "cancel", &key),
            1 => Request { stream: false, ..Request::chat("dental", "bornova", &key) },
            _ => Request::chat("dental", "bornova", &key),
        };
        let mut sent = tokio::task::JoinSet::new();
        for nth in 0..10 {
            let (caller, ask) = (scene.fleet.caller.clone(), ask.clone());
            let to = scene.fleet.callers_address(nth % scene.boxes);
            sent.spawn(async move { caller.send(to, &ask).await });
        }
        while sent.join_next().await.is_some() {}
    }
    let lasting = start.elapsed().as_millis() as u64;
    let runs: usize = scene.fleet.engines.iter().map(|engine| engine.truth().runs.len()).sum();
    let extra = vec![("engine_runs", json!(runs)), ("keys", json!(count))];
    scene.close(Sent { arrivals: Vec::new(), faults: Vec::new(), lasting, extra }).await
}

/// Exhausts budgets, and tops them up and lowers them under load.
pub async fn top_up(options: &Options) -> Report {
    let paid = 2_500;
    let scene = Scene::open(options, paid, |plan| plan.offline_share = Some(100)).await;
    let load = scene.load();
    let topped = paid * 3;
    let steps = [(0.4, topped), (0.2, topped / 2), (0.2, topped * 2)];
    // Each of the two budgets ends with twice `topped`.
    for (share, paid) in steps {
        tokio::time::sleep(scene.part(share)).await;
        for budget in ["bornova", "buca"] {
            let mut spec = scene.fleet.spec("budget", budget).await;
            spec["paid"] = paid.into();
            scene.fleet.declare("budget", budget, &spec).await;
        }
    }
    let arrivals = load.await.expect("the load runs to its end");
    let lasting = scene.ms(1.0);
    let responses = scene.fleet.caller.responses();
    let exhausted = responses.iter().filter(|got| got.reason == "budget_exhausted").count();
    let extra = vec![("refused_exhausted", json!(exhausted))];
    let mut report = scene.close(Sent { arrivals, faults: Vec::new(), lasting, extra }).await;
    // Refusals of exhausted budgets are assessed by `paid_and_not_served` instead.
    let refused = report.figures["refused_not_run"].as_u64().unwrap_or(0);
    report.add("false_refusals", refused - exhausted as u64);
    let served = report.figures["served_tokens"].as_u64().unwrap_or(0);
    report.add("paid_and_not_served", (topped * 4).saturating_sub(served));
    report
}

/// Combines partitions, crashes, suspensions, outages and lost responses.
pub async fn all_at_once(options: &Options) -> Report {
    let mut scene = Scene::open(options, AMPLE, |_| {}).await;
    let load = scene.load();
    scene.fleet.platform.set(|faults| faults.drop_responses = 0.1);
    tokio::time::sleep(scene.part(0.15)).await;
    let cut = [1, 2];
    scene.fleet.set_partition(&cut, true);
    scene.fleet.nodes[3].pause();
    tokio::time::sleep(scene.part(0.15)).await;
    scene.fleet.nodes[4].kill();
    scene.balancer.set(4, None);
    scene.fleet.platform.set(|faults| faults.down = true);
    tokio::time::sleep(scene.part(0.15)).await;
    scene.fleet.nodes[3].resume();
    tokio::time::sleep(scene.part(0.15)).await;
    scene.fleet.platform.set(|faults| faults.down = false);
    scene.fleet.set_partition(&cut, false);
    scene.fleet.restart(4).await;
    scene.balancer.set(4, Some(scene.fleet.callers_address(4)));
    let arrivals = load.await.expect("the load runs to its end");
    scene.fleet.platform.set(|faults| faults.drop_responses = 0.0);
    let (from, to) = (scene.ms(0.3), scene.ms(0.6));
    let mut faults: Vec<Fault> =
        (0..scene.boxes).map(|index| Fault::Cut { index, from, to }).collect();
    faults.extend(cut.map(|index| Fault::Cut { index, from: scene.ms(0.15), to: from }));
    faults.push(Fault::Frozen { index: 3, from: scene.ms(0.15), to: scene.ms(0.45) });
    faults.push(Fault::Crash { index: 4, at: from });
    let lasting = scene.ms(1.0);
    scene.close(Sent { arrivals, faults, lasting, extra: Vec::new() }).await
}

/// Measures platform writes and latency under steady load, at several intervals of journal writes.
pub async fn steady(options: &Options) -> Report {
    let mut last = Report::default();
    let mut rows = Vec::new();
    let mut sound = true;
    for spacing in [0, 40, 80, 120] {
        let mut scene = Scene::open(options, AMPLE, |plan| {
            plan.money.spacing_ms = spacing;
            plan.platform_delay = Duration::from_millis(3);
        })
        .await;
        scene.mix.cancels = 0.0;
        let arrivals = scene.load().await.expect("the load runs to its end");
        let lasting = scene.ms(1.0);
        let mut first = Times::default();
        first.extend(scene.fleet.caller.responses().iter().map(|got| got.time_to_first_byte));
        let sent = Sent { arrivals, faults: Vec::new(), lasting, extra: Vec::new() };
        last = scene.close(sent).await;
        sound &= last.sound;
        rows.push(json!({
            "spacing_ms": spacing, "platform_writes_per_s": last.figures["platform_writes_per_s"],
            "first_byte": first.summary(),
        }));
    }
    last.sound = sound;
    last.add("spacings", rows);
    last
}
