//! Handling of one request, from its head to an endpoint and back to the caller.
//!
//! - `admit` resolves the route and the customer, reads the body and reserves tokens;
//! - `dispatch` selects one of the `endpoints`, `attempt` sends the request to it, `next` says where it may go after that;
//! - `relay` streams the response to the caller, `exchange` settles and logs the request;
//! - `refusal` is the response of the box itself, `denial` what a denial rests on;
//! - `crashes` tracks requests that crash endpoints;
//! - `permits` obtains and issues permits for endpoints that name a rate limit;
//! - `announcer` queues what other boxes have to learn about endpoints;
//! - `retries` limits the requests that are sent again, `link` sheds callers when the network link is nearly full.
//!
//! They share the state in `context`.

pub mod admit;
pub mod attempt;
pub mod bounds;
pub mod caller_close;
pub mod crashes;
pub mod denial;
pub mod dispatch;
pub mod endpoints;
pub mod context;
pub mod in_flight;
pub mod link;
pub mod next;
pub mod event_counter;
pub mod refusal;
pub mod relay;
pub mod retries;
pub mod announcer;
pub mod exchange;
pub mod exits;
pub mod origins;
pub mod permits;
