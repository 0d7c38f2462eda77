//! Looking at the store: what a home does for its listeners, and a box that hears nobody for itself.

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

/// Pause after news of endpoints: what comes meanwhile is told by the next watch, so that a hundred
/// endpoints that start together cost a few calls a box instead of one each. An eighth of the time
/// within which a leaving endpoint may get no more work.
const GATHER: Duration = Duration::from_millis(250);
/// Time between two reads of the other boxes: as long as copies may be old.
const BOXES_EVERY: Duration = Duration::from_secs(4);
/// Time between two looks whether the store answers at all. A watch that waits says nothing of that, and
/// listeners in touch rely on a home that is cut off to say so: with the times below in 1.3 s, of the
/// 2 s after which a leaving endpoint may get no more work on small deployments. A read from a copy,
/// at a tenth of the price of a call: 15 calls a minute.
const LOOK_EVERY: Duration = Duration::from_millis(400);
/// Longest time for its answer: twice what the store takes when it is slow.
const LOOK_WITHIN: Duration = Duration::from_millis(600);
/// The same for the second look, after one that got no answer: answers are lost now and then.
const LOOK_AGAIN_WITHIN: Duration = Duration::from_millis(300);

/// Entries of endpoints may lapse once the store was away this long: shorter than the time between two
/// signs of life of an endpoint on any deployment known.
const LAPSES_AFTER: Duration = Duration::from_millis(900);

/// What looking needs.
#[derive(Clone)]
pub struct Setup {
    pub store: Client,
    pub view: View,
    pub recovery: Recovery,
    /// Tells when the box was held up: watches may be dead then without a sign.
    pub watchdog: Watchdog,
    /// Name of this box.
    pub name: Arc<str>,
    /// How long missing entries are kept after the store's return.
    pub lapse: Duration,
}

/// A box that looks; it ends when dropped.
pub struct Looking(#[allow(dead_code, reason = "tasks that live as long as this")] JoinSet<()>);

impl Looking {
    /// Starts to look.
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

/// An outage that may have been seen already, by this box or the one that it listened to.
fn outage(setup: &Setup, what: &'static str, probe: Probe) -> Outage {
    let mut outage = Outage::new(what, probe, setup.recovery.clone());
    if let Some(since) = setup.view.away_since() {
        outage.lost_since(since);
    }
    outage
}

/// Looks whether the store answers, and says so to the other tasks and to listeners.
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

/// Follows which availability zones are to get no more work.
async fn look_at_evacuations(setup: Setup) {
    let view = setup.view.clone();
    let seen = |seen| match seen {
        Seen::All(list, _) => view.evacuations_read(&list.objects, list.version),
        Seen::Changes(changes) => view.evacuations_changed(&changes),
    };
    follow(&setup, "evacuations", platform::EVACUATIONS, seen).await;
}

/// Follows which requests endpoints ended with.
async fn look_at_crashes(setup: Setup) {
    let view = setup.view.clone();
    let seen = |seen| match seen {
        Seen::All(list, _) => view.crashes_read(&list.objects),
        Seen::Changes(changes) => view.crashes_changed(&changes),
    };
    follow(&setup, "crashes", quarantine::CRASHES, seen).await;
}

/// What was seen of the objects of a kind.
enum Seen {
    /// All of them, by a call that began when the box had been held up so often.
    All(List, u64),
    /// What changed since.
    Changes(Vec<Change>),
}

/// Follows all objects of a kind, by lists and watches.
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

/// The store answered: entries may have lapsed if it had not for long.
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
            // What is still missing now is gone.
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
            // Another task lost the store and found it again: this watch may be dead.
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

/// Reads the entries of the other boxes from time to time.
async fn look_at_boxes(setup: Setup) {
    let mut outage = outage(&setup, "boxes", Probe::Lazy);
    loop {
        match setup.store.list_stale(BOXES).await {
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
