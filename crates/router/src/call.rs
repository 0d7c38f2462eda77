//! One call as the router understands it, whatever protocol it came by.

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
        /// Most output tokens.
        limit: u64,
        /// Whether the caller wants a stream.
        stream: bool,
        /// Model name as the caller gave it.
        model: Arc<str>,
    },
    /// A call of a plain service.
    Service {
        /// Method.
        method: http::Method,
        /// Path and query after the route's name.
        path: String,
        /// Headers passed on.
        headers: http::HeaderMap,
        /// Body.
        body: Bytes,
    },
}

/// A call that may be driven.
#[derive(Debug, Clone)]
pub struct Call {
    /// Who calls and pays.
    pub caller: Caller,
    /// Request key, unique for the customer.
    pub key: Arc<str>,
    /// Whether the caller chose the key, so that retries may come.
    pub keyed: bool,
    /// Name of the route.
    pub route_name: Arc<str>,
    /// Where it goes.
    pub route: Arc<Route>,
    /// Worst case, in tokens.
    pub worst: u64,
    /// Start of the prompt, for affinity.
    pub prefix: Prefix,
    /// Hash of the request, against a key used twice.
    pub fingerprint: u64,
    /// When it came.
    pub came: Instant,
    /// What to send.
    pub payload: Payload,
}

impl Call {
    /// Kind of work.
    pub fn class(&self) -> Class {
        self.route.class
    }

    /// When the caller stops waiting for the first byte.
    pub fn deadline(&self) -> Instant {
        self.came + Duration::from_millis(self.route.deadline_ms)
    }

    /// Time left until then.
    pub fn left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }
}
