//! Whether a box goes on drawing tokens from the book after a settlement.

/// How a box takes part in the book after a settlement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Participation {
    /// It goes on drawing tokens.
    Active,
    /// It returns what it can, as another box is the keeper now.
    Retiring,
    /// It is about to stop.
    Leaving,
}
