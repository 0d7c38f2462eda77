//! Requests and parts of prompts that endpoints answered completely a short while ago.

use std::collections::{HashMap, VecDeque};

use crate::{Fingerprint, Part, Prompt};

/// Maximum number of remembered requests, about 90 bytes each. Covers more than a minute at the
/// request rates expected of one box.
const MAX_REQUESTS: usize = 2_048;

/// Requests with the time of their last complete answer, in milliseconds of a clock that includes
/// suspensions.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answered_at: HashMap<Fingerprint, u64>,
    order: VecDeque<(u64, Fingerprint)>,
}

impl RecentAnswers {
    /// Records a complete answer.
    pub fn add(&mut self, request: &Fingerprint, now: u64) {
        self.answered_at.insert(request.clone(), now);
        self.order.push_back((now, request.clone()));
        while self.order.len() > MAX_REQUESTS {
            let Some((at, oldest)) = self.order.pop_front() else { return };
            // A request that was answered again has a later entry in `order`.
            if self.answered_at.get(&oldest) == Some(&at) {
                self.answered_at.remove(&oldest);
            }
        }
    }

    /// Removes a request if it was answered at `since` or later; returns whether it was.
    pub fn take(&mut self, request: &Fingerprint, since: u64) -> bool {
        let is_recent = self.answered_at.get(request).is_some_and(|at| *at >= since);
        is_recent && self.answered_at.remove(request).is_some()
    }
}

/// Maximum number of remembered parts, about 90 bytes each.
const MAX_ANSWERED_PARTS: usize = 4_096;
/// How long a complete answer speaks for the parts of its prompt, in milliseconds.
const PART_TTL_MS: u64 = 60_000;
/// Time within which crashes count as one event, in milliseconds: that of a few boxes to notice all endpoints
/// that one cause took down. Short, so that a part that begins to crash endpoints soon stands alone.
const EVENT_MS: u64 = 500;

/// Parts of prompts that were answered before the crashes that this box reports.
///
/// If many endpoints crash at one moment, what they had in common need not be the cause: what all prompts share was at
/// all of them, and no answer after the crashes can clear it, as none is left to give one. A part that was answered
/// until then is not accused of crashes at the first moment after its last answer. One that crashes whatever
/// answers it has no such answer; one that begins to is accused from the second moment on.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    parts: HashMap<Part, LastAnswer>,
}

#[derive(Debug)]
struct LastAnswer {
    at_ms: u64,
    /// When the first crash after it was reported.
    crash_ms: Option<u64>,
}

impl AnsweredParts {
    /// Records a complete answer to a prompt.
    pub fn add(&mut self, prompt: &Prompt, now_ms: u64) {
        for part in prompt.parts() {
            self.parts.insert(part, LastAnswer { at_ms: now_ms, crash_ms: None });
        }
        if self.parts.len() > MAX_ANSWERED_PARTS {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<u64> = self.parts.values().map(|answer| answer.at_ms).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|_, answer| answer.at_ms > median);
    }

    /// Records that an endpoint crashed that had a prompt.
    pub fn note_crash(&mut self, prompt: &Prompt, now_ms: u64) {
        for part in prompt.parts() {
            if let Some(answer) = self.parts.get_mut(&part) {
                answer.crash_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Whether a part is not to be accused of a crash that this box reports now.
    pub fn excuses(&mut self, part: &Part, now_ms: u64) -> bool {
        let Some(answer) = self.parts.get_mut(part) else { return false };
        let crash_ms = *answer.crash_ms.get_or_insert(now_ms);
        let is_first_event = now_ms.saturating_sub(crash_ms) <= EVENT_MS;
        is_first_event && now_ms.saturating_sub(answer.at_ms) <= PART_TTL_MS
    }
}
