//! All crash reports that a box knows, and the verdicts that follow from them.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::{
    Finding, Fingerprint, Part, Prompt, Report,
    answered::{AnsweredParts, RecentAnswers},
    suspicion::{MAX_REPORT_PROMPTS, Suspicion},
};

/// Maximum number of reports kept, under 1 MB where each names ten requests. Those that keep a request in quarantine or hold a part are dropped last, so
/// that many unrelated crashes do not free it.
const MAX_REPORTS: usize = 1_024;
/// Reports that are kept for each part that is held, before all others.
const MAX_NEEDED: usize = 8;
/// Maximum number of requests that are read from one report; more than an endpoint runs at once.
const MAX_REPORT_REQUESTS: usize = 256;
/// Maximum number of parts of prompts that are remembered, some 200 bytes each.
const MAX_PARTS: usize = 8_192;
/// How long a complete answer clears a request, in milliseconds: longer than callers wait and
/// retry.
const ANSWER_TTL_MS: u64 = 60_000;
/// Order of a report that the store has not confirmed yet: later than all that it has.
const UNSTORED_ORDER: u64 = u64::MAX;

/// When a request is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Number of crashed endpoints from which on a request is quarantined.
    pub crashes: usize,
    /// How long each crash counts, in seconds.
    pub keep_s: u64,
}

/// Whether a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be run.
    Allowed,
    /// It may be run, although `crashes` endpoints crashed with it.
    Suspect { crashes: usize },
    /// It depends on possible crashes that are not confirmed yet, in addition to `crashes`
    /// confirmed ones.
    Unconfirmed { crashes: usize },
    /// It must not be run for `for_s` seconds.
    Quarantined { for_s: u64 },
}

#[derive(Debug)]
struct Entry {
    report: Report,
    /// Version in the store, then order of arrival: the order in which things happened.
    order: (u64, u64),
}

/// All crash reports that a box knows.
#[derive(Debug)]
pub struct Registry {
    limits: Limits,
    reports: HashMap<Arc<str>, Entry>,
    /// Names of the reports that name a request.
    by_request: HashMap<Fingerprint, BTreeSet<Arc<str>>>,
    answered: RecentAnswers,
    answered_parts: AnsweredParts,
    /// What the reports say of parts of prompts.
    suspicion: Suspicion,
    arrivals: u64,
}

impl Registry {
    pub fn new(limits: Limits) -> Registry {
        let (reports, by_request, answered, answered_parts, suspicion) = Default::default();
        Registry { limits, reports, by_request, answered, answered_parts, suspicion, arrivals: 0 }
    }

    /// Adds a report, with its version if it comes from the store. Returns the requests in it that
    /// this box knows to be innocent, each only once: the caller has to report them as answered.
    pub fn add_report(
        &mut self,
        name: &Arc<str>,
        version: Option<u64>,
        mut report: Report,
        now_s: u64,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        self.expire(now_s);
        if is_expired(&report, self.limits.keep_s, now_s) {
            return Vec::new();
        }
        match self.reports.get_mut(name) {
            Some(entry) => {
                entry.order.0 = version.unwrap_or(entry.order.0);
                return Vec::new();
            }
            None => self.arrivals += 1,
        }
        report.requests.truncate(MAX_REPORT_REQUESTS);
        report.prompts.truncate(MAX_REPORT_PROMPTS);
        self.suspicion.add(&report);
        if matches!(report.finding, Finding::Ended { .. }) {
            let prompts = report.prompts.iter().chain(&report.excused).take(MAX_REPORT_PROMPTS);
            prompts.for_each(|prompt| self.answered_parts.note_crash(prompt, now_ms));
        }
        for request in &report.requests {
            self.by_request.entry(request.clone()).or_default().insert(name.clone());
        }
        let requests = report.requests.clone();
        let order = (version.unwrap_or(UNSTORED_ORDER), self.arrivals);
        self.reports.insert(name.clone(), Entry { report, order });
        self.trim();
        requests.into_iter().filter(|request| self.take_clearance(request, now_ms)).collect()
    }

    /// Records that an endpoint answered a request completely. Returns whether the caller has to
    /// report that, because the request is in quarantine or about to be.
    pub fn answered(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        self.answered.add(request, now_ms);
        self.take_clearance(request, now_ms)
    }

    /// Whether to clear a request that is in quarantine, or would be after one more crash. True
    /// only once per answer.
    fn take_clearance(&mut self, request: &Fingerprint, now_ms: u64) -> bool {
        let is_near_quarantine = self.by_request.contains_key(request)
            && self.crashed_with(request).len() + 1 >= self.limits.crashes;
        is_near_quarantine && self.answered.take(request, now_ms.saturating_sub(ANSWER_TTL_MS))
    }

    /// Endpoint instances that crashed with a request since it was last answered completely, each
    /// with the Unix time of a report in seconds.
    fn crashed_with(&self, request: &Fingerprint) -> HashMap<&Arc<str>, u64> {
        let names = self.by_request.get(request).into_iter().flatten();
        let entries: Vec<&Entry> = names.filter_map(|name| self.reports.get(name)).collect();
        let answers = entries.iter().filter(|entry| entry.report.finding == Finding::Answered);
        let cleared_at = answers.map(|entry| entry.order).max().unwrap_or_default();
        let later = entries.iter().filter(|entry| entry.order > cleared_at);
        let crashes = later.filter_map(|entry| match &entry.report.finding {
            Finding::Ended { endpoint } => Some((endpoint, entry.report.at_s)),
            Finding::Answered | Finding::Harmless { .. } => None,
        });
        crashes.collect()
    }

    /// Whether a request may be run. `unconfirmed` are endpoint instances that may have crashed with
    /// it. They never put it in quarantine, because a quarantine lasts long and they are confirmed
    /// within milliseconds.
    pub fn verdict(&self, request: &Fingerprint, unconfirmed: &[Arc<str>], now_s: u64) -> Verdict {
        let keep_s = self.limits.keep_s;
        let mut crashes = self.crashed_with(request);
        crashes.retain(|_, at| *at + keep_s > now_s);
        let confirmed = crashes.len();
        let pending: BTreeSet<_> =
            unconfirmed.iter().filter(|instance| !crashes.contains_key(instance)).collect();
        match confirmed {
            _ if confirmed >= self.limits.crashes => {
                let mut seconds: Vec<u64> = crashes.into_values().collect();
                seconds.sort_unstable();
                // The quarantine ends when so many crashes have expired that one fewer than needed
                // is left.
                let last = seconds[confirmed - self.limits.crashes];
                Verdict::Quarantined { for_s: (last + keep_s).saturating_sub(now_s) }
            }
            _ if confirmed + pending.len() >= self.limits.crashes => {
                Verdict::Unconfirmed { crashes: confirmed }
            }
            0 => Verdict::Allowed,
            _ => Verdict::Suspect { crashes: confirmed },
        }
    }

    /// The part for which a prompt must not be run, and for how many more seconds.
    pub fn held_part(&self, prompt: &Prompt, now_s: u64) -> Option<(Part, u64)> {
        let Limits { crashes, keep_s } = self.limits;
        self.suspicion.held(prompt, crashes, keep_s, now_s)
    }

    /// Records that an endpoint answered a prompt completely.
    pub fn record_answer(&mut self, prompt: &Prompt, now_ms: u64) {
        self.answered_parts.add(prompt, now_ms);
    }

    /// What of prompts that an endpoint had when it crashed is to be accused in a report of this box, and what is
    /// excused.
    pub fn judge(&mut self, prompts: &[Prompt], now_ms: u64) -> (Vec<Prompt>, Vec<Prompt>) {
        let (mut accused, mut excused) = (Vec::new(), Vec::new());
        for prompt in prompts {
            let (of_excused, others) =
                prompt.split(|part| self.answered_parts.excuses(part, now_ms));
            excused.extend(of_excused);
            accused.extend(others);
        }
        for found in [&mut accused, &mut excused] {
            found.sort_unstable();
            found.dedup();
        }
        (accused, excused)
    }

    /// The crashed endpoints of which the caller has to report the parts of a prompt harmless, which an endpoint has
    /// answered completely.
    pub fn prompt_answered(&self, prompt: &Prompt) -> Vec<Arc<str>> {
        self.suspicion.cleared_by(prompt)
    }

    /// Number of parts that are remembered.
    pub fn parts(&self) -> usize {
        self.suspicion.parts()
    }

    /// Number of parts that are suspect of enough crashes to be held.
    pub fn suspect_parts(&self) -> usize {
        self.suspicion.suspects(self.limits.crashes)
    }

    /// Number of reports that have arrived.
    pub fn arrivals(&self) -> u64 {
        self.arrivals
    }

    /// Whether a report with this finding has arrived after that many others.
    pub fn has_arrived_after(&self, finding: &Finding, arrivals: u64) -> bool {
        let mut later = self.reports.values().filter(|entry| entry.order.1 > arrivals);
        later.any(|entry| entry.report.finding == *finding)
    }

    /// Whether a report has this finding.
    pub fn has(&self, finding: &Finding) -> bool {
        self.reports.values().any(|entry| entry.report.finding == *finding)
    }

    /// Whether a report is known.
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
        self.by_request.keys().filter(|request| self.is_quarantined(request)).count()
    }

    fn is_quarantined(&self, request: &Fingerprint) -> bool {
        self.crashed_with(request).len() >= self.limits.crashes
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now_s: u64) {
        let keep_s = self.limits.keep_s;
        let expired =
            self.reports.iter().filter(|(_, entry)| is_expired(&entry.report, keep_s, now_s));
        let expired: Vec<Arc<str>> = expired.map(|(name, _)| name.clone()).collect();
        self.forget_all(expired);
    }

    /// Removes a report.
    pub fn forget(&mut self, name: &str) {
        self.forget_all([name.into()]);
    }

    fn forget_all(&mut self, names: impl IntoIterator<Item = Arc<str>>) {
        let before = self.reports.len();
        names.into_iter().for_each(|name| self.remove(&name));
        if self.reports.len() == before {
            return;
        }
        self.suspicion = Suspicion::default();
        self.reports.values().for_each(|entry| self.suspicion.add(&entry.report));
    }

    fn remove(&mut self, name: &str) {
        let Some(entry) = self.reports.remove(name) else { return };
        for request in &entry.report.requests {
            if let Some(names) = self.by_request.get_mut(request) {
                names.remove(name);
            }
            if self.by_request.get(request).is_some_and(BTreeSet::is_empty) {
                self.by_request.remove(request);
            }
        }
    }

    /// Drops a quarter of the reports once there are too many, so that this happens rarely.
    fn trim(&mut self) {
        if self.reports.len() <= MAX_REPORTS && self.suspicion.parts() <= MAX_PARTS {
            return;
        }
        let mut oldest: Vec<(&Arc<str>, &Entry)> = self.reports.iter().collect();
        oldest.sort_by_key(|(_, entry)| entry.order);
        let mut needed = Needed::default();
        for (_, entry) in &oldest {
            needed.count(self.held_in(&entry.report));
        }
        let keeps = |entry: &Entry| entry.report.requests.iter().any(|it| self.is_quarantined(it));
        let (mut droppable, mut last) = (Vec::new(), Vec::new());
        for (name, entry) in oldest {
            let is_needed = keeps(entry) || needed.keep(self.held_in(&entry.report));
            let group = if is_needed { &mut last } else { &mut droppable };
            group.push(name.clone());
        }
        droppable.extend(last);
        let dropped = droppable.len().div_ceil(4);
        self.forget_all(droppable.into_iter().take(dropped));
    }

    /// The parts that a report accuses and that are suspect of enough crashes to be held.
    fn held_in(&self, report: &Report) -> BTreeSet<Part> {
        let accuses = matches!(report.finding, Finding::Ended { .. });
        let parts = report.prompts.iter().filter(|_| accuses).flat_map(Prompt::parts);
        let parts: BTreeSet<Part> = parts.collect();
        let is_held = |part: &Part| self.suspicion.count(part) >= self.limits.crashes;
        parts.into_iter().filter(is_held).collect()
    }
}

/// How many reports there are for each part that is held. As many as hold it longest are needed.
#[derive(Default)]
struct Needed(HashMap<Part, usize>);

impl Needed {
    fn count(&mut self, parts: BTreeSet<Part>) {
        parts.into_iter().for_each(|part| *self.0.entry(part).or_default() += 1);
    }

    /// Whether a report with these parts has to be kept; if not, it no longer counts.
    fn keep(&mut self, parts: BTreeSet<Part>) -> bool {
        if parts.iter().any(|part| self.0.get(part).is_some_and(|count| *count <= MAX_NEEDED)) {
            return true;
        }
        parts.iter().for_each(|part| *self.0.entry(part.clone()).or_default() -= 1);
        false
    }
}

/// Whether a report is expired. One from far in the future counts as expired, because it would
/// not expire in time.
fn is_expired(report: &Report, keep_s: u64, now_s: u64) -> bool {
    report.at_s + keep_s <= now_s || report.at_s > now_s + keep_s
}
