//! What a box says of itself in the store: where it is, and what it can carry.

use std::{net::SocketAddr, sync::Arc};

use ledger::Incarnation;
use serde::{Deserialize, Serialize};

use crate::order::Place;

/// Kind of the objects, named by box.
pub const BOXES: &str = "boxes";

/// Where a box is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// This life of the box.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where other boxes ask it.
    pub peer: SocketAddr,
    /// What it can carry.
    pub strength: u64,
}

impl Entry {
    /// What the choice of keepers needs.
    pub fn place(&self) -> Place {
        let Entry { incarnation, zone, strength, .. } = self;
        Place { name: incarnation.clone(), zone: zone.clone(), strength: *strength }
    }
}
