//! Inbound connections: callers, the balancer, operators and other boxes.
//!
//! `serve` accepts connections, `handle` serves the requests of callers, `pages` serves readiness
//! checks and metrics, and `desk` serves other boxes.

pub mod desk;
pub mod handle;
pub mod pages;
pub mod serve;
