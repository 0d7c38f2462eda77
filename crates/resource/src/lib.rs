//! The resources that operators write: their kinds, names, specs and checks.
//!
//! Everything here works offline, so that `flintstall check` and the fleet's own validation give
//! the same verdict. References between resources are checked where all of them are known, in
//! the `config` library.

mod budget;
mod customer;
mod destroyed;
mod file;
mod key;
mod kind;
mod name;
mod pool;
mod route;
mod spec;

pub use budget::{Budget, UnresolvedPolicy};
pub use customer::{Customer, Key};
pub use destroyed::Destroyed;
pub use file::{Document, Error, read};
pub use jsonc::Violation;
pub use key::{ApiKey, hash_secret};
pub use kind::Kind;
pub use name::{MAX_NAME, check_name, is_name};
pub use pool::{Endpoint, Engine, Pool, Workload};
pub use route::{Class, Route};
pub use spec::Spec;
