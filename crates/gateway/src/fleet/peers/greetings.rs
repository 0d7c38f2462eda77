//! Boxes that registered before this one are told of it.
//!
//! A box reads who registered before it. Of those that come later it hears from the store, from which it may be cut off the
//! moment after it registered: then it knows nobody, and has nobody to leave its bills with when it stops. So each box
//! greets the few that registered just before it.

use ledger::Incarnation;
use wire::{Frame, Greeting};

use super::{Peers, requests::TOLD_WITHIN};
use crate::fleet::entry::Entry;

/// Boxes that one greets: any one that stands is enough for a box to know whom to ask, and three may be starting anew.
const GREETED: usize = 3;

impl Peers {
    /// Greets the boxes that registered just before this one did, but for those that it `greeted` before.
    pub fn greet(&self, me: &Entry, version: u64, greeted: &mut Vec<Incarnation>) {
        let before = self.registered_before(version);
        for name in before.into_iter().filter(|name| !greeted.contains(name)).collect::<Vec<_>>() {
            let Some(peer) = self.peer(&name) else { continue };
            let Entry { zone, peer: address, strength, .. } = me.clone();
            let sender = Greeting { zone, peer: address, strength, version };
            let frame = Frame::Greet { to: name.clone(), sender };
            greeted.push(name.clone());
            let peers = self.clone();
            tokio::spawn(async move { peers.ask(&name, &peer, frame, TOLD_WITHIN).await });
        }
    }

    /// The newest boxes with entries older than a version.
    fn registered_before(&self, version: u64) -> Vec<Incarnation> {
        let state = self.state.lock();
        let known = state.known.iter().map(|(name, known)| (known.version, name.clone()));
        let mut before: Vec<(u64, Incarnation)> = known.filter(|(of, _)| *of < version).collect();
        before.sort_unstable_by(|a, b| b.cmp(a));
        before.into_iter().take(GREETED).map(|(_, name)| name).collect()
    }
}
