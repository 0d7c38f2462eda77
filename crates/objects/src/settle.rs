//! Resolution of a write whose answer was lost.
//!
//! A conditional write can only take effect while the object has the version that it expects.
//! Reading the object back therefore tells whether the write took effect, can no longer do so, or
//! still might.

/// State of an earlier write after the object was read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect.
    Landed,
    /// The write did not take effect and no longer can.
    Lost,
    /// The write has not taken effect but still might: send the identical one again.
    Open,
}

/// Resolves a write that expected version `expected` (0: absent) from the version that was read
/// back and whether the object carries the writer's mark.
pub fn settle(expected: u64, read: u64, marked: bool) -> Settled {
    match (marked, read == expected) {
        (true, _) => Settled::Landed,
        (false, true) => Settled::Open,
        (false, false) => Settled::Lost,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_write_stays_open_only_at_the_expected_version() {
        let cases = [
            (4, 5, true, Settled::Landed),
            (4, 4, false, Settled::Open),
            (4, 6, false, Settled::Lost),
            (0, 0, false, Settled::Open),
        ];
        for (expected, read, marked, want) in cases {
            assert_eq!(settle(expected, read, marked), want);
        }
    }
}
