//! Who comes in: callers, the balancer, operators and other boxes.
//!
//! `serve` accepts connections, `handle` takes a request from its head to the last byte of its answer,
//! `admin` answers the balancer and scrapers, and `peer_service` answers other boxes.

pub mod peer_service;
pub mod handle;
pub mod admin;
pub mod serve;
