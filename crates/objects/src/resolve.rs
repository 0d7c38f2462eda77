//! Resolving a write whose answer was lost.
//!
//! A conditional update can only land while the object is still at the version it expected. So
//! after reading back there are three cases, and only one of them allows the same update again.

/// What reading back says about an earlier write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The write took effect.
    Landed,
    /// It did not, and no longer can.
    Lost,
    /// It did not yet, and still could: send the identical update again.
    Open,
}

/// Resolves a write that expected `expected` (0: absent) from the version read back and whether
/// the object carries the writer's mark.
pub fn resolve(expected: u64, read: u64, marked: bool) -> Resolution {
    match (marked, read == expected) {
        (true, _) => Resolution::Landed,
        (false, true) => Resolution::Open,
        (false, false) => Resolution::Lost,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_an_unmoved_version_leaves_the_write_open() {
        let cases = [
            (4, 5, true, Resolution::Landed),
            (4, 4, false, Resolution::Open),
            (4, 6, false, Resolution::Lost),
            (0, 0, false, Resolution::Open),
        ];
        for (expected, read, marked, want) in cases {
            assert_eq!(resolve(expected, read, marked), want);
        }
    }
}
