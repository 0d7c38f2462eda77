//! The money side of a running box: one [`Session`] for each incarnation.
//!
//! A session turns the decisions of the `ledger` library into conditional updates: its
//! [`Recorder`] writes the journal in groups, its [`Funds`] draw from, return to and fold into
//! the ledgers. When a session finds its journal sealed it dispatches nothing more; the box opens
//! another session and goes on, and the old one only hands in what it still owes.

mod account;
mod replicas;
mod draw;
mod funds;
mod health;
mod recorder;
mod session;
mod sessions;
mod usage;
pub mod recovery;

pub use funds::{Denial, Funds, Options};
pub use health::Health;
pub use recorder::{Failure, Recorder, Work};
pub use replicas::{Peers, Replicas};
pub use session::{Hold, HoldError, Session};
pub use sessions::{Rejection, Sessions, Setup};
