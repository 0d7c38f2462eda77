//! What every step of a request's way needs.

use std::sync::Arc;

use forward::Connections;
use parking_lot::Mutex;
use platform::config::Limits;
use tokio::sync::{Semaphore, watch};

use crate::{
    clock::{Clock, Moment, Watchdog},
    fleet::peers::Peers,
    metrics::Metrics,
    proxy::{
        announcer::Announcer, bounds::Bounds, crashes::Crashes, endpoints::Endpoints, link::Link,
        permits::Permits, retries::Retries,
    },
    settings::Settings,
    table::Table,
    tokens::{acquirer::Acquirer, bills::Bills, funds::Funds},
};

/// All that the way of a request needs.
pub struct Context {
    /// The settings in force.
    pub settings: watch::Sender<Arc<Settings>>,
    pub table: watch::Receiver<Option<Arc<Table>>>,
    pub endpoints: Arc<Endpoints>,
    /// Which requests endpoints ended with.
    pub crashes: Crashes,
    /// Turns at endpoints that name a limit.
    pub permits: Permits,
    /// Tells other boxes what endpoints say.
    pub announcer: Announcer,
    pub connections: Connections,
    pub funds: Funds,
    pub peers: Peers,
    pub acquirer: Acquirer,
    /// Use of the box's own link.
    pub link: Arc<Link>,
    pub bills: Bills,
    pub retries: Mutex<Retries>,
    pub metrics: Metrics,
    /// Bytes of request bodies that may still be held.
    pub body_bytes: Arc<Semaphore>,
    pub stopping: watch::Receiver<bool>,
    pub clock: Clock,
    /// Whether what this box knows may be old.
    pub watchdog: Watchdog,
    pub started: Moment,
    /// Counts the log lines that were dropped.
    pub dropped_log_lines: Mutex<Option<Box<dyn Fn() -> usize + Send + Sync>>>,
}

impl Context {
    /// Bounds on a connection of a caller that comes now: the operator's, as far as one is known.
    pub fn bounds(&self) -> Bounds {
        let table = self.table.borrow();
        match &*table {
            Some(table) => Bounds::of(&table.config().limits),
            None => Bounds::of(&Limits::default()),
        }
    }

    /// Whether the box takes connections.
    pub fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !*self.stopping.borrow() && !self.link.sheds()
    }

    /// Whether a caller's connection is to end after the answer under way.
    pub fn closes_connections(&self) -> bool {
        *self.stopping.borrow() || self.link.sheds()
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }
}
