//! A complete fleet on loopback, for demonstrations, tests and experiments.
//!
//! Real routers run against stand-ins of the platform, of engines and of services. Each router has
//! a thread of its own, so that it can be killed or suspended while the others run. [`Audit`]
//! compares what the stand-ins executed with the responses to callers and with the statements.

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
