//! Checks the guarantees of the daemon against the calls, the runs at endpoints and the store.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use http::StatusCode;
use ledger::{Bill, Book};
use tokio::time::Instant;

use crate::{
    call::{Call, Incarnation, Outcome, Route},
    endpoint::{Arrival, Behavior, Id, Run},
    life::Trace,
    loss,
};

/// Time after which a connected box sends no more requests to a leaving endpoint: 2 s, plus a call
/// that was in flight.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for a box to apply a limit or a back-off after the response that carries it; a bound of the
/// platform.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time from the first response with a limit until the limit binds all boxes together; a bound of
/// the platform.
const LIMIT_SHARING_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a box to stop sending to an endpoint after a response that announces that it leaves.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of requests of a box that may reach an endpoint during a back-off that the
/// endpoint asked of that box.
const MAX_SENT_IN_BACK_OFF: usize = 2;
/// Time in which a call ends after the run closed the connection on which it ran.
const BREAK_TIMEOUT: Duration = Duration::from_millis(100);
/// Window in which arrivals are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Arrivals allowed in a window: the limit times this factor, plus a constant number of requests.
const LIMIT_FACTOR: f64 = 1.5;
const EXTRA_REQUESTS: f64 = 5.0;

/// Everything that a run recorded.
pub struct Evidence<'a> {
    pub calls: &'a [Call],
    pub runs: &'a [Run],
    pub book: &'a Book,
    pub bills: &'a [Bill],
    /// Tokens that each customer has paid for at the end of the run.
    pub paid: u64,
    /// Planned stops: when the signal was sent, and until when the box accepts requests.
    pub stopped: &'a BTreeMap<Incarnation, (Instant, Instant)>,
    /// Planned stops that may break requests off, and from when on: the box has less time for them
    /// than a request may take.
    pub short_stops: &'a BTreeMap<Incarnation, Instant>,
    /// Incarnations that were killed or suspended: their connections may break.
    pub interrupted: &'a BTreeSet<Incarnation>,
    /// Runs of requests whose connections, from the box that carried them, the run itself closed, and when.
    pub cut_runs: &'a HashMap<Id, Instant>,
    /// What happened to each incarnation and to the store.
    pub trace: &'a Trace,
    /// Endpoints that left, and when the store recorded it.
    pub left: &'a BTreeMap<Arc<str>, Instant>,
    /// Periods in which boxes may miss changes.
    pub disturbances: &'a [Disturbance],
    /// Requests that reached endpoints that announce anything.
    pub arrivals: &'a HashMap<Arc<str>, Vec<Arrival>>,
}

/// A period in which a box may miss changes.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Number of the box; `None` means all boxes.
    pub box_index: Option<usize>,
    pub from: Instant,
    /// When the box is connected again.
    pub until: Instant,
}

/// A guarantee that was violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// The request, endpoint or ledger that violates it.
    pub detail: String,
}

/// Name of the customer that holds a key.
pub fn customer(key: &str) -> &'static str {
    if key == "key-b" { "bornova" } else { "pasila" }
}

/// All violations.
pub fn violations(evidence: &Evidence) -> Vec<Violation> {
    let checks: [(&'static str, Vec<String>); 11] = [
        ("no customer spends past what it paid", overspent(evidence)),
        ("what was served is spent in the book", missing_in_book(evidence)),
        ("each request is billed once", misbilled(evidence)),
        ("each caller gets its own complete response", wrong_responses(evidence)),
        ("a refused request has not run and never will", ran_despite_refusal(evidence)),
        ("unrepeatable requests run at most once", ran_repeatedly(evidence)),
        ("a leaving endpoint gets no new work", ran_after_leaving(evidence)),
        (
            "an endpoint that announces that it leaves gets no more requests",
            sent_after_announcement(evidence),
        ),
        ("a box observes the back-off that an endpoint asks for", sent_in_back_off(evidence)),
        ("all boxes together observe the rate limit of an endpoint", over_limit(evidence)),
        ("planned stops cut off nothing, configuration is never rolled back", cut_off(evidence)),
    ];
    let all = checks.into_iter().flat_map(|(guarantee, found)| {
        found.into_iter().map(move |detail| Violation { guarantee, detail })
    });
    all.collect()
}

fn served(evidence: &Evidence) -> BTreeMap<&'static str, u64> {
    let mut served = BTreeMap::new();
    let streams = evidence.calls.iter().filter(|call| call.route.is_stream());
    for call in streams {
        *served.entry(customer(call.key)).or_default() += call.served();
    }
    served
}

fn overspent(evidence: &Evidence) -> Vec<String> {
    let over = served(evidence).into_iter().filter(|(_, tokens)| *tokens > evidence.paid);
    over.map(|(name, tokens)| format!("{name}: {tokens} tokens served, {} paid", evidence.paid))
        .collect()
}

fn missing_in_book(evidence: &Evidence) -> Vec<String> {
    let booked = |name: &str| {
        let of = evidence.book.ledgers.get(name);
        of.map_or(0, |ledger| ledger.spent + ledger.granted())
    };
    let unsound = evidence.book.ledgers.iter().filter(|(_, ledger)| !ledger.is_sound());
    let unsound = unsound.map(|(name, ledger)| format!("{name} is unsound: {ledger:?}"));
    let less = served(evidence).into_iter().filter(|(name, tokens)| booked(name) < *tokens);
    let less = less.map(|(name, tokens)| {
        format!("{name}: {tokens} served, {} spent or granted", booked(name))
    });
    unsound.chain(less).collect()
}

fn misbilled(evidence: &Evidence) -> Vec<String> {
    let mut bills: HashMap<&str, usize> = HashMap::new();
    evidence.bills.iter().for_each(|bill| *bills.entry(&bill.key).or_default() += 1);
    let twice = bills.iter().filter(|(_, count)| **count > 1);
    let twice = twice.map(|(id, count)| format!("{id} is on {count} bills"));
    let lost = loss::find(evidence.calls, evidence.bills, evidence.trace);
    let missing = lost.into_iter().filter(|loss| !loss.is_excused());
    let missing = missing.map(|loss| loss.to_string());
    twice.chain(missing).collect()
}

fn wrong_responses(evidence: &Evidence) -> Vec<String> {
    let wrong = evidence.calls.iter().filter_map(|call| match &call.outcome {
        Outcome::Answered { is_correct: false, body } => {
            Some(format!("{}: {body:?}", call.id.text()))
        }
        Outcome::Answered { .. } if call.id.behavior() == Behavior::Truncated => {
            Some(format!("{}: truncated response was accepted as complete", call.id.text()))
        }
        _ => None,
    });
    wrong.collect()
}

fn ran_despite_refusal(evidence: &Evidence) -> Vec<String> {
    let ran: BTreeSet<Id> = evidence.runs.iter().map(|run| run.id).collect();
    let denies_run = |status: &StatusCode| matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let refused = evidence.calls.iter().filter_map(|call| match &call.outcome {
        Outcome::Refused(status) if denies_run(status) && ran.contains(&call.id) => {
            Some(format!("{}: refused with {status}, but it ran", call.id.text()))
        }
        _ => None,
    });
    refused.collect()
}

fn ran_repeatedly(evidence: &Evidence) -> Vec<String> {
    let mut runs: HashMap<Id, usize> = HashMap::new();
    evidence.runs.iter().for_each(|run| *runs.entry(run.id).or_default() += 1);
    let once = evidence.calls.iter().filter(|call| !call.route.is_repeatable());
    let twice = once.filter_map(|call| {
        let count = runs.get(&call.id).copied().unwrap_or_default();
        (count > 1).then(|| format!("{} ran {count} times", call.id.text()))
    });
    twice.collect()
}

fn ran_after_leaving(evidence: &Evidence) -> Vec<String> {
    let incarnations: HashMap<Id, Incarnation> =
        evidence.calls.iter().map(|call| (call.id, call.incarnation)).collect();
    let late = evidence.runs.iter().filter_map(|run| {
        let left = *evidence.left.get(&run.endpoint)?;
        let box_index = incarnations.get(&run.id)?.box_index;
        let concerns = |disturbance: &&Disturbance| {
            disturbance.box_index.is_none_or(|of| of == box_index) && disturbance.from < run.at
        };
        let connected =
            evidence.disturbances.iter().filter(concerns).map(|disturbance| disturbance.until);
        let connected = connected.fold(left, Instant::max);
        let late = run.at.checked_duration_since(connected + LEAVING_TIMEOUT)?;
        Some(format!("{} ran at {} {late:?} too late", run.id.text(), run.endpoint))
    });
    late.collect()
}

/// Requests that a box sent to an endpoint although an earlier response through the same box had
/// announced that the endpoint leaves. `ANNOUNCEMENT_TIMEOUT` counts from the end of the earlier
/// call to the start of the later one.
fn sent_after_announcement(evidence: &Evidence) -> Vec<String> {
    let calls: HashMap<Id, &Call> = evidence.calls.iter().map(|call| (call.id, call)).collect();
    let mut late = Vec::new();
    for (endpoint, arrived) in evidence.arrivals {
        let mut informed: HashMap<Incarnation, Instant> = HashMap::new();
        let known_arrivals =
            arrived.iter().filter_map(|arrival| Some((arrival, *calls.get(&arrival.id)?)));
        let announcing =
            known_arrivals.clone().filter(|(arrival, _)| arrival.leaves && arrival.answered);
        for (_, call) in announcing {
            let first = informed.entry(call.incarnation).or_insert(call.ended);
            *first = call.ended.min(*first);
        }
        late.extend(known_arrivals.filter_map(|(_, call)| {
            let after = call
                .sent
                .checked_duration_since(*informed.get(&call.incarnation)? + ANNOUNCEMENT_TIMEOUT)?;
            let was_interrupted = evidence.interrupted.contains(&call.incarnation);
            (!was_interrupted)
                .then(|| format!("{} reached {endpoint} {after:?} too late", call.id.text()))
        }));
    }
    late
}

/// Back-offs during which the box concerned sent more than `MAX_SENT_IN_BACK_OFF` requests to the
/// endpoint.
fn sent_in_back_off(evidence: &Evidence) -> Vec<String> {
    let incarnations: HashMap<Id, Incarnation> =
        evidence.calls.iter().map(|call| (call.id, call.incarnation)).collect();
    let mut found = Vec::new();
    for (endpoint, arrived) in evidence.arrivals {
        for arrival in arrived {
            let (Some(incarnation), Some(back_off)) =
                (incarnations.get(&arrival.id), arrival.back_off)
            else {
                continue;
            };
            let within = arrival.at + APPLY_TIMEOUT..arrival.at + back_off;
            let of_box =
                arrived.iter().filter(|other| incarnations.get(&other.id) == Some(incarnation));
            let count = of_box.filter(|other| within.contains(&other.at)).count();
            if count > MAX_SENT_IN_BACK_OFF && !evidence.interrupted.contains(incarnation) {
                found.push(format!(
                    "{endpoint} got {count} requests of {incarnation:?} in a back-off of {back_off:?}"
                ));
            }
        }
    }
    found
}

/// Endpoints that got more requests within a window than their limit allows.
fn over_limit(evidence: &Evidence) -> Vec<String> {
    let incarnations: HashMap<Id, Incarnation> =
        evidence.calls.iter().map(|call| (call.id, call.incarnation)).collect();
    let found = evidence.arrivals.iter().filter_map(|(endpoint, arrived)| {
        let arrivals = counted_arrivals(evidence, &incarnations, arrived);
        let over = |(first, (from, limit)): (usize, &(Instant, f64))| {
            let count =
                arrivals[first..].iter().filter(|(at, _)| *at < *from + LIMIT_WINDOW).count();
            let allowed = limit * LIMIT_WINDOW.as_secs_f64() * LIMIT_FACTOR + EXTRA_REQUESTS;
            (count as f64 > allowed)
                .then(|| format!("{endpoint} got {count} requests in 4 s, {allowed:.1} allowed"))
        };
        arrivals.iter().enumerate().find_map(over)
    });
    found.collect()
}

/// Arrivals at an endpoint that count against its limit: from boxes that had time to apply it and
/// were not disturbed.
fn counted_arrivals(
    evidence: &Evidence,
    incarnations: &HashMap<Id, Incarnation>,
    arrived: &[Arrival],
) -> Vec<(Instant, f64)> {
    let mut informed: HashMap<Incarnation, Instant> = HashMap::new();
    let mut announced_at: Option<Instant> = None;
    let mut counted_arrivals = Vec::new();
    for arrival in arrived {
        let (Some(incarnation), Some(limit)) = (incarnations.get(&arrival.id), arrival.limit)
        else {
            continue;
        };
        let was_informed =
            informed.get(incarnation).is_some_and(|at| *at + APPLY_TIMEOUT <= arrival.at);
        if arrival.answered {
            informed.entry(*incarnation).or_insert(arrival.at);
            announced_at = announced_at.or(Some(arrival.at));
        }
        let binds_all_boxes =
            announced_at.is_some_and(|since| since + LIMIT_SHARING_TIMEOUT <= arrival.at);
        if was_informed && binds_all_boxes && !was_disturbed(evidence, incarnation, arrival.at) {
            counted_arrivals.push((arrival.at, limit));
        }
    }
    counted_arrivals
}

/// Whether a box was disconnected, suspended or restarted shortly before.
fn was_disturbed(evidence: &Evidence, incarnation: &Incarnation, at: Instant) -> bool {
    let mut of_box = evidence
        .disturbances
        .iter()
        .filter(|disturbance| disturbance.box_index == Some(incarnation.box_index));
    of_box.any(|disturbance| {
        let ends = disturbance.until.max(disturbance.from + LIMIT_SHARING_TIMEOUT);
        (disturbance.from..=ends + LIMIT_WINDOW).contains(&at)
    })
}

/// Whether a call ended as the run itself closed the connection of its last run at an endpoint.
fn was_broken(evidence: &Evidence, call: &Call) -> bool {
    let Some(cut_at) = evidence.cut_runs.get(&call.id) else { return false };
    let ended_by_that = (*cut_at..*cut_at + BREAK_TIMEOUT).contains(&call.ended);
    let ran_later = evidence.runs.iter().any(|run| run.id == call.id && run.at > *cut_at);
    ended_by_that && !ran_later
}

/// Calls that broke during a planned stop, and why.
fn broken_in_stops<'a>(evidence: &'a Evidence) -> impl Iterator<Item = (&'a Call, &'a str)> {
    let is_sound_call = |call: &&Call| {
        matches!(call.id.behavior(), Behavior::Complete | Behavior::NotRun)
            && !evidence.interrupted.contains(&call.incarnation)
    };
    evidence.calls.iter().filter(is_sound_call).filter_map(|call| {
        let (from, until) = evidence.stopped.get(&call.incarnation)?;
        let is_over =
            evidence.short_stops.get(&call.incarnation).is_some_and(|end| *end <= call.ended);
        let overlaps = call.ended >= *from && call.sent < *until && !is_over;
        match &call.outcome {
            Outcome::Failed { reason, .. } if overlaps && !reason.contains("deadline") => {
                Some((call, reason.as_str()))
            }
            _ => None,
        }
    })
}

/// Number of calls that broke during a planned stop as the run itself closed their connections.
pub fn count_broken_by_run(evidence: &Evidence) -> usize {
    broken_in_stops(evidence).filter(|(call, _)| was_broken(evidence, call)).count()
}

/// Calls that a planned stop cut off, and incarnations that lost a route that they had served.
fn cut_off(evidence: &Evidence) -> Vec<String> {
    let cut = broken_in_stops(evidence).filter(|(call, _)| !was_broken(evidence, call));
    let cut = cut.map(|(call, reason)| {
        format!("{} of {:?} was cut off: {reason}", call.id.text(), call.incarnation)
    });
    let mut first_success: BTreeMap<Incarnation, Instant> = BTreeMap::new();
    let late_calls = evidence.calls.iter().filter(|call| call.route == Route::Late);
    for call in late_calls.clone() {
        if matches!(call.outcome, Outcome::Answered { .. }) {
            let first = first_success.entry(call.incarnation).or_insert(call.ended);
            *first = call.ended.min(*first);
        }
    }
    let lost = late_calls.filter(|call| {
        let after = first_success.get(&call.incarnation).is_some_and(|first| call.sent > *first);
        after && call.outcome == Outcome::Refused(StatusCode::NOT_FOUND)
    });
    let lost = lost.map(|call| format!("{:?} lost a route", call.incarnation));
    cut.chain(lost).collect()
}
