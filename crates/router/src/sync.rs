//! Watches configuration: validates operators' objects, copies valid ones to `accepted` objects and
//! applies those to this box's snapshot.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use config::{Accepted, Verdict, object_name, validate};
use ledger::Incarnation;
use member::Member;
use objects::{Change, Error, Expect, Object, Write};
use resource::Kind;
use serde_json::json;
use timeline::EventKind;

use crate::{reports::log_leaving, shared::Shared};

/// Delay for each rank after the owner before a box validates an object in the owner's place.
const STAND_IN_DELAY: Duration = Duration::from_millis(700);
/// Boxes that may validate one object: its owner and those that stand in for it.
const MAX_VALIDATORS: usize = 3;
/// Reads of the member list per second by the whole fleet, whatever its size.
const FLEET_LISTS_PER_S: u64 = 20;
/// Delay before the first retry of a failed read or write.
const RETRY_DELAY: Duration = Duration::from_millis(200);

const KINDS: [&str; 6] = ["accepted", "budget", "customer", "pool", "route", "destroyed"];

/// Watches the platform's objects for as long as the router runs.
pub async fn watch_config(shared: Arc<Shared>) {
    let mut from = None;
    loop {
        let step = match from {
            None => load_all(&shared, 0).await,
            Some(at) => next_changes(&shared, at).await,
        };
        match step {
            Ok(at) => {
                shared.health.record_success();
                shared.watched.send_replace(at.max(1));
                from = Some(at);
            }
            Err(_) => {
                shared.health.record_failure();
                tokio::time::sleep(RETRY_DELAY + shared.jitter(RETRY_DELAY)).await;
                // This box could not read heartbeats, so missing ones prove nothing.
                let now = shared.now();
                shared.members.lock().reset_silence(now);
            }
        }
    }
}

/// Reads all objects; the watch delivers whatever changes after the first list.
async fn load_all(shared: &Arc<Shared>, from: u64) -> Result<u64, Error> {
    let accepted = shared.store.list("accepted", "").await?;
    let at = accepted.iter().map(|object| object.version).max().unwrap_or(0).max(from);
    for object in accepted {
        apply_accepted(shared, &object.value);
    }
    for kind in Kind::ALL {
        for object in shared.store.list(kind.as_str(), "").await? {
            schedule_validation(shared, kind, to_change(object));
        }
    }
    Ok(at)
}

fn to_change(object: Object) -> Change {
    let Object { kind, name, version, value } = object;
    Change { kind, name, version, value: Some(value) }
}

async fn next_changes(shared: &Arc<Shared>, from: u64) -> Result<u64, Error> {
    let watch = shared.store.watch(&KINDS, from).await?;
    if watch.gap {
        return load_all(shared, watch.next).await;
    }
    for change in watch.changes {
        match (&*change.kind, &change.value) {
            ("accepted", Some(value)) => apply_accepted(shared, value),
            (kind, _) => {
                if let Ok(kind) = kind.parse() {
                    schedule_validation(shared, kind, change);
                }
            }
        }
    }
    Ok(watch.next)
}

/// Applies an accepted object if it is newer than the one applied before.
pub fn apply_accepted(shared: &Shared, value: &str) {
    let Ok(accepted) = serde_json::from_str::<Accepted>(value) else {
        tracing::warn!("ignoring an accepted object that cannot be decoded");
        return;
    };
    shared.accepted.lock().insert(&accepted, value);
    let mut applied = false;
    shared.config.send_if_modified(|current| {
        let mut next = (**current).clone();
        applied = next.apply(&accepted).unwrap_or(false);
        if applied {
            *current = Arc::new(next);
        }
        applied
    });
    if !applied {
        return;
    }
    let object = object_name(accepted.kind, &accepted.name).into();
    shared.log.add(EventKind::Applied { object, version: accepted.source });
    if accepted.kind == Kind::Pool {
        let snapshot = shared.config.borrow().clone();
        log_leaving(shared, shared.endpoints.update(&snapshot, shared.now()));
    }
}

/// Reads the member list periodically, for as long as the router runs.
///
/// A watch would wake every box at each heartbeat of every other box: reads would grow with the
/// square of the fleet.
pub async fn poll_members(shared: Arc<Shared>) {
    let mut known = BTreeSet::new();
    loop {
        match shared.store.list("member", "").await {
            Ok(objects) => {
                let names: BTreeSet<Arc<str>> =
                    objects.iter().map(|object| object.name.clone()).collect();
                for object in &objects {
                    observe_member(&shared, &object.name, Some(&object.value));
                }
                for gone in known.difference(&names) {
                    observe_member(&shared, gone, None);
                }
                known = names;
            }
            Err(_) => {
                // This box could not read heartbeats, so missing ones prove nothing.
                let now = shared.now();
                shared.members.lock().reset_silence(now);
            }
        }
        let min_interval = Duration::from_millis(shared.boxes() * 1_000 / FLEET_LISTS_PER_S);
        let interval = Duration::from_millis(shared.settings.money.beat_ms).max(min_interval);
        tokio::time::sleep(interval / 2 + shared.jitter(interval)).await;
    }
}

fn observe_member(shared: &Shared, name: &str, value: Option<&str>) {
    let now = shared.now();
    let incarnation = Incarnation::from(name);
    let mut members = shared.members.lock();
    match value.map(serde_json::from_str::<Member>) {
        Some(Ok(member)) => {
            shared.peers.observe(&member);
            members.observe(member, now);
        }
        Some(Err(_)) => {}
        None => {
            shared.peers.remove(&incarnation);
            members.remove(&incarnation);
        }
    }
}

/// Validates an operator's object: at once on its owner, later on the next boxes by rank, which
/// find it done if the owner is up.
fn schedule_validation(shared: &Arc<Shared>, kind: Kind, change: Change) {
    let id = object_name(kind, &change.name);
    let rank = shared.rank(&id);
    if rank >= MAX_VALIDATORS {
        return;
    }
    let shared = shared.clone();
    shared.clone().tasks.spawn(async move {
        let wait = STAND_IN_DELAY * rank as u32;
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.ended.cancelled() => return,
        }
        let mut delay = RETRY_DELAY;
        while !accept(&shared, kind, &change).await {
            tokio::select! {
                () = tokio::time::sleep(delay + shared.jitter(delay)) => {}
                () = shared.ended.cancelled() => return,
            }
            delay = (delay * 2).min(Duration::from_secs(5));
        }
    });
}

/// Validates an operator's object and writes the result; false if it has to be retried.
async fn accept(shared: &Shared, kind: Kind, change: &Change) -> bool {
    let applied = shared.config.borrow().version(kind, &change.name);
    if applied >= change.version {
        return true;
    }
    let id = object_name(kind, &change.name);
    let Ok(found) = shared.store.get("accepted", &id).await else { return false };
    let known =
        found.as_ref().and_then(|object| serde_json::from_str::<Accepted>(&object.value).ok());
    let version = known.map(|accepted| accepted.source);
    match validate(kind, &change.name, change.version, change.value.as_deref(), version) {
        Verdict::UpToDate => true,
        Verdict::Invalid { reason } => {
            let event =
                EventKind::Invalid { object: id.as_str().into(), reason: reason.as_str().into() };
            shared.log.add(event);
            report_invalid(shared, &id, change.version, &reason).await
        }
        Verdict::Accept(accepted) => {
            let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
            let write = shared.store.put("accepted", &id, accepted.to_json(), expect).await;
            matches!(write, Write::Landed(_))
        }
    }
}

async fn report_invalid(shared: &Shared, id: &str, version: u64, reason: &str) -> bool {
    let Ok(found) = shared.store.get("status", id).await else { return false };
    let known = found.as_ref().and_then(|object| {
        let value: serde_json::Value = serde_json::from_str(&object.value).ok()?;
        value["source"].as_u64()
    });
    if known.is_some_and(|known| known >= version) {
        return true;
    }
    let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
    let text = json!({"source": version, "invalid": reason}).to_string();
    matches!(shared.store.put("status", id, text, expect).await, Write::Landed(_))
}
