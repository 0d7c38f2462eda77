//! Resolving a write whose answer was lost.
//!
//! A conditional update can only land while the object is still at the version it expected. So
//! after reading back there are three cases, and only one of them allows the same update again.

/// What reading back says about an earlier write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// The write took effect.
    Landed,
    /// It did not, and no longer can.
    Lost,
    /// It did not yet, and still could: send the identical update again.
    Open,
}

/// Resolves a write that expected `expected` (0: absent) from the version read back and whether
/// the object carries the writer's mark.
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
    fn only_an_unmoved_version_leaves_the_write_open() {
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
