//! Sample resources, in the form in which operators write them.

use std::net::SocketAddr;

use resource::hash_secret;
use serde_json::{Value, json};

/// Secret of every sample API key.
const SECRET: &str = "sample-secret";

/// The API key of a sample customer; requests with it are charged to `budget`.
pub fn api_key(customer: &str, budget: &str) -> String {
    format!("{customer}.{budget}.{SECRET}")
}

/// Parameters of the sample resources.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Customers, each with its budgets and the tokens paid for each.
    pub customers: Vec<(String, Vec<(String, u64)>)>,
    /// Model endpoints, each with its zone.
    pub engines: Vec<(SocketAddr, String)>,
    /// Service endpoints, each with its zone.
    pub services: Vec<(SocketAddr, String)>,
    /// Offline share in thousandths, if not the default.
    pub offline_share: Option<u64>,
    /// Cost of a service call, in tokens.
    pub cost: u64,
    /// Largest number of output tokens in a response.
    pub max_output: u64,
}

/// The resources as kind, name and spec.
pub fn resources(sample: &Sample) -> Vec<(&'static str, String, Value)> {
    let mut found = Vec::new();
    for (customer, budgets) in &sample.customers {
        let mut keys = serde_json::Map::new();
        for (budget, paid) in budgets {
            keys.insert(budget.clone(), json!({"sha256": hash_secret(SECRET), "budget": budget}));
            let mut spec = json!({"customer": customer, "paid": paid});
            if let Some(share) = sample.offline_share {
                spec["offline_share"] = share.into();
            }
            found.push(("budget", budget.clone(), spec));
        }
        found.push(("customer", customer.clone(), json!({"keys": keys})));
    }
    let list = |prefix: &str, endpoints: &[(SocketAddr, String)]| -> Vec<Value> {
        let named = endpoints.iter().enumerate();
        named
            .map(|(index, (address, zone))| {
                let name = format!("{prefix}-{index}");
                json!({"name": name, "address": address.to_string(), "zone": zone})
            })
            .collect()
    };
    let model = json!({"model": {"bytes_per_token": 4}});
    let engines = list("engine", &sample.engines);
    found.push(("pool", "models".into(), json!({"serves": model, "endpoints": engines})));
    let service = json!({"service": {"cost": sample.cost}});
    let services = list("booking", &sample.services);
    found.push(("pool", "bookings".into(), json!({"serves": service, "endpoints": services})));
    let route = |pool: &str, class: &str, repeatable: bool| {
        json!({
            "pool": pool, "class": class, "repeatable": repeatable,
            "max_output": sample.max_output,
        })
    };
    found.push(("route", "assistant".into(), route("models", "streaming", true)));
    found.push(("route", "calendar".into(), route("models", "long", true)));
    found.push(("route", "lookup".into(), route("bookings", "interactive", true)));
    found.push(("route", "cancel".into(), route("bookings", "interactive", false)));
    found
}
