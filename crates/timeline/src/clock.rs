//! Hybrid logical clock.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Hybrid logical timestamp: wall-clock milliseconds and a counter that keeps causal order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch, of the most advanced wall clock seen.
    pub ms: u64,
    /// Orders timestamps with the same `ms`.
    pub count: u32,
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.ms, self.count)
    }
}

impl FromStr for Timestamp {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Timestamp, Self::Err> {
        let (ms, count) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Timestamp { ms: ms.parse()?, count: count.parse()? })
    }
}

/// Hybrid logical clock of one process.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// Returns a timestamp later than all issued or observed before.
    pub fn tick(&mut self, wall_ms: u64) -> Timestamp {
        self.last = match wall_ms > self.last.ms {
            true => Timestamp { ms: wall_ms, count: 0 },
            false => Timestamp { ms: self.last.ms, count: self.last.count.saturating_add(1) },
        };
        self.last
    }

    /// Advances the clock past the timestamp of a received message.
    pub fn observe(&mut self, received: Timestamp, wall_ms: u64) {
        self.last = self.last.max(received);
        self.tick(wall_ms);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn effects_are_ordered_after_causes(readings in prop::collection::vec((0u64..50, 0usize..3), 1..60)) {
            let mut clocks = vec![Clock::default(); 3];
            let mut last = Timestamp::default();
            for (wall, at) in readings {
                clocks[at].observe(last, wall);
                let next = clocks[at].tick(wall);
                prop_assert!(next > last);
                last = next;
            }
        }
    }
}
