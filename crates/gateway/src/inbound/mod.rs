//! Inbound connections: callers, the balancer, operators and other boxes.
//!
//! `serve` accepts connections (`caller_stream`), `handle` serves the requests of callers, `admin` serves readiness
//! checks and metrics, and `peer_service` serves other boxes.

pub mod peer_service;
pub mod handle;
pub mod admin;
pub mod serve;
mod caller_stream;
