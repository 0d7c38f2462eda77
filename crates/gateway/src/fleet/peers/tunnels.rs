//! Connections to endpoints through other boxes, while this box does not reach them itself.
//!
//! Each box asks a few others only, always the same ones while they answer, by a hash of both names, so that the boxes of a
//! fleet that are cut off together spread over those that are not. One of the own availability zone comes first, since
//! traffic between zones costs money, and one of another zone next, since the boxes of a zone may be cut off together.

use std::{net::SocketAddr, time::Duration};

use forward::{Tunnel, Unreached};
use futures_util::{StreamExt, stream::FuturesUnordered};
use ledger::Incarnation;
use rand::Rng;
use tokio::time::Instant;
use wire::{Peer, tunnel};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;

/// Maximum number of boxes that are asked for one connection. Boxes may be cut off together, so more than one.
const MAX_EXITS: usize = 3;
/// Boxes of the same rank among which one is drawn, so that they share the load.
const EQUAL_EXITS: usize = 2;
/// Time without an answer after which the next box is asked as well: a few round trips, and the time of a busy endpoint to
/// accept a connection.
const EXIT_HEAD_START: Duration = Duration::from_millis(60);
/// Timeout of one box.
const EXIT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a box that did not open a tunnel is asked last.
const EXIT_AVOID_TIME: Duration = Duration::from_millis(1_000);

/// A box that may open connections for this one.
struct Exit {
    is_avoided: bool,
    is_other_zone: bool,
    hash: u64,
    name: Incarnation,
    peer: Peer,
}

impl Exit {
    fn rank(&self) -> (bool, bool, u64) {
        (self.is_avoided, self.is_other_zone, self.hash)
    }

    /// Boxes of the same costs are as good as each other.
    fn costs(&self) -> (bool, bool) {
        (self.is_avoided, self.is_other_zone)
    }
}

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

    /// Boxes to ask for a connection, in this order: one of the own zone, one of another, and the next best one.
    fn exits(&self) -> Vec<(Incarnation, Peer)> {
        let now = Instant::now();
        let mut state = self.state.lock();
        let reachable = state.known.iter().filter(|(_, known)| known.is_reachable(now));
        let mut ranked: Vec<Exit> = reachable
            .map(|(name, known)| Exit {
                is_avoided: known.avoid_as_exit_until.is_some_and(|end| end > now),
                is_other_zone: known.entry.zone != state.profile.zone,
                hash: xxh3_64_with_seed(name.as_str().as_bytes(), self.exit_seed()),
                name: name.clone(),
                peer: known.peer.clone(),
            })
            .collect();
        ranked.sort_unstable_by_key(Exit::rank);
        let mut chosen: Vec<Exit> = Vec::new();
        while !ranked.is_empty() && chosen.len() < MAX_EXITS {
            // The boxes of a zone may be cut off together.
            let first_zone = chosen.first().map(|exit| exit.is_other_zone);
            let differs = |exit: &Exit| chosen.len() == 1 && first_zone != Some(exit.is_other_zone);
            let best = ranked.iter().position(differs).unwrap_or_default();
            let rank = ranked[best].rank();
            let equal = ranked[best..].iter().take(EQUAL_EXITS);
            let equal = equal.take_while(|exit| exit.costs() == (rank.0, rank.1)).count();
            let drawn = best + state.random.random_range(0..equal);
            chosen.push(ranked.remove(drawn));
        }
        chosen.into_iter().map(|exit| (exit.name, exit.peer)).collect()
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
