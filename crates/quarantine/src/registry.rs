//! All reports that a box knows, and what follows from them for a request.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::{Finding, Fingerprint, Report, answered::Answered};

/// Reports kept at most, under 1 MB by arithmetic where each names ten requests. Those that keep a request in quarantine go
/// last, so that a wave of other ends does not set it free.
const MOST_REPORTS: usize = 1_024;
/// Requests of one report that are read: more than an endpoint works on at once.
const MOST_REQUESTS: usize = 256;
/// Time for which a whole answer speaks for a request that endpoints end with, in milliseconds: longer than the
/// callers of one request wait and try again.
const RECENT: u64 = 60_000;
/// Order of a report that the store has not taken yet: it is newer than all that it took.
const NEWEST: u64 = u64::MAX;

/// When a request is not run any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Endpoints that ended with it.
    pub ended: usize,
    /// Time for which each of them counts, in seconds.
    pub keep_s: u64,
}

/// What follows for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be run.
    Allowed,
    /// It may be run, though so many endpoints ended with it.
    Suspect { ended: usize },
    /// Whether it may be run hangs on ends that are not proved yet, beside this many that are.
    Unconfirmed { ended: usize },
    /// It is not run for so many seconds.
    Quarantined { for_s: u64 },
}

#[derive(Debug)]
struct Known {
    report: Report,
    /// Version of the store and number of arrival: the order in which things happened.
    order: (u64, u64),
}

/// All reports that a box knows.
#[derive(Debug)]
pub struct Registry {
    limits: Limits,
    reports: HashMap<Arc<str>, Known>,
    /// Names of the reports about a request.
    about: HashMap<Fingerprint, BTreeSet<Arc<str>>>,
    answered: Answered,
    arrivals: u64,
}

impl Registry {
    /// Nothing is known yet.
    pub fn new(limits: Limits) -> Registry {
        let (reports, about, answered) = Default::default();
        Registry { limits, reports, about, answered, arrivals: 0 }
    }

    /// Takes over a report, with the version that the store gave it if it has one. Returns which of its
    /// requests this box knows to be innocent, each once: the others are to be told.
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

    /// An endpoint answered a request whole; says whether the others are to be told.
    pub fn answered(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        self.answered.add(request, now_ms);
        self.clears(request, now_ms)
    }

    /// Whether this box may clear a request that is, or is about to be, in quarantine.
    fn clears(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        let is_close =
            self.about.contains_key(request) && self.ended(request).len() + 1 >= self.limits.ended;
        is_close && self.answered.take(request, now_ms.saturating_sub(RECENT))
    }

    /// Lives of endpoints that ended with a request since it was answered whole, with the second of the report.
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

    /// What follows for a request, beside lives of endpoints of which it is not known yet whether they ended
    /// with it. Those never put it in quarantine: that holds for a day, and they are known within milliseconds.
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
                // Until so many are too old that the rest is one less than what it takes.
                let last = seconds[proved - self.limits.ended];
                Verdict::Quarantined { for_s: (last + keep_s).saturating_sub(now_s) }
            }
            _ if proved + open.len() >= self.limits.ended => Verdict::Unconfirmed { ended: proved },
            0 => Verdict::Allowed,
            _ => Verdict::Suspect { ended: proved },
        }
    }

    /// Whether a report counts.
    pub fn contains(&self, name: &str) -> bool {
        self.reports.contains_key(name)
    }

    /// Number of reports that count.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether no report counts.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Number of requests that are not run any more.
    pub fn quarantined(&self) -> usize {
        self.about.keys().filter(|request| self.is_quarantined(request)).count()
    }

    fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.ended(request).len() >= self.limits.ended
    }

    /// Reports that are too old count no more.
    pub fn expire(&mut self, now_s: u64) {
        let keep_s = self.limits.keep_s;
        let old = self.reports.iter().filter(|(_, known)| is_old(&known.report, keep_s, now_s));
        let old: Vec<Arc<str>> = old.map(|(name, _)| name.clone()).collect();
        old.iter().for_each(|name| self.forget(name));
    }

    /// A report counts no more.
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

    /// Drops a quarter of what is kept once it is too much, so that this is seldom.
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

/// Whether a report is too old to count; one from a clock that is far ahead never would be.
fn is_old(report: &Report, keep_s: u64, now_s: u64) -> bool {
    report.at_s + keep_s <= now_s || report.at_s > now_s + keep_s
}
