//! Bounds on the request heads of a connection.

use std::time::Duration;

use platform::config::Limits;

/// Bounds on the request heads of a connection.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Time within which a head must arrive, including the idle time before it.
    pub head_timeout: Duration,
}

impl Bounds {
    /// Bounds from the configuration.
    pub fn of(limits: &Limits) -> Bounds {
        Bounds {
            max_head_bytes: limits.max_head_bytes,
            head_timeout: Duration::from_millis(limits.idle_timeout_ms),
        }
    }
}
