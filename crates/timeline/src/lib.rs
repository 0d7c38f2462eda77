//! A time line of events over all processes.
//!
//! Each process stamps its events with a hybrid logical clock that travels in frames and request
//! headers, so that merged events never show an effect before its cause, whatever the wall clocks
//! say. Stamps order what people read; no decision rests on them.

mod clock;
mod event;
mod log;
mod merge;

pub use clock::{Clock, Timestamp};
pub use event::{Event, EventKind};
pub use log::Log;
pub use merge::{Filter, merge, parse, render};
