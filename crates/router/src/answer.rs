//! A whole answer that is not a stream.

use bytes::Bytes;

/// A whole answer that is not a stream.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers passed on.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}
