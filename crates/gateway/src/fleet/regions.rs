//! Which region an availability zone is in, and in which zones a request may be served.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use serde::Deserialize;

/// Regions by availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Regions(HashMap<Arc<str>, Arc<str>>);

impl Regions {
    pub fn new(by_zone: HashMap<Arc<str>, Arc<str>>) -> Regions {
        Regions(by_zone)
    }

    /// The region of a zone; `None` if it is not known.
    pub fn of(&self, zone: &str) -> Option<&Arc<str>> {
        self.0.get(zone)
    }

    /// Whether two zones are in the same region. If the region of one is not known, they count as
    /// near each other.
    pub fn is_same(&self, zone: &str, other: &str) -> bool {
        self.of(zone).is_none() || self.of(other).is_none() || self.of(zone) == self.of(other)
    }

    /// Zones whose region is in each of these lists, of which empty ones allow all regions; `None` if
    /// all lists are empty. A zone whose region is not known is in no list.
    pub fn allowed_zones(&self, lists: &[&[Arc<str>]]) -> Option<BTreeSet<Arc<str>>> {
        let lists = || lists.iter().filter(|list| !list.is_empty());
        lists().next()?;
        let is_allowed = |region: &Arc<str>| lists().all(|list| list.contains(region));
        let zones = self.0.iter().filter(|(_, region)| is_allowed(region));
        Some(zones.map(|(zone, _)| zone.clone()).collect())
    }
}
