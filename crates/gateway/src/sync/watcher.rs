//! Watching the store: done by watchers for their subscribers, and by a box without a source for
//! itself.

use std::{sync::Arc, time::Duration};

use objects::{Change, Error, Object};
use platform::store::{Client, List};
use tokio::task::JoinSet;

use crate::{
    clock::Watchdog,
    fleet::entry::{BOXES, Entry},
    outage::{Outage, Probe, Recovery},
    sync::view::{self, View},
};

/// Pause after changes of endpoints, so that the next watch returns further changes together. Keeps
/// the number of calls low when many endpoints start together.
const GATHER: Duration = Duration::from_millis(250);
/// Interval between two reads of the other boxes: as long as replica reads may be out of date.
const BOXES_EVERY: Duration = Duration::from_secs(4);
/// Interval between two probes of the store. A waiting watch does not show whether the store is
/// reachable, and subscribers rely on their watcher to report an outage. Even with both timeouts
/// below, that stays under the 2 s after which a leaving endpoint must get no more work in the
/// strictest deployments. Probes read from a replica, which is cheap.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// Timeout of a probe: twice the latency of a slow store.
const LOOK_WITHIN: Duration = Duration::from_millis(600);
/// Timeout of the second probe, after one that got no answer: single answers get lost.
const LOOK_AGAIN_WITHIN: Duration = Duration::from_millis(300);

/// Entries of endpoints may expire in an outage longer than this: shorter than the heartbeat
/// interval of endpoints in any deployment.
const LAPSES_AFTER: Duration = Duration::from_millis(900);

/// What a watcher needs.
#[derive(Clone)]
pub struct Setup {
    pub store: Client,
    pub view: View,
    pub recovery: Recovery,
    /// Reports suspensions of this box, after which watches may be dead.
    pub watchdog: Watchdog,
    pub name: Arc<str>,
    /// How long missing entries are kept after an outage of the store.
    pub lapse: Duration,
}

/// Tasks that watch the store; they end when this is dropped.
pub struct Looking(#[allow(dead_code, reason = "tasks that live as long as this")] JoinSet<()>);

impl Looking {
    /// Starts to watch the store.
    pub fn spawn(setup: &Setup, probe: Probe) -> Looking {
        setup.view.start_over();
        let mut tasks = JoinSet::new();
        tasks.spawn(look_at_store(setup.clone(), probe));
        tasks.spawn(look_at_config(setup.clone()));
        tasks.spawn(look_at_evacuations(setup.clone()));
        tasks.spawn(look_at_crashes(setup.clone()));
        tasks.spawn(look_at_endpoints(setup.clone()));
        tasks.spawn(look_at_boxes(setup.clone()));
        Looking(tasks)
    }
}

/// The state of a store connection; an outage that this box already knows of goes on.
fn outage(setup: &Setup, what: &'static str, probe: Probe) -> Outage {
    let mut outage = Outage::new(what, probe, setup.recovery.clone());
    if let Some(since) = setup.view.away_since() {
        outage.lost_since(since);
    }
    outage
}

/// Probes the store, and reports to the other tasks and to subscribers whether it answers.
async fn look_at_store(setup: Setup, probe: Probe) {
    let mut outage = outage(&setup, "store", probe);
    loop {
        match answers(&setup).await {
            Ok(()) => {
                outage.answered();
                setup.view.set_away(None);
                tokio::time::sleep(LOOK_EVERY).await;
            }
            Err(error) => {
                outage.failed(&error);
                setup.view.set_away(outage.since());
                outage.pause().await;
            }
        }
    }
}

async fn answers(setup: &Setup) -> Result<(), Error> {
    match setup.store.answers(BOXES, &setup.name, LOOK_WITHIN).await {
        Ok(()) => Ok(()),
        Err(_) => setup.store.answers(BOXES, &setup.name, LOOK_AGAIN_WITHIN).await,
    }
}

/// Follows the operator's configuration.
async fn look_at_config(setup: Setup) {
    let view = setup.view.clone();
    let seen = |seen| match seen {
        Seen::All(list, suspensions) => view.config_read(&list.objects, suspensions),
        Seen::Changes(changes) => {
            changes.into_iter().filter_map(written).for_each(|object| view.config(&object));
        }
    };
    follow(&setup, "configuration", platform::CONFIG.0, seen).await;
}

/// Follows which availability zones are evacuated.
async fn look_at_evacuations(setup: Setup) {
    let view = setup.view.clone();
    let seen = |seen| match seen {
        Seen::All(list, _) => view.evacuations_read(&list.objects, list.version),
        Seen::Changes(changes) => view.evacuations_changed(&changes),
    };
    follow(&setup, "evacuations", platform::EVACUATIONS, seen).await;
}

/// Follows the reports of requests that crash endpoints.
async fn look_at_crashes(setup: Setup) {
    let view = setup.view.clone();
    let seen = |seen| match seen {
        Seen::All(list, _) => view.crashes_read(&list.objects),
        Seen::Changes(changes) => view.crashes_changed(&changes),
    };
    follow(&setup, "crashes", quarantine::CRASHES, seen).await;
}

/// What a list or a watch returned.
enum Seen {
    /// All objects, with the number of suspensions before the call began.
    All(List, u64),
    /// Changes since the last call.
    Changes(Vec<Change>),
}

/// Follows all objects of a kind, by a list and then watches.
async fn follow(setup: &Setup, what: &'static str, kind: &str, seen: impl Fn(Seen)) {
    let Setup { store, recovery, watchdog, .. } = setup;
    let mut outage = outage(setup, what, Probe::Lazy);
    loop {
        let suspensions = watchdog.suspensions();
        let list = match store.all(kind).await {
            Ok(list) => list,
            Err(error) => {
                outage.failed(&error);
                outage.pause().await;
                continue;
            }
        };
        outage.answered();
        let mut from = list.version;
        seen(Seen::All(list, suspensions));
        loop {
            let watched = tokio::select! {
                watched = store.changes(kind, from) => watched,
                _ = recovery.recovered() => break,
                () = watchdog.next_suspension(suspensions) => break,
            };
            match watched {
                Ok(watch) if watch.gap => {
                    tracing::info!(event = "watch_gap", what, from);
                    break;
                }
                Ok(watch) => {
                    outage.answered();
                    from = watch.next;
                    seen(Seen::Changes(watch.changes));
                }
                Err(error) => {
                    outage.failed(&error);
                    break;
                }
            }
        }
    }
}

fn written(change: Change) -> Option<Object> {
    let value = change.value?;
    Some(Object { kind: change.kind, name: change.name, version: change.version, value })
}

/// Follows the entries of endpoints.
async fn look_at_endpoints(setup: Setup) {
    let mut outage = outage(&setup, "endpoints", Probe::Lazy);
    loop {
        let suspensions = setup.watchdog.suspensions();
        match setup.store.all(platform::ENDPOINTS).await {
            Ok(list) => {
                heard(&setup, &mut outage);
                setup.view.endpoints_read(&list.objects, list.version, suspensions);
                tokio::select! {
                    () = watch_endpoints(&setup, &mut outage, list.version) => {}
                    () = setup.watchdog.next_suspension(suspensions) => {}
                }
            }
            Err(error) => {
                outage.failed(&error);
                outage.pause().await;
            }
        }
    }
}

/// Records an answer of the store; after a long outage, entries may have expired.
fn heard(setup: &Setup, outage: &mut Outage) {
    let since = outage.since();
    outage.answered();
    if let Some(since) = since.filter(|since| since.elapsed() > LAPSES_AFTER) {
        setup.view.store_returned(since, setup.lapse);
    }
}

async fn watch_endpoints(setup: &Setup, outage: &mut Outage, mut from: u64) {
    loop {
        let watched = match setup.view.lenient_for() {
            Some(rest) => tokio::time::timeout(rest, watch_once(setup, outage, from)).await,
            None => Ok(watch_once(setup, outage, from).await),
        };
        match watched {
            // Entries that are still missing now are gone.
            Err(_) => setup.view.sweep(),
            Ok(Ok(Some(next))) => {
                from = next;
                tokio::time::sleep(GATHER).await;
            }
            Ok(Ok(None)) => return,
            Ok(Err(error)) => {
                outage.failed(&error);
                return;
            }
        }
    }
}

async fn watch_once(setup: &Setup, outage: &mut Outage, from: u64) -> Result<Option<u64>, Error> {
    let watch = tokio::select! {
        watch = setup.store.changes(platform::ENDPOINTS, from) => watch?,
        lost_since = setup.recovery.recovered() => {
            // Another task noticed an outage and its end: this watch may be dead.
            setup.view.store_returned(lost_since, setup.lapse);
            return Ok(None);
        }
    };
    if watch.gap {
        tracing::info!(event = "watch_gap", what = "endpoints", from);
        return Ok(None);
    }
    heard(setup, outage);
    setup.view.endpoints_changed(watch.changes, watch.next);
    Ok(Some(watch.next))
}

/// Reads the entries of the other boxes at intervals.
async fn look_at_boxes(setup: Setup) {
    let mut outage = outage(&setup, "boxes", Probe::Lazy);
    loop {
        match setup.store.all_maybe_old(BOXES).await {
            Ok(list) => {
                outage.answered();
                setup.view.boxes_read(entries(&list.objects), list.version);
                tokio::time::sleep(BOXES_EVERY).await;
            }
            Err(error) => {
                outage.failed(&error);
                outage.pause().await;
            }
        }
    }
}

/// Entries of boxes, with their versions.
pub fn entries(objects: &[Object]) -> Vec<(Entry, u64)> {
    let read =
        |object: &Object| Some((view::read_box(&object.name, &object.value)?, object.version));
    objects.iter().filter_map(read).collect()
}
