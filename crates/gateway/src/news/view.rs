//! What a box knows of what the store holds, wherever it heard it, and what it tells of that.
//!
//! Each piece of news goes into force on this box and onto the shelf for those that listen. Nothing goes
//! backwards: the configuration by its version, entries by theirs.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use objects::{Change, Object};
use parking_lot::Mutex;
use platform::{config::Config, endpoint::Entry as Endpoint};
use quarantine::{CRASHES, Report};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, timeout_at},
};
use wire::{Listen, News};

use crate::{
    clock::{Moment, Part, Pulse},
    fleet::{
        entry::{BOXES, Entry},
        peers::Peers,
    },
    money::funds::Funds,
    news::{
        directory::Directory,
        evacuations::{Evacuations, Zones},
        shelf::Shelf,
    },
    outage::Contact,
    table::Table,
    way::{crashes::Crashes, endpoints::Endpoints},
};

/// The configuration in force; `None` until one was read.
pub type InForce = watch::Sender<Option<Arc<Table>>>;

/// What news is put to use in.
pub struct Uses {
    pub in_force: InForce,
    pub funds: Funds,
    pub endpoints: Arc<Endpoints>,
    pub links: forward::Links,
    pub peers: Peers,
    pub crashes: Crashes,
    /// Tells all tasks of the box when the store answers again.
    pub contact: Contact,
    /// Tells whether the box was held up.
    pub pulse: Pulse,
    /// This start of the box.
    pub started: Moment,
}

/// What this box knows.
#[derive(Clone)]
pub struct View(Arc<Shared>);

struct Shared {
    uses: Uses,
    state: Mutex<State>,
    /// Raised with each piece of news.
    news: watch::Sender<u64>,
    /// Another box wants news that this one does not look for.
    wanted: Notify,
}

#[derive(Default)]
struct State {
    directory: Directory,
    shelf: Shelf,
    /// Entries of boxes by name, with their versions.
    boxes: BTreeMap<Arc<str>, (Entry, u64)>,
    evacuations: Evacuations,
    config_at: u64,
    boxes_at: u64,
    /// Since when the store has not answered whoever this box hears it from.
    away_since: Option<Instant>,
    /// Parts that this box has read from the store since it looks itself.
    looks: Looks,
    /// When another box wanted news last.
    asked: Option<Instant>,
    /// When the store, or a home that reaches it, was heard last.
    heard: Option<Instant>,
}

/// How this box stands with its news, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// It looks at the store itself.
    pub looks: bool,
    /// Time since the store, or a home that reaches it, was heard.
    pub age: Option<Duration>,
}

/// What a box that looks has read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Looks {
    config: bool,
    endpoints: bool,
    evacuations: bool,
    crashes: bool,
}

impl Looks {
    /// Whether others may listen.
    fn is_whole(self) -> bool {
        self.config && self.endpoints && self.evacuations && self.crashes
    }
}

impl View {
    /// Nothing is known yet.
    pub fn open(uses: Uses) -> View {
        let (state, news) = (Mutex::default(), watch::channel(0).0);
        View(Arc::new(Shared { uses, state, news, wanted: Notify::new() }))
    }

    fn now(&self) -> u64 {
        self.0.uses.started.elapsed().as_millis() as u64
    }

    /// A moment of the steady clock, as if the box had not been suspended since.
    fn ms(&self, at: Instant) -> u64 {
        self.now().saturating_sub(at.elapsed().as_millis() as u64)
    }

    fn tell(&self) {
        self.0.news.send_modify(|count| *count += 1);
    }

    /// The configuration as it was read from the store.
    pub fn config_read(&self, objects: &[Object], times: u64) {
        self.0.state.lock().looks.config = true;
        objects.iter().for_each(|object| self.config(object));
        self.0.uses.pulse.read(Part::Config, times);
        self.tell();
    }

    /// The configuration was written.
    pub fn config(&self, object: &Object) {
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
        let newest = self.0.uses.in_force.borrow().as_ref().map(|table| table.version());
        if newest.is_some_and(|newest| newest >= config.version) {
            return;
        }
        let (version, routes) = (config.version, config.routes.len());
        let table = Arc::new(Table::new(config));
        self.0.uses.funds.configure(&table);
        self.0.uses.endpoints.configure(&table);
        self.0.uses.in_force.send_replace(Some(table));
        let (kind, name) = platform::CONFIG;
        let mut state = self.0.state.lock();
        state.config_at = object.version;
        state.shelf.put(kind, name, object.version, Some(&object.value));
        drop(state);
        self.tell();
        tracing::info!(event = "config_in_force", version, routes, object = object.version);
    }

    /// The zones that are to get no more work as they were read from the store at a version.
    pub fn evacuations_read(&self, objects: &[Object], at: u64) {
        let zones = objects.iter().map(|object| object.name.clone()).collect();
        let mut state = self.0.state.lock();
        state.looks.evacuations = true;
        if state.evacuations.replace(zones, at) {
            self.publish_evacuations(&mut state);
        }
        self.tell();
    }

    /// Zones were evacuated, or taken back.
    pub fn evacuations_changed(&self, changes: &[Change]) {
        let mut state = self.0.state.lock();
        if state.evacuations.change(changes) {
            self.publish_evacuations(&mut state);
            self.tell();
        }
    }

    /// Another box tells which zones it was at a version of the store.
    fn hear_evacuations(&self, state: &mut State, change: wire::Change) {
        match change.value.as_deref().map(serde_json::from_str::<Zones>) {
            Some(Ok(zones)) => {
                if state.evacuations.replace(zones, change.version) {
                    self.publish_evacuations(state);
                }
            }
            Some(Err(error)) => {
                tracing::error!(event = "news_unreadable", kind = &*change.kind, %error)
            }
            None => tracing::warn!(event = "news_not_understood", kind = &*change.kind),
        }
    }

    /// Puts in force which zones get no more work.
    fn publish_evacuations(&self, state: &mut State) {
        let (zones, version) = (state.evacuations.zones(), state.evacuations.at());
        let changed = self.0.uses.endpoints.evacuate(zones);
        let text = serde_json::to_string(zones).expect("names always serialize");
        if changed {
            tracing::info!(event = "evacuations_in_force", zones = text, version);
        }
        // Under one name: all are told of together.
        state.shelf.put(platform::EVACUATIONS, "all", version, Some(&text));
    }

    /// Reports of requests that endpoints ended with, as they were read from the store.
    pub fn crashes_read(&self, objects: &[Object]) {
        let mut state = self.0.state.lock();
        state.looks.crashes = true;
        for Object { name, version, value, .. } in objects {
            self.take_crash(&mut state, name, *version, Some(value));
        }
        drop(state);
        self.tell();
    }

    /// Reports came to the store, or went.
    pub fn crashes_changed(&self, changes: &[Change]) {
        let mut state = self.0.state.lock();
        for Change { name, version, value, .. } in changes {
            self.take_crash(&mut state, name, *version, value.as_deref());
        }
        drop(state);
        self.tell();
    }

    /// Takes over a report that a box tells, this one or another.
    pub fn hear_crash(&self, name: &Arc<str>, report: Report) {
        let text = serde_json::to_string(&report).expect("reports always serialize");
        self.0.uses.crashes.take(name, None, report);
        self.0.state.lock().shelf.put(CRASHES, name, NOT_STORED, Some(&text));
        self.tell();
    }

    /// A report as it stands in the store, or that it went.
    fn take_crash(&self, state: &mut State, name: &Arc<str>, version: u64, text: Option<&str>) {
        let crashes = &self.0.uses.crashes;
        match text.map(serde_json::from_str::<Report>) {
            Some(Ok(report)) => {
                crashes.take(name, (version != NOT_STORED).then_some(version), report);
                state.shelf.put(CRASHES, name, version, text);
            }
            Some(Err(error)) => note_unreadable(CRASHES, name, &error),
            None => {
                crashes.forget(name);
                state.shelf.put(CRASHES, name, version, None);
            }
        }
    }

    /// Reports in the store that are too old to count, with their versions, while this box looks at it.
    pub fn old_crashes(&self) -> Vec<(Arc<str>, u64)> {
        let state = self.0.state.lock();
        let is_old = |name: &str| !self.0.uses.crashes.holds(name);
        let mut names = match state.looks.is_whole() {
            true => state.shelf.names(CRASHES),
            false => Vec::new(),
        };
        names.retain(|(name, version)| *version != NOT_STORED && is_old(name));
        names
    }

    /// All entries of endpoints as they were read from the store at a version, by a call that began when the
    /// box had been held up so often.
    pub fn endpoints_read(&self, objects: &[Object], at: u64, times: u64) {
        let now = self.now();
        let mut state = self.0.state.lock();
        let mut entries = Vec::with_capacity(objects.len());
        for Object { name, version, value, .. } in objects {
            match read_endpoint(name, value) {
                Some(entry) => entries.push((name.clone(), *version, entry)),
                None => state.directory.remove(name, *version),
            }
        }
        state.directory.list(entries, at, now);
        for object in objects {
            state.shelve_endpoint(&object.name, object.version, &object.value);
        }
        state.looks.endpoints = true;
        self.publish(&mut state, "list", at);
        self.0.uses.pulse.read(Part::Endpoints, times);
    }

    /// Entries of endpoints changed, up to a version of the store.
    pub fn endpoints_changed(&self, changes: Vec<Change>, at: u64) {
        let now = self.now();
        let mut state = self.0.state.lock();
        let is_news = !changes.is_empty();
        for change in changes {
            let read = change.value.as_deref().and_then(|text| read_endpoint(&change.name, text));
            match (read, &change.value) {
                (Some(entry), Some(text)) => {
                    state.directory.set(change.name.clone(), change.version, entry);
                    state.shelve_endpoint(&change.name, change.version, text);
                }
                _ => state.directory.remove(&change.name, change.version),
            }
        }
        state.directory.seen(at);
        if state.directory.sweep(now) || is_news {
            self.publish(&mut state, "watch", at);
        }
    }

    /// The store is back: entries that lapsed since `lost_since` may come back too, for `lapse`.
    pub fn returned(&self, lost_since: Instant, lapse: Duration) {
        let until = self.now() + lapse.as_millis() as u64;
        let lost_since = self.ms(lost_since);
        self.0.state.lock().directory.returned(lost_since, until);
    }

    /// Time until entries that are missing count as gone; `None` if nothing is missing.
    pub fn lenient_for(&self) -> Option<Duration> {
        let rest = self.0.state.lock().directory.lenient_for(self.now());
        rest.map(Duration::from_millis)
    }

    /// Entries that are still missing are gone, if their time is over.
    pub fn sweep(&self) {
        let now = self.now();
        let mut state = self.0.state.lock();
        if state.directory.sweep(now) {
            let at = state.directory.at();
            self.publish(&mut state, "sweep", at);
        }
    }

    /// Puts in force which endpoints there are.
    fn publish(&self, state: &mut State, by: &str, version: u64) {
        state.unshelve_endpoints();
        let Uses { endpoints, links, .. } = &self.0.uses;
        let unused = endpoints.update(state.directory.ready());
        unused.iter().for_each(|address| links.forget(*address));
        let (known, ready) = (state.directory.len(), state.directory.ready().count());
        let gone = unused.len();
        tracing::info!(event = "endpoints_changed", by, version, known, ready, gone);
        self.tell();
    }

    /// All entries of boxes as they were read at a version of the store, which may be old.
    pub fn boxes_read(&self, entries: Vec<(Entry, u64)>, at: u64) {
        let mut state = self.0.state.lock();
        let named = |(entry, version): (Entry, u64)| {
            (Arc::from(entry.incarnation.box_name()), (entry, version))
        };
        let mut listed: BTreeMap<Arc<str>, (Entry, u64)> = entries.into_iter().map(named).collect();
        for (name, known) in std::mem::take(&mut state.boxes) {
            let newer = listed.get(&name).is_none_or(|(_, version)| known.1 > *version);
            // What is newer than the list does not go by it.
            if newer && known.1 > at {
                listed.insert(name, known);
            }
        }
        state.boxes = listed;
        self.publish_boxes(&mut state, at);
    }

    /// Version of the entry of a box, if it is known.
    pub fn box_version(&self, name: &str) -> Option<u64> {
        self.0.state.lock().boxes.get(name).map(|(_, version)| *version)
    }

    fn publish_boxes(&self, state: &mut State, at: u64) {
        state.boxes_at = state.boxes_at.max(at);
        state.shelve_boxes();
        let entries = state.boxes.values().cloned().collect();
        self.0.uses.peers.update(entries, at);
        self.0.uses.endpoints.set_fleet(self.0.uses.peers.fleet());
        self.tell();
    }

    /// Whether the store answers this box, or the one that it listens to.
    pub fn set_away(&self, since: Option<Instant>) {
        let mut state = self.0.state.lock();
        let before = std::mem::replace(&mut state.away_since, since);
        if since.is_none() {
            state.heard = Some(Instant::now());
        }
        drop(state);
        if before.is_some() != since.is_some() {
            self.tell();
        }
    }

    /// Whether a configuration is known.
    pub fn knows_config(&self) -> bool {
        self.0.uses.in_force.borrow().is_some()
    }

    /// Version of the object that holds the configuration in force; 0 if none is.
    pub fn config_at(&self) -> u64 {
        self.0.state.lock().config_at
    }

    /// Since when the store has been away, as this box heard last.
    pub fn away_since(&self) -> Option<Instant> {
        self.0.state.lock().away_since
    }

    /// How this box stands with its news.
    pub fn standing(&self) -> Standing {
        let state = self.0.state.lock();
        let age = state.heard.map(|at| at.elapsed());
        Standing { looks: state.looks.is_whole(), age }
    }

    /// This box begins to look at the store itself, or no longer does.
    pub fn start_over(&self) {
        self.0.state.lock().looks = Looks::default();
    }

    /// Takes over what a home tells.
    pub fn hear(&self, news: News) {
        let mut state = self.0.state.lock();
        let mut endpoints = Vec::new();
        let mut boxes = Vec::new();
        let mut config = None;
        for change in news.changes {
            match &*change.kind {
                platform::ENDPOINTS => endpoints.push(change),
                BOXES => boxes.push(change),
                platform::EVACUATIONS => self.hear_evacuations(&mut state, change),
                CRASHES => {
                    let wire::Change { name, version, value, .. } = change;
                    self.take_crash(&mut state, &name, version, value.as_deref());
                }
                kind if kind == platform::CONFIG.0 => config = Some(change),
                kind => tracing::warn!(event = "news_not_understood", kind),
            }
        }
        if news.whole || !endpoints.is_empty() {
            state.hear_endpoints(endpoints, news.whole, news.endpoints_at);
            self.publish(&mut state, "home", news.endpoints_at);
        }
        if news.whole || !boxes.is_empty() {
            state.hear_boxes(boxes, news.whole, news.boxes_at);
            self.publish_boxes(&mut state, news.boxes_at);
        }
        drop(state);
        if let Some(wire::Change { kind, name, version, value: Some(value) }) = config {
            self.config(&Object { kind, name, version, value });
        }
        let now = Instant::now();
        let ago = |ms| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        let away = news.away_ms.map(ago);
        let before = self.away_since();
        self.set_away(away);
        if let (Some(lost_since), None) = (before, away) {
            self.0.uses.contact.tell(lost_since);
        }
    }

    /// When another box wanted news last.
    pub fn asked(&self) -> Option<Instant> {
        self.0.state.lock().asked
    }

    /// Waits until another box wants news that this one does not look for.
    pub async fn wanted(&self) {
        self.0.wanted.notified().await;
    }

    /// What a listener is told: at once if there is something that it does not know, else when there
    /// is, or after the time that it waits. `None` while this box does not look at the store itself.
    pub async fn news(&self, listen: &Listen) -> Option<News> {
        let until = Instant::now() + Duration::from_millis(listen.wait_ms.min(WAIT_MOST_MS));
        let mut heard = self.0.news.subscribe();
        self.0.state.lock().asked = Some(Instant::now());
        loop {
            heard.borrow_and_update();
            let found = self.news_now(listen);
            match found {
                None => {
                    self.0.wanted.notify_one();
                    return None;
                }
                Some(news) if is_new(&news, listen) => return Some(news),
                Some(_) => {}
            }
            if timeout_at(until, heard.changed()).await.is_err() {
                return self.news_now(listen);
            }
        }
    }

    fn news_now(&self, listen: &Listen) -> Option<News> {
        let state = self.0.state.lock();
        if !state.looks.is_whole() {
            return None;
        }
        let told = listen.since.map(|since| state.shelf.since(since));
        let (mut changes, whole) = told.unwrap_or_default();
        changes
            .retain(|change| &*change.kind != platform::CONFIG.0 || change.version > listen.config);
        Some(News {
            last: state.shelf.last(),
            whole,
            changes,
            endpoints_at: state.directory.at(),
            boxes_at: state.boxes_at,
            away_ms: state.away_since.map(|since| since.elapsed().as_millis() as u64),
        })
    }
}

/// Longest wait of a listener, in milliseconds: a connection that is dead is found by silence.
const WAIT_MOST_MS: u64 = 5_000;

/// Version of a report that a box told and the store has not taken yet.
const NOT_STORED: u64 = 0;

/// Whether there is something in it for a listener.
fn is_new(news: &News, listen: &Listen) -> bool {
    news.whole
        || listen.since.is_none()
        || !news.changes.is_empty()
        || news.away_ms.is_some() != listen.away
}

impl State {
    /// Keeps the text of an entry for listeners, if it is the one that counts.
    fn shelve_endpoint(&mut self, id: &str, version: u64, text: &str) {
        if self.directory.version(id) == Some(version) {
            self.shelf.put(platform::ENDPOINTS, id, version, Some(text));
        }
    }

    /// Endpoints that are not known any more go from the shelf.
    fn unshelve_endpoints(&mut self) {
        for (id, version) in self.shelf.names(platform::ENDPOINTS) {
            if self.directory.version(&id).is_none() {
                let gone_at = self.directory.gone_at(&id).unwrap_or(version);
                self.shelf.put(platform::ENDPOINTS, &id, gone_at, None);
            }
        }
    }

    fn shelve_boxes(&mut self) {
        for (name, version) in self.shelf.names(BOXES) {
            if !self.boxes.contains_key(&name) {
                self.shelf.put(BOXES, &name, version, None);
            }
        }
        for (name, (entry, version)) in &self.boxes {
            let text = serde_json::to_string(entry).expect("entries always serialize");
            self.shelf.put(BOXES, name, *version, Some(&text));
        }
    }

    fn hear_endpoints(&mut self, changes: Vec<wire::Change>, whole: bool, at: u64) {
        let mut entries = Vec::new();
        let mut texts = Vec::new();
        for change in changes {
            let read = change.value.as_deref().and_then(|text| read_endpoint(&change.name, text));
            match (read, change.value) {
                (Some(entry), Some(text)) => {
                    texts.push((change.name.clone(), change.version, text));
                    entries.push((change.name, change.version, entry));
                }
                _ => self.directory.remove(&change.name, change.version),
            }
        }
        match whole {
            true => self.directory.mirror(entries, at),
            false => {
                for (id, version, entry) in entries {
                    self.directory.set(id, version, entry);
                }
            }
        }
        for (id, version, text) in &texts {
            self.shelve_endpoint(id, *version, text);
        }
    }

    fn hear_boxes(&mut self, changes: Vec<wire::Change>, whole: bool, at: u64) {
        let before = std::mem::take(&mut self.boxes);
        if !whole {
            self.boxes = before;
        } else {
            self.boxes = before.into_iter().filter(|(_, (_, version))| *version > at).collect();
        }
        for change in changes {
            let version = self.boxes.get(&change.name).map_or(0, |(_, version)| *version);
            match change.value.as_deref().and_then(|text| read_box(&change.name, text)) {
                _ if version > change.version => {}
                Some(entry) => drop(self.boxes.insert(change.name, (entry, change.version))),
                None => drop(self.boxes.remove(&change.name)),
            }
        }
    }
}

fn read_endpoint(id: &str, text: &str) -> Option<Endpoint> {
    Endpoint::read(text).inspect_err(|error| note_unreadable(platform::ENDPOINTS, id, error)).ok()
}

/// Reads the entry of a box.
pub fn read_box(name: &str, text: &str) -> Option<Entry> {
    serde_json::from_str(text).inspect_err(|error| note_unreadable(BOXES, name, error)).ok()
}

/// Most of a name or a reason that a log line holds: others may have written anything there.
const MOST_LOGGED: usize = 120;

/// Somebody else may have written it: it names nothing to use, and the others hold.
fn note_unreadable(kind: &str, name: &str, error: &serde_json::Error) {
    let reason: String = error.to_string().chars().take(MOST_LOGGED).collect();
    let name: String = name.chars().take(MOST_LOGGED).collect();
    tracing::warn!(event = "entry_unreadable", kind, name, reason);
}
