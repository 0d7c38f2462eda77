//! What bounds a connection.

use std::time::Duration;

use platform::config::Limits;

/// Bounds on a connection.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Bytes of a head.
    pub max_head_bytes: usize,
    /// Time in which a head must arrive, which includes the rest before it.
    pub head_timeout: Duration,
}

impl Bounds {
    /// What the operator allows.
    pub fn of(limits: &Limits) -> Bounds {
        Bounds {
            max_head_bytes: limits.max_head_bytes,
            head_timeout: Duration::from_millis(limits.idle_timeout_ms),
        }
    }
}
