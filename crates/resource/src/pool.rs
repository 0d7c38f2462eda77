//! Pools of endpoints.

use std::{collections::BTreeSet, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Violation, is_name};

/// What the endpoints of a pool serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Workload {
    /// A model engine that batches continuously.
    Model(Engine),
    /// A plain service; each call costs a fixed number of tokens.
    Service {
        /// Tokens charged for a call that ran.
        cost: u64,
    },
}

/// What the router must know of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Fewest bytes of text that one token of its tokenizer stands for; 1 is always safe.
    #[serde(default = "one")]
    pub bytes_per_token: u64,
    /// Requests one endpoint batches at once.
    #[serde(default = "slots")]
    pub slots: u32,
    /// Whether its endpoints refuse orders with an older fence.
    #[serde(default)]
    pub checks_orders: bool,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name, unique over all pools.
    pub name: Arc<str>,
    /// Address with port, such as `10.0.3.7:8000`.
    pub address: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Gets no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Endpoints that serve the same thing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What they serve.
    pub serves: Workload,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

fn one() -> u64 {
    1
}

fn slots() -> u32 {
    32
}

impl Pool {
    /// Values out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut need = |fits: bool, path: String, allowed: &str| {
            if !fits {
                found.push(Violation::new(path, allowed));
            }
        };
        match &self.serves {
            Workload::Model(engine) => {
                let bytes = (1..=16).contains(&engine.bytes_per_token);
                need(bytes, "serves.model.bytes_per_token".into(), "between 1 and 16");
                let slots = (1..=4_096).contains(&engine.slots);
                need(slots, "serves.model.slots".into(), "between 1 and 4096");
            }
            Workload::Service { cost } => {
                need(*cost <= 1 << 30, "serves.service.cost".into(), "at most 1073741824");
            }
        }
        let mut names = BTreeSet::new();
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            let at = |key: &str| format!("endpoints[{index}].{key}");
            need(is_name(&endpoint.name), at("name"), "a name");
            need(names.insert(&endpoint.name), at("name"), "unique in the pool");
            need(is_name(&endpoint.zone), at("zone"), "the name of an availability zone");
            let address = endpoint.address.parse::<std::net::SocketAddr>().is_ok();
            need(address, at("address"), "an IP number with a port");
        }
        found
    }

    /// Cost of the prompt of a request with `bytes` of text, never too little.
    pub fn max_prompt_tokens(&self, bytes: u64) -> u64 {
        match &self.serves {
            Workload::Model(engine) => bytes.div_ceil(engine.bytes_per_token),
            Workload::Service { .. } => 0,
        }
    }
}
