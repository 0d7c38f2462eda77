//! Connections to endpoints through other boxes, while this box does not reach them itself.
//!
//! Each box asks a few others only, always the same ones while they answer: those of its own availability zone if there
//! are any, by a hash of both names, so that the boxes of a fleet that are cut off together spread over those that are not.

use std::{net::SocketAddr, time::Duration};

use forward::{Tunnel, Unreached};
use futures_util::{StreamExt, stream::FuturesUnordered};
use ledger::Incarnation;
use rand::seq::SliceRandom;
use tokio::time::Instant;
use wire::{Peer, tunnel};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;

/// Maximum number of boxes that are asked for one connection. Boxes may be cut off together, so more than one.
const MAX_EXITS: usize = 3;
/// Boxes among which the first one to ask is drawn.
const FIRST_EXITS: usize = 2;
/// Time without an answer after which the next box is asked as well: a few round trips, and the time of a busy endpoint to
/// accept a connection.
const EXIT_HEAD_START: Duration = Duration::from_millis(60);
/// Timeout of one box.
const EXIT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a box that did not open a tunnel is asked last.
const EXIT_AVOID_TIME: Duration = Duration::from_millis(1_000);

impl Peers {
    /// Opens a connection to an endpoint through the first of a few boxes that reaches it.
    pub async fn open_tunnel(&self, target: SocketAddr) -> Result<Tunnel, Unreached> {
        let mut exits = self.exits().into_iter();
        let mut asked = FuturesUnordered::new();
        let mut refusals = Vec::new();
        loop {
            match exits.next() {
                Some((name, peer)) => asked.push(self.ask_exit(name, peer, target)),
                None if asked.is_empty() => return Err(unreached(&refusals)),
                None => {}
            }
            let wait = async {
                match exits.len() {
                    0 => std::future::pending().await,
                    _ => tokio::time::sleep(EXIT_HEAD_START).await,
                }
            };
            tokio::select! {
                Some(answer) = asked.next() => match answer {
                    Ok(tunnel) => return Ok(tunnel),
                    Err(refusal) => refusals.push(refusal),
                },
                () = wait => {}
            }
        }
    }

    async fn ask_exit(
        &self,
        name: Incarnation,
        peer: Peer,
        target: SocketAddr,
    ) -> Result<Tunnel, tunnel::Refusal> {
        let opened = peer.tunnels().open(&self.me, target, EXIT_TIMEOUT).await;
        let (via, endpoint) = (name.as_str(), target);
        match opened {
            Ok(stream) => {
                tracing::debug!(event = "tunnel_opened", via, %endpoint);
                let closing = stream.closing();
                Ok(Tunnel { stream: Box::new(stream), closing })
            }
            Err(refusal) => {
                tracing::info!(event = "tunnel_refused", via, %endpoint, reason = %refusal);
                self.avoid_exit(&name);
                Err(refusal)
            }
        }
    }

    /// Boxes to ask for a connection, in this order.
    fn exits(&self) -> Vec<(Incarnation, Peer)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut ranked: Vec<_> = state
            .known
            .iter()
            .filter(|(_, known)| known.is_reachable(now))
            .map(|(name, known)| {
                let is_avoided = known.avoid_as_exit_until.is_some_and(|end| end > now);
                let is_other_zone = known.entry.zone != state.profile.zone;
                let hash = xxh3_64_with_seed(name.as_str().as_bytes(), self.exit_seed());
                ((is_avoided, is_other_zone, hash), name.clone(), known.peer.clone())
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, ..)| *rank);
        ranked.truncate(MAX_EXITS);
        // Only boxes of the same rank share the load: another zone costs more.
        let rank = ranked
            .first()
            .map(|((is_avoided, is_other_zone, _), ..)| (*is_avoided, *is_other_zone));
        let equal = ranked.iter().take_while(|((a, z, _), ..)| Some((*a, *z)) == rank).count();
        let first = equal.min(FIRST_EXITS);
        ranked[..first].shuffle(&mut state.random);
        ranked.into_iter().map(|(_, name, peer)| (name, peer)).collect()
    }

    fn exit_seed(&self) -> u64 {
        xxh3_64_with_seed(self.me.box_name().as_bytes(), 0)
    }

    fn avoid_exit(&self, name: &Incarnation) {
        if let Some(known) = self.state.lock().known.get_mut(name) {
            known.avoid_as_exit_until = Some(Instant::now() + EXIT_AVOID_TIME);
        }
    }
}

/// What the answers of all boxes that were asked say of the endpoint.
fn unreached(refusals: &[tunnel::Refusal]) -> Unreached {
    let is_closed = |refusal: &tunnel::Refusal| *refusal == tunnel::Refusal::Closed;
    let is_silent = |refusal: &tunnel::Refusal| matches!(refusal, tunnel::Refusal::Silent { .. });
    match refusals.last() {
        None => Unreached::NoWay,
        Some(_) if refusals.iter().all(is_silent) => Unreached::NoWay,
        Some(_) if refusals.iter().all(is_closed) => Unreached::Closed,
        Some(last) => Unreached::Unreachable { reason: last.to_string() },
    }
}
