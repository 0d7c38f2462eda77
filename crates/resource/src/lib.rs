//! The resources that operators write: kinds, names, specs and validation.
//!
//! Validation needs no platform, so `flintstall check` and the fleet give the same result.
//! Each resource is validated on its own: references to other resources are not checked.

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
pub use name::{MAX_NAME_BYTES, check_name, is_name};
pub use pool::{Endpoint, Engine, Pool, Workload};
pub use route::{Class, Route};
pub use spec::Spec;
