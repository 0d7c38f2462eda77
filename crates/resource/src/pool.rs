//! Endpoint pools.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// What the endpoints of a pool serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Workload {
    /// A model engine with continuous batching.
    Model(Engine),
    /// A plain HTTP service; each call costs a fixed number of tokens.
    Service {
        /// Tokens charged for each call that ran.
        cost: u64,
    },
}

/// Properties of a model engine that routing and billing depend on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Lower bound of the bytes of text per token; 1 is safe for any tokenizer.
    #[serde(default = "default_bytes_per_token")]
    pub bytes_per_token: u64,
    /// Requests that one endpoint batches at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether its endpoints reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_orders: bool,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name, unique across all pools; [`Pool::check`] verifies this within one pool only.
    pub name: Arc<str>,
    /// Address with port, such as `10.0.3.7:8000`.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether it gets no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Endpoints that serve the same model or service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What they serve.
    pub serves: Workload,
    pub endpoints: Vec<Endpoint>,
}

fn default_bytes_per_token() -> u64 {
    1
}

fn default_slots() -> u32 {
    32
}

impl Pool {
    /// Returns the values that are out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut require = |is_valid: bool, path: String, allowed: &str| {
            if !is_valid {
                violations.push(Violation::new(path, allowed));
            }
        };
        match &self.serves {
            Workload::Model(engine) => {
                let bytes = (1..=16).contains(&engine.bytes_per_token);
                require(bytes, "serves.model.bytes_per_token".into(), "between 1 and 16");
                let slots = (1..=4_096).contains(&engine.slots);
                require(slots, "serves.model.slots".into(), "between 1 and 4096");
            }
            Workload::Service { cost } => {
                require(*cost <= 1 << 30, "serves.service.cost".into(), "at most 1073741824");
            }
        }
        let mut names = BTreeSet::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let key_path = |key: &str| format!("endpoints[{index}].{key}");
            require(is_name(&endpoint.name), key_path("name"), "a name");
            require(names.insert(&endpoint.name), key_path("name"), "unique in the pool");
            require(is_name(&endpoint.zone), key_path("zone"), "the name of an availability zone");
            let address = endpoint.address.parse::<std::net::SocketAddr>().is_ok();
            require(address, key_path("address"), "an IP address with a port");
        }
        violations
    }

    /// Upper bound of the prompt tokens in `bytes` of text.
    pub fn max_prompt_tokens(&self, bytes: u64) -> u64 {
        match &self.serves {
            Workload::Model(engine) => bytes.div_ceil(engine.bytes_per_token),
            Workload::Service { .. } => 0,
        }
    }
}
