//! Routes: the pool and the limits behind a name that callers use.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// Priority class of requests. Each class may fill a different share of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short answers that a person waits for.
    Interactive,
    /// Streamed answers that a person reads as they arrive.
    Streaming,
    /// Long prompts whose answers are not urgent.
    Long,
}

impl Class {
    /// All classes, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Interactive, Class::Streaming, Class::Long];

    /// Priority sent to the engine; lower values run first.
    pub fn priority(self) -> u8 {
        match self {
            Class::Interactive => 0,
            Class::Streaming => 1,
            Class::Long => 2,
        }
    }

    /// The name used in files and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Interactive => "interactive",
            Class::Streaming => "streaming",
            Class::Long => "long",
        }
    }
}

/// Routes calls to a pool. Its name is a model, or a service under the path `/services/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Pool that serves it.
    pub pool: Arc<str>,
    /// Priority class.
    #[serde(default = "default_class")]
    pub class: Class,
    /// Whether a request may run again after its answer was lost.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Maximum output tokens of one answer; a request may ask for fewer.
    #[serde(default = "default_max_output")]
    pub max_output: u64,
    /// Time limit for the first byte of the answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
    /// Limit of concurrent requests on one box.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// Customers that may use it; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Arc<str>>,
}

fn default_class() -> Class {
    Class::Streaming
}

fn default_repeatable() -> bool {
    true
}

fn default_max_output() -> u64 {
    1_024
}

fn default_deadline_ms() -> u64 {
    10_000
}

fn default_max_body() -> u64 {
    1 << 20
}

fn default_max_in_flight() -> u32 {
    10_000
}

impl Route {
    /// Returns the values that are out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let ranges = [
            ("max_output", self.max_output, 1, 1 << 20),
            ("deadline_ms", self.deadline_ms, 10, 3_600_000),
            ("max_body", self.max_body, 1, 64 << 20),
            ("max_in_flight", self.max_in_flight.into(), 1, 1_000_000),
        ];
        for (path, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                violations.push(Violation::new(path, format!("between {min} and {max}")));
            }
        }
        if !is_name(&self.pool) {
            violations.push(Violation::new("pool", "the name of a pool"));
        }
        for (index, customer) in self.customers.iter().enumerate() {
            if !is_name(customer) {
                violations
                    .push(Violation::new(format!("customers[{index}]"), "the name of a customer"));
            }
        }
        violations
    }
}
