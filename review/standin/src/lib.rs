//! Stand-ins for the review's cases: the platform's store, endpoints, clients, and the daemon as a process.
//!
//! Standard library only. Everything listens on loopback addresses and free ports.

pub mod client;
pub mod daemon;
pub mod endpoint;
pub mod http;
pub mod json;
pub mod record;
pub mod store;

use std::net::{SocketAddr, TcpListener};

/// A loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("a bound address")
}
