//! The way of a request through a box, from its head to an endpoint and back.
//!
//! `admit` finds its route and customer and holds its tokens, `dispatch` chooses among `endpoints` and
//! sends, `relay` passes the answer on, `exchange` settles, and `refusal` says what a caller is told instead.
//! `crashes` knows which requests endpoints ended with, `permits` who may send to endpoints that name a limit,
//! and `announcer` passes on what other boxes should hear of endpoints.
//! `context` is what all of these work with.

pub mod admit;
pub mod bounds;
pub mod crashes;
pub mod dispatch;
pub mod endpoints;
pub mod context;
pub mod link;
pub mod event_counter;
pub mod refusal;
pub mod relay;
pub mod retries;
pub mod announcer;
pub mod exchange;
pub mod permits;
