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
    call::{Call, End, Life, Route},
    endpoint::{Arrival, Conduct, Id, Run},
};

/// Time after which a connected box sends no more requests to a leaving endpoint: 2 s, plus a call
/// that was in flight.
const LEAVES_WITHIN: Duration = Duration::from_secs(4);

/// Time for a box to apply a limit or a back-off after the response that carries it. The platform's bound.
const TOLD: Duration = Duration::from_millis(500);
/// Time from the first response with a limit until the limit binds all boxes together. The platform's bound.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for a box to stop sending to an endpoint after a response that announces that it leaves.
const SAID_WITHIN: Duration = Duration::from_secs(2);
/// Requests of a box that may reach an endpoint during a back-off that the endpoint asked of that box.
const MOST_IN_REST: usize = 2;
/// Window in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Arrivals allowed in a window: the limit times this factor, plus a constant number of requests.
const SLACK: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// Everything that a run recorded.
pub struct Evidence<'a> {
    pub calls: &'a [Call],
    pub runs: &'a [Run],
    pub book: &'a Book,
    pub bills: &'a [Bill],
    /// Tokens that each customer has paid for at the end of the run.
    pub paid: u64,
    /// Planned stops: when the signal was sent, and until when the box accepts requests.
    pub stopped: &'a BTreeMap<Life, (Instant, Instant)>,
    /// Incarnations that were killed or suspended: their connections may break.
    pub harmed: &'a BTreeSet<Life>,
    /// Endpoints that left, and when the store recorded it.
    pub left: &'a BTreeMap<Arc<str>, Instant>,
    /// Periods in which boxes may miss changes.
    pub disturbed: &'a [Disturbance],
    /// Requests that reached endpoints that announce anything.
    pub arrivals: &'a HashMap<Arc<str>, Vec<Arrival>>,
}

/// A period in which a box may miss changes.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Number of the box; `None` means all boxes.
    pub at: Option<usize>,
    pub from: Instant,
    /// When the box is connected again.
    pub until: Instant,
}

/// A guarantee that was violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The guarantee.
    pub promise: &'static str,
    /// The request, endpoint or ledger that violates it.
    pub detail: String,
}

/// Name of the customer that holds a key.
pub fn customer(key: &str) -> &'static str {
    if key == "key-b" { "bornova" } else { "pasila" }
}

/// All violations.
pub fn breaches(evidence: &Evidence) -> Vec<Breach> {
    let checks: [(&'static str, Vec<String>); 11] = [
        ("no customer spends past what it paid", overspent(evidence)),
        ("what was served is spent in the book", forgotten(evidence)),
        ("each request is billed once", billed(evidence)),
        ("each caller gets its own whole answer", crossed(evidence)),
        ("a refused request has not run and never will", lied(evidence)),
        ("unrepeatable requests run at most once", repeated(evidence)),
        ("a leaving endpoint gets no new work", kept_working(evidence)),
        (
            "an endpoint that announces that it leaves gets no more requests",
            sent_after_word(evidence),
        ),
        ("a box observes the back-off that an endpoint asks for", sent_in_rest(evidence)),
        ("all boxes together observe the rate limit of an endpoint", over_limit(evidence)),
        ("planned stops cut off nothing, configuration goes forwards", cut_off(evidence)),
    ];
    let named = checks.into_iter().flat_map(|(promise, found)| {
        found.into_iter().map(move |detail| Breach { promise, detail })
    });
    named.collect()
}

fn served(evidence: &Evidence) -> BTreeMap<&'static str, u64> {
    let mut served = BTreeMap::new();
    let streams = evidence.calls.iter().filter(|call| call.route == Route::Stream);
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

fn forgotten(evidence: &Evidence) -> Vec<String> {
    let counted = |name: &str| {
        let of = evidence.book.ledgers.get(name);
        of.map_or(0, |ledger| ledger.spent + ledger.granted())
    };
    let unsound = evidence.book.ledgers.iter().filter(|(_, ledger)| !ledger.is_sound());
    let unsound = unsound.map(|(name, ledger)| format!("{name} is unsound: {ledger:?}"));
    let less = served(evidence).into_iter().filter(|(name, tokens)| counted(name) < *tokens);
    let less = less.map(|(name, tokens)| {
        format!("{name}: {tokens} served, {} spent or granted", counted(name))
    });
    unsound.chain(less).collect()
}

fn billed(evidence: &Evidence) -> Vec<String> {
    let mut bills: HashMap<&str, usize> = HashMap::new();
    evidence.bills.iter().for_each(|bill| *bills.entry(&bill.key).or_default() += 1);
    let twice = bills.iter().filter(|(_, count)| **count > 1);
    let twice = twice.map(|(id, count)| format!("{id} is on {count} bills"));
    // A killed box loses the bills that it had not yet written.
    let answered = evidence.calls.iter().filter(|call| {
        let whole = matches!(call.end, End::Answered { .. });
        whole && call.route == Route::Stream && !evidence.harmed.contains(&call.life)
    });
    let missing = answered.filter(|call| !bills.contains_key(&*call.id.text()));
    let missing =
        missing.map(|call| format!("{} of {:?} is on no bill", call.id.text(), call.life));
    twice.chain(missing).collect()
}

fn crossed(evidence: &Evidence) -> Vec<String> {
    let wrong = evidence.calls.iter().filter_map(|call| match &call.end {
        End::Answered { own: false, body } => Some(format!("{}: {body:?}", call.id.text())),
        End::Answered { .. } if call.id.conduct() == Conduct::Tears => {
            Some(format!("{}: truncated response was accepted as complete", call.id.text()))
        }
        _ => None,
    });
    wrong.collect()
}

fn lied(evidence: &Evidence) -> Vec<String> {
    let ran: BTreeSet<Id> = evidence.runs.iter().map(|run| run.id).collect();
    let promise = |status: &StatusCode| matches!(status.as_u16(), 408 | 421 | 429 | 503);
    let refused = evidence.calls.iter().filter_map(|call| match &call.end {
        End::Refused(status) if promise(status) && ran.contains(&call.id) => {
            Some(format!("{}: refused with {status}, but it ran", call.id.text()))
        }
        _ => None,
    });
    refused.collect()
}

fn repeated(evidence: &Evidence) -> Vec<String> {
    let mut runs: HashMap<Id, usize> = HashMap::new();
    evidence.runs.iter().for_each(|run| *runs.entry(run.id).or_default() += 1);
    let once = evidence.calls.iter().filter(|call| !call.route.is_repeatable());
    let twice = once.filter_map(|call| {
        let count = runs.get(&call.id).copied().unwrap_or_default();
        (count > 1).then(|| format!("{} ran {count} times", call.id.text()))
    });
    twice.collect()
}

fn kept_working(evidence: &Evidence) -> Vec<String> {
    let lives: HashMap<Id, Life> = evidence.calls.iter().map(|call| (call.id, call.life)).collect();
    let late = evidence.runs.iter().filter_map(|run| {
        let left = *evidence.left.get(&run.endpoint)?;
        let at = lives.get(&run.id)?.at;
        let of = |disturbed: &&Disturbance| {
            disturbed.at.is_none_or(|of| of == at) && disturbed.from < run.at
        };
        let calm = evidence.disturbed.iter().filter(of).map(|disturbed| disturbed.until);
        let calm = calm.fold(left, Instant::max);
        let late = run.at.checked_duration_since(calm + LEAVES_WITHIN)?;
        Some(format!("{} ran at {} {late:?} too late", run.id.text(), run.endpoint))
    });
    late.collect()
}

/// Requests that a box sent to an endpoint although an earlier response through the same box had announced that the
/// endpoint leaves. `SAID_WITHIN` counts from the end of the earlier call to the start of the later one.
fn sent_after_word(evidence: &Evidence) -> Vec<String> {
    let calls: HashMap<Id, &Call> = evidence.calls.iter().map(|call| (call.id, call)).collect();
    let mut late = Vec::new();
    for (endpoint, arrived) in evidence.arrivals {
        let mut told: HashMap<Life, Instant> = HashMap::new();
        let known = arrived.iter().filter_map(|arrival| Some((arrival, *calls.get(&arrival.id)?)));
        let saying = known.clone().filter(|(arrival, _)| arrival.leaves && arrival.answered);
        for (_, call) in saying {
            let first = told.entry(call.life).or_insert(call.ended);
            *first = call.ended.min(*first);
        }
        late.extend(known.filter_map(|(_, call)| {
            let after = call.sent.checked_duration_since(*told.get(&call.life)? + SAID_WITHIN)?;
            let is_excused = evidence.harmed.contains(&call.life);
            (!is_excused)
                .then(|| format!("{} reached {endpoint} {after:?} too late", call.id.text()))
        }));
    }
    late
}

/// Back-offs during which the box concerned sent more than `MOST_IN_REST` requests to the endpoint.
fn sent_in_rest(evidence: &Evidence) -> Vec<String> {
    let lives: HashMap<Id, Life> = evidence.calls.iter().map(|call| (call.id, call.life)).collect();
    let mut broken = Vec::new();
    for (endpoint, arrived) in evidence.arrivals {
        for asked in arrived {
            let (Some(life), Some(rest)) = (lives.get(&asked.id), asked.asks) else { continue };
            let within = asked.at + TOLD..asked.at + rest;
            let of_box = arrived.iter().filter(|other| lives.get(&other.id) == Some(life));
            let count = of_box.filter(|other| within.contains(&other.at)).count();
            if count > MOST_IN_REST && !evidence.harmed.contains(life) {
                broken.push(format!(
                    "{endpoint} got {count} requests of {life:?} in a back-off of {rest:?}"
                ));
            }
        }
    }
    broken
}

/// Endpoints that got more requests within a window than their limit allows.
fn over_limit(evidence: &Evidence) -> Vec<String> {
    let lives: HashMap<Id, Life> = evidence.calls.iter().map(|call| (call.id, call.life)).collect();
    let found = evidence.arrivals.iter().filter_map(|(endpoint, arrived)| {
        let counted = counted(evidence, &lives, arrived);
        let over = |(first, (from, limit)): (usize, &(Instant, f64))| {
            let within = counted[first..].iter().filter(|(at, _)| *at < *from + SPAN).count();
            let most = limit * SPAN.as_secs_f64() * SLACK + EXTRA;
            (within as f64 > most)
                .then(|| format!("{endpoint} got {within} requests in 4 s, {most:.1} allowed"))
        };
        counted.iter().enumerate().find_map(over)
    });
    found.collect()
}

/// Arrivals at an endpoint that count against its limit: from boxes that had time to apply it and
/// were not disturbed.
fn counted(
    evidence: &Evidence,
    lives: &HashMap<Id, Life>,
    arrived: &[Arrival],
) -> Vec<(Instant, f64)> {
    let mut told: HashMap<Life, Instant> = HashMap::new();
    let mut named: Option<Instant> = None;
    let mut counted = Vec::new();
    for arrival in arrived {
        let (Some(life), Some(limit)) = (lives.get(&arrival.id), arrival.limit) else { continue };
        let was_told = told.get(life).is_some_and(|at| *at + TOLD <= arrival.at);
        if arrival.answered {
            told.entry(*life).or_insert(arrival.at);
            named = named.or(Some(arrival.at));
        }
        let is_late = named.is_some_and(|since| since + CONTACT <= arrival.at);
        if was_told && is_late && !is_excused(evidence, life, arrival.at) {
            counted.push((arrival.at, limit));
        }
    }
    counted
}

/// Whether a box was disconnected, suspended or restarted shortly before.
fn is_excused(evidence: &Evidence, life: &Life, at: Instant) -> bool {
    let mut of_box =
        evidence.disturbed.iter().filter(|disturbance| disturbance.at == Some(life.at));
    of_box.any(|disturbance| {
        let ends = disturbance.until.max(disturbance.from + CONTACT);
        (disturbance.from..=ends + SPAN).contains(&at)
    })
}

/// Calls that a planned stop cut off, and incarnations that lost a route that they had served.
fn cut_off(evidence: &Evidence) -> Vec<String> {
    let sound = |call: &&Call| {
        matches!(call.id.conduct(), Conduct::Answers | Conduct::Declines)
            && !evidence.harmed.contains(&call.life)
    };
    let cut = evidence.calls.iter().filter(sound).filter_map(|call| {
        let (from, until) = evidence.stopped.get(&call.life)?;
        let around = call.ended >= *from && call.sent < *until;
        match &call.end {
            End::Failed { reason, .. } if around && !reason.contains("deadline") => {
                Some(format!("{} of {:?} was cut off: {reason}", call.id.text(), call.life))
            }
            _ => None,
        }
    });
    let mut known: BTreeMap<Life, Instant> = BTreeMap::new();
    let of_late = evidence.calls.iter().filter(|call| call.route == Route::Late);
    for call in of_late.clone() {
        if matches!(call.end, End::Answered { .. }) {
            let first = known.entry(call.life).or_insert(call.ended);
            *first = call.ended.min(*first);
        }
    }
    let forgot = of_late.filter(|call| {
        let after = known.get(&call.life).is_some_and(|first| call.sent > *first);
        after && call.end == End::Refused(StatusCode::NOT_FOUND)
    });
    let forgot = forgot.map(|call| format!("{:?} lost a route", call.life));
    cut.chain(forgot).collect()
}
