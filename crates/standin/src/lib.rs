//! Stand-ins for the platform, model engines, plain services and network links, for tests.
//!
//! They serve the real protocols over loopback in real time. Faults can be switched on and off
//! while they run, and they record what they executed, against which tests compare responses and
//! bills.

mod api;
mod batch;
mod cache;
mod engine;
mod link;
mod scripted;
mod source_filter;

mod serve;
mod service;
mod store;

pub use api::{Platform, PlatformFaults};
pub use batch::Speed;
pub use engine::{Engine, EngineFaults, Run, Settings, Truth};
pub use link::Link;
pub use scripted::{Broken, Ending, ReceivedRequest, Reply, ScriptedEndpoint, response};
pub use serve::Server;
pub use service::{Execution, Service};
pub use source_filter::drop_sources;
pub use store::{Copy, Memory, Usage};
