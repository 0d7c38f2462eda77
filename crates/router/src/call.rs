//! A parsed and authenticated call, independent of its protocol.

use std::{sync::Arc, time::Duration};

use balance::Prefix;
use bytes::Bytes;
use config::Caller;
use resource::{Class, Route};
use tokio::time::Instant;

/// What to send to an endpoint.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A chat completion, always streamed from the engine.
    Chat {
        /// Body for the engine.
        body: Bytes,
        /// Limit of output tokens.
        limit: u64,
        /// Whether the caller asked for a stream.
        stream: bool,
        /// Model name in the request.
        model: Arc<str>,
    },
    /// A call to a plain HTTP service.
    Service {
        /// Method.
        method: http::Method,
        /// Path and query after the route's name.
        path: String,
        /// End-to-end headers.
        headers: http::HeaderMap,
        /// Body.
        body: Bytes,
    },
}

/// A call ready to be run.
#[derive(Debug, Clone)]
pub struct Call {
    /// Calling customer and the budget that pays.
    pub caller: Caller,
    /// Request key, unique for the customer.
    pub key: Arc<str>,
    /// Whether the caller chose the key; only then can there be retries.
    pub has_caller_key: bool,
    /// Name of the route.
    pub route_name: Arc<str>,
    /// The route.
    pub route: Arc<Route>,
    /// Most tokens that the call can use; they are reserved before it runs.
    pub worst_case: u64,
    /// Prefix of the prompt, for affinity.
    pub prefix: Prefix,
    /// Hash of the request, to detect a key reused for another request.
    pub fingerprint: u64,
    /// When it was received.
    pub received_at: Instant,
    /// What to send.
    pub payload: Payload,
}

impl Call {
    /// Class of the route.
    pub fn class(&self) -> Class {
        self.route.class
    }

    /// Deadline for the first byte of the answer.
    pub fn deadline(&self) -> Instant {
        self.received_at + Duration::from_millis(self.route.deadline_ms)
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }
}
