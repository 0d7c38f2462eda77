//! Journal and tokens of a running box: one [`Session`] for each incarnation.
//!
//! A session applies the decisions of the `ledger` crate to the store by conditional updates. Its
//! [`Recorder`] writes the journal by group commit; its [`Funds`] draw tokens from the ledgers, return
//! them and fold the journal's outcomes into the ledgers. When the journal of a session is found sealed,
//! the session dispatches no more requests: the box opens a new session, and the old one only hands in
//! outcomes and returns tokens.

mod account;
mod draw;
mod funds;
mod health;
mod recorder;
pub mod recovery;
mod replicas;
mod session;
mod sessions;
mod usage;

pub use funds::{Funds, Options, ReserveError};
pub use health::Health;
pub use recorder::{IntentError, Operation, Recorder};
pub use replicas::{Peers, Replicas};
pub use session::{Hold, HoldError, Session};
pub use sessions::{Rejection, Sessions, Setup};
