//! Requests under way at once, by customer and by route.

use std::{collections::HashMap, sync::Arc};

/// Which limit a request ran into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exceeded {
    /// Too many of this customer.
    Customer,
    /// Too many on this route.
    Route,
}

/// Counts of one box.
#[derive(Debug, Default)]
pub struct Limits {
    customers: HashMap<Arc<str>, u32>,
    routes: HashMap<Arc<str>, u32>,
}

impl Limits {
    /// Counts a request in, unless a limit is reached.
    pub fn enter(
        &mut self,
        (customer, most_of_customer): (&Arc<str>, u32),
        (route, most_of_route): (&Arc<str>, u32),
    ) -> Result<(), Exceeded> {
        let of = |counts: &HashMap<Arc<str>, u32>, name| counts.get(name).copied().unwrap_or(0);
        if of(&self.customers, customer) >= most_of_customer {
            return Err(Exceeded::Customer);
        }
        if of(&self.routes, route) >= most_of_route {
            return Err(Exceeded::Route);
        }
        *self.customers.entry(customer.clone()).or_default() += 1;
        *self.routes.entry(route.clone()).or_default() += 1;
        Ok(())
    }

    /// Counts a request out.
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
    fn limits_hold_and_free_again() {
        let mut limits = Limits::default();
        let (customer, route): (Arc<str>, Arc<str>) = ("c".into(), "r".into());
        let mut enter = |most_c, most_r| limits.enter((&customer, most_c), (&route, most_r));
        assert_eq!(enter(2, 9), Ok(()));
        assert_eq!(enter(2, 9), Ok(()));
        assert_eq!(enter(2, 9), Err(Exceeded::Customer));
        assert_eq!(enter(9, 2), Err(Exceeded::Route));
        limits.leave(&customer, &route);
        assert_eq!(limits.enter((&customer, 2), (&route, 2)), Ok(()));
    }
}
