//! Eight boxes choose among the same endpoints from reports that are two seconds old.
//!
//! The choices are the router's own (`balance::Pool`); endpoints are queues in model time, so that
//! three policies meet the same arrivals.

use std::{collections::BinaryHeap, sync::Arc, time::Duration};

use balance::{Pool, Prefix, Report as LoadReport, Weights};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::{cli::Options, report::Report, stats::Times};

const ENDPOINTS: usize = 12;
const SLOTS: usize = 8;
/// Age of load reports, and time between two of them, in milliseconds.
const LATE_MS: u64 = 2_000;
const REPORT_MS: u64 = 500;
/// Time between two exchanges of boxes, in milliseconds.
const TELL_MS: u64 = 300;
/// Mean time that a request takes once it runs, in milliseconds.
const WORK_MS: f64 = 400.0;
/// Share of the endpoints' capacity that arrives.
const UTILIZATION: f64 = 0.8;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// The router's: late reports corrected by own and peers' dispatches.
    Estimated,
    /// One endpoint after the other.
    RoundRobin,
    /// The lowest load in the newest report.
    LeastReported,
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: std::collections::VecDeque<(u64, usize, f64)>,
    history: std::collections::VecDeque<(u64, u32, u32)>,
}

struct Model {
    policy: Policy,
    pools: Vec<Pool>,
    servers: Vec<Server>,
    names: Vec<Arc<str>>,
    turns: Vec<usize>,
    ends: BinaryHeap<std::cmp::Reverse<(u64, usize, usize)>>,
    random: ChaCha8Rng,
    waits: Times,
}

impl Model {
    fn new(policy: Policy, boxes: usize, seed: u64) -> Model {
        let names: Vec<Arc<str>> = (0..ENDPOINTS).map(|i| format!("e{i}").into()).collect();
        let zone = |i: usize| Arc::from(format!("zone-{}", i % 3));
        let pool = |index: usize| {
            let mut pool = Pool::new(zone(index), Weights::default());
            pool.update(names.iter().enumerate().map(|(i, name)| (name.clone(), zone(i))), 0);
            pool
        };
        Model {
            policy,
            pools: (0..boxes).map(pool).collect(),
            servers: (0..ENDPOINTS).map(|_| Server::default()).collect(),
            turns: (0..boxes).collect(),
            names,
            ends: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            waits: Times::default(),
        }
    }

    fn run(mut self, lasting: u64) -> Times {
        let rate = ENDPOINTS as f64 * SLOTS as f64 / WORK_MS * UTILIZATION;
        let mut next = 0.0;
        for now in 0..lasting {
            self.end_due(now);
            if now % REPORT_MS == 0 {
                self.report(now);
            }
            if now % TELL_MS == 0 {
                self.tell(now);
            }
            while next <= now as f64 {
                next += -self.random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
                self.arrive(now);
            }
        }
        self.waits
    }

    fn arrive(&mut self, now: u64) {
        let at = self.random.random_range(0..self.pools.len());
        let work = -self.random.random_range(f64::EPSILON..1.0_f64).ln() * WORK_MS;
        let chosen = self.choose(at, now);
        let name = self.names[chosen].clone();
        self.pools[at].start(&name, &Prefix::default(), now);
        self.servers[chosen].queue.push_back((now, at, work));
        self.fill(chosen, now);
    }

    fn choose(&mut self, at: usize, now: u64) -> usize {
        match self.policy {
            Policy::Estimated => {
                let pool = &self.pools[at];
                let choice = pool.choose(&Prefix::default(), &[], now, &mut self.random);
                let name = choice.expect("no endpoint is leaving").name;
                self.names.iter().position(|known| *known == name).unwrap_or(0)
            }
            Policy::RoundRobin => {
                self.turns[at] += 1;
                self.turns[at] % ENDPOINTS
            }
            Policy::LeastReported => {
                let load = |server: &Server| {
                    let old = server.history.iter().rev().find(|(at, ..)| at + LATE_MS <= now);
                    old.map_or(0, |(_, running, waiting)| running + waiting)
                };
                let loads: Vec<u32> = self.servers.iter().map(load).collect();
                let least = loads.iter().min().copied().unwrap_or(0);
                loads.iter().position(|load| *load == least).unwrap_or(0)
            }
        }
    }

    fn fill(&mut self, index: usize, now: u64) {
        let server = &mut self.servers[index];
        while server.running < SLOTS {
            let Some((came, at, work)) = server.queue.pop_front() else { return };
            server.running += 1;
            self.waits.add(Duration::from_millis(now - came));
            self.ends.push(std::cmp::Reverse((now + work.max(1.0) as u64, index, at)));
        }
    }

    fn end_due(&mut self, now: u64) {
        while let Some(std::cmp::Reverse((due, index, at))) = self.ends.peek().copied() {
            if due > now {
                return;
            }
            self.ends.pop();
            self.servers[index].running -= 1;
            let name = self.names[index].clone();
            self.pools[at].end(&name, None, now);
            self.fill(index, now);
        }
    }

    /// Every endpoint counts now; boxes get what was counted two seconds ago.
    fn report(&mut self, now: u64) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            let (running, waiting) = (server.running as u32, server.queue.len() as u32);
            server.history.push_back((now, running, waiting));
            let old = server.history.iter().rev().find(|(at, ..)| at + LATE_MS <= now);
            if let Some((at, running, waiting)) = old.copied() {
                let report = LoadReport { at, running, waiting, slots: SLOTS as u32 };
                for pool in &mut self.pools {
                    pool.receive_report(&self.names[index], report);
                }
            }
        }
    }

    fn tell(&mut self, now: u64) {
        let told: Vec<_> = self.pools.iter().map(Pool::snapshot).collect();
        for (to, pool) in self.pools.iter_mut().enumerate() {
            for (from, snapshot) in told.iter().enumerate().filter(|(from, _)| *from != to) {
                pool.receive_peer_load(&format!("box-{from}").into(), snapshot, now);
            }
        }
    }
}

/// Waiting times under three policies and the same arrivals.
pub fn run(options: &Options) -> Report {
    let boxes = options.boxes.unwrap_or(8);
    let lasting = options.seconds.unwrap_or(60) * 1_000;
    let wait = |policy| Model::new(policy, boxes, options.seed).run(lasting);
    let ours = wait(Policy::Estimated);
    let round_robin = wait(Policy::RoundRobin);
    let least = wait(Policy::LeastReported);
    let mut report = Report { sound: true, ..Report::default() };
    report.add("wait", ours.summary());
    report.add_rounded("p99_share_of_least_reported", ours.ms(0.99) / least.ms(0.99).max(0.001));
    let baselines = json!({
        "round_robin": round_robin.summary(), "least_reported_load": least.summary(),
    });
    report.add("baselines", baselines);
    report
}
