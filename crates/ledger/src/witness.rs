//! What a box keeps untouched, and the other box that can say so when it has died.
//!
//! A grant can be spent with no word from the platform, so nobody knows how much of it a box had
//! used when it died. A box may therefore name a witness in the book and promise it to keep some
//! tokens untouched. It takes the promise back only with the witness's word. Whoever settles for
//! the dead box asks the witness, which takes no further promise from it: what was promised last
//! is certainly unused, whether that box is dead, paused or cut off. No clock is read.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A box named to know what another one keeps untouched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The box that knows.
    pub by: Incarnation,
    /// Number of this naming, rising with each one. A box may be named again: what it was promised
    /// under an earlier naming does not count any more.
    pub term: u64,
}

/// What a box promises its witness to keep untouched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// Naming under which it is made.
    pub term: u64,
    /// Number of the promise, rising within a naming; the highest one counts.
    pub number: u64,
    /// Tokens by customer; whoever does not stand here has none.
    pub tokens: BTreeMap<Arc<str>, u64>,
}

/// What an earlier life of a box certainly left untouched, by the word of its witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Untouched {
    /// The earlier life.
    pub holder: Incarnation,
    /// Who says so; it must be the witness that the book names.
    pub witness: Witness,
    /// Tokens by customer.
    pub tokens: BTreeMap<Arc<str>, u64>,
}
