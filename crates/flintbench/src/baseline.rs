//! Simpler budget algorithms, replayed over the same arrivals and faults for comparison.
//!
//! Only the decision to grant or refuse a request is modeled, without latency, so the results are
//! better than those of a real implementation.

use std::collections::BTreeMap;

use serde_json::{Map, Value, json};

use crate::load::Arrival;

/// Duration of a timed lease, in milliseconds.
const LEASE_MS: u64 = 3_000;
/// Share of a budget in one timed lease, in thousandths.
const LEASE_SHARE_PERMILLE: u64 = 20;

/// A fault of a box. Times are in milliseconds since the start of the load.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The platform is unreachable from the box.
    PlatformUnreachable { index: usize, from: u64, to: u64 },
    /// The box is suspended; requests that arrive meanwhile are dispatched when it resumes.
    Suspended { index: usize, from: u64, to: u64 },
    /// The box dies and restarts without state.
    Crash { index: usize, at: u64 },
}

/// A load with faults, on which the baselines are run.
pub struct Scenario<'a> {
    /// Requests in order of arrival.
    pub arrivals: &'a [Arrival],
    /// Faults in effect during the load.
    pub faults: &'a [Fault],
    /// Number of boxes.
    pub boxes: usize,
    /// Tokens paid, of all budgets.
    pub paid: u64,
    /// Duration of the load, in milliseconds.
    pub duration_ms: u64,
}

#[derive(Debug, Default)]
struct Tally {
    refused: u64,
    served: u64,
    stranded: u64,
    writes: u64,
}

impl Scenario<'_> {
    fn is_platform_unreachable(&self, index: usize, now: u64) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::PlatformUnreachable { index: affected, from, to } => {
                *affected == index && (*from..*to).contains(&now)
            }
            Fault::Suspended { .. } | Fault::Crash { .. } => false,
        })
    }

    /// Returns when a request that arrives now is dispatched.
    fn dispatched_at(&self, index: usize, now: u64) -> u64 {
        let resumed_at = self.faults.iter().find_map(|fault| match fault {
            Fault::Suspended { index: suspended, from, to }
                if *suspended == index && (*from..*to).contains(&now) =>
            {
                Some(*to)
            }
            _ => None,
        });
        resumed_at.unwrap_or(now)
    }

    fn has_crashed(&self, index: usize, from: u64, to: u64) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Crash { index: crashed, at } => *crashed == index && *at > from && *at <= to,
            Fault::PlatformUnreachable { .. } | Fault::Suspended { .. } => false,
        })
    }

    /// Runs all baselines and returns their figures by name.
    pub fn run(&self) -> Map<String, Value> {
        let all = [
            ("static_split", self.static_split()),
            ("timed_lease", self.timed_lease()),
            ("central_counter", self.central_counter()),
        ];
        all.into_iter().map(|(name, tally)| (name.to_owned(), self.figures(&tally))).collect()
    }

    fn figures(&self, tally: &Tally) -> Value {
        let seconds = self.duration_ms as f64 / 1_000.0;
        json!({
            "requests": self.arrivals.len(),
            "answered": self.arrivals.len() as u64 - tally.refused,
            "false_refusals": tally.refused,
            "overspend_tokens": tally.served.saturating_sub(self.paid),
            "stranded_tokens": tally.stranded,
            "platform_writes_per_s": (tally.writes as f64 / seconds * 10.0).round() / 10.0,
        })
    }

    /// Each box gets an equal part at the start, which is lost when the box dies.
    fn static_split(&self) -> Tally {
        let part = self.paid / self.boxes as u64;
        let mut remaining = vec![part; self.boxes];
        let mut tally = Tally { writes: self.boxes as u64, ..Tally::default() };
        let mut last_arrival = vec![0; self.boxes];
        for arrival in self.arrivals {
            let index = arrival.index;
            if self.has_crashed(index, last_arrival[index], arrival.at_ms) {
                tally.stranded += std::mem::take(&mut remaining[index]);
            }
            last_arrival[index] = arrival.at_ms;
            match remaining[index] >= arrival.max_tokens {
                true => {
                    remaining[index] -= arrival.used_tokens;
                    tally.served += arrival.used_tokens;
                }
                false => tally.refused += 1,
            }
        }
        tally
    }

    /// Boxes lease parts for a fixed time. When a lease expires, its remaining tokens are available
    /// to others, even if the box is unreachable. A box that was suspended dispatches the requests
    /// that it had accepted, also after its lease has expired.
    fn timed_lease(&self) -> Tally {
        let share = self.paid * LEASE_SHARE_PERMILLE / 1_000;
        let mut central = self.paid;
        let mut leases: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        let mut tally = Tally::default();
        for arrival in self.arrivals {
            let (index, now) = (arrival.index, arrival.at_ms);
            let expired: Vec<usize> = leases
                .iter()
                .filter(|(_, (until, _))| *until <= now)
                .map(|(index, _)| *index)
                .collect();
            for index in expired {
                let (_, remaining) = leases.remove(&index).unwrap_or_default();
                central += remaining;
            }
            let is_unreachable = self.is_platform_unreachable(index, now);
            if !is_unreachable
                && leases.get(&index).is_none_or(|(_, remaining)| *remaining < arrival.max_tokens)
            {
                let remaining = leases.remove(&index).map_or(0, |(_, remaining)| remaining);
                let leased = share.min(central + remaining);
                central = central + remaining - leased;
                leases.insert(index, (now + LEASE_MS, leased));
                tally.writes += 1;
            }
            match leases.get_mut(&index) {
                Some((until, remaining)) if *remaining >= arrival.max_tokens => {
                    // If the box resumes after the lease has expired, the tokens have been returned
                    // and are spent twice.
                    if self.dispatched_at(index, now) < *until {
                        *remaining -= arrival.used_tokens;
                    }
                    tally.served += arrival.used_tokens;
                }
                _ => tally.refused += 1,
            }
        }
        tally
    }

    /// Every request is reserved at the platform, and refused while the platform is unreachable.
    fn central_counter(&self) -> Tally {
        let mut remaining = self.paid;
        let mut tally = Tally::default();
        for arrival in self.arrivals {
            let is_unreachable = self.is_platform_unreachable(arrival.index, arrival.at_ms);
            if is_unreachable || remaining < arrival.max_tokens {
                tally.refused += 1;
                continue;
            }
            remaining -= arrival.used_tokens;
            tally.served += arrival.used_tokens;
            // One write to reserve, one to settle.
            tally.writes += 2;
        }
        tally
    }
}
