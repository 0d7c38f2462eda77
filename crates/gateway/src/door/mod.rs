//! Who comes in: callers, the balancer, operators and other boxes.
//!
//! `serve` accepts connections, `handle` takes a request from its head to the last byte of its answer,
//! `pages` answers the balancer and scrapers, and `desk` answers other boxes.

pub mod desk;
pub mod handle;
pub mod pages;
pub mod serve;
