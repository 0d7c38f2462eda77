//! Limits the number of concurrent requests, by customer and by route.

use std::{collections::HashMap, sync::Arc};

/// Which limit a request exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exceeded {
    /// Too many requests of this customer.
    Customer,
    /// Too many requests on this route.
    Route,
}

/// Counts of concurrent requests on one box; the limits are passed with each request.
#[derive(Debug, Default)]
pub struct Limits {
    customers: HashMap<Arc<str>, u32>,
    routes: HashMap<Arc<str>, u32>,
}

impl Limits {
    /// Counts a request that begins, unless a limit is reached.
    pub fn enter(
        &mut self,
        (customer, customer_max): (&Arc<str>, u32),
        (route, route_max): (&Arc<str>, u32),
    ) -> Result<(), Exceeded> {
        let count = |counts: &HashMap<Arc<str>, u32>, name| counts.get(name).copied().unwrap_or(0);
        if count(&self.customers, customer) >= customer_max {
            return Err(Exceeded::Customer);
        }
        if count(&self.routes, route) >= route_max {
            return Err(Exceeded::Route);
        }
        *self.customers.entry(customer.clone()).or_default() += 1;
        *self.routes.entry(route.clone()).or_default() += 1;
        Ok(())
    }

    /// Removes a request that ended from the counts.
    pub fn leave(&mut self, customer: &Arc<str>, route: &Arc<str>) {
        for (counts, name) in [(&mut self.customers, customer), (&mut self.routes, route)] {
            if let Some(count) = counts.get_mut(name) {
                *count = count.saturating_sub(1);
            }
        }
        self.customers.retain(|_, count| *count > 0);
        self.routes.retain(|_, count| *count > 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_are_enforced_and_released() {
        let mut limits = Limits::default();
        let (customer, route): (Arc<str>, Arc<str>) = ("c".into(), "r".into());
        let mut enter =
            |customer_max, route_max| limits.enter((&customer, customer_max), (&route, route_max));
        assert_eq!(enter(2, 9), Ok(()));
        assert_eq!(enter(2, 9), Ok(()));
        assert_eq!(enter(2, 9), Err(Exceeded::Customer));
        assert_eq!(enter(9, 2), Err(Exceeded::Route));
        limits.leave(&customer, &route);
        assert_eq!(limits.enter((&customer, 2), (&route, 2)), Ok(()));
    }
}
