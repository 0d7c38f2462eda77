//! Whether requests at endpoints in trouble ran once, and not after a refusal.

use std::{collections::HashMap, time::Duration};

use http::StatusCode;
use tokio::time::Instant;

use super::{route::Route, work::Work};
use crate::{call::Incarnation, verdict::Violation};

/// Time in which the work at an engine has to end once the request goes on at another one; a bound of the platform.
const OVERLAP_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a box that was disturbed does not count as in touch; a bound of the platform.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// One try of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Try {
    /// Number of the call, which all its tries share.
    pub call: u64,
    pub route: Route,
    /// Id of the request.
    pub id: String,
    pub incarnation: Incarnation,
    pub sent: Instant,
    /// Status of the response; `None` if there was none.
    pub status: Option<StatusCode>,
}

impl Try {
    /// Whether its caller was told that it has not run and never will.
    pub fn is_refused(&self) -> bool {
        self.status.is_some_and(|status| matches!(status.as_u16(), 408 | 421 | 429 | 503))
    }
}

/// A time in which a box may not end what it sent to endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Absence {
    pub box_index: usize,
    pub from: Instant,
    pub until: Instant,
}

/// All violations: `absences` are times in which boxes were not in touch.
pub fn violations(tries: &[Try], work: &[Work], absences: &[Absence]) -> Vec<Violation> {
    let mut by_id: HashMap<&str, Vec<&Work>> = HashMap::new();
    work.iter().for_each(|work| by_id.entry(&work.id).or_default().push(work));
    let mut found = Vec::new();
    let mut add = |guarantee, detail| found.push(Violation { guarantee, detail });
    let mut runs_of_call: HashMap<u64, (usize, &Try)> = HashMap::new();
    for (index, one) in tries.iter().enumerate() {
        let next_sent =
            tries[index + 1..].iter().find(|next| next.id == one.id).map(|next| next.sent);
        let of_id = by_id.get(&*one.id).map_or(&[][..], Vec::as_slice);
        let is_of_try = |work: &&&Work| {
            work.from >= one.sent && next_sent.is_none_or(|next_sent| work.from < next_sent)
        };
        let runs: Vec<&Work> = of_id.iter().filter(is_of_try).copied().collect();
        if let (true, [first, ..]) = (one.is_refused(), &*runs) {
            let (id, box_index, at) = (&one.id, one.incarnation, &first.endpoint);
            let (route, late) = (one.route.name(), first.from - one.sent);
            add(
                "a refused request has not run and never will",
                format!(
                    "{id} on {route} of {box_index:?} got {:?}, ran at {at} {late:?} after it was sent",
                    one.status
                ),
            );
        }
        let (count, _) = runs_of_call.entry(one.call).or_insert((0, one));
        *count += runs.len();
        for (index, second) in runs.iter().enumerate() {
            let beside = runs[..index].iter().find(|first| overlaps(first, second, one, absences));
            if let Some(first) = beside {
                let for_long =
                    first.until.map(|until| until.saturating_duration_since(second.from));
                add(
                    "a request goes on at another engine only once the first one has ended",
                    format!(
                        "{} of {:?} was at {} for {for_long:?} more when {} began",
                        one.id, one.incarnation, first.endpoint, second.endpoint
                    ),
                );
            }
        }
    }
    let once =
        runs_of_call.into_values().filter(|(count, one)| *count > 1 && !one.route.is_repeatable());
    once.for_each(|(count, one)| {
        add(
            "unrepeatable requests run at most once",
            format!(
                "call {} on {}, first as {}, ran {count} times",
                one.call,
                one.route.name(),
                one.id
            ),
        );
    });
    found
}

/// Whether an engine was still at work on a request 400 ms after another engine began, although the box was in touch.
fn overlaps(first: &Work, second: &Work, one: &Try, absences: &[Absence]) -> bool {
    let limit = second.from + OVERLAP_TIMEOUT;
    let is_absent = |absence: &Absence| {
        absence.box_index == one.incarnation.box_index
            && absence.from <= limit
            && absence.until + CONTACT_TIME >= first.from
    };
    first.is_engine
        && first.endpoint != second.endpoint
        && first.until.is_none_or(|until| until > limit)
        && !absences.iter().any(is_absent)
}
