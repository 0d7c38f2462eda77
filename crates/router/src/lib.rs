//! The router daemon as a library: everything between a caller and an endpoint.
//!
//! [`Router::spawn`] starts one; [`Router::stop`] is the planned stop. The way of a request:
//! [`http`](self) reads it, `requests` joins retries, `drive` takes it through claim, money and
//! dispatch, `relay` passes the answer on, and a `transcript` keeps it for whoever asks again.

mod answer;
mod answers;
mod api;
mod call;
mod chat;
mod claims;
mod dispatch;
mod drive;
mod endpoints;
mod flight;
mod follow;
mod keeper;
mod lanes;
mod metrics;
mod outcome;
mod peers;
mod places;
mod relay;
mod relayed;
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
mod texts;
mod tickets;
mod transcript;
mod turn;

pub use outcome::{Reason, Refusal, Unknown};
pub use router::{Error, Router};
pub use settings::{Limits, Listen, LogFormat, LogSettings, Money, PlatformSettings, Settings};
