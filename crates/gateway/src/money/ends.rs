//! Whether a box goes on drawing tokens from the book after a settlement.

/// Whether a box goes on drawing tokens from the book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ends {
    /// It goes on.
    Not,
    /// It returns what it can, as another box is the keeper now.
    Retires,
    /// It is about to stop.
    Leaves,
}
