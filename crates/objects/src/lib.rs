//! Interface to the platform's object store.
//!
//! [`Store`] offers versioned objects, conditional updates, watches and the list of boxes.
//! `platform::store` implements it over HTTP; tests use an in-memory implementation. A write may
//! have an unknown result besides success and failure: see [`Write`].

mod call;
mod object;
mod resolve;

pub use call::{Calls, Count, Counts, Operation};
pub use object::{Change, Expect, Host, Object, Watch, Write};
pub use resolve::{Resolution, resolve};

use snafu::Snafu;

/// Why a read failed.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    #[snafu(display("the platform did not answer: {reason}"))]
    Unreachable { reason: String },
    /// The platform's rate limit was exceeded.
    #[snafu(display("platform rate limit exceeded"))]
    Limited,
    /// The answer violates the protocol.
    #[snafu(display("malformed answer from the platform: {reason}"))]
    Malformed { reason: String },
}

/// The object store. Implementations bound the time of each call.
#[async_trait::async_trait]
pub trait Store: Send + Sync {
    /// Newest version of an object, `None` if it does not exist.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error>;

    /// All objects of a kind whose names start with `prefix`.
    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error>;

    /// Writes `value` (JSON text, up to 1 MB) if the object is as expected.
    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write;

    /// Deletes the object if its version is `version`.
    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write;

    /// Waits for changes of the kinds after `from`; empty if there were none in time.
    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error>;

    /// The platform's list of boxes, which may be stale.
    async fn hosts(&self) -> Result<Vec<Host>, Error>;
}
