//! Boxes, endpoints and what boxes see of them, as functions of simulated time in seconds.

use crate::versions::random::{index, mix, unit};

/// Versions that a service can have at once.
pub const VERSIONS: usize = 3;
/// Availability zones.
pub const ZONES: usize = 3;
/// Time for which a service must have had one version until nothing else can be asked for.
pub const SETTLED_S: f64 = 60.0;
/// Time after which other boxes take a silent box out of their lists, besides their lag.
const SILENCE_S: f64 = 1.0;
/// One box in this many is a home of origins.
const BOXES_PER_HOME: usize = 10;
/// Homes of a small fleet, if it has as many boxes.
const MIN_HOMES: usize = 8;
/// Draws before all are looked through.
const DRAWS: u64 = 40;

/// Why a box is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Dies without notice.
    Killed,
    /// Stops by plan: other boxes know at once.
    Planned,
    /// Runs, but reaches nobody.
    CutOff,
}

/// Time for which a box is away.
#[derive(Debug, Clone, Copy)]
pub struct Absence {
    pub from: f64,
    pub until: f64,
    pub cause: Cause,
}

/// A box.
#[derive(Debug, Clone)]
pub struct Member {
    pub zone: usize,
    /// Age of what it sees of the directory.
    pub lag: f64,
    pub absences: Vec<Absence>,
}

impl Member {
    /// Whether others reach it.
    pub fn is_reached(&self, at: f64) -> bool {
        !self.absences.iter().any(|absence| absence.from <= at && at < absence.until)
    }

    /// Start of its next absence.
    pub fn next_absence(&self, at: f64) -> f64 {
        let later = self.absences.iter().map(|absence| absence.from).filter(|from| *from > at);
        later.fold(f64::INFINITY, f64::min)
    }

    /// Whether it still has in memory what it learned.
    pub fn remembers(&self, learned: f64, at: f64) -> bool {
        let forgets = |restart: &Absence| learned < restart.from && restart.from <= at;
        learned <= at && !self.restarts().any(forgets)
    }

    /// Start of its process.
    pub fn started(&self, at: f64) -> f64 {
        let ends = self.restarts().map(|restart| restart.until).filter(|until| *until <= at);
        ends.fold(f64::NEG_INFINITY, f64::max)
    }

    fn restarts(&self) -> impl Iterator<Item = &Absence> {
        self.absences.iter().filter(|absence| absence.cause != Cause::CutOff)
    }

    /// Whether other boxes have it in their lists.
    fn is_listed(&self, at: f64) -> bool {
        let hides =
            |absence: &Absence| absence.from + absence.unnoticed() <= at && at < absence.until;
        !self.absences.iter().any(hides)
    }
}

impl Absence {
    /// Time until others notice it.
    fn unnoticed(&self) -> f64 {
        if self.cause == Cause::Planned { 0.0 } else { SILENCE_S }
    }
}

/// An endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    pub version: usize,
    pub zone: usize,
    pub from: f64,
    /// Time at which it leaves the directory.
    pub leaves: f64,
    /// Time at which its streams break.
    pub ends: f64,
}

impl Endpoint {
    /// Whether it takes streams.
    pub fn serves(&self, at: f64) -> bool {
        self.from <= at && at < self.leaves
    }
}

/// The directory between two changes.
#[derive(Debug, Clone, Copy)]
pub struct Directory {
    since: f64,
    /// Endpoints by version.
    pub counts: [u32; VERSIONS],
    /// Time of the last change of which versions there are.
    pub set_changed: f64,
    /// Time at which the service last stopped being settled, and its only version until then.
    pub unsettled: Option<(f64, usize)>,
}

impl Directory {
    /// Version of all endpoints.
    pub fn only(&self) -> Option<usize> {
        let mut present = (0..VERSIONS).filter(|version| self.counts[*version] > 0);
        present.next().filter(|_| present.next().is_none())
    }

    /// Version that all endpoints have had for long enough.
    pub fn settled(&self, at: f64) -> Option<usize> {
        self.only().filter(|_| at - self.set_changed >= SETTLED_S)
    }

    /// Only version until the service stopped being settled, if that was less than `age` ago.
    pub fn settled_before(&self, at: f64, age: f64) -> Option<usize> {
        self.unsettled.filter(|(since, _)| at - since < age).map(|(_, version)| version)
    }

    /// Whether the versions, or with `counted` also their endpoints, are the same for long enough.
    pub fn is_steady(&self, at: f64, counted: bool) -> bool {
        let changed = if counted { self.since } else { self.set_changed };
        at - changed >= SETTLED_S
    }

    fn after(&self, at: f64, counts: [u32; VERSIONS]) -> Directory {
        let present = |counts: &[u32; VERSIONS]| counts.map(|count| count > 0);
        if present(&counts) == present(&self.counts) {
            return Directory { since: at, counts, ..*self };
        }
        let unsettled = self.settled(at).map(|version| (at, version)).or(self.unsettled);
        Directory { since: at, counts, set_changed: at, unsettled }
    }
}

/// One day of a fleet.
pub struct World {
    pub seconds: f64,
    /// Streams that begin per second at all boxes.
    pub rate: f64,
    pub boxes: Vec<Member>,
    pub endpoints: Vec<Endpoint>,
    by_version: [Vec<usize>; VERSIONS],
    directory: Vec<Directory>,
    /// Boxes that are homes, since when.
    homes: Vec<(f64, Vec<usize>)>,
}

impl World {
    pub fn new(seconds: f64, rate: f64, boxes: Vec<Member>, endpoints: Vec<Endpoint>) -> World {
        let of =
            |version| (0..endpoints.len()).filter(|i| endpoints[*i].version == version).collect();
        World {
            seconds,
            rate,
            by_version: std::array::from_fn(of),
            directory: directory(&endpoints),
            homes: homes(&boxes),
            boxes,
            endpoints,
        }
    }

    /// What a box sees of the endpoints, and the time of which it is.
    pub fn seen(&self, member: usize, at: f64) -> (&Directory, f64) {
        let seen = at - self.boxes[member].lag;
        let next = self.directory.partition_point(|directory| directory.since <= seen);
        (&self.directory[next - 1], seen)
    }

    /// Endpoints of a version that serve.
    pub fn serving(&self, version: usize, at: f64) -> usize {
        let of_version = self.by_version[version].iter();
        of_version.filter(|i| self.endpoints[**i].serves(at)).count()
    }

    /// Time at which a box next sees that the service is no longer settled.
    pub fn next_unsettled(&self, member: usize, at: f64) -> Option<f64> {
        let (_, seen) = self.seen(member, at);
        let begins = |step: &Directory| step.unsettled.is_some_and(|(since, _)| since > seen);
        let step = self.directory.iter().find(|step| begins(step))?;
        Some(step.since + self.boxes[member].lag)
    }

    /// Version of a key by a weighted rendezvous hash, if all views of the last `age` give it.
    pub fn recomputed_throughout(
        &self,
        key: u64,
        member: usize,
        at: f64,
        age: f64,
    ) -> Option<usize> {
        let (now, seen) = self.seen(member, at);
        let draws = Draws::of(key);
        let version = draws.version(&now.counts);
        let first = self.directory.partition_point(|step| step.since <= seen - age).max(1) - 1;
        let views = self.directory[first..].iter().take_while(|step| step.since <= seen);
        let mut others = views.map(|step| draws.version(&step.counts));
        version.filter(|_| others.all(|other| other == version))
    }

    /// The directory as it is.
    pub fn current(&self, at: f64) -> &Directory {
        let next = self.directory.partition_point(|directory| directory.since <= at);
        &self.directory[next - 1]
    }

    /// Version of a key by the hash, if the directory has given it since `age` ago.
    pub fn computed_throughout(&self, key: u64, at: f64, age: f64) -> Option<usize> {
        let draws = Draws::of(key);
        let first = self.directory.partition_point(|step| step.since <= at - age).max(1) - 1;
        let steps = self.directory[first..].iter().take_while(|step| step.since <= at);
        let mut versions = steps.map(|step| draws.version(&step.counts));
        let version = versions.next()?;
        version.filter(|_| versions.all(|other| other == version))
    }

    /// An endpoint of a version that serves and that a box sees.
    pub fn endpoint(&self, version: usize, member: usize, at: f64, key: u64) -> Option<usize> {
        let all = &self.by_version[version];
        let seen = at - self.boxes[member].lag;
        let is_usable =
            |i: &usize| self.endpoints[*i].serves(at) && self.endpoints[*i].from <= seen;
        if all.is_empty() {
            return None;
        }
        let mut drawn = (0..DRAWS).map(|n| all[index(key, 100 + n, all.len())]);
        drawn.find(is_usable).or_else(|| all.iter().copied().find(is_usable))
    }

    /// A box that callers reach.
    pub fn any_box(&self, at: f64, key: u64) -> Option<usize> {
        let mut drawn = (0..DRAWS).map(|n| index(key, 200 + n, self.boxes.len()));
        drawn.find(|member| self.boxes[*member].is_reached(at))
    }

    /// Homes of a key as a box sees them, by rank; the second is in another zone than the first.
    pub fn homes(&self, key: u64, member: usize, at: f64) -> Vec<usize> {
        let seen = at - self.boxes[member].lag;
        let next = self.homes.partition_point(|(since, _)| *since <= seen);
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(6);
        let mut best_of_zone = [(0, usize::MAX); ZONES];
        for home in &self.homes[next - 1].1 {
            let candidate = (mix(key, *home as u64), *home);
            let of_zone = &mut best_of_zone[self.boxes[*home].zone];
            *of_zone = candidate.max(*of_zone);
            let rank = best.partition_point(|better| *better > candidate);
            if rank < 5 {
                best.insert(rank, candidate);
                best.truncate(5);
            }
        }
        let first = best.first().map(|(_, home)| self.boxes[*home].zone);
        let others = (0..ZONES).filter(|zone| Some(*zone) != first);
        let second = others.map(|zone| best_of_zone[zone]).max().filter(|(weight, _)| *weight > 0);
        if let Some(second) = second {
            best.retain(|candidate| *candidate != second);
            best.insert(1, second);
        }
        best.into_iter().map(|(_, home)| home).collect()
    }
}

/// Weighted rendezvous hash of one key.
pub struct Draws([f64; VERSIONS]);

impl Draws {
    pub fn of(key: u64) -> Draws {
        Draws(std::array::from_fn(|version| -unit(key, 900 + version as u64).ln()))
    }

    /// Version of the key where there are so many endpoints of each.
    pub fn version(&self, counts: &[u32; VERSIONS]) -> Option<usize> {
        let score = |version: &usize| f64::from(counts[*version]) / self.0[*version];
        let present = (0..VERSIONS).filter(|version| counts[*version] > 0);
        present.max_by(|a, b| score(a).total_cmp(&score(b)))
    }
}

fn directory(endpoints: &[Endpoint]) -> Vec<Directory> {
    let mut changes: Vec<(f64, usize, bool)> = Vec::new();
    for endpoint in endpoints.iter().filter(|endpoint| endpoint.from < endpoint.leaves) {
        changes.push((endpoint.from, endpoint.version, true));
        changes.push((endpoint.leaves, endpoint.version, false));
    }
    changes.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut counts = [0; VERSIONS];
    let mut steps: Vec<Directory> = Vec::new();
    for (at, version, joins) in changes.into_iter().filter(|(at, ..)| at.is_finite() || *at < 0.0) {
        counts[version] = if joins { counts[version] + 1 } else { counts[version] - 1 };
        match steps.last_mut() {
            None => {
                steps.push(Directory { since: at, counts, set_changed: at, unsettled: None });
            }
            Some(last) if last.since == at && at < 0.0 => last.counts = counts,
            Some(last) => {
                let next = last.after(at, counts);
                steps.push(next);
            }
        }
    }
    steps
}

fn homes(boxes: &[Member]) -> Vec<(f64, Vec<usize>)> {
    let absences = || boxes.iter().flat_map(|member| &member.absences);
    let leave = absences().map(|absence| absence.from + absence.unnoticed());
    let mut times: Vec<f64> = leave.chain(absences().map(|absence| absence.until)).collect();
    times.push(f64::NEG_INFINITY);
    times.sort_by(f64::total_cmp);
    times.dedup();
    let count = boxes.len().div_ceil(BOXES_PER_HOME).max(MIN_HOMES);
    let mut by_rank: Vec<usize> = (0..boxes.len()).collect();
    by_rank.sort_by_key(|member| mix(0x1005, *member as u64));
    let at = |time: f64| {
        let listed = by_rank.iter().copied().filter(|member| boxes[*member].is_listed(time));
        (time, listed.take(count).collect())
    };
    times.into_iter().filter(|time| *time < f64::INFINITY).map(at).collect()
}
