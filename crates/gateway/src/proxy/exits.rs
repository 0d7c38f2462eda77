//! Connects to endpoints on behalf of other boxes, which do not reach them themselves.
//!
//! The box that asks keeps everything else: tokens, bill, retries, permits and the choice of the endpoint. This box only
//! passes bytes on, and never through a third one.

use std::{io::ErrorKind, net::SocketAddr, sync::Arc};

use forward::{Connections, Dialer};
use ledger::Incarnation;
use tokio::{
    sync::{Semaphore, watch},
    time::{Duration, timeout},
};
use tokio_util::task::TaskTracker;
use wire::tunnel::{Exit, Refusal};

use crate::{fleet::peers::Peers, metrics::Metrics, proxy::endpoints::Endpoints};

/// Maximum number of tunnels that this box carries at a time; each has one file descriptor and some 20 KB of buffers.
const MAX_TUNNELS: usize = 512;

/// Opens the far ends of tunnels.
#[derive(Clone)]
pub struct Exits {
    pub dialer: Dialer,
    pub connect_timeout: Duration,
    pub endpoints: Arc<Endpoints>,
    pub connections: Connections,
    pub peers: Peers,
    pub metrics: Metrics,
    /// Whether a planned stop has begun.
    pub stopping: watch::Receiver<bool>,
    /// Open tunnels, which a planned stop waits for.
    pub tunnels: TaskTracker,
    pub slots: Arc<Semaphore>,
}

impl Exits {
    /// Places for tunnels.
    pub fn slots() -> Arc<Semaphore> {
        Arc::new(Semaphore::new(MAX_TUNNELS))
    }

    /// Connects to an endpoint for another box.
    pub async fn dial(&self, from: &Incarnation, target: SocketAddr) -> Result<Exit, Refusal> {
        if !self.peers.knows(from) {
            self.peers.report_stale_list();
            return Err(Refusal::Declined);
        }
        if *self.stopping.borrow() || !self.endpoints.has_address(target) {
            return Err(Refusal::Declined);
        }
        if self.connections.is_cut_off(target) {
            return Err(Refusal::Unreachable);
        }
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            tracing::warn!(event = "tunnels_full", from = from.as_str());
            return Err(Refusal::Declined);
        };
        let token = self.tunnels.token();
        let dialed = timeout(self.connect_timeout, self.dialer.dial(target)).await;
        let connection = match dialed {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(Refusal::Closed);
            }
            Ok(Err(_)) | Err(_) => return Err(Refusal::Unreachable),
        };
        if let Err(error) = self.connections.configure(&connection) {
            tracing::debug!(event = "endpoint_gone", %error);
            return Err(Refusal::Unreachable);
        }
        self.metrics.tunnels.inc();
        Ok(Exit { connection, guard: Box::new((slot, token)) })
    }

    /// Waits until the planned stop begins.
    pub async fn wait_stopping(&self) {
        let mut stopping = self.stopping.clone();
        if stopping.wait_for(|stopping| *stopping).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
