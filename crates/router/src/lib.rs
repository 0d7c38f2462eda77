//! The router daemon as a library: everything between a caller and an endpoint.
//!
//! [`Router::spawn`] starts a router and [`Router::stop`] shuts it down gracefully. A request
//! passes these modules:
//!
//! - `api` parses and authenticates it;
//! - `requests` joins it with a running request of the same key;
//! - `drive` waits for `admission`, reserves tokens, acquires a claim if it must not run twice;
//! - `dispatch` sends it to an endpoint, which `endpoints` chooses;
//! - `relay` (chat completions) or `service` (other calls) reads the answer;
//! - `transcript` buffers a streamed answer for the caller and for retries.

mod accepted;
mod admission;
mod answer;
mod api;
mod background;
mod call;
mod chat;
mod claims;
mod dispatch;
mod drive;
mod endpoints;
mod fallback;
mod in_flight;
mod metrics;
mod outcome;
mod peer_service;
mod peers;
mod places;
mod queues;
mod relay;
mod render;
mod reports;
mod requests;
mod router;
mod runs;
mod scrape;
mod sealer;
mod service;
mod settings;
mod shared;
mod sse;
mod sync;
mod tickets;
mod transcript;

pub use outcome::{Reason, Refusal, Unknown};
pub use router::{Error, Router};
pub use settings::{Limits, Listen, LogFormat, LogSettings, Money, PlatformSettings, Settings};
