//! How much a box draws from and returns to a ledger in its next write.

use ledger::{Draw, Ledger, Target};

/// Free tokens of a box, and tokens that it needs at once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Free {
    /// Free online tokens.
    pub online: u64,
    /// Free offline tokens.
    pub offline: u64,
    /// Tokens that a waiting request needs online.
    pub need: u64,
}

/// Tokens to draw to reach the target, limited by what the ledger has left.
///
/// The need comes first, then the online part is filled, then the offline part. If the need cannot be
/// met, the draw asks for the missing tokens instead, so that other boxes return their surplus.
pub fn top_up(ledger: &Ledger, target: Target, free: Free) -> Draw {
    let left = ledger.left();
    let missing = free.need.saturating_sub(free.online);
    if missing > left {
        return Draw { wanted: missing - left, ..Draw::default() };
    }
    let online = target.online.saturating_sub(free.online).max(missing).min(left);
    let offline = target.offline.saturating_sub(free.offline).min(left - online);
    // A top-up waits until it is at least half of the target, to save writes.
    let large_enough = |tokens: u64, target: u64| if tokens * 2 >= target { tokens } else { 0 };
    Draw {
        online: if missing > 0 { online } else { large_enough(online, target.online) },
        offline: large_enough(offline, target.offline),
        ..Draw::default()
    }
}

/// Tokens to return: those above the target, if the box holds more than twice the target or if others
/// lack tokens.
pub fn surplus(target: Target, free: Free, wanted_by_others: u64) -> Draw {
    let over = |free: u64, target: u64| match wanted_by_others > 0 {
        true => free.saturating_sub(target),
        false if free > target * 2 => free - target,
        false => 0,
    };
    Draw {
        return_online: over(free.online, target.online),
        return_offline: over(free.offline, target.offline),
        ..Draw::default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn need_comes_first_and_shortage_is_requested() {
        let ledger = Ledger { paid: 100, ..Ledger::default() };
        let target = Target { online: 50, offline: 20 };
        let cases = [
            (
                Free { need: 10, ..Free::default() },
                Draw { online: 50, offline: 20, ..Draw::default() },
            ),
            (
                Free { need: 90, ..Free::default() },
                Draw { online: 90, offline: 10, ..Draw::default() },
            ),
            (Free { need: 130, ..Free::default() }, Draw { wanted: 30, ..Draw::default() }),
            (Free { online: 40, offline: 15, need: 0 }, Draw::default()),
        ];
        for (free, want) in cases {
            assert_eq!(top_up(&ledger, target, free), want, "{free:?}");
        }
    }

    #[test]
    fn surplus_is_larger_while_others_lack_tokens() {
        let target = Target { online: 50, offline: 20 };
        let free = Free { online: 90, offline: 50, need: 0 };
        let without_demand = surplus(target, free, 0);
        assert_eq!((without_demand.return_online, without_demand.return_offline), (0, 30));
        let with_demand = surplus(target, free, 1);
        assert_eq!((with_demand.return_online, with_demand.return_offline), (40, 30));
    }
}
