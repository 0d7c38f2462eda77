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
    Peers, STOPPING_RETRY_DELAY,
    requests::{NOTIFY_TIMEOUT, Reply},
};

/// How often a request for a permit may be forwarded: from a substitute to the box that it
/// substitutes.
pub const MAX_HOPS: u8 = 2;
/// Timeout per remaining hop. An answer takes a few milliseconds, and the shortest requests have
/// 100; after a timeout the substitute is asked.
const HOP_TIMEOUT: Duration = Duration::from_millis(30);

impl Peers {
    /// The issuer of an endpoint's permits; `None` if it is this box, which is not chosen if it
    /// `is_stopping`.
    pub fn issuer(&self, instance: &str, is_stopping: bool) -> Option<Incarnation> {
        let now = Instant::now();
        let state = self.state.lock();
        let reachable = state.known.iter().filter(|(_, known)| known.is_reachable(now));
        let weight = |name: &Incarnation| member::weight(instance, name.box_name());
        let best = reachable.map(|(name, _)| (weight(name), name)).max();
        let mine = (weight(&self.me), &self.me);
        best.filter(|best| is_stopping || *best > mine).map(|(_, name)| name.clone())
    }

    /// Requests a permit; `None` if the issuer is silent or about to stop and another box is to be
    /// asked.
    pub async fn permit(
        &self,
        issuer: &Incarnation,
        request: PermitRequest,
    ) -> Option<PermitReply> {
        let timeout = HOP_TIMEOUT * u32::from(MAX_HOPS + 1 - request.hops.min(MAX_HOPS));
        let peer = self.peer(issuer)?;
        match self.ask(issuer, &peer, Frame::PermitRequest(request), timeout).await {
            Reply::Frame(Frame::PermitReply(PermitReply::Stopping)) => {
                self.avoid_for(issuer, STOPPING_RETRY_DELAY);
                None
            }
            Reply::Frame(Frame::PermitReply(reply)) => Some(reply),
            // The issuer does not know this box yet.
            Reply::Frame(_) => Some(PermitReply::After { ms: HOP_TIMEOUT.as_millis() as u64 }),
            Reply::Replaced | Reply::NoAnswer => None,
        }
    }

    /// Publishes the latest limit of an endpoint to the watchers. A lost message is repaired by the
    /// endpoint's next answer.
    pub fn publish_limit(&self, endpoint: &Arc<str>, limit: Option<Limit>) {
        self.notify_watchers(|| Frame::Limit { endpoint: endpoint.clone(), limit });
    }

    /// Publishes to the watchers that an endpoint leaves. Boxes that miss it learn it from the
    /// endpoint.
    pub fn publish_departure(&self, endpoint: &Arc<str>, address: SocketAddr) {
        self.notify_watchers(|| Frame::Departure { endpoint: endpoint.clone(), address });
    }

    fn notify_watchers(&self, frame: impl Fn() -> Frame) {
        let watchers = self.watchers();
        for watcher in watchers.sources().filter(|watcher| **watcher != self.me) {
            let Some(peer) = self.peer(watcher) else { continue };
            let (peers, watcher, frame) = (self.clone(), watcher.clone(), frame());
            tokio::spawn(async move { peers.ask(&watcher, &peer, frame, NOTIFY_TIMEOUT).await });
        }
    }

    /// Whether the latest request got no answer and no box has been heard from since: this box may
    /// be disconnected, and others may consider it gone.
    pub fn may_be_isolated(&self) -> bool {
        let state = self.state.lock();
        state.last_unanswered > state.last_received
    }

    /// Records that another box was heard from.
    pub fn record_contact(&self) {
        self.state.lock().last_received = Some(Instant::now());
    }
}
