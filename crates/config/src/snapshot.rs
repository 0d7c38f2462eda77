//! All configuration applied on one box.

use std::{collections::BTreeMap, sync::Arc};

use resource::{ApiKey, Budget, Customer, Destroyed, Kind, Pool, Route, Spec};

use crate::Accepted;

/// The owner of an API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The customer.
    pub customer: Arc<str>,
    /// The budget that pays for requests with this key.
    pub budget: Arc<str>,
    /// Weight against other customers in a queue.
    pub weight: u32,
    /// Limit of concurrent requests on one box.
    pub max_in_flight: u32,
}

/// Applied configuration; specs are shared between clones.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Budgets by name.
    pub budgets: BTreeMap<Arc<str>, Arc<Budget>>,
    /// Customers by name.
    pub customers: BTreeMap<Arc<str>, Arc<Customer>>,
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, Arc<Pool>>,
    /// Routes by name.
    pub routes: BTreeMap<Arc<str>, Arc<Route>>,
    /// Declarations of destroyed incarnations, by name.
    pub destroyed: BTreeMap<Arc<str>, Arc<Destroyed>>,
    /// Applied source version of each resource, deleted ones included.
    versions: BTreeMap<(Kind, Arc<str>), u64>,
    newest_version: u64,
    version_sum: u64,
}

impl Snapshot {
    /// Applies an accepted object; false if one as new is already applied.
    pub fn apply(&mut self, accepted: &Accepted) -> Result<bool, jsonc::Error> {
        let id = (accepted.kind, accepted.name.clone());
        if self.versions.get(&id).is_some_and(|version| *version >= accepted.source) {
            return Ok(false);
        }
        let name = accepted.name.clone();
        match accepted.decode()? {
            None => self.remove(accepted.kind, &name),
            Some(Spec::Budget(spec)) => {
                self.budgets.insert(name, spec.into());
            }
            Some(Spec::Customer(spec)) => {
                self.customers.insert(name, spec.into());
            }
            Some(Spec::Pool(spec)) => {
                self.pools.insert(name, spec.into());
            }
            Some(Spec::Route(spec)) => {
                self.routes.insert(name, spec.into());
            }
            Some(Spec::Destroyed(spec)) => {
                self.destroyed.insert(name, spec.into());
            }
        }
        let before = self.versions.insert(id, accepted.source).unwrap_or(0);
        self.version_sum = self.version_sum.wrapping_add(accepted.source - before);
        self.newest_version = self.newest_version.max(accepted.source);
        Ok(true)
    }

    fn remove(&mut self, kind: Kind, name: &str) {
        match kind {
            Kind::Budget => drop(self.budgets.remove(name)),
            Kind::Customer => drop(self.customers.remove(name)),
            Kind::Pool => drop(self.pools.remove(name)),
            Kind::Route => drop(self.routes.remove(name)),
            Kind::Destroyed => drop(self.destroyed.remove(name)),
        }
    }

    /// Applied source version of a resource, 0 if there is none.
    pub fn version(&self, kind: Kind, name: &str) -> u64 {
        self.versions.get(&(kind, name.into())).copied().unwrap_or(0)
    }

    /// All applied source versions.
    pub fn versions(&self) -> &BTreeMap<(Kind, Arc<str>), u64> {
        &self.versions
    }

    /// The newest applied source version.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Sum of all applied source versions. It grows with every change, so a box with a lower sum
    /// lacks a change.
    pub fn version_sum(&self) -> u64 {
        self.version_sum
    }

    /// Whether an incarnation was declared destroyed.
    pub fn is_destroyed(&self, incarnation: &str) -> bool {
        self.destroyed.values().any(|spec| &*spec.incarnation == incarnation)
    }

    /// The owner of an API key; the secret is compared in constant time.
    pub fn caller(&self, api_key: &str) -> Option<Caller> {
        let secret = ApiKey::parse(api_key)?;
        let customer = self.customers.get(secret.customer)?;
        let key = customer.keys.get(secret.key).filter(|key| secret.matches(key))?;
        Some(Caller {
            customer: secret.customer.into(),
            budget: key.budget.clone(),
            weight: customer.weight,
            max_in_flight: customer.max_in_flight,
        })
    }
}
