//! How far a settlement ends what a box has to do with the book.

/// Whether a box goes on drawing from the book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ends {
    /// It does.
    Not,
    /// It gives back what it can: another box keeps tokens now.
    Retires,
    /// It ends by plan.
    Leaves,
}
