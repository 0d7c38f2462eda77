//! Resolution of a write whose answer was lost.
//!
//! A conditional write can only take effect while the object has the version that it expects.
//! Reading the object back therefore tells whether the write took effect, can no longer do so, or
//! still might.

/// State of an earlier write after the object was read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The write took effect.
    Landed,
    /// The write did not take effect and no longer can.
    Lost,
    /// The write has not taken effect but still might: send the identical one again.
    Open,
}

/// Resolves a write that expected version `expected` (0: absent) from the version that was read
/// back and whether the object carries the writer's mark.
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
    fn a_write_stays_open_only_at_the_expected_version() {
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
