//! Permits for endpoints that name a rate limit for all boxes together.
//!
//! Every request to such an endpoint needs a permit: first attempts, repeats and probes of failed endpoints alike. One
//! box issues the permits of an endpoint; see [`balance::Permits`] for the reason. Without a permit the endpoint is
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
const NO_ISSUER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of endpoints with issued permits at which those no longer listed are removed.
const PRUNE_THRESHOLD: usize = 64;

/// Interval in milliseconds at which the issuer announces an unchanged limit, for boxes that have just started or
/// missed a change.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

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
    issued: Mutex<HashMap<Arc<str>, Issued>>,
}

/// Permits that this box issues for one endpoint instance.
struct Issued {
    permits: balance::Permits,
    /// When the limit was last announced to other boxes.
    announced_at: u64,
}

impl Permits {
    /// Starts without issued permits.
    pub fn open(setup: Setup) -> Permits {
        Permits(Arc::new(Shared { setup, issued: Mutex::default() }))
    }

    /// Obtains a permit for a request of this box; `false` if there is none now.
    pub async fn acquire(&self, service: &str, chosen: &Chosen) -> bool {
        let Setup { endpoints, metrics, .. } = &self.0.setup;
        let Some(signal) = endpoints.limit_notice(&chosen.instance) else { return true };
        let (reply, by) = self.request(&chosen.instance, signal, 0).await;
        let outcome = match &reply {
            PermitReply::Granted => "given",
            PermitReply::Free { signal } => {
                endpoints.receive_limit(signal, &by);
                "free"
            }
            PermitReply::After { .. } | PermitReply::Stopping => "none",
        };
        metrics.permits.get_or_create(&PermitOutcome { outcome }).inc();
        let wait = match reply {
            PermitReply::Granted | PermitReply::Free { .. } => return true,
            PermitReply::After { ms } => Duration::from_millis(ms),
            PermitReply::Stopping => NO_ISSUER_RETRY_DELAY,
        };
        let wait_ms = wait.as_millis() as u64;
        tracing::info!(event = "no_turn", endpoint = &*chosen.instance, by, wait_ms);
        endpoints.defer_permits(service, &chosen.instance, wait);
        false
    }

    /// Handles the permit request of another box.
    pub async fn answer(&self, request: wire::PermitRequest, from: &str) -> PermitReply {
        let Setup { endpoints, stopping, .. } = &self.0.setup;
        if *stopping.borrow() {
            return PermitReply::Stopping;
        }
        let wire::PermitRequest { signal, hops } = request;
        endpoints.receive_limit(&signal, from);
        let instance = signal.endpoint.clone();
        let signal = endpoints.limit_notice(&instance).unwrap_or(signal);
        self.request(&instance, signal, hops + 1).await.0
    }

    /// Requests a permit from the issuer, which may be this box; also returns who responded.
    async fn request(
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
                return (self.issue(instance), peers.me().to_string());
            };
            if hops > MAX_HOPS {
                break;
            }
            let request = wire::PermitRequest { signal: signal.clone(), hops };
            if let Some(reply) = peers.permit(&issuer, request).await {
                return (reply, issuer.to_string());
            }
        }
        (PermitReply::After { ms: NO_ISSUER_RETRY_DELAY.as_millis() as u64 }, "nobody".to_owned())
    }

    /// Issues a permit. A box that may be partitioned from the others issues only its share of the limit, since boxes
    /// that cannot reach it use another issuer and the endpoint receives the sum.
    fn issue(&self, instance: &Arc<str>) -> PermitReply {
        let Setup { endpoints, peers, metrics, started, announcer, .. } = &self.0.setup;
        let (Some(signal), Some(boxes)) = (endpoints.limit_notice(instance), endpoints.boxes())
        else {
            return PermitReply::After { ms: NO_ISSUER_RETRY_DELAY.as_millis() as u64 };
        };
        let Some(limit) = signal.limit else { return PermitReply::Free { signal } };
        let share = if peers.may_be_isolated() { 1.0 / boxes as f64 } else { 1.0 };
        let now = started.elapsed().as_millis() as u64;
        let mut issued = self.0.issued.lock();
        if issued.len() >= PRUNE_THRESHOLD {
            issued.retain(|instance, _| endpoints.is_listed(instance));
        }
        let fresh = || Issued { permits: balance::Permits::open(now), announced_at: now };
        let entry = issued.entry(instance.clone()).or_insert_with(fresh);
        match entry.permits.take(limit.as_per_s() * share, now) {
            Permit::Granted => {
                metrics.permits_issued.inc();
                if now >= entry.announced_at + ANNOUNCE_INTERVAL_MS {
                    entry.announced_at = now;
                    announcer.announce(Announcement::LimitUnchanged { instance: instance.clone() });
                }
                PermitReply::Granted
            }
            Permit::After { ms } => PermitReply::After { ms },
        }
    }
}
