//! Lookup tables for the configuration in force.

use std::{collections::HashMap, sync::Arc};

use platform::config::{Config, Customer, Route, Service};
use xxhash_rust::xxh3::xxh3_64;

/// One version of the configuration, indexed.
#[derive(Debug, Default)]
pub struct ConfigTable {
    config: Config,
    /// Indices of a host's routes, the longest prefix first.
    hosts: HashMap<Arc<str>, Vec<usize>>,
    /// Indices of customers by API key.
    keys: HashMap<Arc<str>, usize>,
    services: HashMap<Arc<str>, usize>,
}

impl ConfigTable {
    /// Indexes a configuration.
    pub fn new(config: Config) -> ConfigTable {
        let mut hosts: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (at, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host.into()).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(config.routes[*at].prefix.len()));
        }
        let customers = config.customers.iter().flatten().enumerate();
        let keys = customers.flat_map(|(at, customer)| customer.keys.iter().map(move |k| (k, at)));
        let keys = keys.map(|(key, at)| (key.clone(), at)).collect();
        let services = config.services.iter().enumerate();
        let services = services.map(|(at, service)| (service.name.clone(), at)).collect();
        ConfigTable { hosts, keys, services, config }
    }

    pub fn version(&self) -> u64 {
        self.config.version
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The route for a host (with or without a port) and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&*name)?;
        let mut routes = routes.iter().map(|at| &self.config.routes[*at]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// The customer that owns an API key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let customers = self.config.customers.as_ref()?;
        self.keys.get(key).map(|at| &customers[*at])
    }

    /// Whether requests need an API key.
    pub fn needs_keys(&self) -> bool {
        self.config.customers.is_some()
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|at| &self.config.services[*at])
    }

    /// The service that a request goes to: chosen by weight, and always the same one for the same
    /// id.
    pub fn target<'a>(&self, route: &'a Route, id: &str) -> Option<&'a Arc<str>> {
        let sum: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = xxh3_64(id.as_bytes()) % sum.max(1);
        let chosen = route.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let here = point < weight;
            point = point.saturating_sub(weight);
            here
        });
        chosen.or(route.targets.first()).map(|target| &target.service)
    }
}
