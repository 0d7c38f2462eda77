//! Random numbers that depend only on what they are for, so all designs meet the same day.

/// A hash of two numbers (the finalizer of SplitMix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(b).wrapping_add(0x632b_e59b);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A uniform number in (0, 1).
pub fn unit(key: u64, purpose: u64) -> f64 {
    ((mix(key, purpose) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// A uniform number between two bounds.
pub fn between(key: u64, purpose: u64, low: f64, high: f64) -> f64 {
    low + unit(key, purpose) * (high - low)
}

/// A uniform index below `count`.
pub fn index(key: u64, purpose: u64, count: usize) -> usize {
    (mix(key, purpose) % count as u64) as usize
}
