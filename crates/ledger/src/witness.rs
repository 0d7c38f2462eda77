//! Promises to keep tokens unused, and the witness that can confirm them after the box has died.
//!
//! A box spends its grant without contacting the platform, so nobody knows how much of it was used
//! when the box dies. A box may therefore name a witness in the book and promise it to keep some
//! tokens unused. It takes a promise back only after the witness has accepted the next one. Whoever
//! settles for the dead box asks the witness, which from then on accepts no promise from it. So the
//! tokens of the last promise are certainly unused, whether that box is dead, suspended or
//! partitioned. This does not depend on a clock.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// A box that was named to record another one's promises.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The box that records the promises.
    pub by: Incarnation,
    /// Number of the naming, increasing with each one. A box may be named again; its promises under
    /// an earlier term no longer hold.
    pub term: u64,
}

/// A promise to the witness to keep tokens unused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// Term of the witness under which the promise is made.
    pub term: u64,
    /// Number of the promise, increasing within a term. The promise with the highest number holds.
    pub number: u64,
    /// Promised tokens by customer; none for a customer that is not listed.
    pub tokens: BTreeMap<Arc<str>, u64>,
}

/// Tokens that an earlier incarnation of a box certainly left unused, as confirmed by its witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unused {
    /// The earlier incarnation.
    pub holder: Incarnation,
    /// The witness that confirms it; it must be the one that the book names.
    pub witness: Witness,
    /// Tokens by customer.
    pub tokens: BTreeMap<Arc<str>, u64>,
}
