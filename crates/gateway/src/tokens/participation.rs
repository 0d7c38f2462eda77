//! Whether a box goes on drawing tokens from the book after a settlement.

/// Whether a box goes on drawing tokens from the book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Participation {
    /// It goes on.
    Active,
    /// It returns what it can, as another box is the keeper now.
    Retiring,
    /// It is about to stop.
    Leaving,
}
