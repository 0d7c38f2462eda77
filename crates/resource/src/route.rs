//! Routes: the name that callers use, the pool behind it, and its limits.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// Kinds of work that never wait behind each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits at a desk: confirmations, pings, short answers.
    Interactive,
    /// A streamed answer that someone reads as it comes.
    Streaming,
    /// Long prompts whose answer may take its time.
    Long,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Streaming, Class::Long];

    /// Priority sent to the engine; smaller is sooner.
    pub fn priority(self) -> u8 {
        match self {
            Class::Interactive => 0,
            Class::Streaming => 1,
            Class::Long => 2,
        }
    }

    /// The name used in files, metrics and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Streaming => "streaming",
            Class::Long => "long",
        }
    }
}

/// Where calls by one name go. For models the name is the model's, for services the path's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// Kind of work.
    #[serde(default = "streaming")]
    pub class: Class,
    /// Whether a request may run again after a lost answer.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Most output tokens of one answer; a request may ask for fewer.
    #[serde(default = "output")]
    pub max_output: u64,
    /// How long a caller waits for the first byte, in milliseconds.
    #[serde(default = "deadline")]
    pub deadline_ms: u64,
    /// Largest body, in bytes.
    #[serde(default = "body")]
    pub max_body: u64,
    /// Requests under way at once on one box.
    #[serde(default = "in_flight")]
    pub max_in_flight: u32,
    /// Customers that may use it; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Arc<str>>,
}

fn streaming() -> Class {
    Class::Streaming
}

fn yes() -> bool {
    true
}

fn output() -> u64 {
    1_024
}

fn deadline() -> u64 {
    10_000
}

fn body() -> u64 {
    1 << 20
}

fn in_flight() -> u32 {
    10_000
}

impl Route {
    /// Values out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let ranges = [
            ("max_output", self.max_output, 1, 1 << 20),
            ("deadline_ms", self.deadline_ms, 10, 3_600_000),
            ("max_body", self.max_body, 1, 64 << 20),
            ("max_in_flight", self.max_in_flight.into(), 1, 1_000_000),
        ];
        for (path, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                found.push(Violation::new(path, format!("between {least} and {most}")));
            }
        }
        if !is_name(&self.pool) {
            found.push(Violation::new("pool", "the name of a pool"));
        }
        for (index, customer) in self.customers.iter().enumerate() {
            if !is_name(customer) {
                found.push(Violation::new(format!("customers[{index}]"), "the name of a customer"));
            }
        }
        found
    }
}
