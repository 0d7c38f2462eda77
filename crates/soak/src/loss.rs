//! Answered requests that are on no bill, and whether a bill could have been written.

use std::{collections::HashSet, fmt, time::Duration};

use ledger::Bill;
use tokio::time::Instant;

use crate::{
    call::{Call, Incarnation, Outcome},
    endpoint::Id,
    life::{End, Life, Trace},
};

/// Unbroken time in a living box that the store answers after which a bill is never lost. It is the
/// users' target: a bill that lay in a living box for a second while the store answered is lost by a
/// fault of the box, also if the box is killed later.
pub const UNWRITTEN_TIME: Duration = Duration::from_secs(1);

/// An answered request that is on no bill.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    pub id: Id,
    /// The box that answered.
    pub incarnation: Incarnation,
    /// How that box ended.
    pub end: End,
    /// Longest unbroken time that it had with the store after the end of the request.
    pub with_store: Duration,
    /// Another box that may have had a copy and could have written it, and the longest unbroken time
    /// that this box had with the store.
    pub holder: Option<(Incarnation, End, Duration)>,
}

impl Loss {
    /// Whether no box had the time to write the bill.
    pub fn is_excused(&self) -> bool {
        let was_short = self.with_store < UNWRITTEN_TIME;
        was_short && self.holder.is_none() && self.end != End::Run
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Loss { id, incarnation, end, with_store, holder } = self;
        let (id, ms) = (id.text(), with_store.as_millis());
        write!(
            out,
            "{id} of {incarnation:?} is on no bill: it had {ms} ms with the store after its answer \
             (ended: {end:?})"
        )?;
        match holder {
            Some((holder, end, time)) => {
                let ms = time.as_millis();
                write!(out, "; {holder:?}, which may hold it, had {ms} ms (ended: {end:?})")
            }
            None => Ok(()),
        }
    }
}

/// All losses of a run.
pub fn find(calls: &[Call], bills: &[Bill], trace: &Trace) -> Vec<Loss> {
    let billed: HashSet<&str> = bills.iter().map(|bill| &*bill.key).collect();
    let missing = calls.iter().filter(|call| {
        let is_answered = matches!(call.outcome, Outcome::Answered { .. });
        is_answered && call.route.is_stream() && !billed.contains(&*call.id.text())
    });
    missing
        .map(|call| {
            let (id, incarnation) = (call.id, call.incarnation);
            Loss {
                id,
                incarnation,
                end: trace.lives.get(&incarnation).map_or(End::Run, |life| life.end()),
                with_store: trace.longest_with_store(incarnation, call.ended),
                holder: holder(call, trace),
            }
        })
        .collect()
}

/// For a box that exited, the box with the longest time with the store of those that may hold its
/// bills, unless none of these had `UNWRITTEN_TIME` and none lives.
///
/// Those that ran before its exit may hold them. If one of these exited as well, it may have passed
/// them on until then.
fn holder(call: &Call, trace: &Trace) -> Option<(Incarnation, End, Duration)> {
    let life = trace.lives.get(&call.incarnation)?;
    let exit = life.ended.filter(|(_, end)| *end == End::Exited).map(|(at, _)| at)?;
    let last_exit = last_exit(call, trace, exit);
    let holders = possible_holders(call, trace, last_exit).filter_map(|(incarnation, other)| {
        let time = trace.longest_with_store(incarnation, call.ended);
        let is_excused = other.end() != End::Run && time < UNWRITTEN_TIME;
        (!is_excused).then_some((incarnation, other.end(), time))
    });
    holders.max_by_key(|(_, _, time)| *time)
}

/// When the last of the boxes exited that may have passed the bill on.
fn last_exit(call: &Call, trace: &Trace, exit: Instant) -> Instant {
    let exits = possible_holders(call, trace, exit).filter_map(|(_, other)| other.ended);
    let exits = exits.filter(|(_, end)| *end == End::Exited).map(|(at, _)| at);
    match exits.max().filter(|at| *at > exit) {
        Some(later) => last_exit(call, trace, later),
        None => exit,
    }
}

/// Other incarnations that ran between the end of the call and `exit`.
fn possible_holders<'a>(
    call: &'a Call,
    trace: &'a Trace,
    exit: Instant,
) -> impl Iterator<Item = (Incarnation, &'a Life)> {
    let others = trace.lives.iter().filter(move |(incarnation, other)| {
        let overlaps =
            other.started <= exit && other.ended_at().is_none_or(|ended| ended >= call.ended);
        **incarnation != call.incarnation && overlaps
    });
    others.map(|(incarnation, life)| (*incarnation, life))
}
