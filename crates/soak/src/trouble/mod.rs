//! Endpoints in trouble and callers that come back: does a request run once, and not after a refusal?
//!
//! Such endpoints ([`endpoint`]) work on a request for some time and record from when until when ([`work`]). What goes wrong
//! with it is drawn ([`conduct`]): a refusal from the queue, a second response, a connection that ends while the work goes
//! on. They are suspended, crash, come up again under another name, also as another service, and lose what comes from a box
//! or goes to it. Their callers come back as callers do, each time on a new connection, with a new id or the same one.
//! [`verdict`] compares their tries with the work. All draws have generators of their own, so that the other callers and faults
//! of a seed stay as they are.

pub mod conduct;
pub mod endpoint;
pub mod fault;
pub mod route;
pub mod verdict;
pub mod work;
