//! One request on its way: what its log lines and its bill need, settled once however it ends.

use std::{sync::Arc, time::Duration};

use ledger::Ended;
use platform::request::{Head, Tokens};
use quarantine::Fingerprint;
use tokio::time::Instant;

use crate::{
    clock::Moment,
    metrics::{Finished, Metrics},
    proxy::refusal::Refusal,
    tokens::{bills::Bills, funds::Hold},
};

/// Events that an endpoint may make after the last one that was passed on, until it sees that its
/// connection was closed: those of some 200 ms, a hundred times the way there.
const UNSEEN_EVENTS: u64 = 10;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The caller got an endpoint's whole answer.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The box answered itself.
    Refused(Refusal),
    /// An answer that had begun broke off.
    Broken {
        /// Why.
        reason: String,
    },
    /// The caller went away first.
    Left,
}

/// A request on its way.
#[derive(Debug)]
pub struct Exchange {
    pub id: Option<Arc<str>>,
    pub customer: Option<Arc<str>>,
    pub route: Option<Arc<str>>,
    pub service: Option<Arc<str>>,
    /// Version of the configuration that decided.
    pub version: u64,
    pub came: Instant,
    /// The same, to count the time for which the box was suspended meanwhile.
    since: Moment,
    pub until: Instant,
    pub tokens: Option<Tokens>,
    /// Its content, once it was read.
    pub fingerprint: Option<Fingerprint>,
    /// Most tokens in one event of the service's engines.
    pub event_tokens: u64,
    pub endpoint: Option<Arc<str>>,
    /// Endpoints that it was sent to.
    pub sent: u32,
    /// Whether some endpoint may have run it.
    pub may_have_run: bool,
    /// Time until the first byte of the answer.
    pub first_byte: Option<Duration>,
    /// Longest time between two events of its stream.
    pub longest_pause: Option<Duration>,
    hold: Option<Hold>,
    metrics: Metrics,
    bills: Bills,
    ended: bool,
}

impl Exchange {
    /// A request that was just read.
    pub fn begin(
        head: &Head,
        since: Moment,
        until: Instant,
        metrics: Metrics,
        bills: Bills,
    ) -> Exchange {
        metrics.in_flight.inc();
        Exchange {
            id: head.id.clone(),
            customer: None,
            route: None,
            service: None,
            version: 0,
            came: since.at(),
            since,
            until,
            tokens: head.tokens,
            fingerprint: None,
            event_tokens: 1,
            endpoint: None,
            sent: 0,
            may_have_run: false,
            first_byte: None,
            longest_pause: None,
            hold: None,
            metrics,
            bills,
            ended: false,
        }
    }

    /// The request pays with these tokens.
    pub fn pay_with(&mut self, hold: Hold) {
        self.hold = Some(hold);
    }

    /// Time left, for its caller: also while this box is suspended it goes by.
    pub fn left(&self) -> Duration {
        let left = self.until.saturating_duration_since(Instant::now());
        left.saturating_sub(self.since.suspended())
    }

    /// Tokens to charge when it ends now with `events` events passed on.
    ///
    /// An answer that ended before its end was made as far as it was passed on, and as far as the
    /// endpoint came until it saw that its connection was closed. Worst cases instead took 4% of
    /// what customers had paid on a day when many callers left. How much was made of an answer that
    /// was lost is not known.
    fn charge(&self, end: &Outcome, events: u64) -> u64 {
        let Some(tokens) = self.tokens else { return 0 };
        let made = |events: u64| {
            let output = events.saturating_mul(self.event_tokens);
            tokens.prompt + output.min(tokens.max_output)
        };
        match end {
            _ if !self.may_have_run => 0,
            Outcome::Answered { status } if (200..300).contains(status) => made(events),
            Outcome::Left | Outcome::Broken { .. } if self.sent == 1 => {
                made(events + UNSEEN_EVENTS)
            }
            _ => made(u64::MAX),
        }
    }

    /// Settles and logs it; only the first call counts.
    pub fn end(&mut self, end: Outcome, events: u64) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let worst = self.hold.as_ref().map_or(0, Hold::tokens);
        let charge = self.charge(&end, events);
        let charged = self.hold.take().map_or(0, |hold| hold.settle(charge));
        self.bill(&end, charged);
        let (outcome, reason) = match &end {
            Outcome::Answered { .. } => ("answered", "-"),
            Outcome::Refused(refusal) if refusal.reason.is_not_run() => {
                ("not_run", refusal.reason.as_str())
            }
            Outcome::Refused(refusal) => ("unknown", refusal.reason.as_str()),
            Outcome::Broken { .. } => ("broken", "-"),
            Outcome::Left => ("left", "-"),
        };
        self.count(outcome, reason, charged);
        let (status, detail) = match &end {
            Outcome::Answered { status } => (*status, ""),
            Outcome::Refused(refusal) => (refusal.reason.status().as_u16(), &*refusal.detail),
            Outcome::Broken { reason } => (0, &**reason),
            Outcome::Left => (0, ""),
        };
        tracing::info!(
            event = "request_ended",
            id = self.id.as_deref(),
            customer = self.customer.as_deref(),
            route = self.route.as_deref(),
            service = self.service.as_deref(),
            endpoint = self.endpoint.as_deref(),
            fingerprint = self.fingerprint.as_ref().map(tracing::field::display),
            config = self.version,
            outcome,
            reason,
            status,
            detail,
            sent = self.sent,
            held = worst,
            charged,
            events,
            first_byte_ms = self.first_byte.map(|time| time.as_millis() as u64),
            longest_pause_ms = self.longest_pause.map(|time| time.as_millis() as u64),
            took_ms = self.came.elapsed().as_millis() as u64,
            left_ms = self.left().as_millis() as u64,
        );
    }

    fn bill(&self, end: &Outcome, charged: u64) {
        let ended = match end {
            Outcome::Answered { .. } => Ended::Answered,
            Outcome::Refused(_) | Outcome::Broken { .. } | Outcome::Left => Ended::Broken,
        };
        match (&self.customer, &self.id) {
            (Some(customer), Some(id)) if charged > 0 => {
                self.bills.add(customer, id, charged, ended);
            }
            _ => {}
        }
    }

    fn count(&self, outcome: &'static str, reason: &'static str, charged: u64) {
        self.metrics.in_flight.dec();
        self.metrics.tokens.inc_by(charged);
        self.metrics.requests.get_or_create(&Finished { outcome, reason }).inc();
        if let Some(first) = self.first_byte {
            self.metrics.first_byte.observe(first.as_secs_f64());
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.end(Outcome::Left, 0);
    }
}
