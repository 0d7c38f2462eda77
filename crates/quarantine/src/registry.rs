//! All crash reports that a box knows, and the verdicts that follow from them.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::{Finding, Fingerprint, Report, answered::Answered};

/// Maximum number of reports kept. Those that keep a request in quarantine are dropped last, so
/// that many unrelated crashes do not free it.
const MOST_REPORTS: usize = 1_024;
/// Maximum number of requests that are read from one report; more than an endpoint runs at once.
const MOST_REQUESTS: usize = 256;
/// How long a complete answer clears a request, in milliseconds: longer than callers wait and
/// retry.
const RECENT: u64 = 60_000;
/// Order of a report that the store has not confirmed yet: later than all that it has.
const NEWEST: u64 = u64::MAX;

/// When a request is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of crashed endpoints from which on a request is quarantined.
    pub ended: usize,
    /// How long each crash counts, in seconds.
    pub keep_s: u64,
}

/// Whether a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be run.
    Allowed,
    /// It may be run, although `ended` endpoints crashed with it.
    Suspect { ended: usize },
    /// It depends on possible crashes that are not confirmed yet, in addition to `ended` confirmed
    /// ones.
    Unconfirmed { ended: usize },
    /// It must not be run for `for_s` seconds.
    Quarantined { for_s: u64 },
}

#[derive(Debug)]
struct Known {
    report: Report,
    /// Version in the store, then order of arrival: the order in which things happened.
    order: (u64, u64),
}

/// All crash reports that a box knows.
#[derive(Debug)]
pub struct Registry {
    limits: Limits,
    reports: HashMap<Arc<str>, Known>,
    /// Names of the reports that name a request.
    about: HashMap<Fingerprint, BTreeSet<Arc<str>>>,
    answered: Answered,
    arrivals: u64,
}

impl Registry {
    pub fn new(limits: Limits) -> Registry {
        let (reports, about, answered) = Default::default();
        Registry { limits, reports, about, answered, arrivals: 0 }
    }

    /// Adds a report, with its version if it comes from the store. Returns the requests in it that
    /// this box knows to be innocent, each only once: the caller has to report them as answered.
    pub fn take(
        &mut self,
        name: &Arc<str>,
        version: Option<u64>,
        mut report: Report,
        now_s: u64,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        self.expire(now_s);
        if is_old(&report, self.limits.keep_s, now_s) {
            return Vec::new();
        }
        match self.reports.get_mut(name) {
            Some(known) => {
                known.order.0 = version.unwrap_or(known.order.0);
                return Vec::new();
            }
            None => self.arrivals += 1,
        }
        report.requests.truncate(MOST_REQUESTS);
        for request in &report.requests {
            self.about.entry(request.clone()).or_default().insert(name.clone());
        }
        let requests = report.requests.clone();
        let order = (version.unwrap_or(NEWEST), self.arrivals);
        self.reports.insert(name.clone(), Known { report, order });
        self.trim();
        requests.into_iter().filter(|request| self.clears(request, now_ms)).collect()
    }

    /// Records that an endpoint answered a request completely. Returns whether the caller has to
    /// report that, because the request is in quarantine or about to be.
    pub fn answered(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        self.answered.add(request, now_ms);
        self.clears(request, now_ms)
    }

    /// Whether to clear a request that is in quarantine, or would be after one more crash. True
    /// only once per answer.
    fn clears(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        let is_close =
            self.about.contains_key(request) && self.ended(request).len() + 1 >= self.limits.ended;
        is_close && self.answered.take(request, now_ms.saturating_sub(RECENT))
    }

    /// Endpoint instances that crashed with a request since it was last answered completely, with
    /// the second of the report.
    fn ended(&self, request: &Fingerprint) -> HashMap<&Arc<str>, u64> {
        let names = self.about.get(request).into_iter().flatten();
        let about: Vec<&Known> = names.filter_map(|name| self.reports.get(name)).collect();
        let answers = about.iter().filter(|known| known.report.finding == Finding::Answered);
        let cleared = answers.map(|known| known.order).max().unwrap_or_default();
        let since = about.iter().filter(|known| known.order > cleared);
        let ends = since.filter_map(|known| match &known.report.finding {
            Finding::Ended { endpoint } => Some((endpoint, known.report.at_s)),
            Finding::Answered => None,
        });
        ends.collect()
    }

    /// Whether a request may be run. `unproved` are endpoint instances that may have crashed with
    /// it. They never put it in quarantine, because a quarantine lasts long and they are confirmed
    /// within milliseconds.
    pub fn verdict(&self, request: &Fingerprint, unproved: &[Arc<str>], now_s: u64) -> Verdict {
        let keep_s = self.limits.keep_s;
        let mut ended = self.ended(request);
        ended.retain(|_, at| *at + keep_s > now_s);
        let proved = ended.len();
        let open: BTreeSet<_> = unproved.iter().filter(|life| !ended.contains_key(life)).collect();
        match proved {
            _ if proved >= self.limits.ended => {
                let mut seconds: Vec<u64> = ended.into_values().collect();
                seconds.sort_unstable();
                // The quarantine ends when so many crashes have expired that one fewer than needed
                // is left.
                let last = seconds[proved - self.limits.ended];
                Verdict::Quarantined { for_s: (last + keep_s).saturating_sub(now_s) }
            }
            _ if proved + open.len() >= self.limits.ended => Verdict::Unconfirmed { ended: proved },
            0 => Verdict::Allowed,
            _ => Verdict::Suspect { ended: proved },
        }
    }

    /// Whether a report is known and not expired.
    pub fn contains(&self, name: &str) -> bool {
        self.reports.contains_key(name)
    }

    pub fn len(&self) -> usize {
        self.reports.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Number of quarantined requests.
    pub fn quarantined(&self) -> usize {
        self.about.keys().filter(|request| self.is_quarantined(request)).count()
    }

    fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.ended(request).len() >= self.limits.ended
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now_s: u64) {
        let keep_s = self.limits.keep_s;
        let old = self.reports.iter().filter(|(_, known)| is_old(&known.report, keep_s, now_s));
        let old: Vec<Arc<str>> = old.map(|(name, _)| name.clone()).collect();
        old.iter().for_each(|name| self.forget(name));
    }

    /// Removes a report.
    pub fn forget(&mut self, name: &str) {
        let Some(known) = self.reports.remove(name) else { return };
        for request in &known.report.requests {
            if let Some(names) = self.about.get_mut(request) {
                names.remove(name);
            }
            if self.about.get(request).is_some_and(BTreeSet::is_empty) {
                self.about.remove(request);
            }
        }
    }

    /// Drops a quarter of the reports once there are too many, so that this happens rarely.
    fn trim(&mut self) {
        if self.reports.len() <= MOST_REPORTS {
            return;
        }
        let contains =
            |known: &Known| known.report.requests.iter().any(|it| self.is_quarantined(it));
        let rank = |known: &Known| (contains(known), known.order);
        let ranked = self.reports.iter().map(|(name, known)| (rank(known), name.clone()));
        let mut ranked: Vec<((bool, _), Arc<str>)> = ranked.collect();
        ranked.sort();
        ranked.iter().take(MOST_REPORTS / 4).for_each(|(_, name)| self.forget(name));
    }
}

/// Whether a report is expired. One from far in the future counts as expired, because it would
/// not expire in time.
fn is_old(report: &Report, keep_s: u64, now_s: u64) -> bool {
    report.at_s + keep_s <= now_s || report.at_s > now_s + keep_s
}
