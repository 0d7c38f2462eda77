//! Permits for endpoints that name a rate limit for all boxes together.
//!
//! Every request to such an endpoint needs a permit first: first attempts, repeats and probes of failed endpoints alike.
//! One box issues the permits of an endpoint; see [`balance::Turns`] for the reason. Without a permit the endpoint is
//! skipped until the time given by the issuer, and the request goes to another endpoint or is refused. Endpoints
//! without a limit cause no messages.

use std::{collections::HashMap, sync::Arc, time::Duration};

use balance::Turn;
use parking_lot::Mutex;
use tokio::sync::watch;
use wire::{Limited, Turned};

use crate::{
    clock::Moment,
    fleet::peers::{MOST_HOPS, Peers},
    metrics::{Asked, Metrics},
    way::{
        endpoints::{Chosen, Endpoints},
        teller::{Teller, Word},
    },
};

/// Delay before the next permit request if no issuer is known or responds.
const UNKNOWN: Duration = Duration::from_millis(100);
/// Number of endpoints with issued permits above which those no longer listed are removed.
const MANY: usize = 64;

/// Interval in milliseconds at which the issuer announces an unchanged limit, for boxes that have just started or
/// missed a change.
const TELL_EVERY: u64 = 1_000;

/// Obtains permits for requests of this box, and issues permits where this box is the issuer.
#[derive(Clone)]
pub struct Turns(Arc<Shared>);

/// Dependencies of [`Turns`].
pub struct Setup {
    pub endpoints: Arc<Endpoints>,
    pub peers: Peers,
    pub metrics: Metrics,
    pub stopping: watch::Receiver<bool>,
    pub started: Moment,
    pub teller: Teller,
}

struct Shared {
    setup: Setup,
    /// Permits issued by this box, by endpoint instance.
    given: Mutex<HashMap<Arc<str>, Handed>>,
}

/// Permits that this box issues for one endpoint instance.
struct Handed {
    turns: balance::Turns,
    /// When the limit was last announced to other boxes.
    told: u64,
}

impl Turns {
    /// Starts without issued permits.
    pub fn open(setup: Setup) -> Turns {
        Turns(Arc::new(Shared { setup, given: Mutex::default() }))
    }

    /// Obtains a permit for a request of this box; `false` if there is none now.
    pub async fn take(&self, service: &str, chosen: &Chosen) -> bool {
        let Setup { endpoints, metrics, .. } = &self.0.setup;
        let Some(said) = endpoints.said(&chosen.life) else { return true };
        let (turned, by) = self.ask(&chosen.life, said, 0).await;
        let outcome = match &turned {
            Turned::Given => "given",
            Turned::Free { said } => {
                endpoints.hear_said(said, &by);
                "free"
            }
            Turned::After { .. } | Turned::Leaves => "none",
        };
        metrics.turns.get_or_create(&Asked { outcome }).inc();
        let wait = match turned {
            Turned::Given | Turned::Free { .. } => return true,
            Turned::After { ms } => Duration::from_millis(ms),
            Turned::Leaves => UNKNOWN,
        };
        let wait_ms = wait.as_millis() as u64;
        tracing::info!(event = "no_turn", endpoint = &*chosen.life, by, wait_ms);
        endpoints.close(service, &chosen.life, wait);
        false
    }

    /// Handles the permit request of another box.
    pub async fn answer(&self, turn: wire::Turn, from: &str) -> Turned {
        let Setup { endpoints, stopping, .. } = &self.0.setup;
        if *stopping.borrow() {
            return Turned::Leaves;
        }
        let wire::Turn { said, hops } = turn;
        endpoints.hear_said(&said, from);
        let life = said.endpoint.clone();
        let said = endpoints.said(&life).unwrap_or(said);
        self.ask(&life, said, hops + 1).await.0
    }

    /// Requests a permit from the issuer, which may be this box; also returns who responded.
    async fn ask(&self, life: &Arc<str>, said: Limited, hops: u8) -> (Turned, String) {
        let Setup { peers, stopping, .. } = &self.0.setup;
        // The issuer, then its substitute if it does not respond.
        for _ in 0..2 {
            let leaves = *stopping.borrow();
            let Some(giver) = peers.giver(life, leaves) else {
                return (self.give(life), peers.me().to_string());
            };
            if hops > MOST_HOPS {
                break;
            }
            let turn = wire::Turn { said: said.clone(), hops };
            if let Some(turned) = peers.turn(&giver, turn).await {
                return (turned, giver.to_string());
            }
        }
        (Turned::After { ms: UNKNOWN.as_millis() as u64 }, "nobody".to_owned())
    }

    /// Issues a permit. A box that may be partitioned from the others issues only its share of the limit, since boxes
    /// that cannot reach it use another issuer and the endpoint receives the sum.
    fn give(&self, life: &Arc<str>) -> Turned {
        let Setup { endpoints, peers, metrics, started, teller, .. } = &self.0.setup;
        let (Some(said), Some(boxes)) = (endpoints.said(life), endpoints.boxes()) else {
            return Turned::After { ms: UNKNOWN.as_millis() as u64 };
        };
        let Some(limit) = said.limit else { return Turned::Free { said } };
        let part = if peers.may_be_cut_off() { 1.0 / boxes as f64 } else { 1.0 };
        let now = started.elapsed().as_millis() as u64;
        let mut given = self.0.given.lock();
        if given.len() >= MANY {
            given.retain(|life, _| endpoints.has(life));
        }
        let open = || Handed { turns: balance::Turns::open(now), told: now };
        let handed = given.entry(life.clone()).or_insert_with(open);
        match handed.turns.take(limit.as_per_s() * part, now) {
            Turn::Given => {
                metrics.turns_given.inc();
                if now >= handed.told + TELL_EVERY {
                    handed.told = now;
                    teller.tell(Word::LimitStays { life: life.clone() });
                }
                Turned::Given
            }
            Turn::After { ms } => Turned::After { ms },
        }
    }
}
