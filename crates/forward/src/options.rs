//! Options of connections to endpoints.

use std::time::Duration;

/// Timeouts of connections.
#[derive(Debug, Clone)]
pub struct Options {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// A connection fails when sent bytes stay unacknowledged for this long (`TCP_USER_TIMEOUT`).
    pub ack_timeout: Duration,
    /// Idle timeout where the endpoint sends no `Keep-Alive` timeout.
    pub idle_timeout: Duration,
    /// Connections are not reused during this last part of the idle timeout, since the endpoint may close them.
    pub idle_margin: Duration,
}

impl Options {
    /// How long a connection that carried nothing yet may be reused.
    pub fn reuse_time(&self) -> Duration {
        self.idle_timeout.saturating_sub(self.idle_margin)
    }
}
