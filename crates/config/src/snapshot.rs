//! All configuration in force on one box.

use std::{collections::BTreeMap, sync::Arc};

use resource::{ApiKey, Budget, Customer, Destroyed, Kind, Pool, Route, Spec};

use crate::Accepted;

/// Who calls, found by API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Customer that calls.
    pub customer: Arc<str>,
    /// Budget that pays.
    pub budget: Arc<str>,
    /// Share against other customers.
    pub weight: u32,
    /// Requests under way at once on one box.
    pub max_in_flight: u32,
}

/// Configuration in force; cheap to clone.
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
    /// Incarnations declared destroyed, by the name of the declaration.
    pub destroyed: BTreeMap<Arc<str>, Arc<Destroyed>>,
    /// Source version in force of each resource, deleted ones included.
    versions: BTreeMap<(Kind, Arc<str>), u64>,
    newest: u64,
    sum: u64,
}

impl Snapshot {
    /// Puts an accepted object in force, unless one as new is in force already.
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
        self.sum = self.sum.wrapping_add(accepted.source - before);
        self.newest = self.newest.max(accepted.source);
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

    /// Source version in force of a resource, 0 if it was never seen.
    pub fn version(&self, kind: Kind, name: &str) -> u64 {
        self.versions.get(&(kind, name.into())).copied().unwrap_or(0)
    }

    /// All versions in force.
    pub fn versions(&self) -> &BTreeMap<(Kind, Arc<str>), u64> {
        &self.versions
    }

    /// The newest source version in force.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Sum of all versions in force: it grows with every change, so a lower one lacks something.
    pub fn sum(&self) -> u64 {
        self.sum
    }

    /// Whether an incarnation was declared destroyed.
    pub fn is_destroyed(&self, incarnation: &str) -> bool {
        self.destroyed.values().any(|spec| &*spec.incarnation == incarnation)
    }

    /// Finds who calls with an API key; the secret is compared in constant time.
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
