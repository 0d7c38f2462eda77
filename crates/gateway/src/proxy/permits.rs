//! Turns at endpoints that name how much they take from all boxes together.
//!
//! A request that goes to such an endpoint takes a turn first, whatever kind it is: a first try, a repeat, one that may
//! run once, the probe of an endpoint that failed. One box hands them out ([`balance::Permits`] says why), mostly another
//! one. Without a turn the endpoint is passed over until the time that was told, and the request goes to another one or
//! is refused at once. Where no endpoint names a limit, nothing of this costs a message or a moment.

use std::{collections::HashMap, sync::Arc, time::Duration};

use balance::Permit;
use parking_lot::Mutex;
use tokio::sync::watch;
use wire::{LimitNotice, PermitReply};

use crate::{
    clock::Moment,
    fleet::peers::{MAX_HOPS, Peers},
    metrics::{Metrics, PermitOutcome},
    proxy::{
        announcer::{Announcement, Announcer},
        endpoints::{Chosen, Endpoints},
    },
};

/// When to ask again where no box that hands out turns is known or answers: a question or two later.
const UNKNOWN: Duration = Duration::from_millis(100);
/// Endpoints for which turns were handed out from which on those that are gone are forgotten.
const MANY: usize = 64;

/// Time between two words of the box that hands out turns on a limit that stays, in milliseconds: a box that started
/// and looks at the store itself hears of it by them, and one that missed a change.
const TELL_EVERY: u64 = 1_000;

/// Takes turns for requests of this box, and hands them out.
#[derive(Clone)]
pub struct Permits(Arc<Shared>);

/// What turns need.
pub struct Setup {
    pub endpoints: Arc<Endpoints>,
    pub peers: Peers,
    pub metrics: Metrics,
    pub stopping: watch::Receiver<bool>,
    pub started: Moment,
    pub announcer: Announcer,
}

struct Shared {
    setup: Setup,
    /// What this box hands out, by lives of endpoints.
    given: Mutex<HashMap<Arc<str>, Handed>>,
}

/// What this box hands out at one endpoint.
struct Handed {
    permits: balance::Permits,
    /// When others were told of its limit last.
    told: u64,
}

impl Permits {
    /// None were handed out yet.
    pub fn open(setup: Setup) -> Permits {
        Permits(Arc::new(Shared { setup, given: Mutex::default() }))
    }

    /// Whether a request of this box may be sent to an endpoint that names a limit.
    pub async fn take(&self, service: &str, chosen: &Chosen) -> bool {
        let Setup { endpoints, metrics, .. } = &self.0.setup;
        let Some(signal) = endpoints.limit_notice(&chosen.instance) else { return true };
        let (turned, by) = self.ask(&chosen.instance, signal, 0).await;
        let outcome = match &turned {
            PermitReply::Given => "given",
            PermitReply::Free { signal } => {
                endpoints.receive_limit(signal, &by);
                "free"
            }
            PermitReply::After { .. } | PermitReply::Leaves => "none",
        };
        metrics.permits.get_or_create(&PermitOutcome { outcome }).inc();
        let wait = match turned {
            PermitReply::Given | PermitReply::Free { .. } => return true,
            PermitReply::After { ms } => Duration::from_millis(ms),
            PermitReply::Leaves => UNKNOWN,
        };
        let wait_ms = wait.as_millis() as u64;
        tracing::info!(event = "no_turn", endpoint = &*chosen.instance, by, wait_ms);
        endpoints.defer_permits(service, &chosen.instance, wait);
        false
    }

    /// Answers another box that asks for a turn.
    pub async fn answer(&self, permit: wire::PermitRequest, from: &str) -> PermitReply {
        let Setup { endpoints, stopping, .. } = &self.0.setup;
        if *stopping.borrow() {
            return PermitReply::Leaves;
        }
        let wire::PermitRequest { signal, hops } = permit;
        endpoints.receive_limit(&signal, from);
        let instance = signal.endpoint.clone();
        let signal = endpoints.limit_notice(&instance).unwrap_or(signal);
        self.ask(&instance, signal, hops + 1).await.0
    }

    /// Asks who hands out turns there, which may be this box; says who answered.
    async fn ask(
        &self,
        instance: &Arc<str>,
        signal: LimitNotice,
        hops: u8,
    ) -> (PermitReply, String) {
        let Setup { peers, stopping, .. } = &self.0.setup;
        // The first and one that stands in for it; whoever hears of no other by then waits.
        for _ in 0..2 {
            let leaves = *stopping.borrow();
            let Some(issuer) = peers.issuer(instance, leaves) else {
                return (self.give(instance), peers.me().to_string());
            };
            if hops > MAX_HOPS {
                break;
            }
            let permit = wire::PermitRequest { signal: signal.clone(), hops };
            if let Some(turned) = peers.permit(&issuer, permit).await {
                return (turned, issuer.to_string());
            }
        }
        (PermitReply::After { ms: UNKNOWN.as_millis() as u64 }, "nobody".to_owned())
    }

    /// Hands out a turn. A box that may be cut off gives its part by the number of boxes: those that do not reach it
    /// have another one, and the sum of both is what the endpoint gets.
    fn give(&self, instance: &Arc<str>) -> PermitReply {
        let Setup { endpoints, peers, metrics, started, announcer, .. } = &self.0.setup;
        let (Some(signal), Some(boxes)) = (endpoints.limit_notice(instance), endpoints.boxes())
        else {
            return PermitReply::After { ms: UNKNOWN.as_millis() as u64 };
        };
        let Some(limit) = signal.limit else { return PermitReply::Free { signal } };
        let part = if peers.may_be_isolated() { 1.0 / boxes as f64 } else { 1.0 };
        let now = started.elapsed().as_millis() as u64;
        let mut given = self.0.given.lock();
        if given.len() >= MANY {
            given.retain(|instance, _| endpoints.is_listed(instance));
        }
        let open = || Handed { permits: balance::Permits::open(now), told: now };
        let handed = given.entry(instance.clone()).or_insert_with(open);
        match handed.permits.take(limit.as_per_s() * part, now) {
            Permit::Given => {
                metrics.permits_issued.inc();
                if now >= handed.told + TELL_EVERY {
                    handed.told = now;
                    announcer.announce(Announcement::LimitUnchanged { instance: instance.clone() });
                }
                PermitReply::Given
            }
            Permit::After { ms } => PermitReply::After { ms },
        }
    }
}
