//! Interval between a box's settlements, by the number of boxes that write the book.
//!
//! The book is one object, so each settlement that lands makes the concurrent writes of other boxes
//! fail. Settling less often avoids most of these conflicts: on a calm day of 295 boxes, 876 of the
//! 1,337 writes of six keepers met another one.

/// Number of boxes that may write the book at the configured interval.
const UNSPACED_WRITERS: usize = 3;
/// Largest factor, however many boxes write: what a box has charged since its last settlement
/// counts as lost if it dies.
const MAX_INTERVAL_FACTOR: u32 = 2;

/// Returns the factor by which a box extends the configured interval between settlements that no
/// request waits for.
pub fn interval_factor(writers: usize) -> u32 {
    u32::try_from(writers / UNSPACED_WRITERS)
        .unwrap_or(MAX_INTERVAL_FACTOR)
        .clamp(1, MAX_INTERVAL_FACTOR)
}
