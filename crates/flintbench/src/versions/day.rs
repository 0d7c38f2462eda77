//! Days on which streams break.

use crate::versions::{
    random::{between, index, mix, unit},
    world::{Absence, Cause, Endpoint, Member, World, ZONES},
};

/// Streams per second at 7 boxes, and at 1,000; a power of the number of boxes in between.
const SMALL: (f64, f64) = (7.0, 7.0 * 40.0);
const LARGE: (f64, f64) = (1_000.0, 1_000.0 * 4.1);
/// Mean length of a stream, in seconds.
pub const MEAN_LENGTH_S: f64 = 3.0;
/// Streams that run at an endpoint in the mean.
const STREAMS_PER_ENDPOINT: f64 = 64.0;
/// Bounds of the age of what a box sees of the directory, in seconds.
const LAG_S: (f64, f64) = (0.05, 1.0);
/// Time from a new endpoint's start to the leaving of the one that it replaces.
const OVERLAP_S: f64 = 0.5;
/// Time for which a leaving endpoint finishes its streams.
const DRAIN_S: f64 = 8.0;
/// Time of the fault of a day.
const FAULT_S: f64 = 25.0;

/// A day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Day {
    CalmRelease,
    ReleaseWithCrashes,
    BoxKilled,
    BoxAndHomeKilled,
    ZoneCutOff,
    ZoneKilled,
    RestartOneVersion,
    RestartTwoVersions,
    RestartAfterRelease,
    RollingRestart,
    ThreeVersions,
    LastEndpointLeaves,
    LastLeavesThenRestart,
    OneVersion,
}

impl Day {
    pub const ALL: [Day; 14] = [
        Day::CalmRelease,
        Day::ReleaseWithCrashes,
        Day::BoxKilled,
        Day::BoxAndHomeKilled,
        Day::ZoneCutOff,
        Day::ZoneKilled,
        Day::RestartOneVersion,
        Day::RestartTwoVersions,
        Day::RestartAfterRelease,
        Day::RollingRestart,
        Day::ThreeVersions,
        Day::LastEndpointLeaves,
        Day::LastLeavesThenRestart,
        Day::OneVersion,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Day::CalmRelease => "calm release",
            Day::ReleaseWithCrashes => "release, endpoints crash",
            Day::BoxKilled => "release, a box killed",
            Day::BoxAndHomeKilled => "release, a box and a home killed",
            Day::ZoneCutOff => "release, a zone cut off",
            Day::ZoneKilled => "release, a zone killed",
            Day::RestartOneVersion => "all boxes restart, one version",
            Day::RestartTwoVersions => "all boxes restart, release",
            Day::RestartAfterRelease => "all boxes restart after a fast release",
            Day::RollingRestart => "rolling restart, release",
            Day::ThreeVersions => "three versions, endpoints crash",
            Day::LastEndpointLeaves => "a version leaves",
            Day::LastLeavesThenRestart => "a version leaves, all boxes restart",
            Day::OneVersion => "one version, endpoints crash",
        }
    }

    pub fn seconds(self) -> f64 {
        if self == Day::RollingRestart { 90.0 } else { 60.0 }
    }

    /// The day at a fleet of `boxes`.
    pub fn world(self, boxes: usize, seed: u64) -> World {
        let mut plan = Plan::new(boxes, seed);
        match self {
            Day::CalmRelease => plan.half_release(),
            Day::ReleaseWithCrashes => {
                plan.half_release();
                plan.crashes();
            }
            Day::BoxKilled => {
                plan.half_release();
                plan.kill_box(index(seed, 1, boxes));
            }
            Day::BoxAndHomeKilled => {
                plan.half_release();
                let killed = index(seed, 1, boxes);
                plan.kill_box(killed);
                plan.kill_a_home(killed);
            }
            Day::ZoneCutOff => {
                plan.half_release();
                plan.lose_zone(Cause::CutOff, 40.0);
            }
            Day::ZoneKilled => {
                plan.half_release();
                plan.lose_zone(Cause::Killed, 45.0);
            }
            Day::RestartOneVersion => plan.restart_all(),
            Day::RestartTwoVersions => {
                plan.half_release();
                plan.restart_all();
            }
            Day::RestartAfterRelease => {
                plan.release(0, 1, 10.0, FAULT_S - 1.0, 0.9);
                plan.restart_all();
            }
            Day::RollingRestart => {
                plan.release(0, 1, 10.0, 70.0, 0.5);
                plan.rolling_restart();
            }
            Day::ThreeVersions => {
                plan.release(0, 1, 5.0, 25.0, 0.4);
                plan.release(0, 2, 15.0, 40.0, 0.3);
                plan.crashes();
            }
            Day::LastEndpointLeaves => {
                plan.begin_with_two_versions();
                plan.leave(0, 10.0, 30.0);
            }
            Day::LastLeavesThenRestart => {
                plan.begin_with_two_versions();
                plan.leave(0, FAULT_S - 1.0, FAULT_S - 0.5);
                plan.restart_all();
            }
            Day::OneVersion => plan.crashes(),
        }
        World::new(self.seconds(), plan.rate, plan.boxes, plan.endpoints)
    }
}

/// A day that is being put together.
struct Plan {
    seed: u64,
    rate: f64,
    boxes: Vec<Member>,
    endpoints: Vec<Endpoint>,
}

impl Plan {
    fn new(boxes: usize, seed: u64) -> Plan {
        let power = (LARGE.1 / SMALL.1).ln() / (LARGE.0 / SMALL.0).ln();
        let rate = SMALL.1 * (boxes as f64 / SMALL.0).powf(power);
        let endpoints = (rate * MEAN_LENGTH_S / STREAMS_PER_ENDPOINT).ceil() as usize;
        let member = |i: usize| Member {
            zone: i % ZONES,
            lag: between(mix(seed, 2), i as u64, LAG_S.0, LAG_S.1),
            absences: Vec::new(),
        };
        let endpoint = |i: usize| Endpoint {
            version: 0,
            zone: i % ZONES,
            from: f64::NEG_INFINITY,
            leaves: f64::INFINITY,
            ends: f64::INFINITY,
        };
        Plan {
            seed,
            rate,
            boxes: (0..boxes).map(member).collect(),
            endpoints: (0..endpoints).map(endpoint).collect(),
        }
    }

    fn begin_with_two_versions(&mut self) {
        self.endpoints.iter_mut().skip(1).step_by(2).for_each(|endpoint| endpoint.version = 1);
    }

    fn staying(&self, version: usize) -> Vec<usize> {
        let stays = |i: &usize| {
            self.endpoints[*i].version == version && self.endpoints[*i].leaves.is_infinite()
        };
        (0..self.endpoints.len()).filter(stays).collect()
    }

    /// Replaces half of the endpoints within 30 s.
    fn half_release(&mut self) {
        self.release(0, 1, 10.0, 40.0, 0.5);
    }

    /// Replaces a share of all endpoints one by one.
    fn release(&mut self, old: usize, new: usize, from: f64, until: f64, share: f64) {
        let count = (self.endpoints.len() as f64 * share) as usize;
        let replaced: Vec<usize> = self.staying(old).into_iter().take(count).collect();
        for (n, i) in replaced.into_iter().enumerate() {
            let at = from + (until - from) * n as f64 / count as f64;
            self.endpoints.push(Endpoint { version: new, from: at, ..self.endpoints[i] });
            self.drain(i, at + OVERLAP_S);
        }
    }

    /// All endpoints of a version leave one by one.
    fn leave(&mut self, version: usize, from: f64, until: f64) {
        let leaving = self.staying(version);
        for (n, i) in leaving.iter().enumerate() {
            let at = from + (until - from) * (n + 1) as f64 / leaving.len() as f64;
            self.drain(*i, at);
        }
    }

    /// An endpoint leaves and finishes its streams.
    fn drain(&mut self, endpoint: usize, at: f64) {
        self.endpoints[endpoint].leaves = at;
        self.endpoints[endpoint].ends = at + DRAIN_S;
    }

    /// One endpoint in twelve crashes each 5 s, and is back with its version after 5 s.
    fn crashes(&mut self) {
        for n in 0..8 {
            let at = 12.0 + 5.0 * f64::from(n);
            let serving = |i: &usize| self.endpoints[*i].serves(at);
            let mut serving: Vec<usize> = (0..self.endpoints.len()).filter(serving).collect();
            serving.sort_by_key(|i| mix(mix(self.seed, 3 + n as u64), *i as u64));
            let count = serving.len().div_ceil(12);
            serving.truncate(count);
            for i in serving {
                self.endpoints.push(Endpoint { from: at + 5.0, ..self.endpoints[i] });
                self.endpoints[i].leaves = at;
                self.endpoints[i].ends = at;
            }
        }
    }

    fn kill_box(&mut self, member: usize) {
        let absence = Absence { from: FAULT_S, until: FAULT_S + 10.0, cause: Cause::Killed };
        self.boxes[member].absences.push(absence);
    }

    /// The box that is the first home of the most keys, as the day's seed draws them.
    fn kill_a_home(&mut self, but: usize) {
        let world = World::new(60.0, self.rate, self.boxes.clone(), self.endpoints.clone());
        let mut keys = vec![0_u32; self.boxes.len()];
        for key in 0..1_000 {
            let homes = world.homes(mix(self.seed, key), but, FAULT_S);
            homes.first().into_iter().for_each(|home| keys[*home] += 1);
        }
        let others = (0..self.boxes.len()).filter(|member| *member != but);
        let home = others.max_by_key(|member| keys[*member]);
        home.into_iter().for_each(|home| self.kill_box(home));
    }

    /// A zone's boxes and endpoints are away; endpoints that were killed do not come back.
    fn lose_zone(&mut self, cause: Cause, until: f64) {
        let zone = index(self.seed, 4, ZONES);
        for member in self.boxes.iter_mut().filter(|member| member.zone == zone) {
            member.absences.push(Absence { from: FAULT_S, until, cause });
        }
        for i in 0..self.endpoints.len() {
            let endpoint = self.endpoints[i];
            if endpoint.zone != zone || endpoint.ends <= FAULT_S || endpoint.from >= until {
                continue;
            }
            if cause == Cause::CutOff && endpoint.leaves > until {
                self.endpoints.push(Endpoint { from: until, ..endpoint });
            }
            self.endpoints[i].leaves = endpoint.leaves.min(FAULT_S.max(endpoint.from));
            self.endpoints[i].ends = FAULT_S.max(endpoint.from);
        }
    }

    /// All boxes restart within 1 s, each in 0.5 s.
    fn restart_all(&mut self) {
        for (i, member) in self.boxes.iter_mut().enumerate() {
            let from = FAULT_S + unit(mix(self.seed, 5), i as u64);
            member.absences.push(Absence { from, until: from + 0.5, cause: Cause::Killed });
        }
    }

    /// One box after the other restarts each 2 s, in 3 s.
    fn rolling_restart(&mut self) {
        for (i, member) in self.boxes.iter_mut().enumerate() {
            let from = 10.0 + 2.0 * i as f64;
            member.absences.push(Absence { from, until: from + 3.0, cause: Cause::Planned });
        }
    }
}
