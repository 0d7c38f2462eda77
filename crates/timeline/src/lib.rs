//! A causally ordered timeline of the events of all processes.
//!
//! Each process timestamps its events with a hybrid logical clock. Timestamps travel in messages
//! and request headers, so no event is ordered before its cause even if wall clocks disagree.
//! They only order what is displayed; no decision depends on them.

mod clock;
mod event;
mod log;
mod merge;

pub use clock::{Clock, Timestamp};
pub use event::{Event, EventKind};
pub use log::Log;
pub use merge::{Filter, merge, parse, render};
