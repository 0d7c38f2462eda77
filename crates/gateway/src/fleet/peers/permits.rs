//! Choice of the issuer of an endpoint's permits, and requests to it.
//!
//! The issuer is the first reachable box by rendezvous hashing with the endpoint's instance, so
//! that boxes that know the same fleet ask the same issuer, and endpoints are spread over boxes. If
//! it is silent the next box takes its place, but asks the first one itself before it issues a
//! permit: a sender that merely lost its connection to the issuer must not create a second one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use balance::Limit;
use ledger::Incarnation;
use tokio::time::Instant;
use wire::{Frame, PermitReply, PermitRequest};

use super::{
    LEAVES, Peers,
    requests::{Heard, TOLD_WITHIN},
};

/// How often a request for a permit may be forwarded: from a substitute to the box that it
/// substitutes.
pub const MAX_HOPS: u8 = 2;
/// Timeout per remaining hop. An answer takes a few milliseconds, and the shortest requests have
/// 100; after a timeout the substitute is asked.
const A_HOP: Duration = Duration::from_millis(30);

impl Peers {
    /// The issuer of an endpoint's permits; `None` if it is this box, which is not chosen if it
    /// `leaves`.
    pub fn issuer(&self, life: &str, leaves: bool) -> Option<Incarnation> {
        let now = Instant::now();
        let state = self.state.lock();
        let awake = state.known.iter().filter(|(_, known)| known.is_reachable(now));
        let weight = |name: &Incarnation| member::weight(life, name.box_name());
        let best = awake.map(|(name, _)| (weight(name), name)).max();
        let mine = (weight(&self.me), &self.me);
        best.filter(|best| leaves || *best > mine).map(|(_, name)| name.clone())
    }

    /// Requests a permit; `None` if the issuer is silent or about to stop and another box is to be
    /// asked.
    pub async fn permit(&self, issuer: &Incarnation, permit: PermitRequest) -> Option<PermitReply> {
        let within = A_HOP * u32::from(MAX_HOPS + 1 - permit.hops.min(MAX_HOPS));
        let peer = self.peer(issuer)?;
        match self.ask(issuer, &peer, Frame::PermitRequest(permit), within).await {
            Heard::Frame(Frame::PermitReply(PermitReply::Leaves)) => {
                self.rest(issuer, LEAVES);
                None
            }
            Heard::Frame(Frame::PermitReply(turned)) => Some(turned),
            // The issuer does not know this box yet.
            Heard::Frame(_) => Some(PermitReply::After { ms: A_HOP.as_millis() as u64 }),
            Heard::Replaced | Heard::Nothing => None,
        }
    }

    /// Publishes the latest limit of an endpoint to the watchers. A lost message is repaired by the
    /// endpoint's next answer.
    pub fn publish_limit(&self, endpoint: &Arc<str>, limit: Option<Limit>) {
        self.tell_homes(|| Frame::Limit { endpoint: endpoint.clone(), limit });
    }

    /// Publishes to the watchers that an endpoint leaves. Boxes that miss it learn it from the
    /// endpoint.
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

    /// Whether the latest request got no answer and no box has been heard from since: this box may
    /// be disconnected, and others may consider it gone.
    pub fn may_be_cut_off(&self) -> bool {
        let state = self.state.lock();
        state.silent > state.heard
    }

    /// Records that another box was heard from.
    pub fn note_heard(&self) {
        self.state.lock().heard = Some(Instant::now());
    }
}
