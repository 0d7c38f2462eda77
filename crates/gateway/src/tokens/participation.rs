//! How far a settlement ends what a box has to do with the book.

/// Whether a box goes on drawing from the book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Participation {
    /// It does.
    Active,
    /// It gives back what it can: another box keeps tokens now.
    Retiring,
    /// It ends by plan.
    Leaving,
}
