//! Simulates boxes that select among the same endpoints from outdated load reports, where a herd of
//! requests may follow each report.
//!
//! Selection is the router's own (`balance::Pool`). Endpoints are queues in simulated time.

use std::{collections::BinaryHeap, sync::Arc, time::Duration};

use balance::{Pool, Prefix, Report as LoadReport, Weights};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::{cli::Options, report::Report, stats::Durations};

const ENDPOINTS: usize = 12;
/// Requests that an endpoint runs concurrently.
const SLOTS: usize = 8;
/// Age at which load reports reach the boxes, in milliseconds.
const REPORT_AGE_MS: u64 = 2_000;
/// Interval between load reports of an endpoint, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;
/// Interval at which boxes send their loads to each other, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 300;
/// Mean service time of a request, in milliseconds.
const MEAN_SERVICE_MS: f64 = 400.0;
/// Arriving work as a share of the endpoints' capacity.
const UTILIZATION: f64 = 0.8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The router's policy: delayed reports, corrected by the requests that this box and its peers
    /// sent since.
    Estimated,
    /// Each box cycles through the endpoints.
    RoundRobin,
    /// The endpoint with the lowest load in the newest report.
    LeastReported,
}

#[derive(Default)]
struct Server {
    running: usize,
    /// Arrival time, index of the box and service time of each queued request.
    queue: std::collections::VecDeque<(u64, usize, f64)>,
    /// Time and numbers of running and queued requests of each report.
    history: std::collections::VecDeque<(u64, u32, u32)>,
}

/// Boxes that send requests to simulated endpoints under one policy.
struct Simulation {
    policy: Policy,
    pools: Vec<Pool>,
    servers: Vec<Server>,
    names: Vec<Arc<str>>,
    round_robin_positions: Vec<usize>,
    /// End, index of the endpoint and index of the box of each running request.
    completions: BinaryHeap<std::cmp::Reverse<(u64, usize, usize)>>,
    random: ChaCha8Rng,
    queueing_times: Durations,
}

impl Simulation {
    fn new(policy: Policy, boxes: usize, seed: u64) -> Simulation {
        let names: Vec<Arc<str>> = (0..ENDPOINTS).map(|i| format!("e{i}").into()).collect();
        let zone = |i: usize| Arc::from(format!("zone-{}", i % 3));
        let pool = |index: usize| {
            let mut pool = Pool::new(zone(index), Weights::default());
            pool.update(names.iter().enumerate().map(|(i, name)| (name.clone(), zone(i))), 0);
            pool
        };
        Simulation {
            policy,
            pools: (0..boxes).map(pool).collect(),
            servers: (0..ENDPOINTS).map(|_| Server::default()).collect(),
            round_robin_positions: (0..boxes).collect(),
            names,
            completions: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            queueing_times: Durations::default(),
        }
    }

    fn run(mut self, duration_ms: u64) -> Durations {
        let rate = ENDPOINTS as f64 * SLOTS as f64 / MEAN_SERVICE_MS * UTILIZATION;
        let mut next_arrival = 0.0;
        for now in 0..duration_ms {
            self.complete_due(now);
            if now % REPORT_INTERVAL_MS == 0 {
                self.report(now);
            }
            if now % EXCHANGE_INTERVAL_MS == 0 {
                self.exchange_loads(now);
            }
            while next_arrival <= now as f64 {
                next_arrival += -self.random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
                self.arrive(now);
            }
        }
        self.queueing_times
    }

    fn arrive(&mut self, now: u64) {
        let box_index = self.random.random_range(0..self.pools.len());
        let service_ms = -self.random.random_range(f64::EPSILON..1.0_f64).ln() * MEAN_SERVICE_MS;
        let chosen = self.choose(box_index, now);
        let name = self.names[chosen].clone();
        self.pools[box_index].start(&name, &Prefix::default(), now);
        self.servers[chosen].queue.push_back((now, box_index, service_ms));
        self.start_queued(chosen, now);
    }

    fn choose(&mut self, box_index: usize, now: u64) -> usize {
        match self.policy {
            Policy::Estimated => {
                let pool = &self.pools[box_index];
                let choice = pool.choose(&Prefix::default(), &[], now, &mut self.random);
                let name = choice.expect("all endpoints are available").name;
                self.names.iter().position(|known| *known == name).unwrap_or(0)
            }
            Policy::RoundRobin => {
                self.round_robin_positions[box_index] += 1;
                self.round_robin_positions[box_index] % ENDPOINTS
            }
            Policy::LeastReported => {
                let load = |server: &Server| {
                    let old =
                        server.history.iter().rev().find(|(at, ..)| at + REPORT_AGE_MS <= now);
                    old.map_or(0, |(_, running, waiting)| running + waiting)
                };
                let loads: Vec<u32> = self.servers.iter().map(load).collect();
                let min_load = loads.iter().min().copied().unwrap_or(0);
                loads.iter().position(|load| *load == min_load).unwrap_or(0)
            }
        }
    }

    fn start_queued(&mut self, index: usize, now: u64) {
        let server = &mut self.servers[index];
        while server.running < SLOTS {
            let Some((arrived, box_index, service_ms)) = server.queue.pop_front() else { return };
            server.running += 1;
            self.queueing_times.add(Duration::from_millis(now - arrived));
            self.completions.push(std::cmp::Reverse((
                now + service_ms.max(1.0) as u64,
                index,
                box_index,
            )));
        }
    }

    fn complete_due(&mut self, now: u64) {
        while let Some(std::cmp::Reverse((due, index, box_index))) =
            self.completions.peek().copied()
        {
            if due > now {
                return;
            }
            self.completions.pop();
            self.servers[index].running -= 1;
            let name = self.names[index].clone();
            self.pools[box_index].end(&name, None, now);
            self.start_queued(index, now);
        }
    }

    /// Records the load of each endpoint, and passes the newest record of age [`REPORT_AGE_MS`] to
    /// the boxes.
    fn report(&mut self, now: u64) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            let (running, waiting) = (server.running as u32, server.queue.len() as u32);
            server.history.push_back((now, running, waiting));
            let old = server.history.iter().rev().find(|(at, ..)| at + REPORT_AGE_MS <= now);
            if let Some((at, running, waiting)) = old.copied() {
                let report = LoadReport { at, running, waiting, slots: SLOTS as u32 };
                for pool in &mut self.pools {
                    pool.receive_report(&self.names[index], report);
                }
            }
        }
    }

    fn exchange_loads(&mut self, now: u64) {
        let snapshots: Vec<_> = self.pools.iter().map(Pool::snapshot).collect();
        for (to, pool) in self.pools.iter_mut().enumerate() {
            for (from, snapshot) in snapshots.iter().enumerate().filter(|(from, _)| *from != to) {
                pool.receive_peer_load(&format!("box-{from}").into(), snapshot, now);
            }
        }
    }
}

/// Measures queueing times under each policy, with arrivals at the same rate.
pub fn run(options: &Options) -> Report {
    let boxes = options.boxes.unwrap_or(8);
    let duration_ms = options.seconds.unwrap_or(60) * 1_000;
    let queueing_times = |policy| Simulation::new(policy, boxes, options.seed).run(duration_ms);
    let estimated = queueing_times(Policy::Estimated);
    let round_robin = queueing_times(Policy::RoundRobin);
    let least_reported = queueing_times(Policy::LeastReported);
    let mut report = Report { is_sound: true, ..Report::default() };
    report.add("wait", estimated.summary());
    report.add_rounded(
        "p99_share_of_least_reported",
        estimated.quantile_ms(0.99) / least_reported.quantile_ms(0.99).max(0.001),
    );
    let baselines = json!({
        "round_robin": round_robin.summary(), "least_reported_load": least_reported.summary(),
    });
    report.add("baselines", baselines);
    report
}
