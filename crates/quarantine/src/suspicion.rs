//! Which parts of prompts crash endpoints.
//!
//! A part is suspect of each crash of an endpoint that had a prompt with it, until a prompt with it was answered
//! completely after that crash. A part that crashes whatever answers it is never cleared; the others are as soon as they
//! are answered without it.
//!
//! Parts that nothing sound was answered with since the crashes are suspect beside it. A prompt is refused only if none
//! of the suspects that it lacks explains the crashes: if such a one was in a prompt together with it each time, the
//! prompt is run, and its answer or its crash decides.
//!
//! Facts only add up: they may arrive twice, late, in any order.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use crate::{Finding, Part, Prompt, Report};

/// Maximum number of prompts that are read from one report.
pub const MAX_REPORT_PROMPTS: usize = 64;
/// How long a part is held, in seconds after its last crash, for the least number of crashes that holds it and for one
/// more; then as long as crashes count. Then prompts with it are tried again.
const FIRST_HOLDS_S: [u64; 2] = [60, 600];

/// Crashes of endpoint instances with the prompts that they had, and the parts that are cleared of them.
#[derive(Debug, Default)]
pub struct Suspicion {
    crashes: HashMap<Arc<str>, Crash>,
    /// Instances whose crash a part was reported in, by part.
    accused: HashMap<Part, BTreeSet<Arc<str>>>,
    /// Instances of whose crash a part is cleared.
    cleared: HashMap<Part, BTreeSet<Arc<str>>>,
}

#[derive(Debug, Default)]
struct Crash {
    prompts: BTreeSet<Prompt>,
    /// Unix time in seconds.
    at_s: u64,
}

impl Suspicion {
    /// Adds what a report says of prompts.
    pub fn add(&mut self, report: &Report) {
        let prompts = report.prompts.iter().take(MAX_REPORT_PROMPTS);
        match &report.finding {
            Finding::Ended { endpoint } => prompts.for_each(|prompt| {
                let crash = self.crashes.entry(endpoint.clone()).or_default();
                crash.at_s = crash.at_s.max(report.at_s);
                if crash.prompts.insert(prompt.clone()) {
                    for part in prompt.parts() {
                        self.accused.entry(part).or_default().insert(endpoint.clone());
                    }
                }
            }),
            Finding::Harmless { endpoints } => prompts.for_each(|prompt| {
                for part in prompt.parts() {
                    self.cleared.entry(part).or_default().extend(endpoints.iter().cloned());
                }
            }),
            Finding::Answered => {}
        }
    }

    /// Number of different parts that are remembered.
    pub fn parts(&self) -> usize {
        self.accused.len() + self.cleared.len()
    }

    /// Instances whose crash a part may have caused, with the Unix time in seconds.
    fn suspected_of(&self, part: &Part) -> BTreeMap<&Arc<str>, u64> {
        let cleared = self.cleared.get(part);
        let accused = self.accused.get(part).into_iter().flatten();
        accused
            .filter(|instance| cleared.is_none_or(|cleared| !cleared.contains(*instance)))
            .filter_map(|instance| Some((instance, self.crashes.get(instance)?.at_s)))
            .collect()
    }

    fn is_suspected_of(&self, part: &Part, instance: &Arc<str>) -> bool {
        let contains = |parts: &HashMap<Part, BTreeSet<Arc<str>>>| {
            parts.get(part).is_some_and(|instances| instances.contains(instance))
        };
        contains(&self.accused) && !contains(&self.cleared)
    }

    /// Number of crashes that a part is suspect of.
    pub fn count(&self, part: &Part) -> usize {
        self.suspected_of(part).len()
    }

    /// Instances of whose crash a complete answer to a prompt clears its parts. A part that waits to be cleared until more
    /// crashes are counted may find no answer between them.
    pub fn cleared_by(&self, prompt: &Prompt) -> Vec<Arc<str>> {
        if self.accused.is_empty() {
            return Vec::new();
        }
        let suspected = |part| self.suspected_of(&part).into_keys().cloned().collect::<Vec<_>>();
        let instances: BTreeSet<Arc<str>> = prompt.parts().flat_map(suspected).collect();
        instances.into_iter().collect()
    }

    /// The part for which a prompt must not be run, and for how many more seconds. A part is held from `limit` crashes
    /// on; each counts for `keep_s`.
    pub fn held(
        &self,
        prompt: &Prompt,
        limit: usize,
        keep_s: u64,
        now_s: u64,
    ) -> Option<(Part, u64)> {
        if self.accused.is_empty() {
            return None;
        }
        prompt.parts().find_map(|part| {
            let mut crashes = self.suspected_of(&part);
            crashes.retain(|_, at_s| *at_s + keep_s > now_s);
            let hold_s = hold_s(crashes.len().checked_sub(limit)?, keep_s);
            let until_s = crashes.values().max()? + hold_s;
            let is_held = until_s > now_s && !self.is_explained(&part, &crashes, prompt);
            is_held.then(|| (part, until_s - now_s))
        })
    }

    /// Whether a suspect part that the prompt lacks was in a prompt together with this one at each crash.
    fn is_explained(
        &self,
        part: &Part,
        crashes: &BTreeMap<&Arc<str>, u64>,
        prompt: &Prompt,
    ) -> bool {
        let beside = |instance: &&Arc<str>| -> BTreeSet<Part> {
            let prompts = &self.crashes[*instance].prompts;
            let with_it = prompts.iter().filter(|other| other.contains(part));
            let others = with_it.flat_map(Prompt::parts).filter(|other| !prompt.contains(other));
            others.filter(|other| self.is_suspected_of(other, instance)).collect()
        };
        let mut instances = crashes.keys();
        let Some(mut common) = instances.next().map(beside) else { return false };
        for instance in instances {
            if common.is_empty() {
                return false;
            }
            let here = beside(instance);
            common.retain(|part| here.contains(part));
        }
        !common.is_empty()
    }

    /// Number of parts that are suspect of at least `limit` crashes.
    pub fn suspects(&self, limit: usize) -> usize {
        self.accused.keys().filter(|part| self.count(part) >= limit).count()
    }
}

/// How long a part is held that is suspect of this many crashes beyond the limit.
fn hold_s(beyond: usize, keep_s: u64) -> u64 {
    FIRST_HOLDS_S.get(beyond).map_or(keep_s, |hold_s| keep_s.min(*hold_s))
}
