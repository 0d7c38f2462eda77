//! Permits for endpoints that name a rate limit for all boxes together.
//!
//! Every request to such an endpoint needs a permit first: first attempts, repeats and probes of failed endpoints alike.
//! One box issues the permits of an endpoint; see [`balance::Permits`] for the reason. Without a permit the endpoint is
//! skipped until the time given by the issuer, and the request goes to another endpoint or is refused. Endpoints
//! without a limit cause no messages.

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

/// Delay before the next permit request if no issuer is known or responds.
const UNKNOWN: Duration = Duration::from_millis(100);
/// Number of endpoints with issued permits above which those no longer listed are removed.
const MANY: usize = 64;

/// Interval in milliseconds at which the issuer announces an unchanged limit, for boxes that have just started or
/// missed a change.
const TELL_EVERY: u64 = 1_000;

/// Obtains permits for requests of this box, and issues permits where this box is the issuer.
#[derive(Clone)]
pub struct Permits(Arc<Shared>);

/// Dependencies of [`Permits`].
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
    /// Permits issued by this box, by endpoint instance.
    given: Mutex<HashMap<Arc<str>, Handed>>,
}

/// Permits that this box issues for one endpoint instance.
struct Handed {
    permits: balance::Permits,
    /// When the limit was last announced to other boxes.
    told: u64,
}

impl Permits {
    /// Starts without issued permits.
    pub fn open(setup: Setup) -> Permits {
        Permits(Arc::new(Shared { setup, given: Mutex::default() }))
    }

    /// Obtains a permit for a request of this box; `false` if there is none now.
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

    /// Handles the permit request of another box.
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

    /// Requests a permit from the issuer, which may be this box; also returns who responded.
    async fn ask(
        &self,
        instance: &Arc<str>,
        signal: LimitNotice,
        hops: u8,
    ) -> (PermitReply, String) {
        let Setup { peers, stopping, .. } = &self.0.setup;
        // The issuer, then its substitute if it does not respond.
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

    /// Issues a permit. A box that may be partitioned from the others issues only its share of the limit, since boxes
    /// that cannot reach it use another issuer and the endpoint receives the sum.
    fn give(&self, instance: &Arc<str>) -> PermitReply {
        let Setup { endpoints, peers, metrics, started, announcer, .. } = &self.0.setup;
        let (Some(signal), Some(boxes)) = (endpoints.limit_notice(instance), endpoints.boxes())
        else {
            return PermitReply::After { ms: UNKNOWN.as_millis() as u64 };
        };
        let Some(limit) = signal.limit else { return PermitReply::Free { signal } };
        let part = if peers.may_be_cut_off() { 1.0 / boxes as f64 } else { 1.0 };
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
