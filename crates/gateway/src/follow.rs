//! The tasks that follow the store: the configuration, and the entries of endpoints.

use std::{sync::Arc, time::Duration};

use objects::{Error, Object};
use platform::{config::Config, endpoint::Entry, store::Client};
use tokio::{sync::watch, time::Instant};

use crate::{
    directory::Directory,
    endpoints::Endpoints,
    funds::Funds,
    outage::{Contact, Outage, Probe},
    table::Table,
};

/// Pause after news of endpoints: what comes meanwhile is told by the next watch, so that a hundred
/// endpoints that start together cost a few calls a box instead of one each. An eighth of the time
/// within which a leaving endpoint may get no more work.
const GATHER: Duration = Duration::from_millis(250);
/// Entries may lapse once the store was away this long, in milliseconds; shorter than the time
/// between two signs of life of an endpoint on any deployment known.
const AWAY_MS: u64 = 900;

/// The configuration in force; `None` until one was read.
pub type InForce = watch::Sender<Option<Arc<Table>>>;

/// Follows the operator's configuration. Within the life of a box it only goes forwards.
pub async fn follow_config(store: Client, in_force: Arc<InForce>, funds: Funds, contact: Contact) {
    let kind = platform::CONFIG.0;
    let mut outage = Outage::new("configuration", Probe::First, contact.clone());
    loop {
        let list = match store.all(kind).await {
            Ok(list) => list,
            Err(error) => {
                outage.failed(&error);
                outage.pause().await;
                continue;
            }
        };
        outage.answered();
        list.objects.iter().for_each(|object| apply_config(object, &in_force, &funds));
        let mut from = list.version;
        loop {
            let watched = tokio::select! {
                watched = store.changes(kind, from) => watched,
                _ = contact.regained() => break,
            };
            match watched {
                Ok(watch) if watch.gap => {
                    tracing::info!(event = "watch_gap", what = "configuration", from);
                    break;
                }
                Ok(watch) => {
                    outage.answered();
                    from = watch.next;
                    let written = watch.changes.into_iter().filter_map(changed);
                    written.for_each(|object| apply_config(&object, &in_force, &funds));
                }
                Err(error) => {
                    outage.failed(&error);
                    break;
                }
            }
        }
    }
}

fn changed(change: objects::Change) -> Option<Object> {
    let value = change.value?;
    Some(Object { kind: change.kind, name: change.name, version: change.version, value })
}

fn apply_config(object: &Object, in_force: &InForce, funds: &Funds) {
    if &*object.name != platform::CONFIG.1 {
        return;
    }
    let config = match Config::read(&object.value) {
        Ok(config) => config,
        Err(error) => {
            tracing::error!(event = "config_unreadable", object = object.version, %error);
            return;
        }
    };
    let newest = in_force.borrow().as_ref().map(|table| table.version());
    if newest.is_some_and(|newest| newest >= config.version) {
        return;
    }
    let (version, routes) = (config.version, config.routes.len());
    let table = Arc::new(Table::new(config));
    funds.configure(&table);
    in_force.send_replace(Some(table));
    tracing::info!(event = "config_in_force", version, routes, object = object.version);
}

/// What follows the entries of endpoints.
pub struct EndpointFollower {
    pub store: Client,
    pub endpoints: Arc<Endpoints>,
    pub links: forward::Links,
    /// How long missing entries are kept after the store's return.
    pub lapse: Duration,
    contact: Contact,
    directory: Directory,
    outage: Outage,
    started: Instant,
    answered: u64,
}

impl EndpointFollower {
    /// Nothing is read yet.
    pub fn new(
        store: Client,
        endpoints: Arc<Endpoints>,
        links: forward::Links,
        lapse: Duration,
        contact: Contact,
    ) -> EndpointFollower {
        let directory = Directory::default();
        let outage = Outage::new("endpoints", Probe::Later, contact.clone());
        let started = Instant::now();
        EndpointFollower {
            store,
            endpoints,
            links,
            lapse,
            contact,
            directory,
            outage,
            started,
            answered: 0,
        }
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Follows for as long as the box runs.
    pub async fn run(mut self) {
        loop {
            match self.list().await {
                Ok(from) => self.watch(from).await,
                Err(error) => {
                    self.outage.failed(&error);
                    self.outage.pause().await;
                }
            }
        }
    }

    async fn list(&mut self) -> Result<u64, Error> {
        let list = self.store.all(platform::ENDPOINTS).await?;
        self.heard();
        let entries = list.objects.iter().filter_map(|object| {
            let entry = read_entry(&object.name, &object.value)?;
            Some((object.name.clone(), object.version, entry))
        });
        let entries = entries.collect();
        let now = self.now();
        self.directory.list(entries, now);
        self.publish("list", list.version);
        Ok(list.version)
    }

    /// The store answered: entries may have lapsed if it had not for long.
    fn heard(&mut self) {
        let now = self.now();
        let away = now.saturating_sub(self.answered) > AWAY_MS && self.answered > 0;
        if let Some(lost_ms) = self.outage.answered().filter(|_| away) {
            self.returned(now.saturating_sub(lost_ms));
        }
        self.answered = now;
    }

    /// The store is back: entries that lapsed meanwhile may come back too.
    fn returned(&mut self, lost_since: u64) {
        let until = self.now() + self.lapse.as_millis() as u64;
        self.directory.returned(lost_since, until);
    }

    async fn watch(&mut self, mut from: u64) {
        loop {
            let watched = match self.directory.lenient_for(self.now()) {
                Some(rest) => {
                    let rest = Duration::from_millis(rest);
                    tokio::time::timeout(rest, self.watch_once(from)).await
                }
                None => Ok(self.watch_once(from).await),
            };
            match watched {
                Err(_) => {
                    // What is still missing now is gone.
                    if self.directory.sweep(self.now()) {
                        self.publish("sweep", from);
                    }
                }
                Ok(Ok(Some(next))) => {
                    from = next;
                    tokio::time::sleep(GATHER).await;
                }
                Ok(Ok(None)) => return,
                Ok(Err(error)) => {
                    self.outage.failed(&error);
                    return;
                }
            }
        }
    }

    async fn watch_once(&mut self, from: u64) -> Result<Option<u64>, Error> {
        let watch = tokio::select! {
            watch = self.store.changes(platform::ENDPOINTS, from) => watch?,
            lost_since = self.contact.regained() => {
                // Another task lost the store and found it again: this watch may be dead.
                let ago = lost_since.elapsed().as_millis() as u64;
                self.returned(self.now().saturating_sub(ago));
                return Ok(None);
            }
        };
        if watch.gap {
            tracing::info!(event = "watch_gap", what = "endpoints", from);
            return Ok(None);
        }
        self.heard();
        let now = self.now();
        let changed = !watch.changes.is_empty();
        for change in watch.changes {
            let entry = change.value.as_deref().and_then(|text| read_entry(&change.name, text));
            match entry {
                Some(entry) => self.directory.set(change.name, change.version, entry),
                None => self.directory.remove(&change.name),
            }
        }
        let swept = self.directory.sweep(now);
        if changed || swept {
            self.publish("watch", watch.next);
        }
        Ok(Some(watch.next))
    }

    fn publish(&mut self, by: &str, version: u64) {
        let unused = self.endpoints.update(&self.directory);
        for address in &unused {
            self.links.forget(*address);
        }
        let (known, ready) = (self.directory.len(), self.directory.ready().count());
        let gone = unused.len();
        tracing::info!(event = "endpoints_changed", by, version, known, ready, gone);
    }
}

fn read_entry(id: &str, text: &str) -> Option<Entry> {
    Entry::read(text)
        .inspect_err(|error| tracing::error!(event = "entry_unreadable", endpoint = id, %error))
        .ok()
}
