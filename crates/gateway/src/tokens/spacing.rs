//! When a box reads and writes the book, by the number of boxes that do.
//!
//! The book is one object, so each settlement that lands makes the concurrent writes of other boxes
//! fail. Settling less often avoids most of these conflicts: on a calm day of 295 boxes, 876 of the
//! 1,337 writes of six keepers met another one.

use std::time::Duration;

/// Number of boxes that may write the book at the configured interval.
const UNSPACED_WRITERS: usize = 3;
/// Largest factor, however many boxes write: what a box has charged since its last settlement
/// counts as lost if it dies.
const MAX_INTERVAL_FACTOR: u32 = 2;

/// Time for each box of the fleet over which those that start together first read the book. If all did
/// so at once, the book would fill the store's link, and none of the reads would end in time: after
/// a loss of power 985 boxes got no configuration for 12 s.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(10);

/// Returns how long a box that does not need the book waits before it first reads it. `part` is a
/// random number from 0 to 1.
pub fn first_read_delay(boxes: u64, part: f64) -> Duration {
    FIRST_READ_SPREAD.mul_f64(boxes as f64 * part)
}

/// Returns the factor by which a box extends the configured interval between settlements that no
/// request waits for.
pub fn interval_factor(writers: usize) -> u32 {
    u32::try_from(writers / UNSPACED_WRITERS)
        .unwrap_or(MAX_INTERVAL_FACTOR)
        .clamp(1, MAX_INTERVAL_FACTOR)
}
