//! Following configuration: the gate to `accepted`, and what is in force here.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use config::{Accepted, Verdict, object_name, validate};
use ledger::Incarnation;
use member::Member;
use objects::{Change, Error, Expect, Object, Write};
use resource::Kind;
use serde_json::json;
use timeline::EventKind;

use crate::{reports::note_leaving, shared::Shared};

/// How long the next box in line waits before it does what the home should have done.
const NEXT_IN_LINE: Duration = Duration::from_millis(700);
/// Boxes in line for one object.
const LINE: usize = 3;
/// Lists of members read a second over the whole fleet, whatever its size.
const LISTS_PER_S: u64 = 20;
/// Wait after a failed read.
const AGAIN: Duration = Duration::from_millis(200);

const KINDS: [&str; 6] = ["accepted", "budget", "customer", "pool", "route", "destroyed"];

/// Follows the platform's objects for as long as the router runs.
pub async fn follow(shared: Arc<Shared>) {
    let mut from = None;
    loop {
        let step = match from {
            None => load(&shared, 0).await,
            Some(at) => next(&shared, at).await,
        };
        match step {
            Ok(at) => {
                shared.health.record_success();
                shared.watched.send_replace(at.max(1));
                from = Some(at);
            }
            Err(_) => {
                shared.health.record_failure();
                tokio::time::sleep(AGAIN + shared.jitter(AGAIN)).await;
                // Others' silence means nothing while this box could not hear them.
                let now = shared.now();
                shared.members.lock().reset_silence(now);
            }
        }
    }
}

/// Reads everything; changes after the first list are seen by the watch.
async fn load(shared: &Arc<Shared>, from: u64) -> Result<u64, Error> {
    let accepted = shared.store.list("accepted", "").await?;
    let at = accepted.iter().map(|object| object.version).max().unwrap_or(0).max(from);
    for object in accepted {
        put_in_force(shared, &object.value);
    }
    for kind in Kind::ALL {
        for object in shared.store.list(kind.as_str(), "").await? {
            offer(shared, kind, source(object));
        }
    }
    Ok(at)
}

fn source(object: Object) -> Change {
    let Object { kind, name, version, value } = object;
    Change { kind, name, version, value: Some(value) }
}

async fn next(shared: &Arc<Shared>, from: u64) -> Result<u64, Error> {
    let watch = shared.store.watch(&KINDS, from).await?;
    if watch.gap {
        return load(shared, watch.next).await;
    }
    for change in watch.changes {
        match (&*change.kind, &change.value) {
            ("accepted", Some(value)) => put_in_force(shared, value),
            (kind, _) => {
                if let Ok(kind) = kind.parse() {
                    offer(shared, kind, change);
                }
            }
        }
    }
    Ok(watch.next)
}

/// Puts an accepted object in force, if it is newer than what is.
pub fn put_in_force(shared: &Shared, value: &str) {
    let Ok(accepted) = serde_json::from_str::<Accepted>(value) else {
        tracing::warn!("an accepted object was not understood and is passed over");
        return;
    };
    shared.accepted.lock().keep(&accepted, value);
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
        note_leaving(shared, shared.endpoints.update(&snapshot, shared.now()));
    }
}

/// Reads the list of members now and then, for as long as the router runs.
///
/// A watch would wake every box at every beat of every other: the number of reads would grow
/// with the square of the fleet.
pub async fn follow_members(shared: Arc<Shared>) {
    let mut known = BTreeSet::new();
    loop {
        match shared.store.list("member", "").await {
            Ok(objects) => {
                let names: BTreeSet<Arc<str>> =
                    objects.iter().map(|object| object.name.clone()).collect();
                for object in &objects {
                    saw_member(&shared, &object.name, Some(&object.value));
                }
                for gone in known.difference(&names) {
                    saw_member(&shared, gone, None);
                }
                known = names;
            }
            Err(_) => {
                // Others' silence means nothing while this box could not hear them.
                let now = shared.now();
                shared.members.lock().reset_silence(now);
            }
        }
        let least = Duration::from_millis(shared.boxes() * 1_000 / LISTS_PER_S);
        let every = Duration::from_millis(shared.settings.money.beat_ms).max(least);
        tokio::time::sleep(every / 2 + shared.jitter(every)).await;
    }
}

fn saw_member(shared: &Shared, name: &str, value: Option<&str>) {
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

/// Takes a source to the gate: its home at once, the next boxes in line if nothing happened.
fn offer(shared: &Arc<Shared>, kind: Kind, change: Change) {
    let id = object_name(kind, &change.name);
    let rank = shared.rank(&id);
    if rank >= LINE {
        return;
    }
    let shared = shared.clone();
    shared.clone().tasks.spawn(async move {
        let wait = NEXT_IN_LINE * rank as u32;
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = shared.ended.cancelled() => return,
        }
        let mut again = AGAIN;
        while !accept(&shared, kind, &change).await {
            tokio::select! {
                () = tokio::time::sleep(again + shared.jitter(again)) => {}
                () = shared.ended.cancelled() => return,
            }
            again = (again * 2).min(Duration::from_secs(5));
        }
    });
}

/// Carries a source through the gate; true once there is nothing left to do.
async fn accept(shared: &Shared, kind: Kind, change: &Change) -> bool {
    let in_force = shared.config.borrow().version(kind, &change.name);
    if in_force >= change.version {
        return true;
    }
    let id = object_name(kind, &change.name);
    let Ok(found) = shared.store.get("accepted", &id).await else { return false };
    let known =
        found.as_ref().and_then(|object| serde_json::from_str::<Accepted>(&object.value).ok());
    let version = known.map(|accepted| accepted.source);
    match validate(kind, &change.name, change.version, change.value.as_deref(), version) {
        Verdict::Keep => true,
        Verdict::Invalid { reason } => {
            let what =
                EventKind::Invalid { object: id.as_str().into(), reason: reason.as_str().into() };
            shared.log.add(what);
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
