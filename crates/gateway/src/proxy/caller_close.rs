//! What closing the connection of a caller says of the response on it.

use std::sync::Arc;

use parking_lot::Mutex;

/// Meaning of a close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Meaning {
    /// Nothing: the response is framed by a length or chunks.
    #[default]
    Nothing,
    /// The end of a response of which more is to come.
    Early,
    /// The end of a whole response.
    Whole,
}

/// Meaning of the close of one connection, shared by the connection and the response on it.
#[derive(Debug, Clone, Default)]
pub struct CallerClose(Arc<Mutex<Meaning>>);

impl CallerClose {
    /// A response begins that ends with the connection.
    pub fn begin(&self) {
        *self.0.lock() = Meaning::Early;
    }

    /// That response is whole.
    pub fn finish(&self) {
        *self.0.lock() = Meaning::Whole;
    }

    /// What a close says now.
    pub fn meaning(&self) -> Meaning {
        *self.0.lock()
    }
}
