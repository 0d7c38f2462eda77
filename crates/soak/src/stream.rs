//! Streams that their callers took up again after they broke.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use crate::{
    call::{Incarnation, Outcome},
    endpoint::{Id, Run},
    verdict::Violation,
};

/// One request for a stream, or for the rest of it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: Id,
    pub incarnation: Incarnation,
    /// Last event that the caller had before.
    pub after: u64,
    pub outcome: Outcome,
}

impl Attempt {
    /// Whole events that it brought.
    pub fn events(&self) -> u64 {
        match self.outcome {
            Outcome::Answered { .. } => self.id.events,
            Outcome::Failed { events, .. } => events,
            Outcome::Refused(_) => 0,
        }
    }
}

/// A stream that broke after at least one event, and all attempts at it in order.
#[derive(Debug, Clone)]
pub struct Stream {
    pub attempts: Vec<Attempt>,
}

impl Stream {
    /// Whether an attempt after the first one brought events.
    fn went_on(&self) -> bool {
        self.attempts.iter().skip(1).any(|attempt| attempt.events() > 0)
    }

    /// Whether all attempts after the first one were refused.
    fn was_refused(&self) -> bool {
        let mut later = self.attempts.iter().skip(1);
        later.all(|attempt| matches!(attempt.outcome, Outcome::Refused(_)))
    }
}

/// What became of streams that were taken up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    pub taken_up: usize,
    /// Those of which further events came.
    pub went_on: usize,
    /// Those that were refused each time.
    pub refused: usize,
}

impl fmt::Display for Tally {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally { taken_up, went_on, refused } = self;
        write!(out, "streams: {taken_up} taken up, {went_on} went on, {refused} refused")
    }
}

/// Counts the streams that were taken up.
pub fn tally(streams: &[Stream]) -> Tally {
    let taken_up = || streams.iter().filter(|stream| stream.attempts.len() > 1);
    Tally {
        taken_up: taken_up().count(),
        went_on: taken_up().filter(|stream| stream.went_on()).count(),
        refused: taken_up().filter(|stream| stream.was_refused()).count(),
    }
}

/// Which endpoints ran each request, and the software version of each endpoint.
pub struct Origins<'a> {
    versions: &'a BTreeMap<Arc<str>, String>,
    endpoints: HashMap<Id, Vec<&'a Arc<str>>>,
}

impl<'a> Origins<'a> {
    /// The origins of the requests that ran.
    pub fn new(runs: &'a [Run], versions: &'a BTreeMap<Arc<str>, String>) -> Origins<'a> {
        let mut endpoints: HashMap<Id, Vec<&Arc<str>>> = HashMap::new();
        runs.iter().for_each(|run| endpoints.entry(run.id).or_default().push(&run.endpoint));
        Origins { versions, endpoints }
    }

    /// Endpoints that ran a request, with their versions.
    fn of(&self, id: &Id) -> impl Iterator<Item = (&'a str, &'a str)> {
        let endpoints = self.endpoints.get(id).into_iter().flatten();
        endpoints.map(|name| (&***name, self.versions.get(*name).map_or("?", |v| &**v)))
    }

    /// Versions of the endpoints whose events a stream holds.
    fn versions(&self, stream: &Stream) -> BTreeSet<&'a str> {
        let brought = stream.attempts.iter().filter(|attempt| attempt.events() > 0);
        brought.flat_map(|attempt| self.of(&attempt.id).map(|(_, version)| version)).collect()
    }

    /// A stream with its attempts, boxes, endpoints and versions.
    pub fn describe(&self, stream: &Stream) -> String {
        let attempt = |attempt: &Attempt| {
            let ran: Vec<String> =
                self.of(&attempt.id).map(|(name, version)| format!("{name} ({version})")).collect();
            let outcome = match &attempt.outcome {
                Outcome::Answered { .. } => "answered".to_owned(),
                Outcome::Refused(status) => format!("refused with {}", status.as_u16()),
                Outcome::Failed { reason, .. } => format!("broke ({reason})"),
            };
            let Incarnation { box_index, number } = attempt.incarnation;
            let (after, events) = (attempt.after, attempt.events());
            format!(
                "{} at box {box_index}.{number}, after event {after}: {outcome}, {events} events of \
                 [{}]",
                attempt.id.text(),
                ran.join(", ")
            )
        };
        stream.attempts.iter().map(attempt).collect::<Vec<_>>().join("; ")
    }
}

/// Streams that hold events of endpoints of several versions.
pub fn violations(seed: u64, streams: &[Stream], origins: &Origins) -> Vec<Violation> {
    let mixed = streams.iter().filter(|stream| origins.versions(stream).len() > 1);
    let guarantee = "a stream holds events of endpoints of one version";
    mixed
        .map(|stream| Violation {
            guarantee,
            detail: format!("seed {seed}: {}", origins.describe(stream)),
        })
        .collect()
}
