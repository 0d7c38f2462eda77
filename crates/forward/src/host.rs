//! Connections to one address, and whether this box is cut off from it.

use std::time::Duration;

use tokio::time::Instant;

use crate::{connection::Connection, detour::Way, tag::Tag};

/// Interval at which the direct way to an endpoint is tried while requests take the detour.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a cut that nothing confirmed since is told to other boxes.
const CUT_TTL: Duration = Duration::from_millis(2_000);

/// Connections to one address.
#[derive(Debug, Default)]
pub struct Host {
    pub idle: Vec<Connection>,
    /// Open connections, those in use among them.
    pub open: usize,
    /// Connections opened so far.
    pub opened: u64,
    /// Set while the detour is expected to work and the direct way is not.
    pub cut_off: Option<CutOff>,
    /// When the detour did not reach the address either.
    pub detour_failed_at: Option<Instant>,
    /// When the direct way was last seen to work.
    heard_at: Option<Instant>,
    /// When the direct way was last checked because of silence.
    silence_checked_at: Option<Instant>,
}

/// This box is cut off from an endpoint that other boxes reach.
#[derive(Debug)]
pub struct CutOff {
    /// When the direct way is tried again.
    next_check: Instant,
    /// When that was seen last.
    seen_at: Instant,
}

impl Host {
    /// Closes the idle connections for which a condition holds.
    pub fn close_idle(&mut self, is_closed: impl Fn(&Connection) -> bool) {
        let before = self.idle.len();
        self.idle.retain(|connection| !is_closed(connection));
        self.open -= before - self.idle.len();
    }

    /// Closes the idle connection that was used longest ago, if there is one.
    pub fn close_one_idle(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
            self.open -= 1;
        }
    }

    /// Position of an idle connection that can be used now for this request; a direct one if there is one.
    pub fn ready_position(&self, tag: &Tag, now: Instant) -> Option<usize> {
        let is_usable = |connection: &Connection| {
            connection.is_ready() && !connection.carried().may_confuse(tag, now)
        };
        let ready = |way| {
            self.idle
                .iter()
                .rposition(move |connection| connection.way == way && is_usable(connection))
        };
        ready(Way::Direct).or_else(|| ready(Way::Detour))
    }

    /// Whether this box was cut off from the endpoint just now.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.as_ref().is_some_and(|cut_off| cut_off.seen_at.elapsed() < CUT_TTL)
    }

    /// Whether a connection may be kept: one through another box only while it is needed.
    pub fn keeps(&self, connection: &Connection) -> bool {
        connection.way == Way::Direct || self.cut_off.is_some()
    }

    /// The detour reached the address and the direct way did not; returns whether that is new.
    pub fn begin_cut(&mut self, now: Instant) -> bool {
        let is_new = self.cut_off.is_none();
        self.cut_off
            .get_or_insert(CutOff { next_check: now + CHECK_INTERVAL, seen_at: now })
            .seen_at = now;
        is_new
    }

    /// The direct way does still not work.
    pub fn confirm_cut(&mut self, now: Instant) {
        if let Some(cut_off) = &mut self.cut_off {
            cut_off.seen_at = now;
        }
    }

    /// The way that is expected to reach the address.
    pub fn expected_way(&self) -> Way {
        if self.cut_off.is_some() { Way::Detour } else { Way::Direct }
    }

    /// The direct way works; returns the cut that this ends.
    pub fn end_cut(&mut self) -> Option<CutOff> {
        self.hear(Instant::now());
        self.cut_off.take()
    }

    /// Something came on the direct way.
    pub fn hear(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    /// Whether the direct way is to be checked, as nothing came on it since a request was sent; then not before the next
    /// interval.
    pub fn take_silence_check(&mut self, sent_at: Instant, now: Instant) -> bool {
        let is_heard = self.heard_at.is_some_and(|at| at >= sent_at);
        let is_recent = |at: Instant| now < at + CHECK_INTERVAL;
        let is_due =
            !is_heard && self.cut_off.is_none() && !self.silence_checked_at.is_some_and(is_recent);
        if is_due {
            self.silence_checked_at = Some(now);
        }
        is_due
    }

    /// Whether the direct way is to be tried again now; then not before the next interval.
    pub fn take_check(&mut self, now: Instant) -> bool {
        let due = self.cut_off.as_mut().filter(|cut_off| cut_off.next_check <= now);
        due.map(|cut_off| cut_off.next_check = now + CHECK_INTERVAL).is_some()
    }
}
