//! A whole fleet on loopback for trying out, tests and experiments.
//!
//! It runs real router code against the stand-ins: one platform, a few engines and services, and
//! routers that each have a thread of their own, so that one can be killed or frozen while the
//! others go on. Truth is counted at the stand-ins and compared with what callers were told and
//! what the statements say.

mod audit;
mod caller;
mod fleet;
mod node;
mod samples;

pub use audit::{Audit, Figures};
pub use caller::{Caller, Outcome, Request, Response};
pub use fleet::{Fleet, Plan};
pub use node::Node;
pub use samples::{Sample, api_key, resources};
