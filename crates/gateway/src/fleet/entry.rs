//! What a box says of itself in the store: where it is, and what it can carry.

use std::{net::SocketAddr, sync::Arc};

use ledger::Incarnation;
use objects::Store;
use platform::store::Client;
use serde::{Deserialize, Serialize};

use crate::fleet::keepers::Profile;

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
    pub fn profile(&self) -> Profile {
        let Entry { incarnation, zone, strength, .. } = self;
        Profile { name: incarnation.clone(), zone: zone.clone(), strength: *strength }
    }
}

/// Removes the entry of a box that ends by plan.
pub async fn remove(store: &Client, me: &Incarnation, version: u64) {
    let removed = store.delete(BOXES, me.box_name(), version).await;
    tracing::info!(event = "box_removed", outcome = ?removed);
}
