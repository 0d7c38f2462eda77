//! Small stand-ins for what the fleet meets: the platform, model engines, plain services, links.
//!
//! They speak the published protocols over loopback, have fault switches that can be set while
//! they run, and count the truth that experiments are judged by. They are no simulator: time is
//! real, and the router code that talks to them is the code that ships.

mod api;
mod batch;
mod cache;
mod engine;
mod link;
mod scripted;

mod serve;
mod service;
mod store;

pub use api::{Faults, Platform};
pub use batch::Speed;
pub use engine::{Engine, Fault, Run, Settings, Truth};
pub use link::Link;
pub use scripted::{ReceivedRequest, Reply, ScriptedEndpoint};
pub use serve::Server;
pub use service::{Execution, Service};
pub use store::{Memory, Usage};
