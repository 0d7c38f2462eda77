//! Which box hands out turns at an endpoint that names a limit, and asking it.
//!
//! The first in reach of all boxes, by rendezvous hashing with the endpoint's life, so that all boxes which know the same
//! others ask the same one, and each endpoint has its own. Where it is silent the next one stands in; that one asks
//! the first itself before it gives a turn, so that a box which merely lost its way to the first makes no second source.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use balance::Limit;
use ledger::Incarnation;
use tokio::time::Instant;
use wire::{Frame, PermitReply, PermitRequest};

use super::{
    LEAVES, Peers,
    requests::{Heard, TOLD_WITHIN},
};

/// Boxes that pass a question for a turn on at most: one that stands in asks the one that it stands in for.
pub const MAX_HOPS: u8 = 2;
/// Time for each hop that a question may still take. An answer takes a millisecond or two, the shortest requests have 100;
/// a box that is slow once is asked by the one that stands in, so that nothing is lost by a short time but the wait.
const A_HOP: Duration = Duration::from_millis(30);

impl Peers {
    /// The box that hands out turns at an endpoint; `None` if it is this one, which does not where it `leaves`.
    pub fn issuer(&self, life: &str, leaves: bool) -> Option<Incarnation> {
        let now = Instant::now();
        let state = self.state.lock();
        let awake = state.known.iter().filter(|(_, known)| known.is_reachable(now));
        let weight = |name: &Incarnation| member::weight(life, name.box_name());
        let best = awake.map(|(name, _)| (weight(name), name)).max();
        let mine = (weight(&self.me), &self.me);
        best.filter(|best| leaves || *best > mine).map(|(_, name)| name.clone())
    }

    /// Asks a box for a turn; `None` if it is silent or about to stop, and another one is to be asked.
    pub async fn permit(&self, issuer: &Incarnation, permit: PermitRequest) -> Option<PermitReply> {
        let within = A_HOP * u32::from(MAX_HOPS + 1 - permit.hops.min(MAX_HOPS));
        let peer = self.peer(issuer)?;
        match self.ask(issuer, &peer, Frame::PermitRequest(permit), within).await {
            Heard::Frame(Frame::PermitReply(PermitReply::Leaves)) => {
                self.rest(issuer, LEAVES);
                None
            }
            Heard::Frame(Frame::PermitReply(turned)) => Some(turned),
            // It does not know this box yet.
            Heard::Frame(_) => Some(PermitReply::After { ms: A_HOP.as_millis() as u64 }),
            Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Tells the homes of news what an endpoint named last; what they miss shows in its next answer.
    pub fn publish_limit(&self, endpoint: &Arc<str>, limit: Option<Limit>) {
        self.tell_homes(|| Frame::Limit { endpoint: endpoint.clone(), limit });
    }

    /// Tells the homes of news that an endpoint said that it leaves; whoever misses it hears it from the endpoint.
    pub fn publish_departure(&self, endpoint: &Arc<str>, address: SocketAddr) {
        self.tell_homes(|| Frame::Departure { endpoint: endpoint.clone(), address });
    }

    fn tell_homes(&self, frame: impl Fn() -> Frame) {
        let watchers = self.watchers();
        for home in watchers.all().filter(|home| **home != self.me) {
            let Some(peer) = self.peer(home) else { continue };
            let (peers, home, frame) = (self.clone(), home.clone(), frame());
            tokio::spawn(async move { peers.ask(&home, &peer, frame, TOLD_WITHIN).await });
        }
    }

    /// Whether the last box that was asked was silent, and none was heard since: this one may be cut off, and
    /// others may take it for gone.
    pub fn may_be_isolated(&self) -> bool {
        let state = self.state.lock();
        state.silent > state.heard
    }

    /// Another box asks this one.
    pub fn note_heard(&self) {
        self.state.lock().heard = Some(Instant::now());
    }
}
