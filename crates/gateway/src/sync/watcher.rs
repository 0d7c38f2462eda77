//! Watching the store: done by watchers for their subscribers, and by a box without a source for
//! itself.

use std::time::Duration;

use objects::{Change, Error, Object, Watch};
use platform::{store::List, version};
use tokio::{sync::watch, task::JoinSet, time::Instant};

use crate::{
    fleet::entry::{BOXES, Entry},
    freshness::Subject,
    outage::{Outage, Probe},
    sole_versions::record::VERSIONS,
    sync::{
        confirmer::Confirmer,
        setup::Setup,
        view::{self, View},
    },
};

/// Pause after changes of endpoints, so that the next watch returns further changes together. Keeps
/// the number of calls low when many endpoints start together. An eighth of the 2 s within which a
/// leaving endpoint must get no more work in the strictest deployments.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Pause after a watch that the store refused for its limit of reads.
const LIMITED_PAUSE: Duration = Duration::from_millis(300);
/// Longest time for the answer of a watch whose wait is over, beyond which its connection may be dead.
const WATCH_GRACE: Duration = Duration::from_millis(600);
/// Shortest time between two checks whether a state is due, while none is confirmed.
const MIN_DUE: Duration = Duration::from_millis(100);
/// Interval between two reads of the other boxes: as long as replica reads may be out of date.
const BOXES_INTERVAL: Duration = Duration::from_secs(4);
/// Interval between two probes of the store. A waiting watch does not show whether the store is
/// reachable, and subscribers rely on their watcher to report an outage. Even with both timeouts
/// below, that stays under the 2 s after which a leaving endpoint must get no more work in the
/// strictest deployments. Probes read from a replica, which is cheap.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a probe: twice the latency of a slow store.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of the second probe, after one that got no answer: single answers get lost.
const SECOND_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Entries of endpoints may expire in an outage longer than this: shorter than the heartbeat
/// interval of endpoints in any deployment.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(900);

/// Tasks that watch the store; they end when this is dropped.
pub struct Watcher(#[allow(dead_code, reason = "tasks that live as long as this")] JoinSet<()>);

impl Watcher {
    /// Starts to watch the store.
    pub fn spawn(setup: &Setup, probe: Probe) -> Watcher {
        setup.view.reset_loaded();
        let (reopen, reopened) = watch::channel(());
        let mut tasks = JoinSet::new();
        tasks.spawn(probe_store(setup.clone(), probe, reopen));
        let confirmer = Confirmer::new();
        let watching = Watching { setup: setup.clone(), reopened, confirmer: confirmer.clone() };
        tasks.spawn(follow_config(watching.clone()));
        tasks.spawn(follow_evacuations(watching.clone()));
        tasks.spawn(follow_crashes(watching.clone()));
        tasks.spawn(follow_versions(watching.clone()));
        tasks.spawn(follow_endpoints(watching));
        tasks.spawn(confirmer.follow(setup.clone()));
        tasks.spawn(read_boxes(setup.clone()));
        Watcher(tasks)
    }
}

/// What a task that watches needs.
#[derive(Clone)]
struct Watching {
    setup: Setup,
    /// Changes when the connections of the watches may be dead.
    reopened: watch::Receiver<()>,
    confirmer: Confirmer,
}

/// Tracks outages of the store for one task, from an outage on that this box already knows of.
fn outage(setup: &Setup, what: &'static str, probe: Probe) -> Outage {
    let mut outage = Outage::new(what, probe, setup.recovery.clone());
    if let Some(since) = setup.view.unreachable_since() {
        outage.set_lost_since(since);
    }
    outage
}

/// Probes the store, and reports to the other tasks and to subscribers whether it answers. Has the
/// watches opened again if the store answers, but only on a new connection.
async fn probe_store(setup: Setup, probe: Probe, reopen: watch::Sender<()>) {
    let mut outage = outage(&setup, "store", probe);
    let mut eras = setup.store.eras();
    loop {
        match ping_store(&setup).await {
            Ok(answered) => {
                let mut was_lost = outage.record_success().is_some();
                if eras.has_changed().is_ok_and(|has_changed| has_changed) {
                    eras.mark_unchanged();
                    was_lost = true;
                }
                if let Answered::OnNewConnection { reason } = &answered {
                    tracing::info!(event = "watches_reopened", %reason);
                }
                // After an outage the probe has a new connection too, and other tasks may have read the
                // store before.
                if was_lost || matches!(answered, Answered::OnNewConnection { .. }) {
                    setup.store.reset_pool();
                    reopen.send_replace(());
                }
                setup.view.set_unreachable(None);
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
            Err(error) => {
                outage.record_failure(&error);
                setup.view.set_unreachable(outage.since());
                outage.pause().await;
            }
        }
    }
}

/// How the store answered a probe.
enum Answered {
    /// On the connection that probes had, if they had one.
    OnOpenConnection,
    /// On a new connection, to the second probe. Those opened before may be dead.
    OnNewConnection {
        /// Why the first probe got no answer.
        reason: Error,
    },
}

async fn ping_store(setup: &Setup) -> Result<Answered, Error> {
    match setup.store.ping(BOXES, &setup.name, PROBE_TIMEOUT).await {
        Ok(()) => Ok(Answered::OnOpenConnection),
        Err(reason @ Error::Unreachable { .. }) => {
            // Another open connection may be as dead as that of the first probe.
            setup.store.reset_connections();
            let second = setup.store.ping(BOXES, &setup.name, SECOND_PROBE_TIMEOUT).await;
            second.map(|()| Answered::OnNewConnection { reason })
        }
        Err(Error::Limited | Error::Malformed { .. }) => {
            let second = setup.store.ping(BOXES, &setup.name, SECOND_PROBE_TIMEOUT).await;
            second.map(|()| Answered::OnOpenConnection)
        }
    }
}

/// Follows the operator's configuration.
async fn follow_config(watching: Watching) {
    let view = watching.setup.view.clone();
    let apply = |received| match received {
        Received::All(list, suspensions) => view.load_config(&list.objects, suspensions),
        Received::Changes(changes) => {
            changes
                .into_iter()
                .filter_map(written_object)
                .for_each(|object| view.update_config(&object));
        }
    };
    follow(watching, Subject::Config, platform::CONFIG.0, apply).await;
}

/// Follows which availability zones are evacuated.
async fn follow_evacuations(watching: Watching) {
    let view = watching.setup.view.clone();
    let apply = |received| match received {
        Received::All(list, _) => view.load_evacuations(&list.objects, list.version),
        Received::Changes(changes) => view.update_evacuations(&changes),
    };
    follow(watching, Subject::Evacuations, platform::EVACUATIONS, apply).await;
}

/// Follows the reports of requests that crash endpoints.
async fn follow_crashes(watching: Watching) {
    let view = watching.setup.view.clone();
    let apply = |received| match received {
        Received::All(list, _) => view.load_crashes(&list.objects),
        Received::Changes(changes) => view.update_crashes(&changes),
    };
    follow(watching, Subject::Crashes, quarantine::CRASHES, apply).await;
}

/// Follows the records of services' software versions. They bind no box by their age, so nobody has them confirmed.
async fn follow_versions(watching: Watching) {
    let Watching { setup, mut reopened, .. } = watching;
    let mut outage = outage(&setup, "versions", Probe::Lazy);
    loop {
        let list = match setup.store.list_all(VERSIONS).await {
            Ok(list) => list,
            Err(error) => {
                outage.record_failure(&error);
                outage.pause().await;
                continue;
            }
        };
        outage.record_success();
        reopened.mark_unchanged();
        setup.view.load_versions(&list.objects);
        let mut from = list.version;
        loop {
            let watched = tokio::select! {
                // After an outage, a list comes before another watch.
                biased;
                _ = setup.recovery.recovered() => break,
                Ok(()) = reopened.changed() => continue,
                watched = watch_for(&setup, VERSIONS, from, Duration::MAX) => watched,
            };
            match watched {
                Ok(Watched { watch, .. }) if watch.gap => break,
                Ok(Watched { watch, .. }) => {
                    from = watch.next;
                    setup.view.change_versions(watch.changes);
                }
                Err(error) => {
                    outage.record_failure(&error);
                    break;
                }
            }
        }
    }
}

/// What a list or a watch returned.
enum Received {
    /// All objects, with the number of suspensions before the call began.
    All(List, u64),
    /// Changes since the last call.
    Changes(Vec<Change>),
}

/// Follows all objects of a kind, by a list and then watches.
async fn follow(watching: Watching, subject: Subject, kind: &str, apply: impl Fn(Received)) {
    let Watching { setup, mut reopened, confirmer } = watching;
    let Setup { store, recovery, watchdog, view, .. } = &setup;
    let mut outage = outage(&setup, subject.as_str(), Probe::Lazy);
    loop {
        let suspensions = watchdog.suspensions();
        let sent_ms = view.freshness().now_ms();
        let list = match store.list_all(kind).await {
            Ok(list) => list,
            Err(error) => {
                outage.record_failure(&error);
                outage.pause().await;
                continue;
            }
        };
        outage.record_success();
        // The list was answered on a connection that works.
        reopened.mark_unchanged();
        let mut from = list.version;
        apply(Received::All(list, suspensions));
        view.confirm(subject, sent_ms);
        loop {
            let watched = tokio::select! {
                // After an outage, a list comes before another watch.
                biased;
                _ = recovery.recovered() => break,
                () = watchdog.next_suspension(suspensions) => break,
                Ok(()) = reopened.changed() => continue,
                watched = watch_until_due(&setup, &confirmer, subject, kind, from) => watched,
            };
            match watched {
                Ok(None) => {}
                Ok(Some(Watched { watch, .. })) if watch.gap => {
                    tracing::info!(event = "watch_gap", what = subject.as_str(), from);
                    break;
                }
                Ok(Some(Watched { watch, complete_ms })) => {
                    outage.record_success();
                    from = watch.next;
                    apply(Received::Changes(watch.changes));
                    view.confirm(subject, complete_ms);
                }
                // The store has too many reads, and a list is more of them.
                Err(Error::Limited) => tokio::time::sleep(LIMITED_PAUSE).await,
                Err(error) => {
                    outage.record_failure(&error);
                    break;
                }
            }
        }
    }
}

/// A watch that was answered.
struct Watched {
    watch: Watch,
    /// Up to when it is complete, on the clock of [`Freshness`](crate::freshness::Freshness).
    complete_ms: u64,
}

/// Watches a kind for `wait` at most. A watch that waits proves nothing, so its wait is short where
/// the store has to confirm the state.
async fn watch_for(setup: &Setup, kind: &str, from: u64, wait: Duration) -> Result<Watched, Error> {
    let freshness = setup.view.freshness();
    let sent_ms = freshness.now_ms();
    let watch = setup.store.watch_kind_within(kind, from, wait, WATCH_GRACE).await?;
    // The store looked once more when the wait was over.
    let waited_ms = sent_ms.saturating_add(wait.as_millis().try_into().unwrap_or(u64::MAX));
    let complete_ms = match watch.changes.is_empty() && freshness.now_ms() >= waited_ms {
        true => waited_ms,
        false => sent_ms,
    };
    Ok(Watched { watch, complete_ms })
}

/// Watches a kind from version `from` until it changes or has to be confirmed; `None` if it has to
/// and the watch is to be opened again. While nothing changes in the store at all, or another root
/// has the state confirmed, the watch waits as long as it may.
async fn watch_until_due(
    setup: &Setup,
    confirmer: &Confirmer,
    subject: Subject,
    kind: &str,
    from: u64,
) -> Result<Option<Watched>, Error> {
    let freshness = setup.view.freshness();
    if confirmer.is_other(freshness, subject) {
        return tokio::select! {
            watched = watch_for(setup, kind, from, Duration::MAX) => watched.map(Some),
            () = confirmer.lost(freshness, subject) => Ok(None),
        };
    }
    if setup.view.endpoints_at() > from {
        let wait = freshness.due_in(subject);
        return watch_for(setup, kind, from, wait).await.map(Some);
    }
    tokio::select! {
        watched = watch_for(setup, kind, from, Duration::MAX) => watched.map(Some),
        () = store_advanced(&setup.view, subject, from) => Ok(None),
    }
}

/// Returns once a state is due and the store has changed since version `from`. Until then it is as
/// old as that of the endpoints, which tells up to which version the store has come.
async fn store_advanced(view: &View, subject: Subject, from: u64) {
    let freshness = view.freshness();
    loop {
        tokio::time::sleep(freshness.due_in(subject).max(MIN_DUE)).await;
        let confirmed_ms = freshness.confirmed_ms(Subject::Endpoints);
        match confirmed_ms.filter(|_| view.endpoints_at() <= from) {
            Some(confirmed_ms) => view.confirm(subject, confirmed_ms),
            None => return,
        }
    }
}

fn written_object(change: Change) -> Option<Object> {
    let value = change.value?;
    Some(Object { kind: change.kind, name: change.name, version: change.version, value })
}

/// Follows the entries of endpoints.
async fn follow_endpoints(watching: Watching) {
    let Watching { setup, mut reopened, confirmer } = watching;
    let mut outage = outage(&setup, "endpoints", Probe::Lazy);
    loop {
        let suspensions = setup.watchdog.suspensions();
        let sent_ms = setup.view.freshness().now_ms();
        match setup.store.list_all(platform::ENDPOINTS).await {
            Ok(list) => {
                store_answered(&setup, &mut outage);
                reopened.mark_unchanged();
                if version::era(list.version) > version::era(setup.view.endpoints_at()) {
                    // Entries of the lost seconds are written again.
                    setup.view.store_returned(Instant::now(), setup.grace);
                }
                setup.view.load_endpoints(&list.objects, list.version, suspensions);
                setup.view.confirm(Subject::Endpoints, sent_ms);
                tokio::select! {
                    () = watch_endpoints(
                        &setup,
                        &confirmer,
                        &mut outage,
                        &mut reopened,
                        list.version,
                    ) => {}
                    () = setup.watchdog.next_suspension(suspensions) => {}
                }
            }
            Err(error) => {
                outage.record_failure(&error);
                outage.pause().await;
            }
        }
    }
}

/// Records an answer of the store; after a long outage, entries may have expired.
fn store_answered(setup: &Setup, outage: &mut Outage) {
    let since = outage.since();
    outage.record_success();
    if let Some(since) = since.filter(|since| since.elapsed() > MIN_EXPIRY_OUTAGE) {
        setup.view.store_returned(since, setup.grace);
    }
}

async fn watch_endpoints(
    setup: &Setup,
    confirmer: &Confirmer,
    outage: &mut Outage,
    reopened: &mut watch::Receiver<()>,
    mut from: u64,
) {
    loop {
        let grace_left = setup.view.grace_left();
        let watching = watch_once(setup, confirmer, outage, reopened, from);
        let watched = match grace_left {
            Some(left) => tokio::time::timeout(left, watching).await,
            None => Ok(watching.await),
        };
        match watched {
            // Entries that are still missing now are gone.
            Err(_) => setup.view.sweep(),
            Ok(Ok(Step::Changed(next))) => {
                from = next;
                tokio::time::sleep(BATCH_DELAY).await;
            }
            Ok(Ok(Step::Unchanged(next))) => from = next,
            Ok(Ok(Step::Reopened)) => {}
            Ok(Ok(Step::Lost)) => return,
            // The store has too many reads, and a list is more of them.
            Ok(Err(Error::Limited)) => tokio::time::sleep(LIMITED_PAUSE).await,
            Ok(Err(error)) => {
                outage.record_failure(&error);
                return;
            }
        }
    }
}

/// How a watch of the endpoints ended.
enum Step {
    /// Its changes are applied; the next one starts at this version.
    Changed(u64),
    /// Nothing changed; the next one starts at this version.
    Unchanged(u64),
    /// Its connection may be dead, or this box has to have the store confirm the state itself; the
    /// next one starts at the same version.
    Reopened,
    /// The entries have to be listed anew.
    Lost,
}

/// Waits for the next changes and applies them.
async fn watch_once(
    setup: &Setup,
    confirmer: &Confirmer,
    outage: &mut Outage,
    reopened: &mut watch::Receiver<()>,
    from: u64,
) -> Result<Step, Error> {
    let freshness = setup.view.freshness();
    let is_other = confirmer.is_other(freshness, Subject::Endpoints);
    let wait = if is_other { Duration::MAX } else { freshness.due_in(Subject::Endpoints) };
    let Watched { watch, complete_ms } = tokio::select! {
        // After an outage, a list comes before another watch.
        biased;
        lost_since = setup.recovery.recovered() => {
            // Another task noticed an outage and its end: this watch may be dead.
            setup.view.store_returned(lost_since, setup.grace);
            return Ok(Step::Lost);
        }
        Ok(()) = reopened.changed() => return Ok(Step::Reopened),
        () = confirmer.lost(freshness, Subject::Endpoints), if is_other => {
            return Ok(Step::Reopened);
        }
        watched = watch_for(setup, platform::ENDPOINTS, from, wait) => watched?,
    };
    if watch.gap {
        tracing::info!(event = "watch_gap", what = "endpoints", from);
        return Ok(Step::Lost);
    }
    store_answered(setup, outage);
    let step = match watch.changes.is_empty() {
        true => Step::Unchanged(watch.next),
        false => Step::Changed(watch.next),
    };
    setup.view.update_endpoints(watch.changes, watch.next);
    setup.view.confirm(Subject::Endpoints, complete_ms);
    Ok(step)
}

/// Reads the entries of the other boxes at intervals.
async fn read_boxes(setup: Setup) {
    let mut outage = outage(&setup, "boxes", Probe::Lazy);
    loop {
        match setup.store.list_stale(BOXES).await {
            Ok(list) => {
                outage.record_success();
                setup.view.load_boxes(entries(&list.objects), list.version);
                tokio::time::sleep(BOXES_INTERVAL).await;
            }
            Err(error) => {
                outage.record_failure(&error);
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
