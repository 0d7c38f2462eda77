//! Announcement of this box to those that registered before it.
//!
//! A box reads the entries of boxes that registered before it, and learns of later ones from the
//! store. If it loses the store right after it registered, it may know no box that could take over
//! its bills when it stops. Each new box therefore announces itself to the few that registered last.

use ledger::Incarnation;
use wire::{Frame, Greeting};

use super::{Peers, requests::NOTIFY_TIMEOUT};
use crate::fleet::entry::Entry;

/// Boxes that are notified. A single one is enough to know whom to ask; a few more cover restarts.
const MAX_GREETED: usize = 3;

impl Peers {
    /// Announces this box to those that registered just before it, except those in `greeted`.
    pub fn greet(&self, me: &Entry, version: u64, greeted: &mut Vec<Incarnation>) {
        let before = self.registered_before(version);
        for name in before.into_iter().filter(|name| !greeted.contains(name)).collect::<Vec<_>>() {
            let Some(peer) = self.peer(&name) else { continue };
            let Entry { zone, peer: address, capacity, .. } = me.clone();
            let sender = Greeting { zone, peer: address, capacity, version };
            let frame = Frame::Greet { to: name.clone(), sender };
            greeted.push(name.clone());
            let peers = self.clone();
            tokio::spawn(async move { peers.ask(&name, &peer, frame, NOTIFY_TIMEOUT).await });
        }
    }

    /// The boxes with the newest entries older than `version`.
    fn registered_before(&self, version: u64) -> Vec<Incarnation> {
        let state = self.state.lock();
        let known = state.known.iter().map(|(name, known)| (known.version, name.clone()));
        let mut before: Vec<(u64, Incarnation)> = known.filter(|(of, _)| *of < version).collect();
        before.sort_unstable_by(|a, b| b.cmp(a));
        before.into_iter().take(MAX_GREETED).map(|(_, name)| name).collect()
    }
}
