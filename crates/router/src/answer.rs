//! A complete answer, not streamed.

use bytes::Bytes;

/// A complete answer, not streamed.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}
