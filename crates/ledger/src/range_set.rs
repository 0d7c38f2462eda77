//! A set of numbers of records or transfers, stored as merged ranges. Numbers are assigned densely,
//! so there are few ranges.

use serde::{Deserialize, Serialize};

/// A set of numbers, as sorted inclusive ranges that are not adjacent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(Vec<(u64, u64)>);

impl RangeSet {
    pub fn contains(&self, n: u64) -> bool {
        let at = self.0.partition_point(|range| range.1 < n);
        self.0.get(at).is_some_and(|range| range.0 <= n)
    }

    /// Adds `n`, merging it with adjacent ranges.
    pub fn insert(&mut self, n: u64) {
        if self.contains(n) {
            return;
        }
        let at = self.0.partition_point(|range| range.1 < n);
        let joins_left = at > 0 && self.0[at - 1].1 + 1 == n;
        let joins_right = self.0.get(at).is_some_and(|range| range.0 == n + 1);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = n,
            (false, true) => self.0[at].0 = n,
            (false, false) => self.0.insert(at, (n, n)),
        }
    }

    pub fn range_count(&self) -> usize {
        self.0.len()
    }
}

impl FromIterator<u64> for RangeSet {
    fn from_iter<I: IntoIterator<Item = u64>>(numbers: I) -> RangeSet {
        let mut set = RangeSet::default();
        numbers.into_iter().for_each(|n| set.insert(n));
        set
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use proptest::prelude::*;

    use super::*;

    proptest! {
        #[test]
        fn matches_a_btree_set(numbers in prop::collection::vec(0u64..60, 0..80)) {
            let mut set = RangeSet::default();
            let mut model = BTreeSet::new();
            for n in numbers {
                set.insert(n);
                model.insert(n);
            }
            for n in 0..62 {
                prop_assert_eq!(set.contains(n), model.contains(&n));
            }
            let starts = model.iter().filter(|n| **n == 0 || !model.contains(&(**n - 1)));
            prop_assert_eq!(set.range_count(), starts.count());
        }
    }
}
