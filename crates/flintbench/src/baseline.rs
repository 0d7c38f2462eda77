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
const LEASE_SHARE: u64 = 20;

/// A fault of a box. Times are in milliseconds since the start of the load.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The platform is unreachable from the box.
    Cut { index: usize, from: u64, to: u64 },
    /// The box is suspended; requests that arrive meanwhile are dispatched when it resumes.
    Frozen { index: usize, from: u64, to: u64 },
    /// The box dies and restarts without state.
    Crash { index: usize, at: u64 },
}

/// A load with faults, on which the baselines are run.
pub struct World<'a> {
    /// Requests in order of arrival.
    pub arrivals: &'a [Arrival],
    /// Faults in effect during the load.
    pub faults: &'a [Fault],
    /// Number of boxes.
    pub boxes: usize,
    /// Tokens paid, of all budgets.
    pub paid: u64,
    /// Duration of the load, in milliseconds.
    pub lasting: u64,
}

#[derive(Debug, Default)]
struct Tally {
    refused: u64,
    served: u64,
    stranded: u64,
    writes: u64,
}

impl World<'_> {
    fn is_cut(&self, index: usize, now: u64) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Cut { index: cut, from, to } => *cut == index && (*from..*to).contains(&now),
            Fault::Frozen { .. } | Fault::Crash { .. } => false,
        })
    }

    /// Returns when a request that arrives now is dispatched.
    fn wakes(&self, index: usize, now: u64) -> u64 {
        let frozen = self.faults.iter().find_map(|fault| match fault {
            Fault::Frozen { index: frozen, from, to }
                if *frozen == index && (*from..*to).contains(&now) =>
            {
                Some(*to)
            }
            _ => None,
        });
        frozen.unwrap_or(now)
    }

    fn crashes(&self, index: usize, from: u64, to: u64) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Crash { index: dead, at } => *dead == index && *at > from && *at <= to,
            Fault::Cut { .. } | Fault::Frozen { .. } => false,
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
        let seconds = self.lasting as f64 / 1_000.0;
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
        let mut left = vec![part; self.boxes];
        let mut tally = Tally { writes: self.boxes as u64, ..Tally::default() };
        let mut last = vec![0; self.boxes];
        for arrival in self.arrivals {
            let index = arrival.index;
            if self.crashes(index, last[index], arrival.at) {
                tally.stranded += std::mem::take(&mut left[index]);
            }
            last[index] = arrival.at;
            match left[index] >= arrival.worst {
                true => {
                    left[index] -= arrival.used;
                    tally.served += arrival.used;
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
        let share = self.paid * LEASE_SHARE / 1_000;
        let mut central = self.paid;
        let mut leases: BTreeMap<usize, (u64, u64)> = BTreeMap::new();
        let mut tally = Tally::default();
        for arrival in self.arrivals {
            let (index, now) = (arrival.index, arrival.at);
            let expired: Vec<usize> = leases
                .iter()
                .filter(|(_, (until, _))| *until <= now)
                .map(|(index, _)| *index)
                .collect();
            for index in expired {
                let (_, rest) = leases.remove(&index).unwrap_or_default();
                central += rest;
            }
            let cut = self.is_cut(index, now);
            if !cut && leases.get(&index).is_none_or(|(_, rest)| *rest < arrival.worst) {
                let rest = leases.remove(&index).map_or(0, |(_, rest)| rest);
                let taken = share.min(central + rest);
                central = central + rest - taken;
                leases.insert(index, (now + LEASE_MS, taken));
                tally.writes += 1;
            }
            match leases.get_mut(&index) {
                Some((until, rest)) if *rest >= arrival.worst => {
                    // If the box resumes after the lease has expired, the tokens have been returned
                    // and are spent twice.
                    if self.wakes(index, now) < *until {
                        *rest -= arrival.used;
                    }
                    tally.served += arrival.used;
                }
                _ => tally.refused += 1,
            }
        }
        tally
    }

    /// Every request is reserved at the platform, and refused while the platform is unreachable.
    fn central_counter(&self) -> Tally {
        let mut left = self.paid;
        let mut tally = Tally::default();
        for arrival in self.arrivals {
            let cut = self.is_cut(arrival.index, arrival.at);
            if cut || left < arrival.worst {
                tally.refused += 1;
                continue;
            }
            left -= arrival.used;
            tally.served += arrival.used;
            // One write to reserve, one to settle.
            tally.writes += 2;
        }
        tally
    }
}
