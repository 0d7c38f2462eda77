//! Which requests are not run any more, because endpoints ended under them.
//!
//! A request may end whoever runs it: the engine crashes over its content. Its caller sends it again, with
//! another id and mostly to another box, and each try takes an endpoint and all that runs there with it. So
//! boxes report to each other which requests an endpoint had when it ended, and a request that several
//! endpoints ended with is not run any more: of nine engines in a model, 3 ended for each such request
//! within 30 s instead of 27.
//!
//! Most requests in a report only ran beside the guilty one, or the endpoint ended for a reason of its own. Two
//! things keep them from harm. They have to be there at several ends, and a request that an endpoint answered
//! whole is not one that ends endpoints, whatever was reported before: without that 920 of 72,000 innocent
//! requests were refused in the model, and none with it (`tests/fleet.rs`).
//!
//! Reports are facts that are only added and grow old. All boxes that know the same reports judge alike, and
//! nothing is agreed; so a report may be heard twice, late, or from any box.

mod answered;
mod fingerprint;
mod registry;
mod report;

pub use fingerprint::Fingerprint;
pub use registry::{Limits, Registry, Verdict};
pub use report::{CRASHES, Finding, Report};
