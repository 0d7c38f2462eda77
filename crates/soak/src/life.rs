//! What happened to each incarnation and to the store, at the moments when it happened, and how long
//! an incarnation could write to the store.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use tokio::time::Instant;

use crate::call::Incarnation;

/// Time after a stall of its open connections in which a box cannot reach the store: its
/// `timeout_ms` for calls of the store, after which it opens new connections.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// A period of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Period {
    pub from: Instant,
    pub until: Instant,
}

/// Periods in which a condition held, in order and without overlap.
#[derive(Debug, Clone, Default)]
pub struct Condition {
    ended: Vec<Period>,
    since: Option<Instant>,
}

impl Condition {
    /// Notes that the condition holds or no longer holds; notes that change nothing have no effect.
    pub fn set(&mut self, holds: bool, at: Instant) {
        match (holds, self.since) {
            (true, None) => self.since = Some(at),
            (false, Some(from)) => {
                self.ended.push(Period { from, until: at });
                self.since = None;
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// The periods; one that has not ended lasts until `end`.
    pub fn periods(&self, end: Instant) -> impl Iterator<Item = Period> {
        let current = self.since.map(|from| Period { from, until: end });
        self.ended.iter().copied().chain(current)
    }
}

/// How an incarnation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The run killed it.
    Killed,
    /// It exited by itself: by plan, or because it failed.
    Exited,
    /// It lived until the run ended.
    Run,
}

/// The life of one incarnation.
#[derive(Debug, Clone)]
pub struct Life {
    /// When its process was started.
    pub started: Instant,
    /// When and how it ended; `None` while it lives.
    pub ended: Option<(Instant, End)>,
    /// Whether it is suspended.
    pub suspended: Condition,
    /// When its open connections to the store were stalled.
    pub stalled: Vec<Instant>,
}

impl Life {
    /// A life that began just now.
    pub fn new(started: Instant) -> Life {
        Life { started, ended: None, suspended: Condition::default(), stalled: Vec::new() }
    }

    /// How it ended.
    pub fn end(&self) -> End {
        self.ended.map_or(End::Run, |(_, end)| end)
    }

    /// When it ended; `None` if it lives.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended.map(|(at, _)| at)
    }
}

/// The lives of all incarnations, and the conditions under which the store does not answer them.
#[derive(Debug, Clone)]
pub struct Trace {
    pub lives: BTreeMap<Incarnation, Life>,
    /// The store answers nothing.
    pub down: Condition,
    /// The store answers late; this counts as answering.
    pub slow: Condition,
    /// The store loses answers.
    pub losing: Condition,
    /// Boxes whose link to the store is cut.
    pub cut: BTreeMap<usize, Condition>,
    /// When the run ended, and with it the lives that have no end.
    pub until: Instant,
}

impl Trace {
    /// A trace without events until a moment.
    pub fn new(until: Instant) -> Trace {
        Trace {
            lives: BTreeMap::new(),
            down: Condition::default(),
            slow: Condition::default(),
            losing: Condition::default(),
            cut: BTreeMap::new(),
            until,
        }
    }

    /// The longest unbroken time after `since` in which an incarnation was alive and not suspended
    /// and the store answered it.
    pub fn longest_with_store(&self, incarnation: Incarnation, since: Instant) -> Duration {
        let Some(life) = self.lives.get(&incarnation) else { return Duration::ZERO };
        let end = life.ended_at().unwrap_or(self.until);
        let cut = self.cut.get(&incarnation.box_index);
        let conditions = [Some(&self.down), Some(&self.losing), Some(&life.suspended), cut];
        let stalled =
            life.stalled.iter().map(|from| Period { from: *from, until: *from + STALL_TIME });
        let mut without: Vec<Period> = conditions
            .into_iter()
            .flatten()
            .flat_map(|condition| condition.periods(end))
            .chain(stalled)
            .collect();
        without.sort_by_key(|period| period.from);
        let (mut longest, mut from) = (Duration::ZERO, since.max(life.started));
        for period in without {
            longest = longest.max(period.from.min(end).saturating_duration_since(from));
            from = from.max(period.until);
        }
        longest.max(end.saturating_duration_since(from))
    }

    /// A line for each life and each period, in milliseconds since `start`.
    pub fn lines(&self, start: Instant) -> String {
        let ms = |at: Instant| match at.checked_duration_since(start) {
            Some(after) => format!("{}", after.as_millis()),
            None => format!("-{}", (start - at).as_millis()),
        };
        let mut lines = String::new();
        let mut add_periods = |name: &str, condition: &Condition| {
            for Period { from, until } in condition.periods(self.until) {
                let _ = writeln!(lines, "{name}: {} to {} ms", ms(from), ms(until));
            }
        };
        add_periods("store down", &self.down);
        add_periods("store slow", &self.slow);
        add_periods("store loses answers", &self.losing);
        for (box_index, condition) in &self.cut {
            add_periods(&format!("box {box_index} cut"), condition);
        }
        for (Incarnation { box_index, number }, life) in &self.lives {
            add_periods(&format!("box {box_index}.{number} suspended"), &life.suspended);
        }
        for (Incarnation { box_index, number }, life) in &self.lives {
            let end = life
                .ended
                .map_or("lives".to_owned(), |(at, end)| format!("{end:?} at {} ms", ms(at)));
            let stalled: Vec<String> = life.stalled.iter().map(|at| ms(*at)).collect();
            let _ = writeln!(
                lines,
                "box {box_index}.{number}: started at {} ms, {end}, stalled at {stalled:?} ms",
                ms(life.started),
            );
        }
        lines
    }
}
