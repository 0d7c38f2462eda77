//! The platform's object API as the fleet sees it.
//!
//! [`Store`] is the narrow edge between decisions and the platform: objects with versions,
//! conditional updates, watches and the list of boxes. `platform::store` speaks it over HTTP; tests
//! use the stand-in's own implementation. A write has three results, never two: it landed, it was
//! refused by version, or it is *not known* whether it landed.

mod call;
mod object;
mod resolve;

pub use call::{Calls, Count, Counts, Operation};
pub use object::{Change, Expect, Host, Object, Watch, Write};
pub use resolve::{Resolution, resolve};

use snafu::Snafu;

/// Why a read gave nothing.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No answer in time, or no connection.
    #[snafu(display("the platform did not answer: {reason}"))]
    Unreachable { reason: String },
    /// The platform asked for fewer calls.
    #[snafu(display("the platform's rate is used up"))]
    Limited,
    /// An answer that does not fit the protocol.
    #[snafu(display("the platform's answer was not understood: {reason}"))]
    Malformed { reason: String },
}

/// The object API, bounded in time by whoever implements it.
#[async_trait::async_trait]
pub trait Store: Send + Sync {
    /// Newest version of one object, `None` where there is none.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error>;

    /// All objects of a kind whose names start with `prefix`.
    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error>;

    /// Writes `value` (JSON text, up to 1 MB) if the object is as expected.
    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write;

    /// Deletes the object if its version is `version`.
    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write;

    /// Waits for changes of the kinds after `from`; empty when none came in time.
    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error>;

    /// The platform's list of boxes, which lags.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
