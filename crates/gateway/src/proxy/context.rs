//! Dependencies of the request path.

use std::sync::Arc;

use forward::Connections;
use parking_lot::Mutex;
use platform::config::Limits;
use tokio::sync::{Semaphore, watch};

use crate::{
    clock::{Clock, Moment, Watchdog},
    config_table::ConfigTable,
    fleet::{peers::Peers, streams::Streams},
    freshness::Freshness,
    metrics::Metrics,
    proxy::{
        announcer::Announcer, bounds::Bounds, crashes::Crashes, endpoints::Endpoints, link::Link,
        permits::Permits, retries::Retries,
    },
    settings::Settings,
    sole_versions::handle::SoleVersions,
    tokens::{acquirer::Acquirer, bills::Bills, funds::Funds},
};

/// State shared by all steps of handling a request.
pub struct Context {
    /// Current settings; `Gateway` replaces them at run time.
    pub settings: watch::Sender<Arc<Settings>>,
    pub table: watch::Receiver<Option<Arc<ConfigTable>>>,
    pub endpoints: Arc<Endpoints>,
    /// How old the configuration, the list of endpoints and other state of the store are.
    pub freshness: Freshness,
    /// Services that have had only one software version.
    pub sole_versions: SoleVersions,
    /// Requests that crashed endpoints.
    pub crashes: Crashes,
    /// Permits for endpoints that name a rate limit.
    pub permits: Permits,
    /// Forwards signals of endpoints to other boxes.
    pub announcer: Announcer,
    pub connections: Connections,
    pub funds: Funds,
    pub peers: Peers,
    /// Origins of streams that callers may take up again.
    pub streams: Streams,
    pub acquirer: Acquirer,
    /// Load of the network link of this box.
    pub link: Arc<Link>,
    pub bills: Bills,
    pub retries: Mutex<Retries>,
    pub metrics: Metrics,
    /// Bytes still available for request bodies.
    pub body_bytes: Arc<Semaphore>,
    pub stopping: watch::Receiver<bool>,
    pub clock: Clock,
    /// Detects that the box was suspended, so that its state may be stale.
    pub watchdog: Watchdog,
    pub started: Moment,
    /// Returns the number of log lines dropped so far.
    pub dropped_log_lines: Mutex<Option<Box<dyn Fn() -> usize + Send + Sync>>>,
}

impl Context {
    /// Bounds on a new caller connection, with defaults until a configuration is loaded.
    pub fn bounds(&self) -> Bounds {
        let table = self.table.borrow();
        match &*table {
            Some(table) => Bounds::of(&table.config().limits),
            None => Bounds::of(&Limits::default()),
        }
    }

    /// Whether the box accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !*self.stopping.borrow() && !self.link.is_shedding()
    }

    /// Whether caller connections are closed after the current response.
    pub fn closes_connections(&self) -> bool {
        *self.stopping.borrow() || self.link.is_shedding()
    }

    /// The current settings.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }
}
