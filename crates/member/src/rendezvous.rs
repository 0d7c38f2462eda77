//! Rendezvous hashing: all boxes compute the same order of candidates without communication.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Position of `me` among the candidates for `key`; 0 is the owner.
pub fn rank<'a>(key: &str, me: &str, candidates: impl IntoIterator<Item = &'a str>) -> usize {
    let mine = weight(key, me);
    let precedes = |other: &&str| *other != me && (weight(key, other), *other) > (mine, me);
    candidates.into_iter().filter(precedes).count()
}
