//! Hybrid logical clock.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A moment: wall-clock milliseconds and a counter that keeps causal order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp {
    /// Milliseconds since 1970, as far as the clocks agree.
    pub ms: u64,
    /// Order within the millisecond.
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

/// The clock of one process.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// A stamp later than all before it.
    pub fn tick(&mut self, wall_ms: u64) -> Timestamp {
        self.last = match wall_ms > self.last.ms {
            true => Timestamp { ms: wall_ms, count: 0 },
            false => Timestamp { ms: self.last.ms, count: self.last.count.saturating_add(1) },
        };
        self.last
    }

    /// Takes over a stamp that came with a message.
    pub fn observe(&mut self, seen: Timestamp, wall_ms: u64) {
        self.last = self.last.max(seen);
        self.tick(wall_ms);
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn effects_come_after_causes(walls in prop::collection::vec((0u64..50, 0usize..3), 1..60)) {
            let mut clocks = vec![Clock::default(); 3];
            let mut last = Timestamp::default();
            for (wall, at) in walls {
                clocks[at].observe(last, wall);
                let next = clocks[at].tick(wall);
                prop_assert!(next > last);
                last = next;
            }
        }
    }
}
