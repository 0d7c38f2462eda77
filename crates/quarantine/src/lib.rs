//! Quarantine of requests that crash endpoints.
//!
//! The content of a request may crash whichever engine runs it. Its caller sends it again, with
//! another id and usually to another box, and each try takes down an endpoint with all that runs
//! there. So boxes report to each other which requests an endpoint had when it crashed, and a
//! request that was there at several crashes is no longer run.
//!
//! Most requests in a report only ran beside the cause, or the endpoint crashed for a reason of its
//! own. They are protected in two ways: a request is quarantined only after several crashes, and a
//! request that an endpoint answered completely is cleared, whatever was reported before.
//!
//! A single part of prompts may also crash whatever answers it, in requests that differ otherwise: reports name the parts
//! as well, and `suspicion` finds the one that is to blame.
//!
//! Reports are immutable facts that expire. All boxes that know the same reports reach the same
//! verdict without coordination, so a report may be received twice, late, or from any box.

mod answered;
mod fingerprint;
mod prompt;
mod registry;
mod report;
mod suspicion;

pub use fingerprint::Fingerprint;
pub use prompt::{Part, Prompt};
pub use registry::{Limits, Registry, Verdict};
pub use report::{CRASHES, Finding, Report};
