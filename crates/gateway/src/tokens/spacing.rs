//! How far apart a box's settlements are, by how many boxes write the book.
//!
//! The book is one object: each settlement that lands makes those void that others are writing. Six boxes
//! that each settle as often as three may make twice as many landings, and more than twice as many calls:
//! on a calm day of 295 boxes 876 of 1,337 writes met another one.

/// Boxes that write the book as often as their settings say.
const FEW: usize = 3;
/// Settlements are so many times further apart at most, however many boxes write: what a box charged since
/// the last one counts as lost if it dies.
const MOST: u32 = 2;

/// How many times as long as its settings say a box waits between settlements that no request waits for.
pub fn interval_factor(writers: usize) -> u32 {
    u32::try_from(writers / FEW).unwrap_or(MOST).clamp(1, MOST)
}
