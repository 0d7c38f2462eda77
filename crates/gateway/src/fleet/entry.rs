//! Entries of boxes in the store: address and capacity.

use std::{net::SocketAddr, sync::Arc};

use ledger::Incarnation;
use objects::Store;
use platform::store::Client;
use serde::{Deserialize, Serialize};

use crate::fleet::profile::Profile;

/// Kind of the objects, which are named after the box.
pub const BOXES: &str = "boxes";

/// Entry of a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address on which it serves other boxes.
    pub peer: SocketAddr,
    /// Its capacity.
    #[serde(rename = "strength")]
    pub capacity: u64,
}

impl Entry {
    /// What the choice of keepers and watchers needs to know.
    pub fn profile(&self) -> Profile {
        let Entry { incarnation, zone, capacity, .. } = self;
        Profile { incarnation: incarnation.clone(), zone: zone.clone(), capacity: *capacity }
    }
}

/// Removes the entry of a box in a planned stop.
pub async fn remove(store: &Client, me: &Incarnation, version: u64) {
    let removed = store.delete(BOXES, me.box_name(), version).await;
    tracing::info!(event = "box_removed", outcome = ?removed);
}
