//! What this box knows of the store, whatever the source, and what it passes on to subscribers.
//!
//! Each update is put in force on this box and added to the change log for subscribers. Nothing
//! goes backwards: the configuration has a version, and so has each entry.

mod boxes;
mod crashes;
mod departures;
mod endpoints;
mod evacuations;
mod limits;
mod subscribers;
mod versions;

pub use boxes::read_box;
use departures::DEPARTURES;
use limits::LIMITS;
pub use subscribers::{Answer, Origin};

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use objects::Object;
use parking_lot::Mutex;
use platform::config::Config;
use quarantine::CRASHES;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};
use wire::{Ages, Update};

use crate::{
    clock::{Dataset, Moment, Watchdog},
    config_table::ConfigTable,
    fleet::{
        entry::{BOXES, Entry},
        peers::Peers,
    },
    freshness::{Freshness, Source, Subject},
    outage::Recovery,
    proxy::{crashes::Crashes, endpoints::Endpoints},
    sole_versions::{handle::SoleVersions, record::VERSIONS},
    sync::{change_log::ChangeLog, directory::Directory, evacuations::Evacuations},
    tokens::funds::Funds,
};

/// The configuration in force; `None` until one was read.
pub type InForce = watch::Sender<Option<Arc<ConfigTable>>>;

/// Where updates are applied.
pub struct Consumers {
    pub in_force: InForce,
    pub funds: Funds,
    pub endpoints: Arc<Endpoints>,
    pub connections: forward::Connections,
    pub peers: Peers,
    pub crashes: Crashes,
    /// Which software versions the services have.
    pub sole_versions: SoleVersions,
    /// When the store confirmed each state last.
    pub freshness: Freshness,
    /// Announces to all tasks of the box that the store answers again.
    pub recovery: Recovery,
    /// Reports suspensions of this box.
    pub watchdog: Watchdog,
    /// Start of this box.
    pub started: Moment,
}

/// What this box knows of the store.
#[derive(Clone)]
pub struct View(Arc<Shared>);

struct Shared {
    consumers: Consumers,
    state: Mutex<State>,
    /// Held while a configuration is put in force: a root gets them from the store and from another root.
    config_update: Mutex<()>,
    /// Incremented with each update.
    updates: watch::Sender<u64>,
    /// Notified when another box subscribes while this one does not watch the store.
    watch_requested: Notify,
}

#[derive(Default)]
struct State {
    directory: Directory,
    change_log: ChangeLog,
    /// Entries of boxes by name, with their versions.
    boxes: BTreeMap<Arc<str>, (Entry, u64)>,
    evacuations: Evacuations,
    config_at: u64,
    boxes_at: u64,
    /// Since when the store has not answered the source of this box's updates.
    unreachable_since: Option<Instant>,
    /// What this box has read from the store since it began to watch it.
    loaded: Loaded,
    /// When this box, as a relay, last heard from a root; `None` if it does not relay.
    relayed_at: Option<Instant>,
    /// When another box asked for updates last.
    last_subscribed: Option<Instant>,
    /// When this box last heard from the store, or from a watcher that reaches it.
    last_contact: Option<Instant>,
}

/// State of this box's updates, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether this box watches the store itself.
    pub watches: bool,
    /// Time since this box last heard from the store, or from a watcher that reaches it.
    pub age: Option<Duration>,
}

/// What a box that watches the store has read from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Loaded {
    config: bool,
    endpoints: bool,
    evacuations: bool,
    crashes: bool,
}

impl Loaded {
    /// Whether other boxes may subscribe.
    fn is_complete(self) -> bool {
        self.config && self.endpoints && self.evacuations && self.crashes
    }
}

impl View {
    pub fn open(consumers: Consumers) -> View {
        let (state, config_update) = (Mutex::default(), Mutex::default());
        let (updates, watch_requested) = (watch::channel(0).0, Notify::new());
        View(Arc::new(Shared { consumers, state, config_update, updates, watch_requested }))
    }

    fn now(&self) -> u64 {
        self.0.consumers.started.elapsed().as_millis() as u64
    }

    /// An instant in milliseconds since the start of this box, on the assumption that the box was not
    /// suspended since then.
    fn to_ms(&self, at: Instant) -> u64 {
        self.now().saturating_sub(at.elapsed().as_millis() as u64)
    }

    fn notify(&self) {
        self.0.updates.send_modify(|count| *count += 1);
    }

    /// Takes over the configuration as read from the store.
    pub fn load_config(&self, objects: &[Object], suspensions: u64) {
        self.0.state.lock().loaded.config = true;
        objects.iter().for_each(|object| self.update_config(object));
        self.0.consumers.watchdog.mark_read(Dataset::Config, suspensions);
        self.notify();
    }

    /// Takes over a configuration that was written.
    pub fn update_config(&self, object: &Object) {
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
        let _turn = self.0.config_update.lock();
        let newest = self.0.consumers.in_force.borrow().as_ref().map(|table| table.version());
        if newest.is_some_and(|newest| newest >= config.version) {
            return;
        }
        let (version, routes) = (config.version, config.routes.len());
        let table = Arc::new(ConfigTable::new(config));
        self.0.consumers.funds.configure(&table);
        self.0.consumers.endpoints.configure(&table);
        self.0.consumers.in_force.send_replace(Some(table));
        let (kind, name) = platform::CONFIG;
        let mut state = self.0.state.lock();
        state.config_at = object.version;
        state.change_log.put(kind, name, object.version, Some(&object.value));
        drop(state);
        self.notify();
        tracing::info!(event = "config_in_force", version, routes, object = object.version);
    }

    /// Sets since when the store has not answered this box or its watcher; `None` if it answers.
    pub fn set_unreachable(&self, since: Option<Instant>) {
        let mut state = self.0.state.lock();
        let before = std::mem::replace(&mut state.unreachable_since, since);
        if since.is_none() {
            state.last_contact = Some(Instant::now());
        }
        drop(state);
        if since.is_none() {
            self.0.consumers.sole_versions.look();
        }
        if before.is_some() != since.is_some() {
            self.notify();
        }
    }

    /// When the store confirmed each state last.
    pub fn freshness(&self) -> &Freshness {
        &self.0.consumers.freshness
    }

    /// Records that the store showed a state complete up to `at_ms`, and tells subscribers.
    pub fn confirm(&self, subject: Subject, at_ms: u64) {
        if self.0.consumers.freshness.confirm(subject, at_ms, Source::Store) {
            self.notify();
        }
    }

    /// Records what another box said of the ages of its state, and tells subscribers.
    pub fn receive_ages(&self, ages: &Ages, sent_ms: u64, held_ms: u64, by: &Arc<str>) {
        if self.0.consumers.freshness.receive(ages, sent_ms, held_ms, by) {
            self.notify();
        }
    }

    /// Whether a configuration is known.
    pub fn knows_config(&self) -> bool {
        self.0.consumers.in_force.borrow().is_some()
    }

    /// Version of the object that holds the configuration in force; 0 if there is none.
    pub fn config_at(&self) -> u64 {
        self.0.state.lock().config_at
    }

    /// Since when the store has been unreachable, as last reported.
    pub fn unreachable_since(&self) -> Option<Instant> {
        self.0.state.lock().unreachable_since
    }

    /// State of this box's updates.
    pub fn status(&self) -> Status {
        let state = self.0.state.lock();
        let age = state.last_contact.map(|at| at.elapsed());
        Status { watches: state.loaded.is_complete(), age }
    }

    /// Size of all that this box knows of the store.
    pub fn known_bytes(&self) -> usize {
        self.0.state.lock().change_log.bytes()
    }

    /// Called when this box begins or ends to watch the store.
    pub fn reset_loaded(&self) {
        self.0.state.lock().loaded = Loaded::default();
        self.0.consumers.sole_versions.set_listed(false);
    }

    /// Takes over updates from a watcher.
    pub fn apply(&self, mut updates: Update) {
        let is_new = !updates.changes.is_empty();
        let (boxes, signals): (Vec<_>, Vec<_>) = updates
            .changes
            .extract_if(.., |change| matches!(&*change.kind, BOXES | LIMITS | DEPARTURES))
            .partition(|change| &*change.kind == BOXES);
        let Update { is_snapshot, boxes_at, store_unreachable_ms, .. } = updates;
        self.apply_followed(updates);
        let mut state = self.0.state.lock();
        // Applied after the endpoints, because signals of unknown endpoints are ignored.
        for wire::Change { kind, name, value, .. } in signals {
            match value.as_deref() {
                value if &*kind == LIMITS => self.apply_limit(&mut state, &name, value),
                Some(text) => self.apply_departure(&mut state, &name, text, !is_snapshot),
                // The watcher dropped it; this box does so by its own rules.
                None => {}
            }
        }
        if is_snapshot || !boxes.is_empty() {
            state.apply_boxes(boxes, is_snapshot, boxes_at);
            self.publish_boxes(&mut state, boxes_at);
        }
        drop(state);
        let now = Instant::now();
        let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        let unreachable_since = store_unreachable_ms.map(ago);
        let before = self.unreachable_since();
        self.set_unreachable(unreachable_since);
        if let (Some(lost_since), None) = (before, unreachable_since) {
            self.0.consumers.recovery.announce(lost_since);
        }
        // Subscribers of a relay wait for what came with no endpoint, box or configuration too.
        if is_new {
            self.notify();
        }
    }

    /// Takes over what a watcher knows of the states that boxes follow in the store, and nothing
    /// else: not whether the store answers, nor other boxes or signals.
    pub fn apply_followed(&self, updates: Update) {
        let Update { changes, is_snapshot, endpoints_at, .. } = updates;
        let is_new = !changes.is_empty();
        let mut state = self.0.state.lock();
        let (mut endpoints, mut versions, mut config) = (Vec::new(), Vec::new(), None);
        for change in changes {
            match &*change.kind {
                platform::ENDPOINTS => endpoints.push(change),
                platform::EVACUATIONS => self.apply_evacuations(&mut state, change),
                CRASHES => {
                    let wire::Change { name, version, value, .. } = change;
                    self.apply_crash(&mut state, &name, version, value.as_deref());
                }
                VERSIONS => versions.push(change),
                BOXES | LIMITS | DEPARTURES => {}
                kind if kind == platform::CONFIG.0 => config = Some(change),
                kind => tracing::warn!(event = "news_not_understood", kind),
            }
        }
        // A relay passes on up to which version it knows all entries.
        state.directory.advance_to(endpoints_at);
        if is_snapshot || !endpoints.is_empty() {
            state.apply_endpoints(endpoints, is_snapshot, endpoints_at);
            self.publish_endpoints(&mut state, "home", endpoints_at);
        }
        drop(state);
        for wire::Change { kind, name, version, value } in versions {
            if let Some(value) = value {
                self.update_versions(&Object { kind, name, version, value });
            }
        }
        if let Some(wire::Change { kind, name, version, value: Some(value) }) = config {
            self.update_config(&Object { kind, name, version, value });
        }
        if is_new {
            self.notify();
        }
    }
}

/// Longest part of a name or reason that is logged: anybody may write any text to the store.
const MAX_LOGGED_CHARS: usize = 120;

/// Logs an unreadable entry. It is ignored; the others stay valid.
fn log_unreadable(kind: &str, name: &str, error: &serde_json::Error) {
    let reason: String = error.to_string().chars().take(MAX_LOGGED_CHARS).collect();
    let name: String = name.chars().take(MAX_LOGGED_CHARS).collect();
    tracing::warn!(event = "entry_unreadable", kind, name, reason);
}
