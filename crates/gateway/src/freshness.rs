//! How old the state is that this box follows in the store.
//!
//! A watch that waits, or a box that answers, says nothing of changes that did not arrive. So each
//! state has the time at which the store last confirmed it: that of a call whose answer is complete
//! up to then. Boxes pass these times on as ages; an answer of a box that was not confirmed itself
//! makes nothing younger.
//!
//! [`Bounds`] divides the largest age that is allowed: a watch may be silent for a part of it, then
//! another source is asked, then the store. So the time until a change is known does not add up over
//! the boxes that are silent one after the other.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use wire::Ages;

use crate::clock::{Clock, Moment};

/// Parts of the largest age after which the store has to confirm a state. Evacuations and crash reports may be older
/// than endpoints and the configuration.
const ENDPOINTS_DUE: f64 = 0.35;
const CONFIG_DUE: f64 = 0.4;
const OTHERS_DUE: f64 = 1.0;
/// Part of the largest age by which a state is overdue when a root asks the store for what another root was to have
/// confirmed.
const TAKE_OVER_OVERDUE: f64 = 0.1;
/// Parts of the largest age by which a state is overdue when other sources are asked, by a box whose watcher reads the
/// store and by one whose watcher relays, and when the store itself is asked.
const SEARCH_OVERDUE: f64 = 0.25;
const SEARCH_BEHIND_RELAY_OVERDUE: f64 = 0.35;
const FALLBACK_OVERDUE: f64 = 0.4;
/// Interval at which ages are checked for the log.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A state that boxes follow in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    Config,
    Endpoints,
    Evacuations,
    Crashes,
}

impl Subject {
    pub const ALL: [Subject; 4] =
        [Subject::Config, Subject::Endpoints, Subject::Evacuations, Subject::Crashes];

    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Subject::Config => "configuration",
            Subject::Endpoints => "endpoints",
            Subject::Evacuations => "evacuations",
            Subject::Crashes => "crashes",
        }
    }
}

/// How old states may become, by what a box does then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Age that what a box knows of endpoints and the configuration must not pass.
    pub max_age: Duration,
}

impl Bounds {
    /// Time after which a box that watches the store has it confirm a state that did not change.
    pub fn confirm_after(self, subject: Subject) -> Duration {
        self.max_age.mul_f64(match subject {
            Subject::Endpoints => ENDPOINTS_DUE,
            Subject::Config => CONFIG_DUE,
            Subject::Evacuations | Subject::Crashes => OTHERS_DUE,
        })
    }

    /// Age from which on a box that reads the store has it confirm a state that the confirming root did not.
    pub fn take_over_after(self, subject: Subject) -> Duration {
        self.confirm_after(subject) + self.max_age.mul_f64(TAKE_OVER_OVERDUE)
    }

    /// Age from which on a subscriber asks other sources. Later for one whose watcher relays, which
    /// is then searching itself.
    pub fn search_after(self, subject: Subject, is_behind_relay: bool) -> Duration {
        let overdue = match is_behind_relay {
            true => SEARCH_BEHIND_RELAY_OVERDUE,
            false => SEARCH_OVERDUE,
        };
        self.confirm_after(subject) + self.max_age.mul_f64(overdue)
    }

    /// Age from which on a subscriber asks the store itself.
    pub fn fall_back_after(self, subject: Subject) -> Duration {
        self.confirm_after(subject) + self.max_age.mul_f64(FALLBACK_OVERDUE)
    }

    /// Age beyond which a state is outdated.
    pub fn limit(self, subject: Subject) -> Duration {
        match subject {
            Subject::Endpoints | Subject::Config => self.max_age,
            Subject::Evacuations | Subject::Crashes => 2 * self.max_age,
        }
    }

    /// Whether no state is so old that other sources are asked.
    pub fn allow(self, ages: &Ages, is_behind_relay: bool) -> bool {
        within(ages, |subject| self.search_after(subject, is_behind_relay))
    }

    /// Whether no state is so old that another box that reads the store has it confirmed.
    pub fn suffice(self, ages: &Ages) -> bool {
        within(ages, |subject| self.take_over_after(subject))
    }
}

/// Who confirmed a state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store answered this box.
    Store,
    /// Another box passed on when the store answered.
    Peer(Arc<str>),
}

impl Source {
    /// Name in log lines.
    pub fn as_str(&self) -> &str {
        match self {
            Source::Store => "store",
            Source::Peer(name) => name,
        }
    }
}

/// Whether a state is still known to be what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Validity {
    /// The store confirmed it within the allowed age.
    Current,
    /// It is older than allowed.
    Outdated,
    /// The store never confirmed it.
    Unconfirmed,
}

impl Validity {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Validity::Current => "current",
            Validity::Outdated => "outdated",
            Validity::Unconfirmed => "unconfirmed",
        }
    }
}

/// The last confirmation of a state.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Confirmation {
    /// Milliseconds since the start of the box, including suspensions.
    at_ms: u64,
    by: Source,
}

/// When each state was last confirmed at the store.
#[derive(Debug, Clone)]
pub struct Freshness(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    started: Moment,
    bounds: Bounds,
    confirmations: Mutex<[Option<Confirmation>; Subject::ALL.len()]>,
}

impl Freshness {
    /// Creates the record of a box that knows nothing yet.
    pub fn open(clock: &Clock, bounds: Bounds) -> Freshness {
        let (started, confirmations) = (clock.now(), Mutex::default());
        Freshness(Arc::new(Shared { started, bounds, confirmations }))
    }

    /// How old states may become.
    pub fn bounds(&self) -> Bounds {
        self.0.bounds
    }

    /// Time until the store has to confirm a state again; zero if it never did.
    pub fn due_in(&self, subject: Subject) -> Duration {
        let confirm_after = self.0.bounds.confirm_after(subject);
        self.age(subject).map_or(Duration::ZERO, |age| confirm_after.saturating_sub(age))
    }

    /// Time until a box that reads the store has it confirm a state that the confirming root did not.
    pub fn take_over_in(&self, subject: Subject) -> Duration {
        let take_over_after = self.0.bounds.take_over_after(subject);
        self.age(subject).map_or(Duration::ZERO, |age| take_over_after.saturating_sub(age))
    }

    /// Time until some state is so old that other sources are asked; zero if it is.
    pub fn search_due_in(&self, is_behind_relay: bool) -> Duration {
        self.shortest(|bounds, subject| bounds.search_after(subject, is_behind_relay))
    }

    /// Time until some state has been so old for `delay` that this box asks the store itself; zero if it
    /// has.
    pub fn fallback_due_in(&self, delay: Duration) -> Duration {
        self.shortest(|bounds, subject| bounds.fall_back_after(subject) + delay)
    }

    /// Shortest time until a state reaches an age. Those that were never confirmed have none.
    fn shortest(&self, bound: impl Fn(Bounds, Subject) -> Duration) -> Duration {
        let left = |subject| Some(bound(self.0.bounds, subject).saturating_sub(self.age(subject)?));
        Subject::ALL.into_iter().filter_map(left).min().unwrap_or(Duration::MAX)
    }

    /// Milliseconds since the start of the box, including suspensions.
    pub fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    /// Records that a state was complete at the store at `at_ms`; returns whether that is newer
    /// than what was known.
    pub fn confirm(&self, subject: Subject, at_ms: u64, by: Source) -> bool {
        let known = &mut self.0.confirmations.lock()[subject as usize];
        let is_newer = known.as_ref().is_none_or(|known| known.at_ms < at_ms);
        if is_newer {
            *known = Some(Confirmation { at_ms, by });
        }
        is_newer
    }

    /// Records the ages that another box named, which answered `held_ms` after a request that was
    /// sent at `sent_ms`: the answer may have been under way ever since. Returns whether any state
    /// is younger than known.
    pub fn receive(&self, ages: &Ages, sent_ms: u64, held_ms: u64, by: &Arc<str>) -> bool {
        let mut is_newer = false;
        for subject in Subject::ALL {
            let Some(age_ms) = of(ages, subject) else { continue };
            let at_ms = (sent_ms + held_ms).saturating_sub(age_ms);
            is_newer |= self.confirm(subject, at_ms, Source::Peer(by.clone()));
        }
        is_newer
    }

    /// When a state was last confirmed, on the clock of [`Freshness::now_ms`].
    pub fn confirmed_ms(&self, subject: Subject) -> Option<u64> {
        self.0.confirmations.lock()[subject as usize].as_ref().map(|known| known.at_ms)
    }

    /// Age of a state; `None` before its first confirmation.
    pub fn age(&self, subject: Subject) -> Option<Duration> {
        let now_ms = self.now_ms();
        let at_ms = self.confirmed_ms(subject)?;
        Some(Duration::from_millis(now_ms.saturating_sub(at_ms)))
    }

    /// Whether a state is still known to be what the store holds.
    pub fn validity(&self, subject: Subject) -> Validity {
        match self.age(subject) {
            None => Validity::Unconfirmed,
            Some(age) if age > self.0.bounds.limit(subject) => Validity::Outdated,
            Some(_) => Validity::Current,
        }
    }

    /// Who confirmed a state last.
    pub fn source(&self, subject: Subject) -> Option<Source> {
        self.0.confirmations.lock()[subject as usize].as_ref().map(|known| known.by.clone())
    }

    /// Logs when a state becomes older than allowed, and when it is confirmed again, for as long as
    /// the box runs.
    pub async fn log_outdated(self) {
        let mut outdated = [false; Subject::ALL.len()];
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            for subject in Subject::ALL {
                let Some(age) = self.age(subject) else { continue };
                let is_outdated = age > self.0.bounds.limit(subject);
                if std::mem::replace(&mut outdated[subject as usize], is_outdated) == is_outdated {
                    continue;
                }
                let (state, age_ms) = (subject.as_str(), age.as_millis() as u64);
                let source = self.source(subject);
                let from = source.as_ref().map(Source::as_str);
                match is_outdated {
                    true => tracing::warn!(event = "state_outdated", state, age_ms, from),
                    false => tracing::info!(event = "state_confirmed", state, age_ms, from),
                }
            }
        }
    }

    /// Ages of all states, for other boxes.
    pub fn ages(&self) -> Ages {
        let age_ms = |subject| self.age(subject).map(|age| age.as_millis() as u64);
        Ages {
            config: age_ms(Subject::Config),
            endpoints: age_ms(Subject::Endpoints),
            evacuations: age_ms(Subject::Evacuations),
            crashes: age_ms(Subject::Crashes),
        }
    }
}

/// Whether no state is older than its bound.
fn within(ages: &Ages, bound: impl Fn(Subject) -> Duration) -> bool {
    Subject::ALL.into_iter().all(|subject| {
        of(ages, subject).is_some_and(|age_ms| Duration::from_millis(age_ms) <= bound(subject))
    })
}

/// The age of one state, in milliseconds.
fn of(ages: &Ages, subject: Subject) -> Option<u64> {
    match subject {
        Subject::Config => ages.config,
        Subject::Endpoints => ages.endpoints,
        Subject::Evacuations => ages.evacuations,
        Subject::Crashes => ages.crashes,
    }
}
